#include "core/entry_impl.h"

#include <algorithm>

namespace caraway {

// Picks one agent for the call, of the version chosen by a running move, and claims the idempotency
// key for it.
void Entry::Impl::BeginClaim(Now aNow, Pending& aPending)
{
  aPending.claimAgent = NodeId{};
  this->FindCandidates(aNow, aPending);
  if (this->candidates.empty()) {
    this->Finalize(
      aNow, aPending,
      FinalAnswer{ Outcome::kNotRun, Reason::kNoEndpoint, this->Jitter(kDefaultRetryDelay) });
    return;
  }
  this->placement.Pick(this->candidates, PlacementRequest{}, 1, this->random, this->chosen);
  aPending.claimAgent = this->chosen.front();
  aPending.phase = Phase::kClaiming;
  this->ScheduleTimer(aPending);
  const Submission& submission = aPending.submission;
  if (aPending.holderClaim == kNoOffset) {
    this->claims.Begin(aNow, submission.id, submission.account, submission.idempotencyKey,
                       aPending.claimAgent, HashOf(submission.body));
  } else {
    this->claims.BeginSuperseding(aNow, submission.id, submission.account,
                                  submission.idempotencyKey, aPending.claimAgent,
                                  aPending.holderClaim, HashOf(submission.body));
  }
  this->ProcessClaimDecisions(aNow);
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

void Entry::Impl::ProcessClaimDecisions(Now aNow)
{
  for (const ClaimDecision& decision : this->claims.TakeDecisions()) {
    const auto found = this->pending.find(decision.id);
    if (found != this->pending.end() && found->second.phase == Phase::kClaiming) {
      this->ApplyClaimDecision(aNow, found->second, decision);
    } else if (decision.verdict == ClaimVerdict::kWon) {
      // The request ended while its claim was being appended: the call never ran.
      this->claims.Finish(aNow, decision.id, Outcome::kNotRun, 0, {});
    }
  }
}

void Entry::Impl::ApplyClaimDecision(Now aNow, Pending& aPending, const ClaimDecision& aDecision)
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
      this->port.DeliverChunk(aPending.submission.id, aDecision.answer);
      this->Finalize(aNow, aPending,
                     FinalAnswer{ Outcome::kAnswered, Reason::kNone, {}, aDecision.status });
      return;
    case ClaimVerdict::kQueryHolder:
      this->QueryHolder(aNow, aPending, aDecision);
      return;
    case ClaimVerdict::kRefused:
      break;
  }
  // An earlier call with the key may have run, so kNotRun would be wrong.
  const bool mayHaveRun =
    aDecision.reason == Reason::kKeyInUse || aDecision.reason == Reason::kKeyExpired;
  const Outcome outcome = mayHaveRun ? Outcome::kUnknown : Outcome::kNotRun;
  this->Finalize(aNow, aPending,
                 FinalAnswer{ outcome, aDecision.reason, this->Jitter(kDefaultRetryDelay) });
}

// Another request holds the key and its outcome is not in the log: queries the agent of its claim,
// the only one that knows it.
void Entry::Impl::QueryHolder(Now aNow, Pending& aPending, const ClaimDecision& aDecision)
{
  const FinalAnswer inUse{ Outcome::kUnknown, Reason::kKeyInUse, this->Jitter(kDefaultRetryDelay) };
  const bool isHolderLocal = this->pending.contains(aDecision.holder);
  const bool isHolderLinked = this->peers.Find(aDecision.holderEntry) != nullptr;
  const bool isHolderAgentLinked = this->peers.Find(aDecision.holderAgent) != nullptr;
  if (isHolderLocal || isHolderLinked || !isHolderAgentLinked) {
    this->Finalize(aNow, aPending, inUse);
    return;
  }
  aPending.phase = Phase::kQueryingHolder;
  aPending.holder = aDecision.holder;
  aPending.holderClaim = aDecision.offset;
  aPending.contactedAgents = { aDecision.holderAgent };
  this->holderAliases[aDecision.holder] = aPending.submission.id;
  Query query;
  query.id = aDecision.holder;
  query.account = aPending.submission.account;
  query.needsTombstone = true;
  query.takesOwnership = false;
  this->port.Send(aDecision.holderAgent, query);
  this->ScheduleTimer(aPending);
}

void Entry::Impl::OnHolderReply(Now aNow, Pending& aPending, const QueryReply& aReply)
{
  switch (aReply.state) {
    case RunState::kNeverRan:
      this->holderAliases.erase(aPending.holder);
      aPending.contactedAgents.clear();
      this->BeginClaim(aNow, aPending);
      return;
    case RunState::kRunning:
      this->Finalize(
        aNow, aPending,
        FinalAnswer{ Outcome::kUnknown, Reason::kKeyInUse, this->Jitter(kDefaultRetryDelay) });
      return;
    case RunState::kFinished: {
      const PeerState* agent = this->peers.Find(aPending.contactedAgents.front());
      if (agent == nullptr) {
        break;
      }
      aPending.phase = Phase::kGranted;
      aPending.agent = agent->peer;
      aPending.lastMessageAt = aNow.steady;
      Query query;
      query.id = aPending.holder;
      query.account = aPending.submission.account;
      this->port.Send(agent->peer.node, query);
      this->ScheduleTimer(aPending);
      return;
    }
    case RunState::kForgotten:
      break;
  }
  this->Finalize(aNow, aPending, FinalAnswer{ Outcome::kUnknown, Reason::kEndpointLost });
}

} // namespace caraway
