#include "core/entry_impl.h"

#include <algorithm>

namespace caraway {

namespace {

// Delay for batching configuration records to agents into one message.
constexpr Duration kTailDelay = std::chrono::milliseconds(200);

} // namespace

void Entry::Impl::OnPeerUp(Now aNow, Peer aPeer, const Hello& aHello)
{
  const PeerState* previous = this->peers.Find(aPeer.node);
  const bool isNewLink = previous == nullptr || !(previous->peer == aPeer);
  if (isNewLink && previous != nullptr) {
    this->OnPeerDown(aNow, aPeer.node);
  }
  this->peers.AddOrUpdate(aPeer, aHello);
  if (aHello.configOffset > this->feed.Next()) {
    this->port.Send(aPeer.node, ConfigRequest{ this->feed.Next() });
  }
  if (aHello.role == Role::kAgent && aHello.configOffset < this->feed.Next()) {
    this->tailDueAt =
      std::min(this->tailDueAt, aNow.steady + (isNewLink ? Duration(0) : kTailDelay));
  }
  if (!isNewLink) {
    return;
  }
  Event event;
  event.time = aNow.steady;
  event.kind = EventKind::kPeerUp;
  event.peer = aPeer.node;
  event.subject = aHello.name;
  this->checker.Note(event);
  this->tailSentUntil.erase(aPeer.node);
  for (const Suspicion& suspicion : this->suspects.All(aNow.steady)) {
    this->port.Send(aPeer.node, suspicion);
  }
  // Resume the answers of requests that were granted to this agent over an earlier link.
  std::vector<RequestId> granted;
  for (const auto& [id, request] : this->pending) {
    if (request.agent && request.agent->node == aPeer.node) {
      granted.push_back(id);
    }
  }
  for (const RequestId& id : granted) {
    Pending& request = this->pending.at(id);
    if (!(request.agent == aPeer)) {
      this->FinalizeUnresolved(aNow, request, Reason::kEndpointLost);
      continue;
    }
    request.isAgentLinked = true;
    this->peers.Reserve(aPeer.node);
    this->SendQuery(aNow, request, true);
  }
}

void Entry::Impl::OnPeerDown(Now aNow, NodeId aNode)
{
  Event event;
  event.time = aNow.steady;
  event.kind = EventKind::kPeerDown;
  event.peer = aNode;
  this->checker.Note(event);
  this->peers.Remove(aNode);
  this->tailSentUntil.erase(aNode);
  std::vector<RequestId> affected;
  for (const auto& [id, request] : this->pending) {
    const auto& contactedAgents = request.contactedAgents;
    if (std::find(contactedAgents.begin(), contactedAgents.end(), aNode) != contactedAgents.end() ||
        (request.agent && request.agent->node == aNode)) {
      affected.push_back(id);
    }
  }
  for (const RequestId& id : affected) {
    const auto found = this->pending.find(id);
    if (found == this->pending.end()) {
      continue;
    }
    Pending& request = found->second;
    if (request.agent && request.agent->node == aNode) {
      this->OnAgentLinkLost(aNow, request);
      continue;
    }
    for (Reservation& reservation : request.reservations) {
      reservation.isOpen = reservation.isOpen && reservation.agent.node != aNode;
    }
    std::erase(request.contactedAgents, aNode);
    if (request.phase == Phase::kWaiting && !HasOpenReservation(request)) {
      this->Place(aNow, request);
    } else if ((request.phase == Phase::kResuming || request.phase == Phase::kQueryingHolder) &&
               request.contactedAgents.empty()) {
      this->FinalizeUnresolved(aNow, request, Reason::kEndpointLost);
    }
  }
}

void Entry::Impl::OnMessage(Now aNow, Peer aFrom, const Message& aMessage)
{
  const bool hello = std::holds_alternative<Hello>(aMessage);
  if (!hello && !this->peers.IsCurrent(aFrom)) {
    return;
  }
  std::visit([&](const auto& aConcrete) { this->On(aNow, aFrom, aConcrete); }, aMessage);
}

void Entry::Impl::OnLogRecords(Now aNow, const std::vector<LogRecord>& aRecords)
{
  const std::vector<Applied> results = this->feed.ApplyRecords(aRecords);
  for (const LogRecord& record : aRecords) {
    this->claims.OnRecord(aNow, record);
  }
  this->OnConfigChanged(aNow, results);
  this->ProcessClaimDecisions(aNow);
  this->FlushClaims(aNow);
}

void Entry::Impl::On(Now aNow, Peer aFrom, const ConfigRequest& aAsk)
{
  if (aAsk.from < this->feed.Next()) {
    this->tailSentUntil[aFrom.node] = this->feed.Next();
    this->port.Send(aFrom.node, this->feed.TailFrom(aAsk.from));
  }
  (void)aNow;
}

void Entry::Impl::On(Now aNow, Peer aFrom, const ConfigTail& aTail)
{
  if (this->feed.HasGapBefore(aTail)) {
    this->port.Send(aFrom.node, ConfigRequest{ this->feed.Next() });
    return;
  }
  this->OnConfigChanged(aNow, this->feed.ApplyTail(aTail));
}

void Entry::Impl::OnConfigChanged(Now aNow, const std::vector<Applied>& aResults)
{
  for (const Applied& applied : aResults) {
    Event event;
    event.time = aNow.steady;
    event.kind = EventKind::kConfig;
    event.subject = applied.name;
    event.fields = { Field("offset", std::to_string(applied.offset)),
                     Field("record", std::string(ToString(applied.kind))),
                     Field("result", std::string(ToString(applied.result))),
                     Field("change", applied.changeId) };
    this->checker.Note(event);
  }
  this->checker.OnConfigOffset(aNow, this->feed.Next());
  if (this->tailDueAt == kNever) {
    this->tailDueAt = aNow.steady + kTailDelay;
  }
  this->moves.OnConfig(aNow, this->feed.State());
  this->ApplyMoveActions(aNow);
  this->WriteSnapshot(aNow);
}

// Sends each agent the configuration records that it lacks, batched into one message.
void Entry::Impl::SendTails(Now /*aNow*/)
{
  this->tailDueAt = kNever;
  for (const auto& [node, state] : this->peers.All()) {
    if (state.hello.role != Role::kAgent) {
      continue;
    }
    LogOffset& sent = this->tailSentUntil[node];
    sent = std::max(sent, state.hello.configOffset);
    if (sent < this->feed.Next()) {
      this->port.Send(node, this->feed.TailFrom(sent));
      sent = this->feed.Next();
    }
  }
}

// Requests the records from a peer that were trimmed from the log before this entry read them.
void Entry::Impl::OnLogOldest(Now aNow, LogOffset aOldest)
{
  this->claims.OnOldest(aNow, aOldest);
  if (aOldest <= this->feed.Next()) {
    return;
  }
  for (const auto& [node, state] : this->peers.All()) {
    if (state.hello.configOffset > this->feed.Next()) {
      this->port.Send(node, ConfigRequest{ this->feed.Next() });
      return;
    }
  }
}

// Appends a snapshot to the log when enough records have followed the last one.
void Entry::Impl::WriteSnapshot(Now aNow)
{
  if (const auto record = this->snapshots.Poll(aNow, this->feed.State())) {
    this->port.Append(this->nextToken++, { *record });
  }
}

void Entry::Impl::OnAppended(Now aNow, std::uint64_t aToken, AppendResult aResult, LogOffset aFirst)
{
  if (this->claimTokens.erase(aToken) > 0) {
    this->claims.OnAppended(aNow, aToken, aResult, aFirst);
    this->ProcessClaimDecisions(aNow);
    this->FlushClaims(aNow);
  }
}

// Carries out the pending actions of the version moves.
void Entry::Impl::ApplyMoveActions(Now aNow)
{
  const MoveActions actions = this->moves.TakeActions();
  for (const Brake& brake : actions.brakes) {
    for (const auto& [node, state] : this->peers.All()) {
      this->port.Send(node, brake);
    }
  }
  if (!actions.evidence.empty()) {
    for (const auto& [node, state] : this->peers.All()) {
      EvidenceReport report;
      for (const Evidence& evidence : actions.evidence) {
        if (state.hello.pool == evidence.pool && state.hello.version == evidence.version) {
          report.counts.push_back(evidence);
        }
      }
      if (!report.counts.empty()) {
        this->port.Send(node, report);
      }
    }
  }
  if (!actions.records.empty()) {
    this->port.Append(this->nextToken++, actions.records);
  }
  if (!actions.brakes.empty()) {
    this->WithdrawFromBraked(aNow);
  }
}

// Withdraws the reservations at agents whose version is braked, and places the requests again that
// have no other open reservation.
void Entry::Impl::WithdrawFromBraked(Now aNow)
{
  std::vector<RequestId> unplaced;
  for (auto& [id, request] : this->pending) {
    if (request.phase != Phase::kWaiting) {
      continue;
    }
    bool hasWithdrawn = false;
    for (Reservation& reservation : request.reservations) {
      const PeerState* state = this->peers.Find(reservation.agent.node);
      if (!reservation.isOpen || state == nullptr ||
          !this->moves.IsBraked(state->hello.pool, state->hello.version)) {
        continue;
      }
      reservation.isOpen = false;
      hasWithdrawn = true;
      this->peers.Release(reservation.agent.node);
      this->port.Send(reservation.agent.node, Withdraw{ id });
    }
    if (hasWithdrawn && !HasOpenReservation(request)) {
      unplaced.push_back(id);
    }
  }
  for (const RequestId& id : unplaced) {
    const auto found = this->pending.find(id);
    if (found != this->pending.end()) {
      this->Place(aNow, found->second);
    }
  }
}

void Entry::Impl::On(Now aNow, Peer aFrom, const EvidenceReport& aReport)
{
  this->moves.OnEvidence(aNow, aFrom.node, aReport);
  this->ApplyMoveActions(aNow);
}

void Entry::Impl::On(Now aNow, Peer /*aFrom*/, const Brake& aBrake)
{
  this->moves.OnBrake(aNow, aBrake);
  this->ApplyMoveActions(aNow);
  this->WithdrawFromBraked(aNow);
}

// Stores the suspicion and forwards it to the other peers if it is new, so that every agent of the
// pool is warned.
void Entry::Impl::On(Now aNow, Peer aFrom, const Suspicion& aSuspicion)
{
  if (!this->suspects.OnSuspicion(aNow.steady, aSuspicion)) {
    return;
  }
  for (const auto& [node, state] : this->peers.All()) {
    if (node != aFrom.node) {
      this->port.Send(node, aSuspicion);
    }
  }
}

} // namespace caraway
