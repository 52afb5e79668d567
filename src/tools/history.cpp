#include "tools/history.h"

#include <algorithm>
#include <cstdio>
#include <istream>

namespace caraway {

namespace {

// Value of a field; empty if missing.
std::string_view FieldValue(const HistoryEvent& aEvent, std::string_view aKey)
{
  const auto found = aEvent.fields.find(aKey);
  return found == aEvent.fields.end() ? std::string_view{} : std::string_view(found->second);
}

std::uint64_t FieldNumber(const HistoryEvent& aEvent, std::string_view aKey)
{
  const std::string text(FieldValue(aEvent, aKey));
  return text.empty() ? 0 : std::strtoull(text.c_str(), nullptr, 10);
}

// Parses a time such as 2026-12-04T03:04:05.678.
LogTime ParseTime(const std::string& aText)
{
  int year = 0;
  unsigned month = 0;
  unsigned day = 0;
  int hour = 0;
  int minute = 0;
  int second = 0;
  int milli = 0;
  if (std::sscanf(aText.c_str(), "%d-%u-%uT%d:%d:%d.%d", &year, &month, &day, &hour, &minute,
                  &second, &milli) < 6) {
    return {};
  }
  using namespace std::chrono;
  const sys_days date = std::chrono::year(year) / std::chrono::month(month) / std::chrono::day(day);
  return duration_cast<LogTime>(date.time_since_epoch()) + hours(hour) + minutes(minute) +
         seconds(second) + LogTime(milli);
}

// Reads a quoted value. aPlace is the position after the opening quote, then after the closing one.
std::string ReadQuoted(std::string_view aLine, std::size_t& aPlace)
{
  std::string value;
  while (aPlace < aLine.size() && aLine[aPlace] != '"') {
    const bool escaped = aLine[aPlace] == '\\' && aPlace + 1 < aLine.size();
    aPlace += escaped ? 1 : 0;
    value += aLine[aPlace++];
  }
  ++aPlace;
  return value;
}

// True for the final answer of an entry; an agent's event of this kind has no tier.
bool IsFinalAnswer(const HistoryEvent& aEvent)
{
  return aEvent.event == "finished" && aEvent.fields.contains("tier");
}

bool IsAgentEnd(const HistoryEvent& aEvent)
{
  return aEvent.event == "finished" && !aEvent.fields.contains("tier");
}

Invariant ParseInvariant(std::string_view aName)
{
  for (std::size_t i = 0; i < kInvariantCount; ++i) {
    if (ToString(static_cast<Invariant>(i)) == aName) {
      return static_cast<Invariant>(i);
    }
  }
  return Invariant::kTierOrder;
}

} // namespace

std::optional<HistoryEvent> ParseLogLine(std::string_view aLine, std::string aPlace)
{
  HistoryEvent event;
  event.place = std::move(aPlace);
  event.text = aLine;
  std::size_t place = 0;
  while (place < aLine.size()) {
    const std::size_t equals = aLine.find('=', place);
    if (equals == std::string_view::npos) {
      break;
    }
    std::string key(aLine.substr(place, equals - place));
    place = equals + 1;
    std::string value;
    if (place < aLine.size() && aLine[place] == '"') {
      value = ReadQuoted(aLine, ++place);
    } else {
      const std::size_t end = std::min(aLine.find(' ', place), aLine.size());
      value = aLine.substr(place, end - place);
      place = end;
    }
    place = std::min(aLine.find_first_not_of(' ', place), aLine.size());
    event.fields.emplace(std::move(key), std::move(value));
  }
  event.time = ParseTime(std::string(FieldValue(event, "time")));
  event.process = FieldValue(event, "process");
  event.event = FieldValue(event, "event");
  event.request = FieldValue(event, "request");
  return event.event.empty() ? std::nullopt : std::optional(std::move(event));
}

void HistoryChecker::Read(std::istream& aLog, const std::string& aName)
{
  std::string line;
  for (std::size_t number = 1; std::getline(aLog, line); ++number) {
    std::optional<HistoryEvent> event = ParseLogLine(line, aName + ":" + std::to_string(number));
    if (event) {
      this->events.push_back(std::move(*event));
    }
  }
}

std::vector<HistoryFinding> HistoryChecker::Check()
{
  this->findings.clear();
  this->SortAndGroup();
  for (const auto& [request, group] : this->byRequest) {
    this->CheckRequest(request, group);
    this->CheckAnswer(request, group);
  }
  for (const auto& [process, group] : this->byProcess) {
    this->CheckProcess(group);
  }
  return this->findings;
}

// Sorts the events by time and groups them by request and by process.
void HistoryChecker::SortAndGroup()
{
  std::stable_sort(
    this->events.begin(), this->events.end(),
    [](const HistoryEvent& aLeft, const HistoryEvent& aRight) { return aLeft.time < aRight.time; });
  this->byRequest.clear();
  this->byProcess.clear();
  for (const HistoryEvent& event : this->events) {
    this->byProcess[event.process].push_back(&event);
    if (!event.request.empty() && event.event != "history") {
      this->byRequest[event.request].push_back(&event);
    }
  }
}

// Checks that a request is dispatched once over all processes, and not at all if its caller was
// told that it did not run.
void HistoryChecker::CheckRequest(const std::string& /*aRequest*/, const EventGroup& aEvents)
{
  const HistoryEvent* dispatched = nullptr;
  bool wasNotSent = false;
  for (const HistoryEvent* event : aEvents) {
    if (event->event == "dispatched" && dispatched != nullptr && !wasNotSent) {
      this->AddFinding(Invariant::kDispatchOnce, *event,
                       "already dispatched at " + dispatched->place);
    }
    if (event->event == "dispatched") {
      dispatched = event;
      wasNotSent = false;
    }
    wasNotSent = wasNotSent || (IsAgentEnd(*event) && FieldValue(*event, "outcome") == "not_run");
    if (event->event == "violation") {
      this->AddFinding(ParseInvariant(FieldValue(*event, "subject")), *event,
                       "reported by the process");
    }
    if (FieldValue(*event, "outcome") == "cut" && FieldValue(*event, "reason") == "draining") {
      this->AddFinding(Invariant::kNoCutOnLeaving, *event, "cut by a shutdown");
    }
  }
  for (const HistoryEvent* event : aEvents) {
    const bool isReportedNotRun =
      IsFinalAnswer(*event) && FieldValue(*event, "outcome") == "not_run";
    if (isReportedNotRun && dispatched != nullptr && !wasNotSent) {
      this->AddFinding(Invariant::kNotRunIsTrue, *event, "dispatched at " + dispatched->place);
    }
  }
}

// Checks that an answered caller received as many chunks as the agent produced.
void HistoryChecker::CheckAnswer(const std::string& /*aRequest*/, const EventGroup& aEvents)
{
  const auto end = std::find_if(aEvents.begin(), aEvents.end(), [](const HistoryEvent* aEvent) {
    return IsAgentEnd(*aEvent) && FieldValue(*aEvent, "outcome") == "answered";
  });
  if (end == aEvents.end()) {
    return;
  }
  for (const HistoryEvent* event : aEvents) {
    const bool isAnswered = IsFinalAnswer(*event) && FieldValue(*event, "outcome") == "answered";
    if (isAnswered && FieldNumber(*event, "chunks") != FieldNumber(**end, "chunks")) {
      this->AddFinding(Invariant::kWholeAnswer, *event,
                       "the agent produced " + std::string(FieldValue(**end, "chunks")) +
                         " chunks");
    }
  }
}

// Checks each incarnation of a process: the configuration offset never decreases, and no work is
// dispatched later than kLeavingGrace after the leaving notice.
void HistoryChecker::CheckProcess(const EventGroup& aEvents)
{
  std::optional<LogTime> leavingSince;
  std::uint64_t nextOffset = 0;
  for (const HistoryEvent* event : aEvents) {
    if (event->event == "started") {
      leavingSince.reset();
      nextOffset = 0;
    } else if (event->event == "leaving") {
      leavingSince = leavingSince.value_or(event->time);
    } else if (event->event == "dispatched" && leavingSince &&
               event->time > *leavingSince + kLeavingGrace) {
      this->AddFinding(Invariant::kLeavingIsIdle, *event, "dispatched after the leaving notice");
    } else if (event->event == "config" && event->fields.contains("next")) {
      if (FieldNumber(*event, "next") < nextOffset) {
        this->AddFinding(Invariant::kConfigForward, *event,
                         "next offset was already " + std::to_string(nextOffset));
      }
      nextOffset = std::max(nextOffset, FieldNumber(*event, "next"));
    }
  }
}

void HistoryChecker::AddFinding(Invariant aInvariant, const HistoryEvent& aEvent, std::string aText)
{
  this->findings.push_back({ aInvariant, aEvent.place, std::move(aText), aEvent.request });
}

std::string HistoryChecker::FormatHistory(std::string_view aRequest) const
{
  std::string text;
  const auto found = this->byRequest.find(aRequest);
  if (found != this->byRequest.end()) {
    for (const HistoryEvent* event : found->second) {
      text += "  " + event->place + " " + event->text + "\n";
    }
  }
  return text;
}

} // namespace caraway
