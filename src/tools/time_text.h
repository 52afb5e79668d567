// Points in time as operators write them.
#pragma once

#include "core/types.h"

#include <optional>
#include <string>

namespace caraway {

// Reads a time from now ("90s", "20m", "2h") or an ISO 8601 time ("2026-12-04T12:00:00Z").
std::optional<WallTime> ParseTime(const std::string& aText, WallTime aNow);

// ISO 8601 in UTC with milliseconds.
std::string FormatTime(WallTime aTime);

} // namespace caraway
