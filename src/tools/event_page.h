// The merged time line as one HTML page with a filter, for people who would rather look.
#pragma once

#include "tools/event_order.h"

#include <string>

namespace caraway {

std::string EventPage(const std::vector<ReportedEvent>& aEvents);

// Text of an event's fields: key=value pairs apart from those with columns of their own.
std::string FieldsText(const ReportedEvent& aEvent);

} // namespace caraway
