#include "core/entry_impl.h"

#include <algorithm>

namespace caraway {

void Entry::Impl::On(Now aNow, Peer aFrom, const Chunk& aChunk)
{
  Pending* request = this->FindGranted(aChunk.id, aFrom);
  if (request == nullptr) {
    return;
  }
  request->lastHeard = aNow.steady;
  switch (request->assembly.Add(aChunk)) {
    case ChunkCheck::kRepeated:
      return;
    case ChunkCheck::kGap:
      this->SendQuery(aNow, *request, false);
      return;
    case ChunkCheck::kNext:
      break;
  }
  request->progressAt = aNow.steady;
  if (request->firstChunkAt == kNever) {
    request->firstChunkAt = aNow.steady;
    this->Note(aNow, EventKind::kFirstToken, *request, aFrom.node);
  }
  if (request->claim != kNoOffset) {
    request->answer += aChunk.data;
  }
  if (!request->callerGone) {
    this->port.PassChunk(request->submission.id, aChunk.data);
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
  request->lastHeard = aNow.steady;
  if (aFinish.outcome == Outcome::kNotRun) {
    this->port.Send(aFrom.node, Ack{ aFinish.id, 0, true });
    this->NotRunAfterGrant(aNow, *request, aFinish.reason, aFinish.retryAfter);
    return;
  }
  request->finish = aFinish;
  this->TryFinish(aNow, *request);
}

// Gives the final answer once every chunk has arrived, and asks for those that have not.
void Entry::Impl::TryFinish(Now aNow, Pending& aPending)
{
  const Finish finish = *aPending.finish;
  if (!aPending.assembly.HasAll(finish)) {
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
  const bool isWhole =
    finish.outcome != Outcome::kAnswered || !assembly.FromStart() ||
    this->checker.OnWhole(aNow, finish, assembly.Next(), assembly.Bytes(), assembly.Checksum());
  if (!isWhole) {
    answer.outcome = Outcome::kCut;
    answer.reason = Reason::kEndpointFailed;
  }
  aPending.finish = finish;
  if (!aPending.callerGone) { // else the agent keeps the answer for a caller that comes back
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
  aPending.lastHeard = aNow.steady;
  this->port.Send(aPending.agent->node, query);
  this->Schedule(aPending);
}

// The link to the agent of a granted request is gone; it may come back.
void Entry::Impl::AgentLost(Now aNow, Pending& aPending)
{
  aPending.agentLinked = false;
  aPending.lastHeard = aNow.steady;
  this->Schedule(aPending);
}

// The agent that was granted the request cannot be asked any more.
void Entry::Impl::AgentUnreachable(Now aNow, Pending& aPending, Reason aReason)
{
  const Outcome outcome = aPending.assembly.Empty() ? Outcome::kUnknown : Outcome::kCut;
  this->Finalize(aNow, aPending, FinalAnswer{ outcome, aReason, this->Jitter(kDefaultRetry) });
}

// A caller comes for the rest of its answer: asks the agent that it names, or all of them.
void Entry::Impl::Resume(Now aNow, const RequestId& aId, const std::string& aAccount,
                         std::uint32_t aNextChunk, std::optional<NodeId> aAgent)
{
  const auto found = this->pending.find(aId);
  if (found != this->pending.end() && found->second.submission.account != aAccount) {
    this->port.PassFinal(aId, FinalAnswer{ Outcome::kUnknown, Reason::kUnauthorized });
    return;
  }
  Pending& request = this->pending[aId];
  request.callerGone = false;
  request.keepUntil = kNever;
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
  request.asked = aAgent ? std::vector<NodeId>{ *aAgent } : this->peers.Agents({});
  std::erase_if(request.asked, [this](NodeId aNode) { return this->peers.Find(aNode) == nullptr; });
  if (request.asked.empty()) {
    this->AgentUnreachable(aNow, request, Reason::kEndpointLost);
    return;
  }
  request.claimAgent = aAgent.value_or(NodeId{});
  this->Schedule(request);
  for (const NodeId node : request.asked) {
    this->port.Send(node, query);
  }
}

void Entry::Impl::ResumeReply(Now aNow, Pending& aPending, Peer aFrom, const QueryReply& aReply)
{
  if (aReply.state == RunState::kRunning || aReply.state == RunState::kFinished) {
    aPending.phase = Phase::kGranted;
    aPending.agent = aFrom;
    aPending.grantedAt = aNow.steady;
    aPending.lastHeard = aNow.steady;
    aPending.progressAt = aNow.steady;
    this->Schedule(aPending);
    return;
  }
  std::erase(aPending.asked, aFrom.node);
  // Only the agent that the caller's first answer named can say that the request never ran.
  const bool named = aPending.claimAgent == aFrom.node;
  if (named && aReply.state == RunState::kNeverRan) {
    this->Finalize(aNow, aPending, FinalAnswer{ Outcome::kNotRun, Reason::kEndpointLost });
  } else if (aPending.asked.empty()) {
    this->AgentUnreachable(aNow, aPending, Reason::kEndpointLost);
  }
}

void Entry::Impl::On(Now aNow, Peer aFrom, const QueryReply& aReply)
{
  Pending* request = this->FindPending(aReply.id);
  if (request == nullptr) {
    return;
  }
  if (request->phase == Phase::kAsking) {
    this->HolderReply(aNow, *request, aReply);
    return;
  }
  if (request->phase == Phase::kResuming) {
    this->ResumeReply(aNow, *request, aFrom, aReply);
    return;
  }
  if (request->phase != Phase::kGranted || !(request->agent == aFrom)) {
    return;
  }
  request->lastHeard = aNow.steady;
  if (aReply.state == RunState::kNeverRan) {
    this->NotRunAfterGrant(aNow, *request, Reason::kEndpointLost, this->Jitter(kDefaultRetry));
  } else if (aReply.state == RunState::kForgotten) {
    this->AgentUnreachable(aNow, *request, Reason::kEndpointLost);
  }
}

void Entry::Impl::CallerGone(Now aNow, const RequestId& aId, bool aMayResume)
{
  const auto found = this->pending.find(aId);
  if (found == this->pending.end()) {
    return;
  }
  Pending& request = found->second;
  request.callerGone = true;
  if (request.phase == Phase::kResuming || request.phase == Phase::kAsking) {
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
    request.keepUntil = aNow.steady + this->options.resumeGrace;
    this->Schedule(request);
    return;
  }
  this->port.Send(request.agent->node, Cancel{ aId, Reason::kCallerGone });
  this->AgentUnreachable(aNow, request, Reason::kCallerGone);
}

// Ends the request: exactly one final answer, nothing left at any agent.
void Entry::Impl::Finalize(Now aNow, Pending& aPending, FinalAnswer aAnswer)
{
  const RequestId id = aPending.submission.id;
  if (aAnswer.outcome == Outcome::kNotRun) {
    this->checker.OnNotRun(aNow, id);
  }
  this->CloseReservations(aPending, NodeId{});
  if (aPending.agent) {
    this->peers.Release(aPending.agent->node);
    this->Judge(aNow, aPending, aAnswer);
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
    this->aliases.erase(aPending.holder);
  }
  this->pending.erase(id);
  this->port.PassFinal(id, aAnswer);
}

// Tells the version moves how the version did, unless the system or the caller ended the work.
void Entry::Impl::Judge(Now aNow, const Pending& aPending, const FinalAnswer& aAnswer)
{
  if (aPending.agentVersion.empty()) {
    return;
  }
  Quality quality = Quality::kBad;
  if (aAnswer.outcome == Outcome::kAnswered) {
    const bool started = aPending.firstChunkAt != kNever;
    const Duration first = started ? aPending.firstChunkAt - aPending.grantedAt : Duration::zero();
    const std::uint32_t gaps = std::max(aPending.assembly.Tokens(), 2U) - 1;
    const Duration rest = started ? aNow.steady - aPending.firstChunkAt : Duration::zero();
    const bool slow =
      first > this->options.firstTokenTarget || rest / gaps > this->options.interTokenTarget;
    quality = slow ? Quality::kSlow : Quality::kGood;
  } else if (aAnswer.reason != Reason::kStalled && aAnswer.reason != Reason::kEndpointFailed &&
             aAnswer.reason != Reason::kEndpointLost) {
    return;
  }
  const std::uint8_t load = aPending.finish ? aPending.finish->loadLevel : 0;
  this->moves.OnOutcome(aNow, aPending.submission.pool, aPending.agentVersion,
                        aPending.submission.route, load, quality);
  this->RunMoves(aNow);
}

} // namespace caraway
