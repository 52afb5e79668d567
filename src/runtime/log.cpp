#include "runtime/log.h"

#include <easylogging++.h>

#include <poll.h>
#include <unistd.h>

#include <algorithm>
#include <chrono>
#include <cinttypes>
#include <climits>
#include <cstdio>

INITIALIZE_EASYLOGGINGPP

namespace caraway {

namespace {

LogLevel minLevel = LogLevel::kInfo;
std::uint64_t droppedLines = 0;         // since the process started
std::uint64_t reportedDroppedLines = 0; // reported in the log so far

// Writes formatted lines to standard output. If the reader is too slow, lines are dropped; the
// process never blocks.
class StdoutWriter final : public el::LogDispatchCallback
{
protected:
  void handle(const el::LogDispatchData* aData) override
  {
    const el::LogMessage* message = aData->logMessage();
    const std::string line = message->logger()->logBuilder()->build(message, true);
    if (this->pending.size() + line.size() > kMaxPendingBytes) {
      droppedLines++;
    } else {
      this->pending += line;
    }
    this->Flush();
  }

private:
  // Writes as much as possible without blocking. A pipe that polls writable accepts PIPE_BUF bytes.
  void Flush()
  {
    std::size_t written = 0;
    while (written < this->pending.size()) {
      pollfd output{ STDOUT_FILENO, POLLOUT, 0 };
      if (poll(&output, 1, 0) <= 0 || (output.revents & POLLOUT) == 0) {
        break;
      }
      const std::size_t part = std::min<std::size_t>(this->pending.size() - written, PIPE_BUF);
      const ssize_t count = write(STDOUT_FILENO, this->pending.data() + written, part);
      if (count <= 0) {
        break;
      }
      written += static_cast<std::size_t>(count);
    }
    this->pending.erase(0, written);
  }

  static constexpr std::size_t kMaxPendingBytes = std::size_t{ 256 } * 1024;
  std::string pending;
};

// Token bucket that limits the rate of log lines, with bursts of a few seconds' worth of lines.
class LineRateLimiter
{
public:
  // Consumes a token; false if none is available.
  bool TryAcquire()
  {
    const auto now = std::chrono::steady_clock::now();
    const std::chrono::duration<double> elapsed = now - this->refilledAt;
    this->refilledAt = now;
    this->tokenCount = std::min(kBurstLines, this->tokenCount + elapsed.count() * kLinesPerSecond);
    if (this->tokenCount < 1) {
      return false;
    }
    this->tokenCount -= 1;
    return true;
  }

private:
  static constexpr double kLinesPerSecond = 400; // a few lines per request at full load
  static constexpr double kBurstLines = 1200;
  double tokenCount = kBurstLines;
  std::chrono::steady_clock::time_point refilledAt = std::chrono::steady_clock::now();
};

LineRateLimiter lineRateLimiter;

// True for values that need no quotes.
bool IsPlainValue(std::string_view aValue)
{
  return !aValue.empty() && std::all_of(aValue.begin(), aValue.end(), [](char aCharacter) {
    const auto byte = static_cast<unsigned char>(aCharacter);
    return byte > ' ' && byte != '"' && byte != '=' && byte != '\\' && byte != 0x7f;
  });
}

void AppendEscaped(std::string& aLine, char aCharacter)
{
  constexpr std::string_view kDigits = "0123456789abcdef";
  const auto byte = static_cast<unsigned char>(aCharacter);
  if (byte == '"' || byte == '\\') {
    aLine.push_back('\\');
    aLine.push_back(aCharacter);
  } else if (byte < ' ' || byte == 0x7f) {
    aLine.append("\\x");
    aLine.push_back(kDigits[byte >> 4]);
    aLine.push_back(kDigits[byte & 15]);
  } else {
    aLine.push_back(aCharacter);
  }
}

} // namespace

LogLevel ParseLogLevel(std::string_view aName)
{
  if (aName == "debug") {
    return LogLevel::kDebug;
  }
  if (aName == "warning") {
    return LogLevel::kWarning;
  }
  return aName == "error" ? LogLevel::kError : LogLevel::kInfo;
}

void StartLog(LogLevel aLevel, const std::string& aProcess)
{
  minLevel = aLevel;
  std::string process;
  AppendField(process, "process", aProcess);
  el::Configurations configuration;
  configuration.setToDefault();
  configuration.setGlobally(el::ConfigurationType::ToFile, "false");
  configuration.setGlobally(el::ConfigurationType::ToStandardOutput, "false");
  configuration.setGlobally(el::ConfigurationType::Format,
                            "time=%datetime{%Y-%M-%dT%H:%m:%s.%g} level=%level" + process +
                              " %msg");
  el::Loggers::reconfigureAllLoggers(configuration);
  el::Helpers::installLogDispatchCallback<StdoutWriter>("standard_output");
}

bool IsLogged(LogLevel aLevel)
{
  return aLevel >= minLevel;
}

void LogEvent(LogLevel aLevel, std::string_view aEvent, const std::vector<EventField>& aFields)
{
  if (!IsLogged(aLevel)) {
    return;
  }
  if (!lineRateLimiter.TryAcquire()) {
    droppedLines++;
    return;
  }
  if (droppedLines > reportedDroppedLines) {
    reportedDroppedLines = droppedLines;
    LOG(WARNING) << "event=log_lines_dropped total=" << droppedLines;
  }
  std::string line = "event=" + std::string(aEvent);
  for (const EventField& field : aFields) {
    AppendField(line, field.key, field.value);
  }
  switch (aLevel) {
    case LogLevel::kDebug:
      LOG(DEBUG) << line;
      break;
    case LogLevel::kInfo:
      LOG(INFO) << line;
      break;
    case LogLevel::kWarning:
      LOG(WARNING) << line;
      break;
    case LogLevel::kError:
      LOG(ERROR) << line;
      break;
  }
}

std::uint64_t DroppedLogLines()
{
  return droppedLines;
}

void AppendField(std::string& aLine, std::string_view aKey, std::string_view aValue)
{
  aLine.push_back(' ');
  aLine.append(aKey);
  aLine.push_back('=');
  if (IsPlainValue(aValue)) {
    aLine.append(aValue);
    return;
  }
  aLine.push_back('"');
  for (const char character : aValue) {
    AppendEscaped(aLine, character);
  }
  aLine.push_back('"');
}

std::string HexList(const std::vector<std::uint64_t>& aIds)
{
  std::string text;
  char digits[17];
  for (const std::uint64_t id : aIds) {
    std::snprintf(digits, sizeof(digits), "%" PRIx64, id);
    text += text.empty() ? "" : ",";
    text += digits;
  }
  return text;
}

} // namespace caraway
