#include "core/entry_impl.h"

#include <algorithm>

namespace caraway {

namespace {

// Records for agents wait this long to share a message.
constexpr Duration kTailDelay = std::chrono::milliseconds(200);

} // namespace

void Entry::Impl::PeerUp(Now aNow, Peer aPeer, const Hello& aHello)
{
  const PeerState* known = this->peers.Find(aPeer.node);
  const bool fresh = known == nullptr || !(known->peer == aPeer);
  if (fresh && known != nullptr) {
    this->PeerDown(aNow, aPeer.node);
  }
  this->peers.Up(aPeer, aHello);
  if (aHello.configOffset > this->feed.Next()) {
    this->port.Send(aPeer.node, ConfigRequest{ this->feed.Next() });
  }
  if (aHello.role == Role::kAgent && aHello.configOffset < this->feed.Next()) {
    this->tailDue = std::min(this->tailDue, aNow.steady + (fresh ? Duration(0) : kTailDelay));
  }
  if (!fresh) {
    return;
  }
  Event event;
  event.time = aNow.steady;
  event.kind = EventKind::kPeerUp;
  event.peer = aPeer.node;
  event.subject = aHello.name;
  this->checker.Note(event);
  this->tailSent.erase(aPeer.node);
  for (const Suspicion& suspicion : this->suspects.All(aNow.steady)) {
    this->port.Send(aPeer.node, suspicion);
  }
  // Requests granted to this agent over an earlier link: take their answers up again.
  std::vector<RequestId> granted;
  for (const auto& [id, request] : this->pending) {
    if (request.agent && request.agent->node == aPeer.node) {
      granted.push_back(id);
    }
  }
  for (const RequestId& id : granted) {
    Pending& request = this->pending.at(id);
    if (!(request.agent == aPeer)) {
      this->AgentUnreachable(aNow, request, Reason::kEndpointLost);
      continue;
    }
    request.agentLinked = true;
    this->peers.Reserve(aPeer.node);
    this->SendQuery(aNow, request, true);
  }
}

void Entry::Impl::PeerDown(Now aNow, NodeId aNode)
{
  Event event;
  event.time = aNow.steady;
  event.kind = EventKind::kPeerDown;
  event.peer = aNode;
  this->checker.Note(event);
  this->peers.Down(aNode);
  this->tailSent.erase(aNode);
  std::vector<RequestId> touched;
  for (const auto& [id, request] : this->pending) {
    const auto& asked = request.asked;
    if (std::find(asked.begin(), asked.end(), aNode) != asked.end() ||
        (request.agent && request.agent->node == aNode)) {
      touched.push_back(id);
    }
  }
  for (const RequestId& id : touched) {
    const auto found = this->pending.find(id);
    if (found == this->pending.end()) {
      continue;
    }
    Pending& request = found->second;
    if (request.agent && request.agent->node == aNode) {
      this->AgentLost(aNow, request);
      continue;
    }
    for (Reservation& reservation : request.reservations) {
      reservation.open = reservation.open && reservation.agent.node != aNode;
    }
    std::erase(request.asked, aNode);
    if (request.phase == Phase::kWaiting && !HasOpenReservation(request)) {
      this->Place(aNow, request);
    } else if ((request.phase == Phase::kResuming || request.phase == Phase::kAsking) &&
               request.asked.empty()) {
      this->AgentUnreachable(aNow, request, Reason::kEndpointLost);
    }
  }
}

void Entry::Impl::Receive(Now aNow, Peer aFrom, const Message& aMessage)
{
  const bool hello = std::holds_alternative<Hello>(aMessage);
  if (!hello && !this->peers.IsCurrent(aFrom)) {
    return;
  }
  std::visit([&](const auto& aConcrete) { this->On(aNow, aFrom, aConcrete); }, aMessage);
}

void Entry::Impl::TakeLogRecords(Now aNow, const std::vector<LogRecord>& aRecords)
{
  const std::vector<Applied> results = this->feed.ApplyRecords(aRecords);
  for (const LogRecord& record : aRecords) {
    this->claims.OnRecord(aNow, record);
  }
  this->ConfigChanged(aNow, results);
  this->TakeClaimDecisions(aNow);
  this->FlushClaims(aNow);
}

void Entry::Impl::On(Now aNow, Peer aFrom, const ConfigRequest& aAsk)
{
  if (aAsk.from < this->feed.Next()) {
    this->tailSent[aFrom.node] = this->feed.Next();
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
  this->ConfigChanged(aNow, this->feed.ApplyTail(aTail));
}

void Entry::Impl::ConfigChanged(Now aNow, const std::vector<Applied>& aResults)
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
  this->checker.OnConfigNext(aNow, this->feed.Next());
  if (this->tailDue == kNever) {
    this->tailDue = aNow.steady + kTailDelay;
  }
  this->moves.OnConfig(aNow, this->feed.State());
  this->RunMoves(aNow);
  this->WriteSnapshot(aNow);
}

// Sends agents what they have not got, many records in one message.
void Entry::Impl::SendTails(Now /*aNow*/)
{
  this->tailDue = kNever;
  for (const auto& [node, state] : this->peers.All()) {
    if (state.hello.role != Role::kAgent) {
      continue;
    }
    LogOffset& sent = this->tailSent[node];
    sent = std::max(sent, state.hello.configOffset);
    if (sent < this->feed.Next()) {
      this->port.Send(node, this->feed.TailFrom(sent));
      sent = this->feed.Next();
    }
  }
}

// Asks a peer for what the log has cut before this entry read it.
void Entry::Impl::TakeLogOldest(Now aNow, LogOffset aOldest)
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

// Writes a snapshot into the log when many records followed the last one.
void Entry::Impl::WriteSnapshot(Now aNow)
{
  if (const auto record = this->snapshots.Poll(aNow, this->feed.State())) {
    this->port.Append(this->nextToken++, { *record });
  }
}

void Entry::Impl::Appended(Now aNow, std::uint64_t aToken, AppendResult aResult, LogOffset aFirst)
{
  if (this->claimTokens.erase(aToken) > 0) {
    this->claims.OnAppended(aNow, aToken, aResult, aFirst);
    this->TakeClaimDecisions(aNow);
    this->FlushClaims(aNow);
  }
}

// Carries out what the version moves decided.
void Entry::Impl::RunMoves(Now aNow)
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
    this->DropBraked(aNow);
  }
}

// Takes reservations back from agents whose version must get nothing new.
void Entry::Impl::DropBraked(Now aNow)
{
  std::vector<RequestId> stranded;
  for (auto& [id, request] : this->pending) {
    if (request.phase != Phase::kWaiting) {
      continue;
    }
    bool dropped = false;
    for (Reservation& reservation : request.reservations) {
      const PeerState* state = this->peers.Find(reservation.agent.node);
      if (!reservation.open || state == nullptr ||
          !this->moves.IsBraked(state->hello.pool, state->hello.version)) {
        continue;
      }
      reservation.open = false;
      dropped = true;
      this->peers.Release(reservation.agent.node);
      this->port.Send(reservation.agent.node, Withdraw{ id });
    }
    if (dropped && !HasOpenReservation(request)) {
      stranded.push_back(id);
    }
  }
  for (const RequestId& id : stranded) {
    const auto found = this->pending.find(id);
    if (found != this->pending.end()) {
      this->Place(aNow, found->second);
    }
  }
}

void Entry::Impl::On(Now aNow, Peer aFrom, const EvidenceReport& aReport)
{
  this->moves.OnEvidence(aNow, aFrom.node, aReport);
  this->RunMoves(aNow);
}

void Entry::Impl::On(Now aNow, Peer /*aFrom*/, const Brake& aBrake)
{
  this->moves.OnBrake(aNow, aBrake);
  this->RunMoves(aNow);
  this->DropBraked(aNow);
}

// Keeps the suspicion and passes it on once, so that no endpoint of the pool is hit unwarned.
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
