#include "core/entry_impl.h"

#include <algorithm>

namespace caraway {

void Entry::Impl::On(Now aNow, Peer aFrom, const Chunk& aChunk)
{
  Pending* request = this->FindGranted(aChunk.id, aFrom);
  if (request == nullptr) {
    return;
  }
  request->lastMessageAt = aNow.steady;
  switch (request->assembly.Add(aChunk)) {
    case ChunkCheck::kRepeated:
      return;
    case ChunkCheck::kGap:
      this->SendQuery(aNow, *request, false);
      return;
    case ChunkCheck::kNext:
      break;
  }
  request->lastProgressAt = aNow.steady;
  if (request->firstChunkAt == kNever) {
    request->firstChunkAt = aNow.steady;
    this->Note(aNow, EventKind::kFirstToken, *request, aFrom.node);
  }
  if (request->claim != kNoOffset) {
    request->answer += aChunk.data;
  }
  if (!request->isCallerGone) {
    this->port.DeliverChunk(request->submission.id, aChunk.data);
  }
  if (request->finish) {
    this->TryFinish(aNow, *request);
  }
}

void Entry::Impl::On(Now aNow, Peer aFrom, const Finish& aFinish)
{
  Pending* request = this->FindGranted(aFinish.id, aFrom);
  if (request == nullptr) {
    this->port.Send(aFrom.node, Ack{ aFinish.id, aFinish.chunks, true });
    return;
  }
  request->lastMessageAt = aNow.steady;
  if (aFinish.outcome == Outcome::kNotRun) {
    this->port.Send(aFrom.node, Ack{ aFinish.id, 0, true });
    this->OnGrantNotRun(aNow, *request, aFinish.reason, aFinish.retryAfter);
    return;
  }
  request->finish = aFinish;
  this->TryFinish(aNow, *request);
}

// Delivers the final answer if every chunk has arrived; otherwise requests the missing ones.
void Entry::Impl::TryFinish(Now aNow, Pending& aPending)
{
  const Finish finish = *aPending.finish;
  if (!aPending.assembly.HasAllChunks(finish)) {
    aPending.finish.reset();
    this->SendQuery(aNow, aPending, false);
    return;
  }
  FinalAnswer answer;
  answer.outcome = finish.outcome;
  answer.reason = finish.reason;
  answer.retryAfter = finish.retryAfter;
  answer.status = finish.status;
  answer.promptTokens = finish.promptTokens;
  answer.outputTokens = finish.outputTokens;
  const Assembly& assembly = aPending.assembly;
  const bool isComplete = finish.outcome != Outcome::kAnswered || !assembly.IsFromStart() ||
                          this->checker.OnAnswerComplete(aNow, finish, assembly.Next(),
                                                         assembly.Bytes(), assembly.Checksum());
  if (!isComplete) {
    answer.outcome = Outcome::kCut;
    answer.reason = Reason::kEndpointFailed;
  }
  aPending.finish = finish;
  if (!aPending.isCallerGone) { // without an Ack the agent keeps the answer for a resumption
    this->port.Send(aPending.agent->node, Ack{ finish.id, finish.chunks, true });
  }
  this->Finalize(aNow, aPending, answer);
}

void Entry::Impl::SendQuery(Now aNow, Pending& aPending, bool aBury)
{
  Query query;
  query.id = aPending.holder == RequestId{} ? aPending.submission.id : aPending.holder;
  query.nextChunk = aPending.assembly.Next();
  query.account = aPending.submission.account;
  query.needsTombstone = aBury;
  query.granted = aPending.grants > 0;
  aPending.lastMessageAt = aNow.steady;
  this->port.Send(aPending.agent->node, query);
  this->ScheduleTimer(aPending);
}

// The link to the agent of a granted request was lost; it may be restored.
void Entry::Impl::OnAgentLinkLost(Now aNow, Pending& aPending)
{
  aPending.isAgentLinked = false;
  aPending.lastMessageAt = aNow.steady;
  this->ScheduleTimer(aPending);
}

// Ends a request whose result cannot be obtained, or is no longer wanted: the answer is cut if a
// part of it has arrived, otherwise its outcome is unknown.
void Entry::Impl::FinalizeUnresolved(Now aNow, Pending& aPending, Reason aReason)
{
  const Outcome outcome = aPending.assembly.IsEmpty() ? Outcome::kUnknown : Outcome::kCut;
  this->Finalize(aNow, aPending, FinalAnswer{ outcome, aReason, this->Jitter(kDefaultRetryDelay) });
}

// Resumes an answer: queries the agent that the caller names, or else all agents.
void Entry::Impl::Resume(Now aNow, const RequestId& aId, const std::string& aAccount,
                         std::uint32_t aNextChunk, std::optional<NodeId> aAgent)
{
  const auto found = this->pending.find(aId);
  if (found != this->pending.end() && found->second.submission.account != aAccount) {
    this->port.DeliverFinal(aId, FinalAnswer{ Outcome::kUnknown, Reason::kUnauthorized });
    return;
  }
  Pending& request = this->pending[aId];
  request.isCallerGone = false;
  request.resumableUntil = kNever;
  request.finish.reset();
  request.submission.id = aId;
  request.submission.account = aAccount;
  request.phase = Phase::kResuming;
  request.acceptedAt = aNow.steady;
  request.startBy = aNow.steady + this->options.grantReplyWithin;
  request.endBy = kNever;
  request.assembly = Assembly(aNextChunk);
  Query query;
  query.id = aId;
  query.nextChunk = aNextChunk;
  query.account = aAccount;
  query.needsTombstone = aAgent.has_value();
  request.contactedAgents = aAgent ? std::vector<NodeId>{ *aAgent } : this->peers.Agents({});
  std::erase_if(request.contactedAgents,
                [this](NodeId aNode) { return this->peers.Find(aNode) == nullptr; });
  if (request.contactedAgents.empty()) {
    this->FinalizeUnresolved(aNow, request, Reason::kEndpointLost);
    return;
  }
  request.claimAgent = aAgent.value_or(NodeId{});
  this->ScheduleTimer(request);
  for (const NodeId node : request.contactedAgents) {
    this->port.Send(node, query);
  }
}

void Entry::Impl::OnResumeReply(Now aNow, Pending& aPending, Peer aFrom, const QueryReply& aReply)
{
  if (aReply.state == RunState::kRunning || aReply.state == RunState::kFinished) {
    aPending.phase = Phase::kGranted;
    aPending.agent = aFrom;
    aPending.grantedAt = aNow.steady;
    aPending.lastMessageAt = aNow.steady;
    aPending.lastProgressAt = aNow.steady;
    this->ScheduleTimer(aPending);
    return;
  }
  std::erase(aPending.contactedAgents, aFrom.node);
  // Only the agent named by the caller can tell that the request never ran.
  const bool isNamedAgent = aPending.claimAgent == aFrom.node;
  if (isNamedAgent && aReply.state == RunState::kNeverRan) {
    this->Finalize(aNow, aPending, FinalAnswer{ Outcome::kNotRun, Reason::kEndpointLost });
  } else if (aPending.contactedAgents.empty()) {
    this->FinalizeUnresolved(aNow, aPending, Reason::kEndpointLost);
  }
}

void Entry::Impl::On(Now aNow, Peer aFrom, const QueryReply& aReply)
{
  Pending* request = this->FindPending(aReply.id);
  if (request == nullptr) {
    return;
  }
  if (request->phase == Phase::kQueryingHolder) {
    this->OnHolderReply(aNow, *request, aReply);
    return;
  }
  if (request->phase == Phase::kResuming) {
    this->OnResumeReply(aNow, *request, aFrom, aReply);
    return;
  }
  if (request->phase != Phase::kGranted || !(request->agent == aFrom)) {
    return;
  }
  request->lastMessageAt = aNow.steady;
  if (aReply.state == RunState::kNeverRan) {
    this->OnGrantNotRun(aNow, *request, Reason::kEndpointLost, this->Jitter(kDefaultRetryDelay));
  } else if (aReply.state == RunState::kForgotten) {
    this->FinalizeUnresolved(aNow, *request, Reason::kEndpointLost);
  }
}

void Entry::Impl::OnCallerGone(Now aNow, const RequestId& aId, bool aMayResume)
{
  const auto found = this->pending.find(aId);
  if (found == this->pending.end()) {
    return;
  }
  Pending& request = found->second;
  request.isCallerGone = true;
  if (request.phase == Phase::kResuming || request.phase == Phase::kQueryingHolder) {
    this->Finalize(aNow, request, FinalAnswer{ Outcome::kUnknown, Reason::kCallerGone });
    return;
  }
  if (request.phase != Phase::kGranted) {
    this->Finalize(aNow, request, FinalAnswer{ Outcome::kNotRun, Reason::kCallerGone });
    return;
  }
  if (request.submission.kind == WorkKind::kOnce) {
    return;
  }
  if (aMayResume) {
    request.resumableUntil = aNow.steady + this->options.resumeGrace;
    this->ScheduleTimer(request);
    return;
  }
  this->port.Send(request.agent->node, Cancel{ aId, Reason::kCallerGone });
  this->FinalizeUnresolved(aNow, request, Reason::kCallerGone);
}

// Ends the request: withdraws its open reservations and delivers exactly one final answer.
void Entry::Impl::Finalize(Now aNow, Pending& aPending, FinalAnswer aAnswer)
{
  const RequestId id = aPending.submission.id;
  if (aAnswer.outcome == Outcome::kNotRun) {
    this->checker.OnNotRun(aNow, id);
  }
  this->WithdrawReservations(aPending, NodeId{});
  if (aPending.agent) {
    this->peers.Release(aPending.agent->node);
    this->RecordQuality(aNow, aPending, aAnswer);
  }
  if (aAnswer.outcome == Outcome::kAnswered) {
    const std::uint32_t output = aAnswer.outputTokens;
    const Submission& submission = aPending.submission;
    this->lengths.Learn(submission.account, submission.route, submission.promptTokens, output);
    this->quotas.Settle(submission.account,
                        static_cast<double>(output) - static_cast<double>(aPending.estimate));
  }
  if (aPending.claim != kNoOffset) {
    this->claims.Finish(aNow, id, aAnswer.outcome, aAnswer.status, aPending.answer);
    this->FlushClaims(aNow);
  }
  this->Note(aNow, EventKind::kFinished, aPending, aPending.agent ? aPending.agent->node : NodeId{},
             { Field("outcome", std::string(ToString(aAnswer.outcome))),
               Field("reason", std::string(ToString(aAnswer.reason))),
               Field("tier", std::to_string(aPending.submission.tier)),
               Field("chunks", std::to_string(aPending.assembly.Next())) });
  if (!(aPending.holder == RequestId{})) {
    this->holderAliases.erase(aPending.holder);
  }
  this->pending.erase(id);
  this->port.DeliverFinal(id, aAnswer);
}

// Reports the quality of the outcome to the version moves, unless the system or the caller ended
// the request.
void Entry::Impl::RecordQuality(Now aNow, const Pending& aPending, const FinalAnswer& aAnswer)
{
  if (aPending.agentVersion.empty()) {
    return;
  }
  Quality quality = Quality::kBad;
  if (aAnswer.outcome == Outcome::kAnswered) {
    const bool hasStarted = aPending.firstChunkAt != kNever;
    const Duration firstTokenLatency =
      hasStarted ? aPending.firstChunkAt - aPending.grantedAt : Duration::zero();
    const std::uint32_t gapCount = std::max(aPending.assembly.Tokens(), 2U) - 1;
    const Duration decodeTime = hasStarted ? aNow.steady - aPending.firstChunkAt : Duration::zero();
    const bool isSlow = firstTokenLatency > this->options.firstTokenTarget ||
                        decodeTime / gapCount > this->options.interTokenTarget;
    quality = isSlow ? Quality::kSlow : Quality::kGood;
  } else if (aAnswer.reason != Reason::kStalled && aAnswer.reason != Reason::kEndpointFailed &&
             aAnswer.reason != Reason::kEndpointLost) {
    return;
  }
  const std::uint8_t load = aPending.finish ? aPending.finish->loadLevel : 0;
  this->moves.OnOutcome(aNow, aPending.submission.pool, aPending.agentVersion,
                        aPending.submission.route, load, quality);
  this->ApplyMoveActions(aNow);
}

} // namespace caraway
