// Parses and formats times on operators' command lines.
#pragma once

#include "core/types.h"

#include <optional>
#include <string>

namespace caraway {

// Parses a time relative to aNow ("90s", "20m", "2h") or an ISO 8601 time ("2026-12-04T12:00:00Z").
std::optional<WallTime> ParseTime(const std::string& aText, WallTime aNow);

// ISO 8601 in UTC with milliseconds.
std::string FormatTime(WallTime aTime);

} // namespace caraway
