#include "core/agent.h"

#include "core/agent_impl.h"

#include <algorithm>
#include <cmath>

namespace caraway {

namespace {

constexpr Duration kHelloPause = seconds(1);
constexpr Duration kEvidencePause = seconds(1);
constexpr Duration kAskPause = seconds(1);
constexpr std::size_t kMaxSuspicions = 64; // told to a new peer
constexpr double kSpeedChange = 0.25;      // of the decode speed, worth a new Hello
constexpr double kSlotsChange = 0.25;      // of the free slots, worth a new Hello

bool IsNotable(double aOld, double aNew, double aShare)
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
  , stallRule(aOptions)
  , breaker(aOptions)
  , limiter(MakeLimiter(aOptions))
  , feed(aIdentity.name)
{
}

void Agent::Impl::OnPeerUp(Now aNow, Peer aPeer, const Hello& aHello)
{
  if (this->peers.contains(aPeer.node)) {
    this->OnPeerDown(aNow, aPeer.node);
  }
  this->tombstones.SetBirth(aNow.wall);
  this->peers[aPeer.node] = PeerState{ aPeer };
  this->Note(aNow, EventKind::kPeerUp, RequestId{}, aPeer.node, aHello.name);
  this->AskConfig(aNow, aPeer.node, aHello.configOffset);
  std::vector<Suspicion> known = this->suspects.All(aNow.steady);
  known.resize(std::min(known.size(), kMaxSuspicions));
  for (const Suspicion& suspicion : known) {
    this->port.Send(aPeer.node, suspicion);
  }
}

// The entry's reservations are void; its running work goes on until somebody asks for it or the
// time to keep it is over.
void Agent::Impl::OnPeerDown(Now aNow, NodeId aNode)
{
  if (this->peers.erase(aNode) == 0) {
    return;
  }
  this->Note(aNow, EventKind::kPeerDown, RequestId{}, aNode, "");
  this->answers.Disown(aNow.steady, aNode);
  this->nextExpiry = aNow.steady + this->options.keepAnswer;
  this->DropReservationsOf(aNode);
  this->OfferSlots(aNow);
}

void Agent::Impl::OnMessage(Now aNow, Peer aFrom, const Message& aMessage)
{
  const auto known = this->peers.find(aFrom.node);
  if (known == this->peers.end() || known->second.peer != aFrom) {
    this->Note(aNow, EventKind::kSecurity, RequestId{}, aFrom.node, "",
               { { "reason", "message of an unknown peer or an earlier life" } });
    return;
  }
  known->second.isSilent = false;
  std::visit([&](const auto& aBody) { this->On(aNow, aFrom, aBody); }, aMessage);
}

void Agent::Impl::On(Now aNow, Peer aFrom, const Hello& aHello)
{
  this->AskConfig(aNow, aFrom.node, aHello.configOffset);
}

void Agent::Impl::Misdirected(Now aNow, Peer aFrom)
{
  this->Note(aNow, EventKind::kSecurity, RequestId{}, aFrom.node, "",
             { { "reason", "message that only agents send" } });
}

void Agent::Impl::On(Now, Peer aFrom, const ConfigRequest& aAsk)
{
  const std::optional<ConfigTail> tail = this->feed.Answer(aAsk);
  if (tail.has_value()) {
    this->port.Send(aFrom.node, *tail);
  }
}

void Agent::Impl::On(Now aNow, Peer aFrom, const ConfigTail& aTail)
{
  const FeedChange change = this->feed.Apply(aTail);
  this->AskConfig(aNow, aFrom.node, aTail.next);
  for (const EndpointOrder& order : change.orders) {
    this->port.Order(order.fencing, order.body);
  }
  if (!change.isChanged) {
    return;
  }
  this->checker.OnConfigNext(aNow, this->feed.State().Next());
  this->Note(aNow, EventKind::kConfig, RequestId{}, aFrom.node, "",
             { { "next", std::to_string(this->feed.State().Next()) } });
  const bool isDrained = this->feed.IsDrained();
  if (isDrained != this->wasDrained) {
    this->wasDrained = isDrained;
    isDrained ? this->HandBack(aNow) : this->SendHello(aNow);
  }
  this->nextHello = std::min(this->nextHello, this->lastHelloAt + kHelloPause);
}

void Agent::Impl::On(Now aNow, Peer, const EvidenceReport& aReport)
{
  this->evidence.Add(aReport);
  if (this->evidence.IsChanged() && this->nextEvidence == kNever) {
    this->nextEvidence = aNow.steady + kEvidencePause;
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
    this->AskProbe(aNow);
  }
  if (this->nextExpiry <= aNow.steady) {
    for (const RequestId& id : this->answers.Abandoned(aNow.steady)) {
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
  this->HandBack(aNow);
}

bool Agent::Impl::Idle() const
{
  return this->running.Size() == 0 && this->offers.empty() && this->answers.Waiting() == 0;
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
  hello.configOffset = this->feed.State().Next();
  const std::uint32_t allowance = this->breaker.Allowance(this->limiter->Limit());
  const std::uint32_t taken = this->Held() + static_cast<std::uint32_t>(this->queue.Size());
  hello.freeSlots = hello.leaving || taken >= allowance ? 0 : allowance - taken;
  const Duration gap = this->pace.Gap();
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
  status["gap_us"] = this->pace.Gap().count();
  status["served_per_second"] = this->drain.ServedPerSecond(aNow.steady);
  status["answers"] = this->answers.Size();
  status["answer_bytes"] = this->answers.KeptBytes();
  status["tombstones"] = this->tombstones.Size();
  status["suspects"] = this->suspects.Size();
  status["peers"] = this->peers.size();
  status["violations"] = this->checker.Violations();
  status["config_next"] = this->feed.State().Next();
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

// Asks a peer that is ahead for the records that are missing here.
void Agent::Impl::AskConfig(Now aNow, NodeId aPeer, LogOffset aTheirs)
{
  const LogOffset next = this->feed.State().Next();
  const bool wasAskedHere = this->lastAskNext == next && aNow.steady < this->lastAsk + kAskPause;
  if (aTheirs <= next || wasAskedHere) {
    return;
  }
  this->lastAsk = aNow.steady;
  this->lastAskNext = next;
  this->port.Send(aPeer, ConfigRequest{ next });
}

// Gives all reservations back to their entries and says that no offers will come. Offers that are
// out hold until their timeout.
void Agent::Impl::HandBack(Now aNow)
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

// Sends the Hello again when its hints have changed enough, not more often than the pause.
void Agent::Impl::RefreshHello(Now aNow)
{
  const Hello hello = this->CurrentHello();
  const bool isTurned = (hello.freeSlots == 0) != (this->lastHello.freeSlots == 0);
  const bool isChanged =
    isTurned || hello.configOffset != this->lastHello.configOffset ||
    IsNotable(this->lastHello.freeSlots, hello.freeSlots, kSlotsChange) ||
    IsNotable(this->lastHello.tokensPerSecond, hello.tokensPerSecond, kSpeedChange);
  if (!isChanged || this->peers.empty()) {
    this->nextHello = kNever;
  } else if (aNow.steady >= this->lastHelloAt + kHelloPause) {
    this->SendHello(aNow);
  } else {
    this->nextHello = this->lastHelloAt + kHelloPause;
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

void Agent::Impl::Violate(Now aNow, const RequestId& aId, const std::string& aText)
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
