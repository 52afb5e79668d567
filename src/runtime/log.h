// Log of a process: one line of key=value pairs per event on standard output. Lines above the rate
// limit or the buffer limit are dropped and counted; writing never blocks.
#pragma once

#include "core/event.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace caraway {

enum class LogLevel : std::uint8_t
{
  kDebug,
  kInfo,
  kWarning,
  kError,
};

// Parses a level name of the settings; kInfo for any other text.
LogLevel ParseLogLevel(std::string_view aName);

// Sets up easylogging++ to write lines of at least aLevel to standard output, each with the time
// and the name of the process.
void StartLog(LogLevel aLevel, const std::string& aProcess);

bool IsLogged(LogLevel aLevel);

// Writes one line with event=aEvent and the fields.
void LogEvent(LogLevel aLevel, std::string_view aEvent, const std::vector<EventField>& aFields);

// Lines dropped since the process started.
std::uint64_t DroppedLogLines();

// Appends " key=value"; values with spaces, quotes or control characters are quoted and escaped.
void AppendField(std::string& aLine, std::string_view aKey, std::string_view aValue);

// Formats IDs as hexadecimal numbers separated by commas.
std::string HexList(const std::vector<std::uint64_t>& aIds);

} // namespace caraway
