#include "bench/audit.h"

#include "core/uuid.h"

namespace caraway::bench {

namespace {

constexpr Duration kWatchPeriod = milliseconds(250);

std::string Describe(const std::string& aNode, const Event& aEvent)
{
  std::string text = std::to_string(aEvent.time.time_since_epoch().count()) + "us " + aNode + " ";
  text += ToString(aEvent.kind);
  for (const EventField& field : aEvent.fields) {
    text += " " + field.key + "=" + field.value;
  }
  return text;
}

Invariant InvariantOf(std::string_view aName)
{
  for (std::size_t i = 0; i < kInvariantCount; ++i) {
    const auto invariant = static_cast<Invariant>(i);
    if (ToString(invariant) == aName) {
      return invariant;
    }
  }
  return Invariant::kTierOrder;
}

} // namespace

Audit::Audit(World& aWorld)
  : world(aWorld)
{
  this->world.TheSite().observers.push_back(this);
  this->Watch();
}

// Looks at the configuration of every process, again and again.
void Audit::Watch()
{
  for (std::size_t i = 0; i < this->world.EntryCount(); ++i) {
    this->CheckConfig(this->world.EntryAt(i));
  }
  for (std::size_t i = 0; i < this->world.AgentCount(); ++i) {
    this->CheckConfig(this->world.AgentAt(i));
  }
  this->world.TheSite().schedule.After(kWatchPeriod, [this] { this->Watch(); });
}

// Offsets only grow in one life of a process, and equal offsets mean equal states everywhere.
void Audit::CheckConfig(const Host& aHost)
{
  if (!aHost.Alive()) {
    return;
  }
  const ConfigState& config = aHost.Config();
  const Peer self = aHost.Self();
  auto& [life, offset] = this->offsets[self.node];
  if (life == self.incarnation && config.Next() < offset) {
    this->Add(Invariant::kConfigForward, aHost.Name() + " went back", RequestId{});
  }
  if (life == self.incarnation && config.Next() == offset) {
    return;
  }
  life = self.incarnation;
  offset = config.Next();
  const std::uint64_t hash = HashOf(config.Snapshot());
  const auto [seen, isNew] = this->states.try_emplace(offset, Seen{ hash, aHost.Name() });
  if (!isNew && seen->second.hash != hash) {
    this->Add(Invariant::kConfigForward,
              aHost.Name() + " and " + seen->second.node + " differ at offset " +
                std::to_string(offset),
              RequestId{});
  }
}

void Audit::OnSubmit(const Job& aJob, NodeId /*aEntry*/)
{
  this->received[aJob.submission.id];
}

void Audit::OnDispatch(const Job& aJob, NodeId aAgent)
{
  const auto found = this->leavingSince.find(aAgent);
  const TimePoint now = this->world.TheSite().schedule.Time();
  if (found != this->leavingSince.end() && now > found->second + kLeavingGrace) {
    this->Add(Invariant::kLeavingIsIdle, "dispatch at a leaving agent", aJob.submission.id);
  }
}

void Audit::OnPart(const Job& aJob, const std::string& aData)
{
  this->received[aJob.submission.id].answer += aData;
}

void Audit::OnFinal(const Job& aJob, const FinalAnswer& aAnswer)
{
  const RequestId& id = aJob.submission.id;
  Received& received = this->received[id];
  ++received.finals;
  received.outcome = aAnswer.outcome;
  if (received.finals > 1) {
    this->Add(Invariant::kWholeAnswer, "second final answer", id);
  }
  if (aAnswer.outcome == Outcome::kAnswered && !this->IsWhole(aJob, received.answer)) {
    this->Add(Invariant::kWholeAnswer, "the answer is not that of its request", id);
  }
  if (aAnswer.outcome == Outcome::kCut && aAnswer.reason == Reason::kDraining) {
    this->Add(Invariant::kNoCutOnLeaving, "a shutdown cut a request", id);
  }
}

// The answer is the one that only this request has.
bool Audit::IsWhole(const Job& aJob, const std::string& aAnswer) const
{
  const std::string& body = aJob.submission.body;
  if (aJob.submission.kind != WorkKind::kCompletion) {
    return aAnswer == ServiceAnswer(body);
  }
  const std::uint64_t hash = HashOf(body);
  std::string expected;
  for (std::uint32_t i = 0; i < aJob.outputTokens; ++i) {
    expected += TokenText(hash, i);
  }
  return aAnswer == expected;
}

void Audit::OnEvent(NodeId aNode, const Event& aEvent)
{
  std::string name = std::to_string(static_cast<std::uint64_t>(aNode));
  if (aEvent.kind == EventKind::kViolation) {
    this->Add(InvariantOf(aEvent.subject), "reported by the program: " + Describe(name, aEvent),
              aEvent.request);
  }
  if (!(aEvent.request == RequestId{})) {
    this->history[aEvent.request].push_back(Describe(name, aEvent));
  }
}

void Audit::OnStart(NodeId aNode)
{
  this->leavingSince.erase(aNode);
}

void Audit::OnLeaving(NodeId aNode)
{
  this->leavingSince[aNode] = this->world.TheSite().schedule.Time();
}

void Audit::OnLeft(NodeId aNode, std::size_t aOpen)
{
  this->leavingSince.erase(aNode);
  if (aOpen > 0) {
    this->Add(Invariant::kNoCutOnLeaving,
              "a leaving process ended with " + std::to_string(aOpen) + " open requests",
              RequestId{});
  }
}

void Audit::OnCallerLeft(const Job& aJob)
{
  this->received[aJob.submission.id].left = true;
}

void Audit::CheckInForce()
{
  const LogOffset next = this->world.TheSite().log.Next();
  const auto check = [this, next](const Host& aHost) {
    if (aHost.Alive() && aHost.Config().Next() < next) {
      this->Add(Invariant::kConfigForward,
                aHost.Name() + " is at " + std::to_string(aHost.Config().Next()) + " of " +
                  std::to_string(next),
                RequestId{});
    }
  };
  for (std::size_t i = 0; i < this->world.EntryCount(); ++i) {
    check(this->world.EntryAt(i));
  }
  for (std::size_t i = 0; i < this->world.AgentCount(); ++i) {
    check(this->world.AgentAt(i));
  }
}

void Audit::Finish()
{
  this->CheckArrivals();
  this->CheckExecutions();
  this->CheckCallers();
}

// Nothing arrives twice, and what was called "not run" has not arrived anywhere.
void Audit::CheckArrivals()
{
  std::unordered_map<RequestId, std::uint32_t> arrivals;
  for (std::size_t i = 0; i < this->world.AgentCount(); ++i) {
    for (const auto& [id, count] : this->world.AgentAt(i).TheEndpoint().Arrivals()) {
      arrivals[id] += count;
    }
  }
  for (const auto& [id, count] : arrivals) {
    if (count > 1) {
      this->Add(Invariant::kDispatchOnce, "arrived " + std::to_string(count) + " times", id);
    }
    const auto found = this->received.find(id);
    const bool toldNotRun = found != this->received.end() && found->second.finals > 0 &&
                            found->second.outcome == Outcome::kNotRun;
    if (toldNotRun) {
      this->Add(Invariant::kNotRunIsTrue, "told not_run, but it arrived", id);
    }
  }
}

void Audit::CheckExecutions()
{
  std::map<std::string, std::uint32_t> executions;
  for (std::size_t i = 0; i < this->world.AgentCount(); ++i) {
    const auto* service = dynamic_cast<const ServiceModel*>(&this->world.AgentAt(i).TheEndpoint());
    if (service == nullptr) {
      continue;
    }
    for (const auto& [key, count] : service->Executions()) {
      executions[key] += count;
    }
  }
  for (const auto& [key, count] : executions) {
    if (count > 1) {
      this->Add(Invariant::kOnceOnly, key + " ran " + std::to_string(count) + " times",
                RequestId{});
    }
  }
}

void Audit::CheckCallers()
{
  for (const RequestId& id : this->world.TheCallers().Open()) {
    this->Add(Invariant::kWholeAnswer, "the caller has no final answer", id);
  }
}

void Audit::Add(Invariant aInvariant, std::string aText, const RequestId& aId)
{
  this->findings.push_back({ aInvariant, std::move(aText), this->HistoryOf(aId) });
}

std::string Audit::HistoryOf(const RequestId& aId) const
{
  const auto found = this->history.find(aId);
  if (found == this->history.end()) {
    return "";
  }
  std::string text = FormatUuid(aId) + "\n";
  for (const std::string& line : found->second) {
    text += "  " + line + "\n";
  }
  return text;
}

} // namespace caraway::bench
