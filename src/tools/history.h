// Checks what must always hold over the event logs of concurrent processes (log level debug). A log
// holds lines of key=value pairs: time, process, event, request and the fields of the event.
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
  std::string place; // of the line that shows it
  std::string text;
  std::string request; // empty when it belongs to none
};

// Splits a line into its pairs; quoted values are unescaped. Nothing if it names no event.
std::optional<HistoryEvent> ParseLogLine(std::string_view aLine, std::string aPlace);

class HistoryChecker
{
public:
  // Reads a whole log; lines without an event are passed over.
  void Read(std::istream& aLog, const std::string& aName);

  // Findings over everything that was read.
  std::vector<HistoryFinding> Check();
  // The merged events of a request, by time, one on a line.
  std::string HistoryOf(std::string_view aRequest) const;

  std::size_t Events() const { return this->events.size(); }
  std::size_t Requests() const { return this->byRequest.size(); }

private:
  using Group = std::vector<const HistoryEvent*>;

  void Sort();
  void CheckRequest(const std::string& aRequest, const Group& aEvents);
  void CheckAnswer(const std::string& aRequest, const Group& aEvents);
  void CheckProcess(const Group& aEvents);
  void Add(Invariant aInvariant, const HistoryEvent& aEvent, std::string aText);

  std::vector<HistoryEvent> events;
  std::map<std::string, Group, std::less<>> byRequest;
  std::map<std::string, Group, std::less<>> byProcess;
  std::vector<HistoryFinding> findings;
};

} // namespace caraway
