#include "core/entry_impl.h"

#include <algorithm>

namespace caraway {

// Names one agent for the call, of the version that a running move chose, and claims the key for
// it.
void Entry::Impl::BeginClaim(Now aNow, Pending& aPending)
{
  aPending.claimAgent = NodeId{};
  this->FindCandidates(aNow, aPending);
  if (this->candidates.empty()) {
    this->Finalize(
      aNow, aPending,
      FinalAnswer{ Outcome::kNotRun, Reason::kNoEndpoint, this->Jitter(kDefaultRetry) });
    return;
  }
  this->placement.Pick(this->candidates, PlaceRequest{}, 1, this->random, this->chosen);
  aPending.claimAgent = this->chosen.front();
  aPending.phase = Phase::kClaiming;
  this->Schedule(aPending);
  const Submission& submission = aPending.submission;
  if (aPending.holderClaim == kNoOffset) {
    this->claims.Begin(aNow, submission.id, submission.account, submission.idempotencyKey,
                       aPending.claimAgent, HashOf(submission.body));
  } else {
    this->claims.BeginSuperseding(aNow, submission.id, submission.account,
                                  submission.idempotencyKey, aPending.claimAgent,
                                  aPending.holderClaim, HashOf(submission.body));
  }
  this->TakeClaimDecisions(aNow);
  this->FlushClaims(aNow);
}

void Entry::Impl::FlushClaims(Now aNow)
{
  const std::vector<std::string> batch = this->claims.TakeBatch(aNow, this->nextToken);
  if (batch.empty()) {
    return;
  }
  const std::uint64_t token = this->nextToken++;
  this->claimTokens.insert(token);
  this->port.Append(token, batch);
}

void Entry::Impl::TakeClaimDecisions(Now aNow)
{
  for (const ClaimDecision& decision : this->claims.TakeDecisions()) {
    const auto found = this->pending.find(decision.id);
    if (found != this->pending.end() && found->second.phase == Phase::kClaiming) {
      this->ApplyClaim(aNow, found->second, decision);
    } else if (decision.verdict == ClaimVerdict::kWon) {
      // The request was given up while its claim was on its way: the call never ran.
      this->claims.Finish(aNow, decision.id, Outcome::kNotRun, 0, {});
    }
  }
}

void Entry::Impl::ApplyClaim(Now aNow, Pending& aPending, const ClaimDecision& aDecision)
{
  this->Note(aNow, EventKind::kClaim, aPending, aDecision.holderEntry,
             { Field("verdict", std::to_string(static_cast<int>(aDecision.verdict))),
               Field("reason", std::string(ToString(aDecision.reason))) });
  switch (aDecision.verdict) {
    case ClaimVerdict::kWon:
      aPending.claim = aDecision.offset;
      aPending.phase = Phase::kWaiting;
      this->Place(aNow, aPending);
      return;
    case ClaimVerdict::kReplay:
      this->port.PassChunk(aPending.submission.id, aDecision.answer);
      this->Finalize(aNow, aPending,
                     FinalAnswer{ Outcome::kAnswered, Reason::kNone, {}, aDecision.status });
      return;
    case ClaimVerdict::kQueryHolder:
      this->AskHolder(aNow, aPending, aDecision);
      return;
    case ClaimVerdict::kRefused:
      break;
  }
  // An earlier call with the key may have run: "not run" would mislead the caller.
  const bool earlierMayHaveRun =
    aDecision.reason == Reason::kKeyInUse || aDecision.reason == Reason::kKeyExpired;
  const Outcome outcome = earlierMayHaveRun ? Outcome::kUnknown : Outcome::kNotRun;
  this->Finalize(aNow, aPending,
                 FinalAnswer{ outcome, aDecision.reason, this->Jitter(kDefaultRetry) });
}

// Another request claimed the key and its outcome is not in the log: only its agent can tell.
void Entry::Impl::AskHolder(Now aNow, Pending& aPending, const ClaimDecision& aDecision)
{
  const FinalAnswer inUse{ Outcome::kUnknown, Reason::kKeyInUse, this->Jitter(kDefaultRetry) };
  const bool holderIsHere = this->pending.contains(aDecision.holder);
  const bool holderIsLinked = this->peers.Find(aDecision.holderEntry) != nullptr;
  const bool agentIsLinked = this->peers.Find(aDecision.holderAgent) != nullptr;
  if (holderIsHere || holderIsLinked || !agentIsLinked) {
    this->Finalize(aNow, aPending, inUse);
    return;
  }
  aPending.phase = Phase::kAsking;
  aPending.holder = aDecision.holder;
  aPending.holderClaim = aDecision.offset;
  aPending.asked = { aDecision.holderAgent };
  this->aliases[aDecision.holder] = aPending.submission.id;
  Query query;
  query.id = aDecision.holder;
  query.account = aPending.submission.account;
  query.needsTombstone = true;
  query.takesOwnership = false;
  this->port.Send(aDecision.holderAgent, query);
  this->Schedule(aPending);
}

void Entry::Impl::HolderReply(Now aNow, Pending& aPending, const QueryReply& aReply)
{
  switch (aReply.state) {
    case RunState::kNeverRan:
      this->aliases.erase(aPending.holder);
      aPending.asked.clear();
      this->BeginClaim(aNow, aPending);
      return;
    case RunState::kRunning:
      this->Finalize(
        aNow, aPending,
        FinalAnswer{ Outcome::kUnknown, Reason::kKeyInUse, this->Jitter(kDefaultRetry) });
      return;
    case RunState::kFinished: {
      const PeerState* agent = this->peers.Find(aPending.asked.front());
      if (agent == nullptr) {
        break;
      }
      aPending.phase = Phase::kGranted;
      aPending.agent = agent->peer;
      aPending.lastHeard = aNow.steady;
      Query query;
      query.id = aPending.holder;
      query.account = aPending.submission.account;
      this->port.Send(agent->peer.node, query);
      this->Schedule(aPending);
      return;
    }
    case RunState::kForgotten:
      break;
  }
  this->Finalize(aNow, aPending, FinalAnswer{ Outcome::kUnknown, Reason::kEndpointLost });
}

} // namespace caraway
