// Checks invariants over the event logs of concurrent processes (log level debug). Log lines are
// key=value pairs: time, process, event, request and the fields of the event.
#pragma once

#include "core/invariant.h"

#include <chrono>
#include <iosfwd>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace caraway {

using LogTime = std::chrono::milliseconds; // since the epoch

// One line of a log.
struct HistoryEvent
{
  LogTime time{};
  std::string process;
  std::string event;
  std::string request;
  std::map<std::string, std::string, std::less<>> fields;
  std::string place; // file:line
  std::string text;
};

struct HistoryFinding
{
  Invariant invariant = Invariant::kDispatchOnce;
  std::string place; // of the log line that violates the invariant
  std::string text;
  std::string request; // empty if the line belongs to none
};

// Parses the key=value pairs of a line; quoted values are unescaped. Returns nothing if the line
// has no event.
std::optional<HistoryEvent> ParseLogLine(std::string_view aLine, std::string aPlace);

class HistoryChecker
{
public:
  // Reads a whole log, skipping lines without an event.
  void Read(std::istream& aLog, const std::string& aName);

  // Checks all logs that were read.
  std::vector<HistoryFinding> Check();
  // The merged events of a request, ordered by time, one per line.
  std::string FormatHistory(std::string_view aRequest) const;

  std::size_t EventCount() const { return this->events.size(); }
  std::size_t RequestCount() const { return this->byRequest.size(); }

private:
  using EventGroup = std::vector<const HistoryEvent*>;

  void SortAndGroup();
  void CheckRequest(const std::string& aRequest, const EventGroup& aEvents);
  void CheckAnswer(const std::string& aRequest, const EventGroup& aEvents);
  void CheckProcess(const EventGroup& aEvents);
  void AddFinding(Invariant aInvariant, const HistoryEvent& aEvent, std::string aText);

  std::vector<HistoryEvent> events;
  std::map<std::string, EventGroup, std::less<>> byRequest;
  std::map<std::string, EventGroup, std::less<>> byProcess;
  std::vector<HistoryFinding> findings;
};

} // namespace caraway
