#include "runtime/log.h"

#include <easylogging++.h>

#include <algorithm>
#include <iostream>

INITIALIZE_EASYLOGGINGPP

namespace caraway {

namespace {

LogLevel leastLevel = LogLevel::kInfo;

// Writes finished lines to standard error.
class ErrorStream final : public el::LogDispatchCallback
{
protected:
  void handle(const el::LogDispatchData* aData) override
  {
    const el::LogMessage* message = aData->logMessage();
    std::cerr << message->logger()->logBuilder()->build(message, true) << std::flush;
  }
};

// True for values that stand in a line as they are.
bool IsPlain(std::string_view aValue)
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

LogLevel LogLevelOf(std::string_view aName)
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
  leastLevel = aLevel;
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
  el::Helpers::installLogDispatchCallback<ErrorStream>("standard_error");
}

bool IsLogged(LogLevel aLevel)
{
  return aLevel >= leastLevel;
}

void LogEvent(LogLevel aLevel, std::string_view aEvent, const std::vector<EventField>& aFields)
{
  if (!IsLogged(aLevel)) {
    return;
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

void AppendField(std::string& aLine, std::string_view aKey, std::string_view aValue)
{
  aLine.push_back(' ');
  aLine.append(aKey);
  aLine.push_back('=');
  if (IsPlain(aValue)) {
    aLine.append(aValue);
    return;
  }
  aLine.push_back('"');
  for (const char character : aValue) {
    AppendEscaped(aLine, character);
  }
  aLine.push_back('"');
}

} // namespace caraway
