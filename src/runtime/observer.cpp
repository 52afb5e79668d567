#include "runtime/observer.h"

#include "core/uuid.h"
#include "runtime/log.h"

#include <array>
#include <cstdio>

namespace caraway {

namespace {

constexpr std::size_t kMaxPeerNames = 20000;

// Events of single requests are too frequent for the default log level, so they are logged as
// debug.
LogLevel LevelOf(EventKind aKind)
{
  switch (aKind) {
    case EventKind::kViolation:
      return LogLevel::kError;
    case EventKind::kSecurity:
    case EventKind::kSuspect:
      return LogLevel::kWarning;
    case EventKind::kPeerUp:
    case EventKind::kPeerDown:
    case EventKind::kConfig:
    case EventKind::kMove:
    case EventKind::kEndpoint:
    case EventKind::kLeaving:
      return LogLevel::kInfo;
    default:
      return LogLevel::kDebug;
  }
}

} // namespace

Observer::Observer(const Clock& aClock, Metrics& aMetrics, Timeline& aTimeline)
  : clock(aClock)
  , metrics(aMetrics)
  , timeline(aTimeline)
{
}

void Observer::Note(const Event& aEvent)
{
  this->timeline.Add(this->clock.Read().wall, aEvent);
  this->metrics.CountEvent(aEvent.kind);
  const LogLevel level = LevelOf(aEvent.kind);
  if (IsLogged(level)) {
    LogEvent(level, ToString(aEvent.kind), this->FieldsOf(aEvent));
  }
  if (aEvent.kind == EventKind::kViolation && aEvent.request != RequestId{}) {
    this->LogHistory(aEvent.request);
  }
}

void Observer::SetPeerName(NodeId aNode, const std::string& aName)
{
  if (this->peerNames.size() >= kMaxPeerNames) {
    this->peerNames.clear();
  }
  this->peerNames[aNode] = aName;
}

std::string Observer::PeerName(NodeId aNode) const
{
  const auto found = this->peerNames.find(aNode);
  if (found != this->peerNames.end()) {
    return found->second;
  }
  constexpr std::size_t kMaxDigits = 17;
  std::array<char, kMaxDigits> text{};
  std::snprintf(text.data(), text.size(), "%016llx", static_cast<unsigned long long>(aNode));
  return text.data();
}

std::vector<EventField> Observer::FieldsOf(const Event& aEvent) const
{
  std::vector<EventField> fields;
  if (aEvent.request != RequestId{}) {
    fields.push_back({ "request", FormatUuid(aEvent.request) });
  }
  if (aEvent.peer != NodeId{}) {
    fields.push_back({ "peer", this->PeerName(aEvent.peer) });
  }
  if (!aEvent.account.empty()) {
    fields.push_back({ "account", aEvent.account });
  }
  if (!aEvent.subject.empty()) {
    fields.push_back({ "subject", aEvent.subject });
  }
  fields.insert(fields.end(), aEvent.fields.begin(), aEvent.fields.end());
  return fields;
}

void Observer::LogHistory(const RequestId& aRequest) const
{
  TimelineQuery query;
  query.request = aRequest;
  for (const TimelineEntry& entry : this->timeline.Select(query)) {
    std::vector<EventField> fields = this->FieldsOf(entry.event);
    fields.insert(
      fields.begin(),
      { EventField{ "kind", std::string(ToString(entry.event.kind)) },
        EventField{ "seq", std::to_string(entry.sequence) },
        EventField{ "wall_ms", std::to_string(entry.wall.time_since_epoch().count()) } });
    LogEvent(LogLevel::kError, "history", fields);
  }
}

} // namespace caraway
