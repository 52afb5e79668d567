// Renders the merged timeline as an HTML page with a text filter.
#pragma once

#include "tools/event_order.h"

#include <string>

namespace caraway {

std::string RenderEventPage(const std::vector<ReportedEvent>& aEvents);

// Formats an event's fields as key=value pairs, without those that have their own columns.
std::string FormatFields(const ReportedEvent& aEvent);

} // namespace caraway
