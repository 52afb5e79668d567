// Dispatched work of an agent: grants, answers and endpoint health.
#include "core/agent_impl.h"

#include <algorithm>

namespace caraway {

namespace {

constexpr Duration kHealthCheckInterval = milliseconds(50);
// A request whose connection broke this recently counts as running at the time of a crash.
constexpr Duration kCrashWindow = seconds(3);
// No offers are made after this fraction of the stall timeout without progress.
constexpr int kSilenceDivisor = 2;
constexpr std::uint16_t kStatusOk = 200;

// Whether the status reports a fault of the caller, not of the endpoint.
bool IsCallerError(std::uint16_t aStatus)
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
    this->SendNotRun(aNow, aFrom.node, aGrant.id, Reason::kLogDown);
    this->OfferSlots(aNow);
    return;
  }
  this->Dispatch(aNow, taken, aGrant);
}

// Answers a grant without a valid offer. A request that was already dispatched keeps running; any
// other one is reported as not run.
void Agent::Impl::RefuseGrant(Now aNow, Peer aFrom, const Grant& aGrant)
{
  const Tombstone tombstone = this->tombstones.Find(aGrant.id);
  const Answer* answer = this->answers.Find(aGrant.id);
  if (answer != nullptr && answer->owner == aFrom) {
    return; // duplicate of the grant that was dispatched
  }
  this->Note(aNow, EventKind::kSecurity, aGrant.id, aFrom.node, "",
             { { "reason", "grant without a valid offer" } });
  if (tombstone == Tombstone::kDispatched || tombstone == Tombstone::kForgotten) {
    this->SendUnknown(aFrom.node, aGrant.id, Reason::kKeyInUse);
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
  this->SendNotRun(aNow, aFrom.node, aGrant.id, reason);
  this->OfferSlots(aNow);
}

// Reports that a request has not run. Earlier grants for it become void; the entry may reserve
// again.
void Agent::Impl::SendNotRun(Now aNow, NodeId aTo, const RequestId& aId, Reason aReason)
{
  if (!this->checker.OnNotRun(aNow, aId)) {
    return;
  }
  this->tombstones.Add(aNow, aId, Tombstone::kRevoked);
  Finish finish;
  finish.id = aId;
  finish.outcome = Outcome::kNotRun;
  finish.reason = aReason;
  finish.retryAfter = this->drainRate.RetryAfter(aNow.steady, this->queue.Size(), this->random);
  this->port.Send(aTo, finish);
}

// Reports that the request may have run and that its answer is not available.
void Agent::Impl::SendUnknown(NodeId aTo, const RequestId& aId, Reason aReason)
{
  Finish finish;
  finish.id = aId;
  finish.reason = aReason;
  this->port.Send(aTo, finish);
}

// Sends the request to the endpoint. This is the only caller of AgentPort::Dispatch.
void Agent::Impl::Dispatch(Now aNow, const OpenOffer& aOffer, const Grant& aGrant)
{
  const Reserve& request = aOffer.reservation.request;
  if (!this->checker.OnDispatch(aNow, request.id, request.kind, aGrant.claim) ||
      !this->answers.Begin(request.id, request.account, aOffer.reservation.entry)) {
    this->SendUnknown(aOffer.reservation.entry.node, request.id, Reason::kKeyInUse);
    return;
  }
  this->tombstones.Add(aNow, request.id, Tombstone::kDispatched);
  RunningRequest row;
  row.id = request.id;
  row.account = request.account;
  row.route = request.route;
  row.tier = request.tier;
  row.kind = request.kind;
  row.promptTokens = request.promptTokens;
  row.prefillAhead = this->running.PendingPrompt();
  row.outputEstimate = request.outputTokens;
  row.fingerprint = request.fingerprint;
  row.isExclusive = aOffer.isExclusive;
  row.dispatched = aNow.steady;
  row.lastProgress = aNow.steady;
  this->running.Add(std::move(row));
  this->drainRate.OnServed(aNow.steady);
  this->nextHealth = std::min(this->nextHealth, aNow.steady + kHealthCheckInterval);
  this->Note(aNow, EventKind::kDispatched, request.id, aOffer.reservation.entry.node,
             request.account, { { "tier", std::to_string(request.tier) } });
  this->port.Dispatch(request.id, request.kind, request.route, aGrant.body);
}

void Agent::Impl::OnWorkChunk(Now aNow, const RequestId& aId, std::uint32_t aTokens,
                              const std::string& aData)
{
  const RunningRequest* row = this->running.Find(aId);
  if (row == nullptr) {
    return;
  }
  const bool isFirst = !row->hasStarted;
  const bool wasEndpointSilent = this->IsEndpointSilent(aNow);
  const std::uint32_t oldLimit = this->limiter->Limit();
  const Duration gap = this->running.OnProgress(aNow.steady, aId, aTokens);
  if (isFirst && row->kind == WorkKind::kCompletion) {
    this->latency.OnFirstToken(gap, row->prefillAhead + row->promptTokens);
    this->limiter->OnFirstToken(aNow.steady, gap, row->promptTokens, this->CurrentInFlight());
    this->Note(aNow, EventKind::kFirstToken, aId, NodeId{}, row->account);
  } else if (aTokens > 0) {
    this->latency.OnTokens(gap, aTokens);
    this->limiter->OnTokens(aNow.steady, gap, aTokens, this->CurrentInFlight());
  }
  const Chunk* chunk = this->answers.Append(aId, aTokens, aData);
  const Answer* answer = this->answers.Find(aId);
  if (chunk != nullptr && answer->owner.has_value()) {
    this->port.Send(answer->owner->node, *chunk);
  }
  this->answers.Trim();
  const std::optional<RequestId> oversized = this->answers.FindOversized();
  if (oversized.has_value()) {
    this->Stop(aNow, *oversized, Reason::kOverload);
  }
  if (isFirst || wasEndpointSilent || this->limiter->Limit() > oldLimit) {
    this->OfferSlots(aNow);
  }
}

void Agent::Impl::OnWorkEnd(Now aNow, const RequestId& aId, const WorkResult& aResult)
{
  const std::optional<RunningRequest> row = this->running.Take(aId);
  if (!row.has_value()) {
    return;
  }
  const bool isComplete = aResult.end == WorkEnd::kComplete;
  const bool isCallerError = aResult.end == WorkEnd::kError && IsCallerError(aResult.status);
  if ((isComplete || isCallerError) && !aResult.body.empty()) {
    const Chunk* chunk = this->answers.Append(aId, 0, aResult.body);
    const Answer* answer = this->answers.Find(aId);
    if (chunk != nullptr && answer->owner.has_value()) {
      this->port.Send(answer->owner->node, *chunk);
    }
  }
  if (isComplete || isCallerError) {
    this->breaker.OnSuccess();
    this->suspects.Clear(row->fingerprint);
    if (row->kind != WorkKind::kCompletion) {
      this->latency.OnAnswer(aNow.steady - row->dispatched);
    }
  }
  this->End(aNow, *row, this->FinishOf(aNow, *row, aResult));
  if (!isComplete && !isCallerError) {
    if (aResult.end == WorkEnd::kBroken) {
      this->brokenRequests.push_back(BrokenRequest{ row->fingerprint, aNow.steady });
    }
    this->OnWorkFailed(aNow, aResult.end);
  }
  this->OfferSlots(aNow);
}

// Outcome of work that was ended by the endpoint.
Finish Agent::Impl::FinishOf(Now aNow, const RunningRequest& aRunning, const WorkResult& aResult)
{
  Finish finish;
  finish.status = aResult.status == 0 ? kStatusOk : aResult.status;
  finish.promptTokens = aResult.promptTokens;
  finish.outputTokens = std::max(aResult.outputTokens, aRunning.outputTokens);
  const bool isCallerError = aResult.end == WorkEnd::kError && IsCallerError(aResult.status);
  if (aResult.end == WorkEnd::kComplete || isCallerError) {
    finish.outcome = Outcome::kAnswered;
    return finish;
  }
  finish.reason = Reason::kEndpointFailed;
  finish.retryAfter = this->drainRate.RetryAfter(aNow.steady, this->queue.Size(), this->random);
  if (aResult.end == WorkEnd::kUnsent) {
    finish.outcome = Outcome::kNotRun;
  } else if (aRunning.hasStarted && aRunning.IsCancellable()) {
    finish.outcome = Outcome::kCut;
  }
  return finish;
}

// Records a failure of the endpoint with the breaker, and probes the endpoint if the connection
// broke.
void Agent::Impl::OnWorkFailed(Now aNow, WorkEnd aEnd)
{
  this->breaker.OnFailure(aNow.steady, false);
  if (aEnd != WorkEnd::kError && !this->isProbing) {
    this->StartProbe(aNow);
  }
}

// Completes the answer of work already removed from the table and sends its Finish to the owner.
void Agent::Impl::End(Now aNow, const RunningRequest& aRunning, Finish aFinish)
{
  if (aRunning.isExclusive) {
    const TimePoint start = std::min(this->exclusiveWaitStart, aRunning.dispatched);
    this->exclusiveNotBefore = aNow.steady + (aNow.steady - start);
    this->exclusiveWaitStart = kNever;
  }
  const Finish* finish = this->answers.End(aNow.steady, aRunning.id, aFinish);
  if (finish == nullptr) {
    this->ReportViolation(aNow, aRunning.id, "work ended without an open answer record");
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

// Aborts running work at the decision of the agent or its entry. Calls that must not be repeated
// continue.
void Agent::Impl::Stop(Now aNow, const RequestId& aId, Reason aReason)
{
  const RunningRequest* row = this->running.Find(aId);
  if (row == nullptr || !row->IsCancellable()) {
    return;
  }
  this->checker.OnAbort(aNow, aId, aReason);
  const RunningRequest taken = *this->running.Take(aId);
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
  finish.retryAfter = this->drainRate.RetryAfter(aNow.steady, this->queue.Size(), this->random);
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
    this->SendUnknown(aFrom.node, aCancel.id, aCancel.reason);
    return;
  }
  this->On(aNow, aFrom, Withdraw{ aCancel.id });
  if (!this->IsReserved(aCancel.id)) {
    this->SendNotRun(aNow, aFrom.node, aCancel.id, aCancel.reason);
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
    this->tombstones.Add(aNow, aQuery.id, Tombstone::kNeverRan);
  } else if (aQuery.needsTombstone && isUnknown) {
    this->tombstones.Add(aNow, aQuery.id, Tombstone::kDispatched);
  }
  this->port.Send(aFrom.node, QueryReply{ aQuery.id, state });
  const bool isReadable = state == RunState::kRunning || state == RunState::kFinished;
  if (isReadable && aQuery.takesOwnership) {
    this->answers.SetOwner(*answer, aFrom);
    this->Replay(aFrom.node, *answer, aQuery.nextChunk);
  }
  this->OfferSlots(aNow);
}

// State of a request; disclosed only to the account that owns it.
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

// Whether the request may have been dispatched, by this incarnation or an earlier one. aGranted:
// the querying entry granted it to this incarnation. A request still reserved here was never
// granted.
bool Agent::Impl::MayHaveRun(const RequestId& aId, bool aGranted) const
{
  const Tombstone tombstone = this->tombstones.Find(aId);
  if (tombstone == Tombstone::kDispatched || tombstone == Tombstone::kForgotten) {
    return true;
  }
  const bool isKnown = aGranted || tombstone == Tombstone::kNeverRan || this->IsReserved(aId);
  return !isKnown && this->tombstones.MayPrecedeProcessStart(aId);
}

// Sends the chunks from number aFrom on, and the Finish if the request has ended.
void Agent::Impl::Replay(NodeId aTo, const Answer& aAnswer, std::uint32_t aFrom)
{
  for (std::uint32_t number = aFrom; number < aAnswer.Count(); number++) {
    this->port.Send(aTo, aAnswer.chunks[number - aAnswer.first]);
  }
  if (aAnswer.finish.has_value()) {
    this->port.Send(aTo, *aAnswer.finish);
  }
}

// Maximum time without progress before the request counts as stalled.
Duration Agent::Impl::SilenceLimit(const RunningRequest& aRunning) const
{
  if (aRunning.kind != WorkKind::kCompletion) {
    return this->stallTimeouts.BeforeAnswer(this->latency);
  }
  const std::uint32_t pending = this->running.PendingPrompt();
  return aRunning.hasStarted ? this->stallTimeouts.BetweenTokens(this->latency, pending)
                             : this->stallTimeouts.BeforeFirstToken(this->latency, pending);
}

// Whether no stream has made progress for a fixed fraction of its stall timeout.
bool Agent::Impl::IsEndpointSilent(Now aNow) const
{
  const auto& rows = this->running.Rows();
  const Duration shortest = this->options.stallFloor / kSilenceDivisor;
  if (rows.empty() || aNow.steady - this->running.LastProgress() <= shortest) {
    return false;
  }
  return std::all_of(rows.begin(), rows.end(), [&](const RunningRequest& aRow) {
    const Duration limit = this->SilenceLimit(aRow) / kSilenceDivisor;
    return !aRow.isStalled && aNow.steady - aRow.lastProgress > limit;
  });
}

// Aborts stalled streams. If no started stream makes progress, the breaker opens at once.
void Agent::Impl::CheckProgress(Now aNow)
{
  this->nextHealth = this->running.Size() > 0 ? aNow.steady + kHealthCheckInterval : kNever;
  std::vector<RequestId> stalled;
  bool hasLiveStream = false;
  for (const RunningRequest& row : this->running.Rows()) {
    if (row.isStalled) {
      continue;
    }
    if (aNow.steady - row.lastProgress > this->SilenceLimit(row)) {
      stalled.push_back(row.id);
    } else {
      hasLiveStream = hasLiveStream || row.hasStarted;
    }
  }
  if (stalled.empty()) {
    return;
  }
  this->Note(aNow, EventKind::kEndpoint, RequestId{}, NodeId{}, "",
             { { "stalled", std::to_string(stalled.size()) },
               { "running", std::to_string(this->running.Size()) } });
  this->breaker.OnFailure(aNow.steady, !hasLiveStream);
  for (const RequestId& id : stalled) {
    this->running.MarkStalled(id);
    this->Stop(aNow, id, Reason::kStalled);
  }
}

void Agent::Impl::StartProbe(Now aNow)
{
  this->isProbing = true;
  this->probedAt = aNow.steady;
  this->port.Probe();
}

void Agent::Impl::OnProbe(Now aNow, bool aReachable)
{
  this->isProbing = false;
  std::erase_if(this->brokenRequests,
                [&](const BrokenRequest& aWork) { return aWork.at + kCrashWindow < aNow.steady; });
  const auto& rows = this->running.Rows();
  const bool hasProgress =
    std::any_of(rows.begin(), rows.end(), [this](const RunningRequest& aRow) {
      return aRow.hasStarted && aRow.lastProgress > this->probedAt;
    });
  this->breaker.OnProbe(aNow.steady, aReachable);
  this->Note(aNow, EventKind::kEndpoint, RequestId{}, NodeId{}, "",
             { { "reachable", aReachable ? "true" : "false" } });
  if (!aReachable && !hasProgress) {
    this->OnEndpointLost(aNow);
  }
  this->OfferSlots(aNow);
}

// Ends all work of the crashed endpoint and reports the fingerprints as suspects to the entries.
void Agent::Impl::OnEndpointLost(Now aNow)
{
  std::vector<std::uint64_t> fingerprints;
  for (const BrokenRequest& work : this->brokenRequests) {
    fingerprints.push_back(work.fingerprint);
  }
  this->brokenRequests.clear();
  while (this->running.Size() > 0) {
    const RunningRequest row = *this->running.Take(RequestId(this->running.Rows().front().id));
    fingerprints.push_back(row.fingerprint);
    if (row.IsCancellable()) {
      this->port.Abort(row.id);
    }
    Finish finish;
    finish.outcome = row.hasStarted && row.IsCancellable() ? Outcome::kCut : Outcome::kUnknown;
    finish.reason = Reason::kEndpointLost;
    finish.outputTokens = row.outputTokens;
    finish.retryAfter = this->drainRate.RetryAfter(aNow.steady, this->queue.Size(), this->random);
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
  const Suspicion suspicion = this->suspects.SuspicionOf(aNow.steady, aFingerprint);
  this->Note(aNow, EventKind::kSuspect, RequestId{}, NodeId{}, "",
             { { "fingerprint", std::to_string(aFingerprint) },
               { "crashes", std::to_string(suspicion.crashes.size()) } });
  this->Broadcast(suspicion);
}

} // namespace caraway
