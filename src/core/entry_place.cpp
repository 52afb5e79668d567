#include "core/entry_impl.h"

#include <algorithm>

namespace caraway {

namespace {

// Limit on the grants of one request. A request is granted again only after the previous agent
// confirmed that it never ran.
constexpr std::uint32_t kMaxGrants = 3;

// Returns the refusal reason that is more informative to the caller.
Reason MoreInformative(Reason aLeft, Reason aRight)
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

} // namespace

// Whether a reservation for the request may be placed at the agent.
bool Entry::Impl::IsEligible(const Pending& aPending, NodeId aNode) const
{
  const PeerState* state = this->peers.Find(aNode);
  if (state == nullptr || this->feed.State().IsDrained(state->hello.name)) {
    return false;
  }
  if (this->moves.IsBraked(state->hello.pool, state->hello.version)) {
    return false;
  }
  const auto& contactedAgents = aPending.contactedAgents;
  return std::find(contactedAgents.begin(), contactedAgents.end(), aNode) == contactedAgents.end();
}

// Finds the agents that may serve the request, of the version chosen by a running move. If there
// are none, uses the move's fallback version, so that a version without endpoints or free capacity
// causes no refusals.
void Entry::Impl::FindCandidates(Now aNow, Pending& aPending)
{
  const Submission& submission = aPending.submission;
  if (!aPending.version || this->moves.IsBraked(submission.pool, *aPending.version)) {
    aPending.version = this->moves.ChooseVersion(aNow, submission.pool, submission.route);
  }
  this->FilterCandidates(aPending);
  if (!this->candidates.empty() || HasOpenReservation(aPending)) {
    return;
  }
  const std::optional<std::string> fallback = this->moves.FallbackVersion(submission.pool);
  if (fallback != aPending.version) {
    aPending.version = fallback;
    this->FilterCandidates(aPending);
  }
}

void Entry::Impl::FilterCandidates(const Pending& aPending)
{
  const bool isClaimed = aPending.claimAgent != NodeId{};
  this->peers.Candidates(aPending.submission.pool, aPending.version, this->candidates);
  std::erase_if(this->candidates, [&](const Candidate& aCandidate) {
    const bool isClaimedElsewhere = isClaimed && aCandidate.node != aPending.claimAgent;
    return isClaimedElsewhere || !this->IsEligible(aPending, aCandidate.node);
  });
}

// Places reservations at agents that were not contacted yet. If there are none and no reservation
// is open, ends the request.
void Entry::Impl::Place(Now aNow, Pending& aPending)
{
  const Submission& submission = aPending.submission;
  this->FindCandidates(aNow, aPending);
  if (this->candidates.empty()) {
    if (!HasOpenReservation(aPending)) {
      const Reason reason =
        aPending.refusalReason == Reason::kNone ? Reason::kNoEndpoint : aPending.refusalReason;
      const Duration retryDelay = aPending.retryAfter > Duration::zero()
                                    ? aPending.retryAfter
                                    : this->Jitter(kDefaultRetryDelay);
      if (reason == Reason::kOverload) {
        this->checker.OnShed(aNow, submission.id, submission.tier, aPending.lowerTierLeft);
      }
      this->Finalize(aNow, aPending, FinalAnswer{ Outcome::kNotRun, reason, retryDelay });
    }
    return;
  }
  PlacementRequest request;
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
  this->ScheduleTimer(aPending);
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
  aPending.contactedAgents.push_back(aNode);
  this->peers.Reserve(aNode);
  this->port.Send(aNode, message);
}

// Withdraws all open reservations except the one at aExcept.
void Entry::Impl::WithdrawReservations(Pending& aPending, NodeId aExcept)
{
  for (Reservation& reservation : aPending.reservations) {
    if (!reservation.isOpen || reservation.agent.node == aExcept) {
      continue;
    }
    reservation.isOpen = false;
    this->peers.Release(reservation.agent.node);
    this->port.Send(reservation.agent.node, Withdraw{ aPending.submission.id });
  }
}

void Entry::Impl::On(Now aNow, Peer aFrom, const Offer& aOffer)
{
  const auto found = this->pending.find(aOffer.id);
  const bool isWaiting = found != this->pending.end() && found->second.phase == Phase::kWaiting;
  if (!isWaiting) {
    const bool isGranted = found != this->pending.end() && found->second.agent == aFrom;
    if (!isGranted) {
      this->port.Send(aFrom.node, Withdraw{ aOffer.id });
    }
    return;
  }
  Pending& request = found->second;
  auto& reservations = request.reservations;
  const auto reservation =
    std::find_if(reservations.begin(), reservations.end(), [&](const Reservation& aReservation) {
      return aReservation.isOpen && aReservation.agent == aFrom;
    });
  const PeerState* state = this->peers.Find(aFrom.node);
  if (reservation == reservations.end() || state == nullptr) {
    this->port.Send(aFrom.node, Withdraw{ aOffer.id });
    return;
  }
  if (this->moves.IsBraked(state->hello.pool, state->hello.version)) {
    this->WithdrawFromBraked(aNow);
    return;
  }
  this->Grant(aNow, request, aFrom, aOffer.offer);
}

// Sends the body to the agent. From now on the request may have run.
void Entry::Impl::Grant(Now aNow, Pending& aPending, Peer aAgent, std::uint64_t aOffer)
{
  this->WithdrawReservations(aPending, aAgent.node);
  aPending.phase = Phase::kGranted;
  aPending.agent = aAgent;
  aPending.isAgentLinked = true;
  aPending.agentVersion = this->peers.Find(aAgent.node)->hello.version;
  aPending.grantedAt = aNow.steady;
  aPending.lastMessageAt = aNow.steady;
  ++aPending.grants;
  this->checker.OnGrant(aNow, aPending.submission.id, std::nullopt);
  caraway::Grant message;
  message.id = aPending.submission.id;
  message.offer = aOffer;
  message.body = aPending.submission.body;
  message.claim = aPending.claim;
  this->Note(aNow, EventKind::kGranted, aPending, aAgent.node);
  this->affinity.Learn(aNow.steady, aPending.submission.prefixHash, aAgent.node);
  this->ScheduleTimer(aPending);
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
    if (reservation.isOpen && reservation.agent == aFrom) {
      reservation.isOpen = false;
      this->peers.Release(aFrom.node);
      request.refusalReason = MoreInformative(aRefuse.reason, request.refusalReason);
      request.lowerTierLeft = request.lowerTierLeft || aRefuse.lowerTierLeft;
      const bool isShorter =
        request.retryAfter == Duration::zero() || aRefuse.retryAfter < request.retryAfter;
      request.retryAfter = isShorter ? aRefuse.retryAfter : request.retryAfter;
    }
  }
  if (!HasOpenReservation(request)) {
    this->Place(aNow, request);
  }
}

// The agent confirmed that it will never run the request, so another agent may run it.
void Entry::Impl::OnGrantNotRun(Now aNow, Pending& aPending, Reason aReason, Duration aRetryAfter)
{
  this->checker.OnGrantRevoked(aPending.submission.id);
  this->peers.Release(aPending.agent->node);
  aPending.agent.reset();
  aPending.reservations.clear();
  aPending.refusalReason = MoreInformative(aReason, aPending.refusalReason);
  const bool mayRetry = aPending.submission.kind != WorkKind::kOnce && !aPending.isCallerGone &&
                        aPending.grants < kMaxGrants && aNow.steady < aPending.startBy &&
                        aReason != Reason::kSuspect && aReason != Reason::kCallerGone;
  if (mayRetry) {
    aPending.phase = Phase::kWaiting;
    aPending.retryAfter = Duration::zero();
    this->Place(aNow, aPending);
    return;
  }
  this->Finalize(aNow, aPending, FinalAnswer{ Outcome::kNotRun, aReason, aRetryAfter });
}

} // namespace caraway
