// Dispatched work of an agent: grants, answers, and the health of the endpoint.
#include "core/agent_impl.h"

#include <algorithm>

namespace caraway {

namespace {

constexpr Duration kHealthPeriod = milliseconds(50);
constexpr Duration kCrashWindow = seconds(3); // broken work counts as running when a crash shows
constexpr int kSilentShare = 2; // offers stop at this part of the silence that is a stall
constexpr std::uint16_t kStatusOk = 200;

// The endpoint answered with an error that is the caller's own.
bool IsCallersError(std::uint16_t aStatus)
{
  return aStatus >= 400 && aStatus < 500 && aStatus != 408 && aStatus != 429;
}

} // namespace

void Agent::Impl::On(Now aNow, Peer aFrom, const Grant& aGrant)
{
  const OpenOffer* offer = this->FindOffer(aGrant.id);
  const bool isLive = offer != nullptr && offer->number == aGrant.offer &&
                      offer->reservation.entry == aFrom && offer->expires > aNow.steady;
  if (!isLive || !MayRun(this->tombstones.Find(aGrant.id))) {
    this->RefuseGrant(aNow, aFrom, aGrant);
    return;
  }
  const bool isUnclaimed =
    offer->reservation.request.kind == WorkKind::kOnce && aGrant.claim == kNoOffset;
  const OpenOffer taken = *this->TakeOffer(aGrant.id);
  if (isUnclaimed) {
    this->ReleaseOffer(taken);
    this->SayNotRun(aNow, aFrom.node, aGrant.id, Reason::kLogDown);
    this->OfferSlots(aNow);
    return;
  }
  this->Dispatch(aNow, taken, aGrant);
}

// Answers a grant without a live offer. A request that was dispatched keeps running; for any other
// one the grant comes too late, and it will not run here.
void Agent::Impl::RefuseGrant(Now aNow, Peer aFrom, const Grant& aGrant)
{
  const Tombstone tombstone = this->tombstones.Find(aGrant.id);
  const Answer* answer = this->answers.Find(aGrant.id);
  if (answer != nullptr && answer->owner == aFrom) {
    return; // the same grant again
  }
  this->Note(aNow, EventKind::kSecurity, aGrant.id, aFrom.node, "",
             { { "reason", "grant without a live offer" } });
  if (tombstone == Tombstone::kRan || tombstone == Tombstone::kForgotten) {
    this->SayUnknown(aFrom.node, aGrant.id, Reason::kKeyInUse);
    return;
  }
  const OpenOffer* offer = this->FindOffer(aGrant.id);
  if (offer != nullptr && offer->reservation.entry == aFrom) {
    this->ReleaseOffer(*this->TakeOffer(aGrant.id));
  }
  const Reservation* queued = this->queue.Find(aGrant.id);
  if (queued != nullptr && queued->entry == aFrom) {
    this->queue.Take(aGrant.id);
  }
  const Reason reason = this->IsLeaving() ? Reason::kDraining : Reason::kOverload;
  this->SayNotRun(aNow, aFrom.node, aGrant.id, reason);
  this->OfferSlots(aNow);
}

// Says that a request has not run. Grants of the past stay refused; the entry may reserve again.
void Agent::Impl::SayNotRun(Now aNow, NodeId aTo, const RequestId& aId, Reason aReason)
{
  if (!this->checker.OnNotRun(aNow, aId)) {
    return;
  }
  this->tombstones.Add(aNow, aId, Tombstone::kVoid);
  Finish finish;
  finish.id = aId;
  finish.outcome = Outcome::kNotRun;
  finish.reason = aReason;
  finish.retryAfter = this->drain.RetryAfter(aNow.steady, this->queue.Size(), this->random);
  this->port.Send(aTo, finish);
}

// Says that the request may have run, without an answer at hand.
void Agent::Impl::SayUnknown(NodeId aTo, const RequestId& aId, Reason aReason)
{
  Finish finish;
  finish.id = aId;
  finish.reason = aReason;
  this->port.Send(aTo, finish);
}

// Hands the request to the endpoint; the only place that does.
void Agent::Impl::Dispatch(Now aNow, const OpenOffer& aOffer, const Grant& aGrant)
{
  const Reserve& request = aOffer.reservation.request;
  if (!this->checker.OnDispatch(aNow, request.id, request.kind, aGrant.claim) ||
      !this->answers.Begin(request.id, request.account, aOffer.reservation.entry)) {
    this->SayUnknown(aOffer.reservation.entry.node, request.id, Reason::kKeyInUse);
    return;
  }
  this->tombstones.Add(aNow, request.id, Tombstone::kRan);
  Running row;
  row.id = request.id;
  row.account = request.account;
  row.route = request.route;
  row.tier = request.tier;
  row.kind = request.kind;
  row.promptTokens = request.promptTokens;
  row.prefillAhead = this->running.PendingPrompt();
  row.outputEstimate = request.outputTokens;
  row.fingerprint = request.fingerprint;
  row.isAlone = aOffer.isAlone;
  row.dispatched = aNow.steady;
  row.lastProgress = aNow.steady;
  this->running.Add(std::move(row));
  this->drain.OnServed(aNow.steady);
  this->nextHealth = std::min(this->nextHealth, aNow.steady + kHealthPeriod);
  this->Note(aNow, EventKind::kDispatched, request.id, aOffer.reservation.entry.node,
             request.account, { { "tier", std::to_string(request.tier) } });
  this->port.Dispatch(request.id, request.kind, request.route, aGrant.body);
}

void Agent::Impl::OnWorkChunk(Now aNow, const RequestId& aId, std::uint32_t aTokens,
                              const std::string& aData)
{
  const Running* row = this->running.Find(aId);
  if (row == nullptr) {
    return;
  }
  const bool isFirst = !row->hasStarted;
  const bool wasSilent = this->IsSilent(aNow);
  const std::uint32_t oldLimit = this->limiter->Limit();
  const Duration gap = this->running.OnProgress(aNow.steady, aId, aTokens);
  if (isFirst && row->kind == WorkKind::kCompletion) {
    this->pace.OnFirstToken(gap, row->prefillAhead + row->promptTokens);
    this->limiter->OnFirstToken(aNow.steady, gap, row->promptTokens, this->CurrentInFlight());
    this->Note(aNow, EventKind::kFirstToken, aId, NodeId{}, row->account);
  } else if (aTokens > 0) {
    this->pace.OnTokens(gap, aTokens);
    this->limiter->OnTokens(aNow.steady, gap, aTokens, this->CurrentInFlight());
  }
  const Chunk* chunk = this->answers.Append(aId, aTokens, aData);
  const Answer* answer = this->answers.Find(aId);
  if (chunk != nullptr && answer->owner.has_value()) {
    this->port.Send(answer->owner->node, *chunk);
  }
  this->answers.Trim();
  const std::optional<RequestId> oversized = this->answers.Oversized();
  if (oversized.has_value()) {
    this->Stop(aNow, *oversized, Reason::kOverload);
  }
  if (isFirst || wasSilent || this->limiter->Limit() > oldLimit) {
    this->OfferSlots(aNow);
  }
}

void Agent::Impl::OnWorkEnd(Now aNow, const RequestId& aId, const WorkResult& aResult)
{
  const std::optional<Running> row = this->running.Take(aId);
  if (!row.has_value()) {
    return;
  }
  const bool isWhole = aResult.end == WorkEnd::kComplete;
  const bool isCallers = aResult.end == WorkEnd::kError && IsCallersError(aResult.status);
  if ((isWhole || isCallers) && !aResult.body.empty()) {
    const Chunk* chunk = this->answers.Append(aId, 0, aResult.body);
    const Answer* answer = this->answers.Find(aId);
    if (chunk != nullptr && answer->owner.has_value()) {
      this->port.Send(answer->owner->node, *chunk);
    }
  }
  if (isWhole || isCallers) {
    this->breaker.OnSuccess();
    this->suspects.Clear(row->fingerprint);
    if (row->kind != WorkKind::kCompletion) {
      this->pace.OnAnswer(aNow.steady - row->dispatched);
    }
  }
  this->End(aNow, *row, this->FinishOf(aNow, *row, aResult));
  if (!isWhole && !isCallers) {
    if (aResult.end == WorkEnd::kBroken) {
      this->broken.push_back(BrokenWork{ row->fingerprint, aNow.steady });
    }
    this->OnWorkFailed(aNow, aResult.end);
  }
  this->OfferSlots(aNow);
}

// Outcome of work that the endpoint ended by itself.
Finish Agent::Impl::FinishOf(Now aNow, const Running& aRunning, const WorkResult& aResult)
{
  Finish finish;
  finish.status = aResult.status == 0 ? kStatusOk : aResult.status;
  finish.promptTokens = aResult.promptTokens;
  finish.outputTokens = std::max(aResult.outputTokens, aRunning.outputTokens);
  const bool isCallers = aResult.end == WorkEnd::kError && IsCallersError(aResult.status);
  if (aResult.end == WorkEnd::kComplete || isCallers) {
    finish.outcome = Outcome::kAnswered;
    return finish;
  }
  finish.reason = Reason::kEndpointFailed;
  finish.retryAfter = this->drain.RetryAfter(aNow.steady, this->queue.Size(), this->random);
  if (aResult.end == WorkEnd::kUnsent) {
    finish.outcome = Outcome::kNotRun;
  } else if (aRunning.hasStarted && aRunning.IsCuttable()) {
    finish.outcome = Outcome::kCut;
  }
  return finish;
}

// Work failed by the endpoint's fault: the breaker hears of it, and a broken connection makes the
// agent ask whether the endpoint lives.
void Agent::Impl::OnWorkFailed(Now aNow, WorkEnd aEnd)
{
  this->breaker.OnFailure(aNow.steady, false);
  if (aEnd != WorkEnd::kError && !this->isProbing) {
    this->AskProbe(aNow);
  }
}

// Closes the answer of work that is no longer in the table and passes its Finish on.
void Agent::Impl::End(Now aNow, const Running& aRunning, Finish aFinish)
{
  if (aRunning.isAlone) {
    const TimePoint start = std::min(this->aloneWaitStart, aRunning.dispatched);
    this->aloneAfter = aNow.steady + (aNow.steady - start);
    this->aloneWaitStart = kNever;
  }
  const Finish* finish = this->answers.End(aNow.steady, aRunning.id, aFinish);
  if (finish == nullptr) {
    this->Violate(aNow, aRunning.id, "work ended without an answer");
    return;
  }
  this->nextExpiry = std::min(this->nextExpiry, aNow.steady + this->options.keepAnswer);
  this->Note(aNow, EventKind::kFinished, aRunning.id, NodeId{}, aRunning.account,
             { { "outcome", std::string(ToString(finish->outcome)) },
               { "reason", std::string(ToString(finish->reason)) },
               { "chunks", std::to_string(finish->chunks) } });
  const Answer* answer = this->answers.Find(aRunning.id);
  if (answer->owner.has_value()) {
    this->port.Send(answer->owner->node, *finish);
  }
}

// Stops running work for the agent's or its entry's sake. Calls that must not be repeated go on.
void Agent::Impl::Stop(Now aNow, const RequestId& aId, Reason aReason)
{
  const Running* row = this->running.Find(aId);
  if (row == nullptr || !row->IsCuttable()) {
    return;
  }
  this->checker.OnCut(aNow, aId, aReason);
  const Running taken = *this->running.Take(aId);
  this->port.Abort(aId);
  this->Note(
    aNow, EventKind::kCancelled, aId, NodeId{}, taken.account,
    { { "reason", std::string(ToString(aReason)) }, { "tier", std::to_string(taken.tier) } });
  Finish finish;
  const bool isStalled = aReason == Reason::kStalled || aReason == Reason::kEndpointLost;
  const bool isVisible = taken.hasStarted || !isStalled;
  finish.outcome = isVisible ? Outcome::kCut : Outcome::kUnknown;
  finish.reason = aReason;
  finish.outputTokens = taken.outputTokens;
  finish.retryAfter = this->drain.RetryAfter(aNow.steady, this->queue.Size(), this->random);
  this->End(aNow, taken, finish);
  this->OfferSlots(aNow);
}

void Agent::Impl::On(Now aNow, Peer aFrom, const Cancel& aCancel)
{
  const Answer* answer = this->answers.Find(aCancel.id);
  if (answer != nullptr) {
    const bool isOwner = answer->owner == aFrom;
    if (isOwner && answer->finish.has_value()) {
      this->port.Send(aFrom.node, *answer->finish);
    } else if (isOwner) {
      this->Stop(aNow, aCancel.id, aCancel.reason);
    }
    return;
  }
  if (this->MayHaveRun(aCancel.id, false)) {
    this->SayUnknown(aFrom.node, aCancel.id, aCancel.reason);
    return;
  }
  this->On(aNow, aFrom, Withdraw{ aCancel.id });
  if (!this->IsReserved(aCancel.id)) {
    this->SayNotRun(aNow, aFrom.node, aCancel.id, aCancel.reason);
  }
}

void Agent::Impl::On(Now aNow, Peer aFrom, const Ack& aAck)
{
  const Answer* answer = this->answers.Find(aAck.id);
  if (answer == nullptr || answer->owner != aFrom) {
    return;
  }
  this->answers.Ack(aAck.id, aAck.nextChunk, aAck.finished);
  this->nextExpiry = std::min(this->nextExpiry, aNow.steady + this->options.keepAnswer);
}

void Agent::Impl::On(Now aNow, Peer aFrom, const Query& aQuery)
{
  Answer* answer = this->answers.Find(aQuery.id);
  const RunState state = this->StateOf(aQuery, answer);
  const bool isUnknown = answer == nullptr && !this->IsReserved(aQuery.id);
  if (aQuery.needsTombstone && state == RunState::kNeverRan) {
    this->DropReservation(aQuery.id);
    this->tombstones.Add(aNow, aQuery.id, Tombstone::kBuried);
  } else if (aQuery.needsTombstone && isUnknown) {
    this->tombstones.Add(aNow, aQuery.id, Tombstone::kRan);
  }
  this->port.Send(aFrom.node, QueryReply{ aQuery.id, state });
  const bool isReadable = state == RunState::kRunning || state == RunState::kFinished;
  if (isReadable && aQuery.takesOwnership) {
    this->answers.Own(*answer, aFrom);
    this->Replay(aFrom.node, *answer, aQuery.nextChunk);
  }
  this->OfferSlots(aNow);
}

// What became of a request, told only to its own account.
RunState Agent::Impl::StateOf(const Query& aQuery, const Answer* aAnswer) const
{
  if (aAnswer != nullptr) {
    const bool isReadable = aAnswer->account == aQuery.account &&
                            (!aQuery.takesOwnership || aQuery.nextChunk >= aAnswer->first);
    if (!isReadable) {
      return RunState::kForgotten;
    }
    return aAnswer->finish.has_value() ? RunState::kFinished : RunState::kRunning;
  }
  const Reservation* queued = this->queue.Find(aQuery.id);
  const OpenOffer* offer = this->FindOffer(aQuery.id);
  const Reservation* reserved = offer != nullptr ? &offer->reservation : queued;
  if (reserved != nullptr && reserved->request.account != aQuery.account) {
    return RunState::kForgotten;
  }
  return this->MayHaveRun(aQuery.id, aQuery.granted) ? RunState::kForgotten : RunState::kNeverRan;
}

// Whether the request may have been dispatched, in this life or an earlier one. aGranted: the asker
// itself granted it, to this life. One that waits here for its grant has not been granted before.
bool Agent::Impl::MayHaveRun(const RequestId& aId, bool aGranted) const
{
  const Tombstone tombstone = this->tombstones.Find(aId);
  if (tombstone == Tombstone::kRan || tombstone == Tombstone::kForgotten) {
    return true;
  }
  const bool isKnown = aGranted || tombstone == Tombstone::kBuried || this->IsReserved(aId);
  return !isKnown && this->tombstones.MayPrecedeBirth(aId);
}

// Sends the chunks from a number on, and the Finish if there is one.
void Agent::Impl::Replay(NodeId aTo, const Answer& aAnswer, std::uint32_t aFrom)
{
  for (std::uint32_t number = aFrom; number < aAnswer.Count(); number++) {
    this->port.Send(aTo, aAnswer.chunks[number - aAnswer.first]);
  }
  if (aAnswer.finish.has_value()) {
    this->port.Send(aTo, *aAnswer.finish);
  }
}

// Longest silence of the request before it counts as stalled.
Duration Agent::Impl::SilenceLimit(const Running& aRunning) const
{
  if (aRunning.kind != WorkKind::kCompletion) {
    return this->stallRule.BeforeAnswer(this->pace);
  }
  const std::uint32_t pending = this->running.PendingPrompt();
  return aRunning.hasStarted ? this->stallRule.BetweenTokens(this->pace, pending)
                             : this->stallRule.BeforeFirst(this->pace, pending);
}

// No stream has made progress for a good part of the silence that counts as a stall.
bool Agent::Impl::IsSilent(Now aNow) const
{
  const auto& rows = this->running.Rows();
  const Duration shortest = this->options.stallFloor / kSilentShare;
  if (rows.empty() || aNow.steady - this->running.LastProgress() <= shortest) {
    return false;
  }
  return std::all_of(rows.begin(), rows.end(), [&](const Running& aRow) {
    const Duration limit = this->SilenceLimit(aRow) / kSilentShare;
    return !aRow.isStalled && aNow.steady - aRow.lastProgress > limit;
  });
}

// Stops streams that have stalled. If no stream progresses, the endpoint itself has stopped.
void Agent::Impl::CheckProgress(Now aNow)
{
  this->nextHealth = this->running.Size() > 0 ? aNow.steady + kHealthPeriod : kNever;
  std::vector<RequestId> stalled;
  bool isAnyAlive = false;
  for (const Running& row : this->running.Rows()) {
    if (row.isStalled) {
      continue;
    }
    if (aNow.steady - row.lastProgress > this->SilenceLimit(row)) {
      stalled.push_back(row.id);
    } else {
      isAnyAlive = isAnyAlive || row.hasStarted;
    }
  }
  if (stalled.empty()) {
    return;
  }
  this->Note(aNow, EventKind::kEndpoint, RequestId{}, NodeId{}, "",
             { { "stalled", std::to_string(stalled.size()) },
               { "running", std::to_string(this->running.Size()) } });
  this->breaker.OnFailure(aNow.steady, !isAnyAlive);
  for (const RequestId& id : stalled) {
    this->running.MarkStalled(id);
    this->Stop(aNow, id, Reason::kStalled);
  }
}

void Agent::Impl::AskProbe(Now aNow)
{
  this->isProbing = true;
  this->probedAt = aNow.steady;
  this->port.Probe();
}

void Agent::Impl::OnProbe(Now aNow, bool aReachable)
{
  this->isProbing = false;
  std::erase_if(this->broken,
                [&](const BrokenWork& aWork) { return aWork.at + kCrashWindow < aNow.steady; });
  const auto& rows = this->running.Rows();
  const bool hasProgress = std::any_of(rows.begin(), rows.end(), [this](const Running& aRow) {
    return aRow.hasStarted && aRow.lastProgress > this->probedAt;
  });
  this->breaker.OnProbe(aNow.steady, aReachable);
  this->Note(aNow, EventKind::kEndpoint, RequestId{}, NodeId{}, "",
             { { "reachable", aReachable ? "true" : "false" } });
  if (!aReachable && !hasProgress) {
    this->OnEndpointDead(aNow);
  }
  this->OfferSlots(aNow);
}

// Gives everything that ran on the dead endpoint its final answer, and spreads the fingerprints.
void Agent::Impl::OnEndpointDead(Now aNow)
{
  std::vector<std::uint64_t> fingerprints;
  for (const BrokenWork& work : this->broken) {
    fingerprints.push_back(work.fingerprint);
  }
  this->broken.clear();
  while (this->running.Size() > 0) {
    const Running row = *this->running.Take(RequestId(this->running.Rows().front().id));
    fingerprints.push_back(row.fingerprint);
    if (row.IsCuttable()) {
      this->port.Abort(row.id);
    }
    Finish finish;
    finish.outcome = row.hasStarted && row.IsCuttable() ? Outcome::kCut : Outcome::kUnknown;
    finish.reason = Reason::kEndpointLost;
    finish.outputTokens = row.outputTokens;
    finish.retryAfter = this->drain.RetryAfter(aNow.steady, this->queue.Size(), this->random);
    this->End(aNow, row, finish);
  }
  std::sort(fingerprints.begin(), fingerprints.end());
  fingerprints.erase(std::unique(fingerprints.begin(), fingerprints.end()), fingerprints.end());
  for (const std::uint64_t fingerprint : fingerprints) {
    this->AddSuspect(aNow, fingerprint);
  }
  this->limiter->Reset();
}

void Agent::Impl::AddSuspect(Now aNow, std::uint64_t aFingerprint)
{
  if (aFingerprint == 0) {
    return;
  }
  const std::uint64_t crash =
    HashOf(std::to_string(aNow.steady.time_since_epoch().count()), HashOf(this->identity.name));
  this->suspects.OnCrash(aNow.steady, aFingerprint, crash);
  const Suspicion suspicion = this->suspects.Of(aNow.steady, aFingerprint);
  this->Note(aNow, EventKind::kSuspect, RequestId{}, NodeId{}, "",
             { { "fingerprint", std::to_string(aFingerprint) },
               { "crashes", std::to_string(suspicion.crashes.size()) } });
  this->Broadcast(suspicion);
}

} // namespace caraway
