#include "tools/history.h"

#include <algorithm>
#include <cstdio>
#include <istream>

namespace caraway {

namespace {

// Value of a field, or an empty text.
std::string_view ValueOf(const HistoryEvent& aEvent, std::string_view aKey)
{
  const auto found = aEvent.fields.find(aKey);
  return found == aEvent.fields.end() ? std::string_view{} : std::string_view(found->second);
}

std::uint64_t NumberOf(const HistoryEvent& aEvent, std::string_view aKey)
{
  const std::string text(ValueOf(aEvent, aKey));
  return text.empty() ? 0 : std::strtoull(text.c_str(), nullptr, 10);
}

// Reads 2026-12-04T03:04:05.678.
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

// Takes a quoted value from aLine at aPlace, which stands behind the opening quote.
std::string TakeQuoted(std::string_view aLine, std::size_t& aPlace)
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

// The final answer that an entry gave; an agent's event of this kind names no tier.
bool IsFinal(const HistoryEvent& aEvent)
{
  return aEvent.event == "finished" && aEvent.fields.contains("tier");
}

bool IsWorkEnd(const HistoryEvent& aEvent)
{
  return aEvent.event == "finished" && !aEvent.fields.contains("tier");
}

Invariant InvariantOf(std::string_view aName)
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
      value = TakeQuoted(aLine, ++place);
    } else {
      const std::size_t end = std::min(aLine.find(' ', place), aLine.size());
      value = aLine.substr(place, end - place);
      place = end;
    }
    place = std::min(aLine.find_first_not_of(' ', place), aLine.size());
    event.fields.emplace(std::move(key), std::move(value));
  }
  event.time = ParseTime(std::string(ValueOf(event, "time")));
  event.process = ValueOf(event, "process");
  event.event = ValueOf(event, "event");
  event.request = ValueOf(event, "request");
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
  this->Sort();
  for (const auto& [request, group] : this->byRequest) {
    this->CheckRequest(request, group);
    this->CheckAnswer(request, group);
  }
  for (const auto& [process, group] : this->byProcess) {
    this->CheckProcess(group);
  }
  return this->findings;
}

// Merges the logs by time and groups them by request and by process.
void HistoryChecker::Sort()
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

// One dispatch over all processes, and none of what a caller was told not to have run.
void HistoryChecker::CheckRequest(const std::string& /*aRequest*/, const Group& aEvents)
{
  const HistoryEvent* dispatched = nullptr;
  bool unsent = false;
  for (const HistoryEvent* event : aEvents) {
    if (event->event == "dispatched" && dispatched != nullptr && !unsent) {
      this->Add(Invariant::kDispatchOnce, *event, "dispatched before at " + dispatched->place);
    }
    if (event->event == "dispatched") {
      dispatched = event;
      unsent = false;
    }
    unsent = unsent || (IsWorkEnd(*event) && ValueOf(*event, "outcome") == "not_run");
    if (event->event == "violation") {
      this->Add(InvariantOf(ValueOf(*event, "subject")), *event, "reported by the process");
    }
    if (ValueOf(*event, "outcome") == "cut" && ValueOf(*event, "reason") == "draining") {
      this->Add(Invariant::kNoCutOnLeaving, *event, "cut by a shutdown");
    }
  }
  for (const HistoryEvent* event : aEvents) {
    const bool toldNotRun = IsFinal(*event) && ValueOf(*event, "outcome") == "not_run";
    if (toldNotRun && dispatched != nullptr && !unsent) {
      this->Add(Invariant::kNotRunIsTrue, *event, "dispatched at " + dispatched->place);
    }
  }
}

// An answered caller got as many chunks as the agent made.
void HistoryChecker::CheckAnswer(const std::string& /*aRequest*/, const Group& aEvents)
{
  const auto end = std::find_if(aEvents.begin(), aEvents.end(), [](const HistoryEvent* aEvent) {
    return IsWorkEnd(*aEvent) && ValueOf(*aEvent, "outcome") == "answered";
  });
  if (end == aEvents.end()) {
    return;
  }
  for (const HistoryEvent* event : aEvents) {
    const bool answered = IsFinal(*event) && ValueOf(*event, "outcome") == "answered";
    if (answered && NumberOf(*event, "chunks") != NumberOf(**end, "chunks")) {
      this->Add(Invariant::kWholeAnswer, *event,
                "the agent made " + std::string(ValueOf(**end, "chunks")) + " chunks");
    }
  }
}

// In one life of a process: configuration goes forward, and no work begins long after it leaves.
void HistoryChecker::CheckProcess(const Group& aEvents)
{
  std::optional<LogTime> leaving;
  std::uint64_t next = 0;
  for (const HistoryEvent* event : aEvents) {
    if (event->event == "started") {
      leaving.reset();
      next = 0;
    } else if (event->event == "leaving") {
      leaving = leaving.value_or(event->time);
    } else if (event->event == "dispatched" && leaving && event->time > *leaving + kLeavingGrace) {
      this->Add(Invariant::kLeavingIsIdle, *event, "dispatched after the leaving notice");
    } else if (event->event == "config" && event->fields.contains("next")) {
      if (NumberOf(*event, "next") < next) {
        this->Add(Invariant::kConfigForward, *event, "was at " + std::to_string(next));
      }
      next = std::max(next, NumberOf(*event, "next"));
    }
  }
}

void HistoryChecker::Add(Invariant aInvariant, const HistoryEvent& aEvent, std::string aText)
{
  this->findings.push_back({ aInvariant, aEvent.place, std::move(aText), aEvent.request });
}

std::string HistoryChecker::HistoryOf(std::string_view aRequest) const
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
