#include "core/agent.h"

#include "core/agent_impl.h"

#include <algorithm>
#include <cmath>

namespace caraway {

namespace {

constexpr Duration kMinHelloInterval = seconds(1);
constexpr Duration kEvidenceInterval = seconds(1);
constexpr Duration kMinConfigRequestInterval = seconds(1);
constexpr std::size_t kMaxSuspicionsSent = 64; // sent to a newly connected peer
// Relative change of the decode speed that triggers a new Hello.
constexpr double kDecodeSpeedChange = 0.25;
// Relative change of the free slots that triggers a new Hello.
constexpr double kFreeSlotsChange = 0.25;

bool IsSignificantChange(double aOld, double aNew, double aShare)
{
  return std::abs(aNew - aOld) > aShare * std::max(aOld, aNew);
}

} // namespace

Agent::Impl::Impl(const AgentOptions& aOptions, const AgentIdentity& aIdentity, Random& aRandom,
                  AgentPort& aPort)
  : options(aOptions)
  , identity(aIdentity)
  , random(aRandom)
  , port(aPort)
  , checker(aPort)
  , queue(aOptions.maxQueue)
  , answers(aOptions.maxKeptBytes, aOptions.keepAnswer)
  , tombstones(aOptions.maxTombstones, aOptions.tombstoneTime)
  , suspects(aOptions.maxSuspects, aOptions.suspectTime)
  , stallTimeouts(aOptions)
  , breaker(aOptions)
  , limiter(MakeLimiter(aOptions))
  , config(aIdentity.name)
{
}

void Agent::Impl::OnPeerUp(Now aNow, Peer aPeer, const Hello& aHello)
{
  if (this->peers.contains(aPeer.node)) {
    this->OnPeerDown(aNow, aPeer.node);
  }
  this->tombstones.SetProcessStart(aNow.wall);
  this->peers[aPeer.node] = PeerState{ aPeer };
  this->Note(aNow, EventKind::kPeerUp, RequestId{}, aPeer.node, aHello.name);
  this->RequestConfig(aNow, aPeer.node, aHello.configOffset);
  std::vector<Suspicion> known = this->suspects.All(aNow.steady);
  known.resize(std::min(known.size(), kMaxSuspicionsSent));
  for (const Suspicion& suspicion : known) {
    this->port.Send(aPeer.node, suspicion);
  }
}

// Drops the entry's reservations. Its running work continues until another entry takes it over or
// the retention period ends.
void Agent::Impl::OnPeerDown(Now aNow, NodeId aNode)
{
  if (this->peers.erase(aNode) == 0) {
    return;
  }
  this->Note(aNow, EventKind::kPeerDown, RequestId{}, aNode, "");
  this->answers.ClearOwner(aNow.steady, aNode);
  this->nextExpiry = aNow.steady + this->options.keepAnswer;
  this->DropReservationsOf(aNode);
  this->OfferSlots(aNow);
}

void Agent::Impl::OnMessage(Now aNow, Peer aFrom, const Message& aMessage)
{
  const auto known = this->peers.find(aFrom.node);
  if (known == this->peers.end() || known->second.peer != aFrom) {
    this->Note(aNow, EventKind::kSecurity, RequestId{}, aFrom.node, "",
               { { "reason", "message from an unknown peer or an earlier incarnation" } });
    return;
  }
  known->second.isUnresponsive = false;
  std::visit([&](const auto& aBody) { this->On(aNow, aFrom, aBody); }, aMessage);
}

void Agent::Impl::On(Now aNow, Peer aFrom, const Hello& aHello)
{
  this->RequestConfig(aNow, aFrom.node, aHello.configOffset);
}

void Agent::Impl::OnMisdirectedMessage(Now aNow, Peer aFrom)
{
  this->Note(aNow, EventKind::kSecurity, RequestId{}, aFrom.node, "",
             { { "reason", "message type is only valid from an agent" } });
}

void Agent::Impl::On(Now, Peer aFrom, const ConfigRequest& aAsk)
{
  const std::optional<ConfigTail> tail = this->config.TailFor(aAsk);
  if (tail.has_value()) {
    this->port.Send(aFrom.node, *tail);
  }
}

void Agent::Impl::On(Now aNow, Peer aFrom, const ConfigTail& aTail)
{
  const ConfigChange change = this->config.Apply(aTail);
  this->RequestConfig(aNow, aFrom.node, aTail.next);
  for (const EndpointOrder& order : change.orders) {
    this->port.Order(order.fencing, order.body);
  }
  if (!change.isChanged) {
    return;
  }
  this->checker.OnConfigOffset(aNow, this->config.State().Next());
  this->Note(aNow, EventKind::kConfig, RequestId{}, aFrom.node, "",
             { { "next", std::to_string(this->config.State().Next()) } });
  const bool isDrained = this->config.IsDrained();
  if (isDrained != this->wasDrained) {
    this->wasDrained = isDrained;
    isDrained ? this->ReturnReservations(aNow) : this->SendHello(aNow);
  }
  this->nextHello = std::min(this->nextHello, this->lastHelloAt + kMinHelloInterval);
}

void Agent::Impl::On(Now aNow, Peer, const EvidenceReport& aReport)
{
  this->evidence.Add(aReport);
  if (this->evidence.IsChanged() && this->nextEvidence == kNever) {
    this->nextEvidence = aNow.steady + kEvidenceInterval;
  }
}

void Agent::Impl::On(Now aNow, Peer aFrom, const Brake& aBrake)
{
  this->Note(aNow, EventKind::kMove, RequestId{}, aFrom.node, "",
             { { "move", aBrake.move }, { "brake", aBrake.version } });
  this->Broadcast(aBrake, aFrom.node);
}

void Agent::Impl::On(Now aNow, Peer aFrom, const Suspicion& aSuspicion)
{
  if (this->suspects.OnSuspicion(aNow.steady, aSuspicion)) {
    this->Broadcast(aSuspicion, aFrom.node);
  }
}

void Agent::Impl::OnOrderDone(Now aNow, LogOffset aFencing, bool aAccepted)
{
  this->Note(
    aNow, EventKind::kEndpoint, RequestId{}, NodeId{}, "",
    { { "order", std::to_string(aFencing) }, { "accepted", aAccepted ? "true" : "false" } });
}

void Agent::Impl::OnTimer(Now aNow)
{
  this->ExpireOffers(aNow);
  if (this->nextHealth <= aNow.steady) {
    this->CheckProgress(aNow);
  }
  if (this->breaker.TakeProbe(aNow.steady)) {
    this->StartProbe(aNow);
  }
  if (this->nextExpiry <= aNow.steady) {
    for (const RequestId& id : this->answers.FindAbandoned(aNow.steady)) {
      this->Stop(aNow, id, Reason::kCallerGone);
    }
    this->tombstones.Expire(aNow);
    this->nextExpiry = this->answers.Expire(aNow.steady);
  }
  this->SweepQueue(aNow);
  this->OfferSlots(aNow);
  if (this->nextEvidence <= aNow.steady) {
    this->SendEvidence(aNow);
  }
  this->RefreshHello(aNow);
}

TimePoint Agent::Impl::NextTimer() const
{
  TimePoint next = std::min({ this->nextHealth, this->nextExpiry, this->nextSweep, this->nextHello,
                              this->nextEvidence, this->breaker.ProbeAt() });
  for (const OpenOffer& offer : this->offers) {
    next = std::min(next, offer.expires);
  }
  return next;
}

void Agent::Impl::BeginLeaving(Now aNow)
{
  if (this->isLeaving) {
    return;
  }
  this->isLeaving = true;
  this->checker.OnLeaving(aNow);
  this->ReturnReservations(aNow);
}

bool Agent::Impl::Idle() const
{
  return this->running.Size() == 0 && this->offers.empty() && this->answers.CountUnconfirmed() == 0;
}

Hello Agent::Impl::CurrentHello() const
{
  Hello hello;
  hello.role = Role::kAgent;
  hello.name = this->identity.name;
  hello.region = this->identity.region;
  hello.failureDomain = this->identity.failureDomain;
  hello.pool = this->identity.pool;
  hello.version = this->identity.version;
  hello.leaving = this->IsLeaving();
  hello.configOffset = this->config.State().Next();
  const std::uint32_t allowance = this->breaker.Allowance(this->limiter->Limit());
  const std::uint32_t taken = this->HeldSlots() + static_cast<std::uint32_t>(this->queue.Size());
  hello.freeSlots = hello.leaving || taken >= allowance ? 0 : allowance - taken;
  const Duration gap = this->latency.InterTokenLatency();
  hello.tokensPerSecond =
    gap == Duration::zero() ? 0 : 1 / std::chrono::duration<double>(gap).count();
  return hello;
}

std::string Agent::Impl::StatusJson(Now aNow) const
{
  nlohmann::json status;
  status["name"] = this->identity.name;
  status["pool"] = this->identity.pool;
  status["version"] = this->identity.version;
  status["leaving"] = this->IsLeaving();
  status["queued"] = this->queue.Size();
  status["offered"] = this->offers.size();
  status["running"] = this->running.Size();
  status["tokens_in_flight"] = this->HeldTokens();
  status["limit"] = this->limiter->Limit();
  status["allowance"] = this->Allowance(aNow);
  status["breaker"] = ToString(this->breaker.State());
  status["gap_us"] = this->latency.InterTokenLatency().count();
  status["served_per_second"] = this->drainRate.ServedPerSecond(aNow.steady);
  status["answers"] = this->answers.Size();
  status["answer_bytes"] = this->answers.KeptBytes();
  status["tombstones"] = this->tombstones.Size();
  status["suspects"] = this->suspects.Size();
  status["peers"] = this->peers.size();
  status["violations"] = this->checker.Violations();
  status["config_next"] = this->config.State().Next();
  return status.dump();
}

void Agent::Impl::Broadcast(const Message& aMessage, NodeId aExcept)
{
  for (const auto& [node, state] : this->peers) {
    if (node != aExcept) {
      this->port.Send(node, aMessage);
    }
  }
}

// Requests the missing records from a peer whose configuration is newer.
void Agent::Impl::RequestConfig(Now aNow, NodeId aPeer, LogOffset aTheirs)
{
  const LogOffset next = this->config.State().Next();
  const bool wasRecentlyRequested =
    this->lastConfigRequestNext == next &&
    aNow.steady < this->lastConfigRequestAt + kMinConfigRequestInterval;
  if (aTheirs <= next || wasRecentlyRequested) {
    return;
  }
  this->lastConfigRequestAt = aNow.steady;
  this->lastConfigRequestNext = next;
  this->port.Send(aPeer, ConfigRequest{ next });
}

// Refuses all queued reservations and announces that no further offers follow. Open offers stay
// valid until their timeout.
void Agent::Impl::ReturnReservations(Now aNow)
{
  this->Note(aNow, EventKind::kLeaving, RequestId{}, NodeId{}, "");
  this->SendHello(aNow);
  std::vector<RequestId> ids;
  this->queue.ForEach([&ids](const Reservation& aRow) { ids.push_back(aRow.request.id); });
  for (const RequestId& id : ids) {
    this->SendRefuse(aNow, *this->queue.Take(id), Reason::kDraining);
  }
}

void Agent::Impl::SendHello(Now aNow)
{
  this->lastHello = this->CurrentHello();
  this->lastHelloAt = aNow.steady;
  this->nextHello = kNever;
  this->Broadcast(this->lastHello);
}

// Sends a new Hello when its load hints have changed significantly, at most once per interval.
void Agent::Impl::RefreshHello(Now aNow)
{
  const Hello hello = this->CurrentHello();
  const bool hasAvailabilityChanged = (hello.freeSlots == 0) != (this->lastHello.freeSlots == 0);
  const bool isChanged =
    hasAvailabilityChanged || hello.configOffset != this->lastHello.configOffset ||
    IsSignificantChange(this->lastHello.freeSlots, hello.freeSlots, kFreeSlotsChange) ||
    IsSignificantChange(this->lastHello.tokensPerSecond, hello.tokensPerSecond, kDecodeSpeedChange);
  if (!isChanged || this->peers.empty()) {
    this->nextHello = kNever;
  } else if (aNow.steady >= this->lastHelloAt + kMinHelloInterval) {
    this->SendHello(aNow);
  } else {
    this->nextHello = this->lastHelloAt + kMinHelloInterval;
  }
}

void Agent::Impl::SendEvidence(Now)
{
  this->nextEvidence = kNever;
  this->Broadcast(this->evidence.Take());
}

void Agent::Impl::Note(Now aNow, EventKind aKind, const RequestId& aId, NodeId aPeer,
                       const std::string& aAccount, std::vector<EventField> aFields)
{
  Event event;
  event.time = aNow.steady;
  event.kind = aKind;
  event.request = aId;
  event.peer = aPeer;
  event.account = aAccount;
  event.subject = this->identity.name;
  event.fields = std::move(aFields);
  this->checker.Note(event);
}

void Agent::Impl::ReportViolation(Now aNow, const RequestId& aId, const std::string& aText)
{
  this->Note(aNow, EventKind::kViolation, aId, NodeId{}, "", { { "detail", aText } });
}

Agent::Agent(const AgentOptions& aOptions, const AgentIdentity& aIdentity, Random& aRandom,
             AgentPort& aPort)
  : impl(std::make_unique<Impl>(aOptions, aIdentity, aRandom, aPort))
{
}

Agent::~Agent() = default;

void Agent::OnPeerUp(Now aNow, Peer aPeer, const Hello& aHello)
{
  this->impl->OnPeerUp(aNow, aPeer, aHello);
}

void Agent::OnPeerDown(Now aNow, NodeId aNode)
{
  this->impl->OnPeerDown(aNow, aNode);
}

void Agent::OnMessage(Now aNow, Peer aFrom, const Message& aMessage)
{
  this->impl->OnMessage(aNow, aFrom, aMessage);
}

void Agent::OnWorkChunk(Now aNow, const RequestId& aId, std::uint32_t aTokens,
                        const std::string& aData)
{
  this->impl->OnWorkChunk(aNow, aId, aTokens, aData);
}

void Agent::OnWorkEnd(Now aNow, const RequestId& aId, const WorkResult& aResult)
{
  this->impl->OnWorkEnd(aNow, aId, aResult);
}

void Agent::OnProbe(Now aNow, bool aReachable)
{
  this->impl->OnProbe(aNow, aReachable);
}

void Agent::OnOrderDone(Now aNow, LogOffset aFencing, bool aAccepted)
{
  this->impl->OnOrderDone(aNow, aFencing, aAccepted);
}

void Agent::OnTimer(Now aNow)
{
  this->impl->OnTimer(aNow);
}

TimePoint Agent::NextTimer() const
{
  return this->impl->NextTimer();
}

void Agent::BeginLeaving(Now aNow)
{
  this->impl->BeginLeaving(aNow);
}

bool Agent::Idle() const
{
  return this->impl->Idle();
}

Hello Agent::CurrentHello() const
{
  return this->impl->CurrentHello();
}

const ConfigState& Agent::Config() const
{
  return this->impl->Config();
}

std::string Agent::StatusJson(Now aNow) const
{
  return this->impl->StatusJson(aNow);
}

} // namespace caraway
