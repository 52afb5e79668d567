#include "core/entry.h"

#include "core/affinity.h"
#include "core/claim.h"
#include "core/config_feed.h"
#include "core/length.h"
#include "core/move.h"
#include "core/peers.h"
#include "core/pending.h"
#include "core/quota.h"
#include "core/suspect.h"
#include "core/uuid.h"

#include <algorithm>
#include <queue>
#include <unordered_map>
#include <unordered_set>

namespace caraway {

namespace {

constexpr std::size_t kKeptRecords = 1024;
constexpr std::size_t kAffinitySets = 4096;
constexpr Duration kAffinityAge = std::chrono::minutes(5);
constexpr std::uint32_t kMaxSuspects = 4096;
constexpr Duration kSuspectTime = std::chrono::minutes(10);
constexpr Duration kDefaultRetry = std::chrono::seconds(1);
// Records for agents wait this long to share a message.
constexpr Duration kTailDelay = std::chrono::milliseconds(200);
// Grants of one request in total; all but the last were confirmed never to have run.
constexpr std::uint32_t kMaxGrants = 3;

// Of two reasons for refusals, the one that tells the caller more.
Reason MoreTelling(Reason aLeft, Reason aRight)
{
  const auto rank = [](Reason aReason) {
    switch (aReason) {
      case Reason::kSuspect:
        return 4;
      case Reason::kOverload:
        return 3;
      case Reason::kNoEndpoint:
        return 2;
      case Reason::kDraining:
        return 1;
      default:
        return 0;
    }
  };
  return rank(aLeft) >= rank(aRight) ? aLeft : aRight;
}

EventField Field(std::string aKey, std::string aValue)
{
  return EventField{ std::move(aKey), std::move(aValue) };
}

} // namespace

class Entry::Impl
{
public:
  Impl(const EntryOptions& aOptions, const std::string& aName, Placement& aPlacement,
       Random& aRandom, EntryPort& aPort)
    : options(aOptions)
    , name(aName)
    , placement(aPlacement)
    , random(aRandom)
    , port(aPort)
    , feed(kKeptRecords)
    , claims(aOptions, NodeIdOf(aName))
    , moves(aOptions, aRandom, aPort)
    , affinity(kAffinitySets, kAffinityAge)
    , suspects(kMaxSuspects, kSuspectTime)
  {
  }

  void Submit(Now aNow, Submission aSubmission);
  void Resume(Now aNow, const RequestId& aId, const std::string& aAccount, std::uint32_t aNextChunk,
              std::optional<NodeId> aAgent);
  void CallerGone(Now aNow, const RequestId& aId, bool aMayResume);
  void PeerUp(Now aNow, Peer aPeer, const Hello& aHello);
  void PeerDown(Now aNow, NodeId aNode);
  void Receive(Now aNow, Peer aFrom, const Message& aMessage);
  void TakeLogRecords(Now aNow, const std::vector<LogRecord>& aRecords);
  void AskPeersForConfig();
  void Appended(Now aNow, std::uint64_t aToken, AppendResult aResult, LogOffset aFirst);
  void Timer(Now aNow);
  TimePoint NextTimer() const;
  void BeginLeaving(Now aNow);
  std::string StatusJson(Now aNow) const;

  EntryOptions options;
  std::string name;
  Placement& placement;
  Random& random;
  EntryPort& port;
  ConfigFeed feed;
  ClaimController claims;
  MoveController moves;
  PeerTable peers;
  QuotaTable quotas;
  LengthEstimator lengths;
  PrefixAffinity affinity;
  SuspectTable suspects;
  std::unordered_map<RequestId, Pending> pending;
  std::unordered_map<RequestId, RequestId> aliases; // holder of a key -> request that follows it
  bool leaving = false;

private:
  struct Due
  {
    TimePoint time;
    RequestId id;
    friend bool operator>(const Due& aLeft, const Due& aRight) { return aLeft.time > aRight.time; }
  };

  void On(Now aNow, Peer aFrom, const Hello& aHello) { this->PeerUp(aNow, aFrom, aHello); }
  void On(Now aNow, Peer aFrom, const Offer& aOffer);
  void On(Now aNow, Peer aFrom, const Refuse& aRefuse);
  void On(Now aNow, Peer aFrom, const Chunk& aChunk);
  void On(Now aNow, Peer aFrom, const Finish& aFinish);
  void On(Now aNow, Peer aFrom, const QueryReply& aReply);
  void On(Now aNow, Peer aFrom, const ConfigAsk& aAsk);
  void On(Now aNow, Peer aFrom, const ConfigTail& aTail);
  void On(Now aNow, Peer aFrom, const EvidenceReport& aReport);
  void On(Now aNow, Peer aFrom, const Brake& aBrake);
  void On(Now aNow, Peer aFrom, const Suspicion& aSuspicion);
  // Messages that only agents take.
  template<class Other>
  void On(Now /*aNow*/, Peer /*aFrom*/, const Other& /*aOther*/)
  {
  }

  void Note(Now aNow, EventKind aKind, const Pending& aPending, NodeId aPeer,
            std::vector<EventField> aFields = {});
  void RefuseNew(Now aNow, const Submission& aSubmission, Reason aReason, Duration aRetryAfter);
  Duration Jitter(Duration aBase);

  void BeginClaim(Now aNow, Pending& aPending);
  void TakeClaimDecisions(Now aNow);
  void ApplyClaim(Now aNow, Pending& aPending, const ClaimDecision& aDecision);
  void AskHolder(Now aNow, Pending& aPending, const ClaimDecision& aDecision);
  void HolderReply(Now aNow, Pending& aPending, const QueryReply& aReply);

  void Place(Now aNow, Pending& aPending);
  void Reserve(Now aNow, Pending& aPending, NodeId aNode);
  bool MayRun(const Pending& aPending, NodeId aNode) const;
  void CloseReservations(Pending& aPending, NodeId aExcept);
  void Grant(Now aNow, Pending& aPending, Peer aAgent, std::uint64_t aOffer);
  void NotRunAfterGrant(Now aNow, Pending& aPending, Reason aReason, Duration aRetryAfter);
  void AgentLost(Now aNow, Pending& aPending);
  void TryFinish(Now aNow, Pending& aPending);
  void SendQuery(Now aNow, Pending& aPending, bool aBury);
  void ResumeReply(Now aNow, Pending& aPending, Peer aFrom, const QueryReply& aReply);
  void AgentUnreachable(Now aNow, Pending& aPending, Reason aReason);
  void Finalize(Now aNow, Pending& aPending, FinalAnswer aAnswer);
  void Judge(Now aNow, const Pending& aPending, const FinalAnswer& aAnswer);

  Pending* FindPending(const RequestId& aId);
  Pending* FindGranted(const RequestId& aId, const Peer& aFrom);
  void Schedule(Pending& aPending);
  void Deadline(Now aNow, Pending& aPending);
  void DeadlineGranted(Now aNow, Pending& aPending);
  void RunMoves(Now aNow);
  void DropBraked(Now aNow);
  void ConfigChanged(Now aNow, const std::vector<Applied>& aResults);
  void SendTails(Now aNow);
  void FlushClaims(Now aNow);

  std::priority_queue<Due, std::vector<Due>, std::greater<>> due;
  std::unordered_map<NodeId, LogOffset> tailSent;
  TimePoint tailDue = kNever;
  std::unordered_set<std::uint64_t> claimTokens;
  std::uint64_t nextToken = 1;
  std::vector<Candidate> candidates;
  std::vector<NodeId> chosen;
};

// ---- Events and small helpers

void Entry::Impl::Note(Now aNow, EventKind aKind, const Pending& aPending, NodeId aPeer,
                       std::vector<EventField> aFields)
{
  Event event;
  event.time = aNow.steady;
  event.kind = aKind;
  event.request = aPending.submission.id;
  event.peer = aPeer;
  event.account = aPending.submission.account;
  event.subject = aPending.submission.pool;
  event.fields = std::move(aFields);
  this->port.Note(event);
}

// Spreads callers that come back, so that they don't return all at once.
Duration Entry::Impl::Jitter(Duration aBase)
{
  const Duration base = std::max(aBase, Duration(std::chrono::milliseconds(100)));
  const auto count = static_cast<std::uint64_t>(base.count());
  return base + Duration(static_cast<std::int64_t>(this->random.Below(count / 2 + 1)));
}

Pending* Entry::Impl::FindPending(const RequestId& aId)
{
  const auto alias = this->aliases.find(aId);
  const auto found = this->pending.find(alias == this->aliases.end() ? aId : alias->second);
  return found == this->pending.end() ? nullptr : &found->second;
}

// The request, if aFrom is the agent that it was granted to.
Pending* Entry::Impl::FindGranted(const RequestId& aId, const Peer& aFrom)
{
  Pending* request = this->FindPending(aId);
  if (request == nullptr || request->phase != Phase::kGranted || !(request->agent == aFrom)) {
    return nullptr;
  }
  return request;
}

// ---- Acceptance

void Entry::Impl::RefuseNew(Now aNow, const Submission& aSubmission, Reason aReason,
                            Duration aRetryAfter)
{
  Pending request;
  request.submission = aSubmission;
  FinalAnswer answer;
  answer.outcome = Outcome::kNotRun;
  answer.reason = aReason;
  answer.retryAfter = aRetryAfter;
  this->Note(aNow, EventKind::kFinished, request, NodeId{},
             { Field("outcome", std::string(ToString(answer.outcome))),
               Field("reason", std::string(ToString(aReason))) });
  this->port.PassFinal(aSubmission.id, answer);
}

// Accepts a request, or refuses it at once when it cannot be served here.
void Entry::Impl::Submit(Now aNow, Submission aSubmission)
{
  if (this->leaving) {
    this->RefuseNew(aNow, aSubmission, Reason::kDraining, this->Jitter(kDefaultRetry));
    return;
  }
  if (this->pending.size() >= this->options.maxRequests) {
    this->RefuseNew(aNow, aSubmission, Reason::kOverload, this->Jitter(kDefaultRetry));
    return;
  }
  const std::uint32_t estimate = this->lengths.Estimate(
    aSubmission.account, aSubmission.route, aSubmission.promptTokens, aSubmission.maxTokens);
  if (const Account* account = this->feed.State().FindAccount(aSubmission.account)) {
    const auto entries = static_cast<std::uint32_t>(this->peers.Entries().size() + 1);
    const Duration wait =
      this->quotas.Take(aNow.steady, *account, entries, aSubmission.promptTokens + estimate);
    if (wait > Duration::zero()) {
      this->RefuseNew(aNow, aSubmission, Reason::kQuota, this->Jitter(wait));
      return;
    }
  }
  const RequestId id = aSubmission.id;
  Pending& request = this->pending[id];
  request.submission = std::move(aSubmission);
  request.estimate = estimate;
  request.acceptedAt = aNow.steady;
  request.startBy = aNow.steady + request.submission.startWithin;
  request.endBy = aNow.steady + request.submission.endWithin;
  this->Note(aNow, EventKind::kAccepted, request, NodeId{},
             { Field("tier", std::to_string(request.submission.tier)),
               Field("kind", std::string(ToString(request.submission.kind))) });
  if (request.submission.kind == WorkKind::kOnce) {
    this->BeginClaim(aNow, request);
  } else {
    this->Place(aNow, request);
  }
}

// ---- Claims of idempotency keys

// Names one agent for the call and claims the key for it.
void Entry::Impl::BeginClaim(Now aNow, Pending& aPending)
{
  this->peers.Candidates(aPending.submission.pool, std::nullopt, this->candidates);
  std::erase_if(this->candidates, [&](const Candidate& aCandidate) {
    return !this->MayRun(aPending, aCandidate.node);
  });
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
                       aPending.claimAgent);
  } else {
    this->claims.BeginAfter(aNow, submission.id, submission.account, submission.idempotencyKey,
                            aPending.claimAgent, aPending.holderClaim);
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
    case ClaimVerdict::kAsk:
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
  query.bury = true;
  query.take = false;
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

// ---- Placement

// Whether the request may get a reservation at the agent.
bool Entry::Impl::MayRun(const Pending& aPending, NodeId aNode) const
{
  const PeerState* state = this->peers.Find(aNode);
  if (state == nullptr || this->feed.State().IsDrained(state->hello.name)) {
    return false;
  }
  if (this->moves.IsBraked(state->hello.pool, state->hello.version)) {
    return false;
  }
  const auto& asked = aPending.asked;
  return std::find(asked.begin(), asked.end(), aNode) == asked.end();
}

// Places reservations with agents that were not asked yet; gives up when there are none.
void Entry::Impl::Place(Now aNow, Pending& aPending)
{
  const Submission& submission = aPending.submission;
  if (!aPending.version || this->moves.IsBraked(submission.pool, *aPending.version)) {
    aPending.version = this->moves.Choose(aNow, submission.pool, submission.route);
  }
  this->peers.Candidates(submission.pool, aPending.version, this->candidates);
  std::erase_if(this->candidates, [&](const Candidate& aCandidate) {
    const bool claimedElsewhere =
      submission.kind == WorkKind::kOnce && aCandidate.node != aPending.claimAgent;
    return claimedElsewhere || !this->MayRun(aPending, aCandidate.node);
  });
  if (this->candidates.empty()) {
    if (!HasOpenReservation(aPending)) {
      const Reason reason =
        aPending.refusedFor == Reason::kNone ? Reason::kNoEndpoint : aPending.refusedFor;
      const Duration retry =
        aPending.retryAfter > Duration::zero() ? aPending.retryAfter : this->Jitter(kDefaultRetry);
      this->Finalize(aNow, aPending, FinalAnswer{ Outcome::kNotRun, reason, retry });
    }
    return;
  }
  PlaceRequest request;
  request.affinity = this->affinity.Find(aNow.steady, submission.prefixHash);
  request.fingerprint = submission.fingerprint;
  request.suspect = this->suspects.Judge(aNow.steady, submission.fingerprint) != Verdict::kClear;
  const std::size_t count = this->candidates.size() <= this->options.smallPool
                              ? this->candidates.size()
                              : this->options.reservations;
  this->placement.Pick(this->candidates, request, count, this->random, this->chosen);
  for (const NodeId node : this->chosen) {
    this->Reserve(aNow, aPending, node);
  }
  this->Note(aNow, EventKind::kReserved, aPending, NodeId{},
             { Field("agents", std::to_string(this->chosen.size())) });
  this->Schedule(aPending);
}

void Entry::Impl::Reserve(Now aNow, Pending& aPending, NodeId aNode)
{
  const Submission& submission = aPending.submission;
  caraway::Reserve message;
  message.id = submission.id;
  message.account = submission.account;
  message.tier = submission.tier;
  message.kind = submission.kind;
  message.route = submission.route;
  message.startWithin = aPending.startBy - aNow.steady;
  message.endWithin = aPending.endBy - aNow.steady;
  message.promptTokens = submission.promptTokens;
  message.outputTokens = aPending.estimate;
  message.prefixHash = submission.prefixHash;
  message.fingerprint = submission.fingerprint;
  if (const Account* account = this->feed.State().FindAccount(submission.account)) {
    message.weight = account->weight;
  }
  aPending.reservations.push_back(Reservation{ this->peers.Find(aNode)->peer, true });
  aPending.asked.push_back(aNode);
  this->peers.Reserve(aNode);
  this->port.Send(aNode, message);
}

// Withdraws the open reservations, all but the one at aExcept.
void Entry::Impl::CloseReservations(Pending& aPending, NodeId aExcept)
{
  for (Reservation& reservation : aPending.reservations) {
    if (!reservation.open || reservation.agent.node == aExcept) {
      continue;
    }
    reservation.open = false;
    this->peers.Release(reservation.agent.node);
    this->port.Send(reservation.agent.node, Withdraw{ aPending.submission.id });
  }
}

// ---- Offer and grant

void Entry::Impl::On(Now aNow, Peer aFrom, const Offer& aOffer)
{
  const auto found = this->pending.find(aOffer.id);
  const bool wanted = found != this->pending.end() && found->second.phase == Phase::kWaiting;
  if (!wanted) {
    const bool granted = found != this->pending.end() && found->second.agent == aFrom;
    if (!granted) {
      this->port.Send(aFrom.node, Withdraw{ aOffer.id });
    }
    return;
  }
  Pending& request = found->second;
  auto& reservations = request.reservations;
  const auto reservation =
    std::find_if(reservations.begin(), reservations.end(), [&](const Reservation& aReservation) {
      return aReservation.open && aReservation.agent == aFrom;
    });
  const PeerState* state = this->peers.Find(aFrom.node);
  if (reservation == reservations.end() || state == nullptr) {
    this->port.Send(aFrom.node, Withdraw{ aOffer.id });
    return;
  }
  if (this->moves.IsBraked(state->hello.pool, state->hello.version)) {
    this->DropBraked(aNow);
    return;
  }
  this->Grant(aNow, request, aFrom, aOffer.offer);
}

// Sends the body to the agent. From here on the request may run.
void Entry::Impl::Grant(Now aNow, Pending& aPending, Peer aAgent, std::uint64_t aOffer)
{
  this->CloseReservations(aPending, aAgent.node);
  aPending.phase = Phase::kGranted;
  aPending.agent = aAgent;
  aPending.agentLinked = true;
  aPending.agentVersion = this->peers.Find(aAgent.node)->hello.version;
  aPending.grantedAt = aNow.steady;
  aPending.lastHeard = aNow.steady;
  ++aPending.grants;
  caraway::Grant message;
  message.id = aPending.submission.id;
  message.offer = aOffer;
  message.body = aPending.submission.body;
  message.claim = aPending.claim;
  this->Note(aNow, EventKind::kGranted, aPending, aAgent.node);
  this->affinity.Learn(aNow.steady, aPending.submission.prefixHash, aAgent.node);
  this->Schedule(aPending);
  this->port.Send(aAgent.node, message);
}

void Entry::Impl::On(Now aNow, Peer aFrom, const Refuse& aRefuse)
{
  const auto found = this->pending.find(aRefuse.id);
  if (found == this->pending.end() || found->second.phase != Phase::kWaiting) {
    return;
  }
  Pending& request = found->second;
  for (Reservation& reservation : request.reservations) {
    if (reservation.open && reservation.agent == aFrom) {
      reservation.open = false;
      this->peers.Release(aFrom.node);
      request.refusedFor = MoreTelling(aRefuse.reason, request.refusedFor);
      request.lowerTierLeft = request.lowerTierLeft || aRefuse.lowerTierLeft;
      const bool shorter =
        request.retryAfter == Duration::zero() || aRefuse.retryAfter < request.retryAfter;
      request.retryAfter = shorter ? aRefuse.retryAfter : request.retryAfter;
    }
  }
  if (!HasOpenReservation(request)) {
    this->Place(aNow, request);
  }
}

// The agent confirmed that it will never run the request: another one may.
void Entry::Impl::NotRunAfterGrant(Now aNow, Pending& aPending, Reason aReason,
                                   Duration aRetryAfter)
{
  this->peers.Release(aPending.agent->node);
  aPending.agent.reset();
  aPending.reservations.clear();
  aPending.refusedFor = MoreTelling(aReason, aPending.refusedFor);
  const bool again = aPending.submission.kind != WorkKind::kOnce && !aPending.callerGone &&
                     aPending.grants < kMaxGrants && aNow.steady < aPending.startBy &&
                     aReason != Reason::kSuspect && aReason != Reason::kCallerGone;
  if (again) {
    aPending.phase = Phase::kWaiting;
    aPending.retryAfter = Duration::zero();
    this->Place(aNow, aPending);
    return;
  }
  this->Finalize(aNow, aPending, FinalAnswer{ Outcome::kNotRun, aReason, aRetryAfter });
}

// ---- Answers

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
  if (finish.outcome == Outcome::kAnswered && !aPending.assembly.Matches(finish)) {
    this->Note(aNow, EventKind::kViolation, aPending, aPending.agent->node,
               { Field("invariant", "whole_answer") });
    answer.outcome = Outcome::kCut;
    answer.reason = Reason::kEndpointFailed;
  }
  aPending.finish = finish;
  this->port.Send(aPending.agent->node, Ack{ finish.id, finish.chunks, true });
  this->Finalize(aNow, aPending, answer);
}

// ---- Lost agents and resumption

void Entry::Impl::SendQuery(Now aNow, Pending& aPending, bool aBury)
{
  Query query;
  query.id = aPending.holder == RequestId{} ? aPending.submission.id : aPending.holder;
  query.nextChunk = aPending.assembly.Next();
  query.account = aPending.submission.account;
  query.bury = aBury;
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
  Pending& request = this->pending[aId];
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
  query.bury = aAgent.has_value();
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

// ---- Final answers

// Ends the request: exactly one final answer, nothing left at any agent.
void Entry::Impl::Finalize(Now aNow, Pending& aPending, FinalAnswer aAnswer)
{
  const RequestId id = aPending.submission.id;
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

// ---- Timers

// Puts the request's next deadline into the heap unless an earlier one of it is there.
void Entry::Impl::Schedule(Pending& aPending)
{
  TimePoint next = aPending.startBy;
  if (aPending.phase == Phase::kGranted) {
    next = std::min(aPending.endBy, aPending.lastHeard + this->options.grantReplyWithin);
    next = std::min(next, aPending.keepUntil);
  }
  if (next < aPending.nextTimer) {
    aPending.nextTimer = next;
    this->due.push(Due{ next, aPending.submission.id });
  }
}

void Entry::Impl::Deadline(Now aNow, Pending& aPending)
{
  if (aPending.phase == Phase::kGranted) {
    this->DeadlineGranted(aNow, aPending);
    return;
  }
  if (aNow.steady < aPending.startBy) {
    this->Schedule(aPending);
    return;
  }
  if (aPending.phase == Phase::kResuming) {
    this->AgentUnreachable(aNow, aPending, Reason::kEndpointLost);
    return;
  }
  const bool asking = aPending.phase == Phase::kAsking;
  const Outcome outcome = asking ? Outcome::kUnknown : Outcome::kNotRun;
  const Reason reason = asking ? Reason::kKeyInUse : Reason::kOverload;
  const Duration retry =
    aPending.retryAfter > Duration::zero() ? aPending.retryAfter : this->Jitter(kDefaultRetry);
  this->Finalize(aNow, aPending, FinalAnswer{ outcome, reason, retry });
}

void Entry::Impl::DeadlineGranted(Now aNow, Pending& aPending)
{
  const NodeId agent = aPending.agent->node;
  const RequestId id = aPending.submission.id;
  const bool once = aPending.submission.kind == WorkKind::kOnce;
  if (aNow.steady >= aPending.endBy || aNow.steady >= aPending.keepUntil) {
    const bool late = aNow.steady >= aPending.endBy;
    const Reason reason = late ? Reason::kDeadline : Reason::kCallerGone;
    if (!once) {
      this->port.Send(agent, Cancel{ id, reason });
    }
    this->AgentUnreachable(aNow, aPending, reason);
    return;
  }
  if (aNow.steady >= aPending.lastHeard + this->options.grantReplyWithin) {
    if (!aPending.agentLinked) {
      this->AgentUnreachable(aNow, aPending, Reason::kEndpointLost);
      return;
    }
    this->SendQuery(aNow, aPending, true);
    return;
  }
  this->Schedule(aPending);
}

void Entry::Impl::Timer(Now aNow)
{
  while (!this->due.empty() && this->due.top().time <= aNow.steady) {
    const Due top = this->due.top();
    this->due.pop();
    const auto found = this->pending.find(top.id);
    if (found == this->pending.end() || found->second.nextTimer != top.time) {
      continue;
    }
    found->second.nextTimer = kNever;
    this->Deadline(aNow, found->second);
  }
  this->claims.OnTimer(aNow);
  this->TakeClaimDecisions(aNow);
  this->FlushClaims(aNow);
  this->moves.OnTimer(aNow);
  this->RunMoves(aNow);
  if (this->tailDue <= aNow.steady) {
    this->SendTails(aNow);
  }
}

TimePoint Entry::Impl::NextTimer() const
{
  TimePoint next = this->due.empty() ? kNever : this->due.top().time;
  next = std::min(next, this->claims.NextTimer());
  next = std::min(next, this->moves.NextTimer());
  return std::min(next, this->tailDue);
}

// ---- Peers

void Entry::Impl::PeerUp(Now aNow, Peer aPeer, const Hello& aHello)
{
  const PeerState* known = this->peers.Find(aPeer.node);
  const bool fresh = known == nullptr || !(known->peer == aPeer);
  if (fresh && known != nullptr) {
    this->PeerDown(aNow, aPeer.node);
  }
  this->peers.Up(aPeer, aHello);
  if (aHello.configOffset > this->feed.Next()) {
    this->port.Send(aPeer.node, ConfigAsk{ this->feed.Next() });
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
  this->port.Note(event);
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
  this->port.Note(event);
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

// ---- Configuration

void Entry::Impl::TakeLogRecords(Now aNow, const std::vector<LogRecord>& aRecords)
{
  const std::vector<Applied> results = this->feed.TakeRecords(aRecords);
  for (const LogRecord& record : aRecords) {
    this->claims.OnRecord(aNow, record);
  }
  this->ConfigChanged(aNow, results);
  this->TakeClaimDecisions(aNow);
  this->FlushClaims(aNow);
}

void Entry::Impl::On(Now aNow, Peer aFrom, const ConfigAsk& aAsk)
{
  if (aAsk.from < this->feed.Next()) {
    this->tailSent[aFrom.node] = this->feed.Next();
    this->port.Send(aFrom.node, this->feed.Tail(aAsk.from));
  }
  (void)aNow;
}

void Entry::Impl::On(Now aNow, Peer /*aFrom*/, const ConfigTail& aTail)
{
  this->ConfigChanged(aNow, this->feed.TakeTail(aTail));
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
    this->port.Note(event);
  }
  if (this->tailDue == kNever) {
    this->tailDue = aNow.steady + kTailDelay;
  }
  this->moves.OnConfig(aNow, this->feed.State());
  this->RunMoves(aNow);
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
      this->port.Send(node, this->feed.Tail(sent));
      sent = this->feed.Next();
    }
  }
}

void Entry::Impl::AskPeersForConfig()
{
  for (const auto& [node, state] : this->peers.All()) {
    if (state.hello.configOffset > this->feed.Next()) {
      this->port.Send(node, ConfigAsk{ this->feed.Next() });
      return;
    }
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

// ---- Version moves and suspects

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
  if (!this->suspects.OnSuspicion(aNow.steady, aSuspicion.fingerprint, aSuspicion.crashes,
                                  aSuspicion.forgetAfter)) {
    return;
  }
  for (const auto& [node, state] : this->peers.All()) {
    if (node != aFrom.node) {
      this->port.Send(node, aSuspicion);
    }
  }
}

// ---- Shutdown and status

void Entry::Impl::BeginLeaving(Now aNow)
{
  this->leaving = true;
  Event event;
  event.time = aNow.steady;
  event.kind = EventKind::kLeaving;
  event.subject = this->name;
  event.fields = { Field("open", std::to_string(this->pending.size())) };
  this->port.Note(event);
}

std::string Entry::Impl::StatusJson(Now aNow) const
{
  nlohmann::json status;
  status["name"] = this->name;
  status["role"] = "entry";
  status["leaving"] = this->leaving;
  status["config_offset"] = this->feed.Next();
  status["requests"] = this->pending.size();
  status["moves"] = nlohmann::json::parse(this->moves.StatusJson(aNow), nullptr, false);
  nlohmann::json& list = status["peers"] = nlohmann::json::array();
  for (const auto& [node, state] : this->peers.All()) {
    list.push_back({ { "name", state.hello.name },
                     { "role", state.hello.role == Role::kAgent ? "agent" : "entry" },
                     { "pool", state.hello.pool },
                     { "version", state.hello.version },
                     { "leaving", state.hello.leaving },
                     { "failure_domain", state.hello.failureDomain },
                     { "free_slots", state.hello.freeSlots },
                     { "tokens_per_second", state.hello.tokensPerSecond },
                     { "reserved", state.reserved },
                     { "config_offset", state.hello.configOffset } });
  }
  return status.dump();
}

// ---- Public interface

Entry::Entry(const EntryOptions& aOptions, const std::string& aName, Placement& aPlacement,
             Random& aRandom, EntryPort& aPort)
  : impl(std::make_unique<Impl>(aOptions, aName, aPlacement, aRandom, aPort))
{
}

Entry::~Entry() = default;

void Entry::OnSubmit(Now aNow, Submission aSubmission)
{
  this->impl->Submit(aNow, std::move(aSubmission));
}

void Entry::OnResume(Now aNow, const RequestId& aId, const std::string& aAccount,
                     std::uint32_t aNextChunk, std::optional<NodeId> aAgent)
{
  this->impl->Resume(aNow, aId, aAccount, aNextChunk, aAgent);
}

void Entry::OnCallerGone(Now aNow, const RequestId& aId, bool aMayResume)
{
  this->impl->CallerGone(aNow, aId, aMayResume);
}

void Entry::OnPeerUp(Now aNow, Peer aPeer, const Hello& aHello)
{
  this->impl->PeerUp(aNow, aPeer, aHello);
}

void Entry::OnPeerDown(Now aNow, NodeId aNode)
{
  this->impl->PeerDown(aNow, aNode);
}

void Entry::OnMessage(Now aNow, Peer aFrom, const Message& aMessage)
{
  this->impl->Receive(aNow, aFrom, aMessage);
}

void Entry::OnLogRecords(Now aNow, const std::vector<LogRecord>& aRecords)
{
  this->impl->TakeLogRecords(aNow, aRecords);
}

void Entry::OnLogGap(Now /*aNow*/, LogOffset /*aOldest*/)
{
  this->impl->AskPeersForConfig();
}

void Entry::OnAppended(Now aNow, std::uint64_t aToken, AppendResult aResult, LogOffset aFirst)
{
  this->impl->Appended(aNow, aToken, aResult, aFirst);
}

LogOffset Entry::NextRead() const
{
  return this->impl->feed.NextRead();
}

void Entry::OnTimer(Now aNow)
{
  this->impl->Timer(aNow);
}

TimePoint Entry::NextTimer() const
{
  return this->impl->NextTimer();
}

void Entry::BeginLeaving(Now aNow)
{
  this->impl->BeginLeaving(aNow);
}

bool Entry::Idle() const
{
  return this->impl->pending.empty();
}

bool Entry::Owns(const RequestId& aId) const
{
  return this->impl->pending.contains(aId);
}

std::optional<NodeId> Entry::AgentOf(const RequestId& aId) const
{
  const auto found = this->impl->pending.find(aId);
  if (found == this->impl->pending.end() || !found->second.agent) {
    return std::nullopt;
  }
  return found->second.agent->node;
}

const ConfigState& Entry::Config() const
{
  return this->impl->feed.State();
}

std::string Entry::StatusJson(Now aNow) const
{
  return this->impl->StatusJson(aNow);
}

} // namespace caraway
