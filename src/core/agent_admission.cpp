// Reservations, offers and load shedding of an agent.
#include "core/agent_impl.h"

#include <algorithm>

namespace caraway {

namespace {

constexpr Duration kMinSweepInterval = milliseconds(2); // between two passes over the queue
// Reservations whose expected wait exceeds their time to start by this factor are refused at once.
constexpr int kMaxWaitRatio = 2;
// Prompts are sent while the pending ones take at most this fraction of the first-token target.
constexpr int kPrefillTargetDivisor = 8;
constexpr Duration kNoDeadline = hours(1);
// For refusals that do not depend on the backlog.
constexpr Duration kShortRetryAfter = milliseconds(250);

Duration OrNoDeadline(Duration aTime)
{
  return aTime == Duration::zero() ? kNoDeadline : aTime;
}

} // namespace

void Agent::Impl::On(Now aNow, Peer aFrom, const Reserve& aReserve)
{
  const auto isSame = [&](const Reservation& aRow) { return aRow.entry == aFrom; };
  const Reservation* queued = this->queue.Find(aReserve.id);
  const OpenOffer* offered = this->FindOffer(aReserve.id);
  if ((queued != nullptr && isSame(*queued)) ||
      (offered != nullptr && isSame(offered->reservation))) {
    return;
  }
  Reservation reservation{ aReserve, aFrom, aNow.steady,
                           aNow.steady + OrNoDeadline(aReserve.startWithin),
                           aNow.steady + OrNoDeadline(aReserve.endWithin) };
  reservation.request.tier = std::min(aReserve.tier, kLowestTier);
  const std::optional<Reason> reason = this->ReasonToRefuse(aNow, reservation.request);
  if (reason.has_value()) {
    this->SendRefuse(aNow, reservation, *reason);
    return;
  }
  this->drainRate.OnQueued(aNow.steady, this->queue.Size());
  const bool isQueued = !this->CannotStartInTime(aNow, reservation) &&
                        this->MakeQueueRoom(aNow, reservation) && this->queue.Push(reservation);
  if (!isQueued) {
    this->SendRefuse(aNow, reservation, Reason::kOverload);
    return;
  }
  const StartDeadlines deadlines =
    ComputeStartDeadlines(reservation, this->latency, this->PendingPrefill());
  this->nextSweep = std::min(this->nextSweep, deadlines.preemptAt);
  this->OfferSlots(aNow);
}

// Checks that do not need the queue; empty if the reservation may be queued.
std::optional<Reason> Agent::Impl::ReasonToRefuse(Now aNow, const Reserve& aReserve) const
{
  if (this->IsLeaving()) {
    return Reason::kDraining;
  }
  const Tombstone tombstone = this->tombstones.Find(aReserve.id);
  if (tombstone == Tombstone::kForgotten) {
    return Reason::kKeyExpired;
  }
  if (!MayRun(tombstone) || this->IsReserved(aReserve.id)) {
    return Reason::kKeyInUse;
  }
  if (this->IsBanned(aNow, aReserve.fingerprint)) {
    return Reason::kSuspect;
  }
  if (aReserve.startWithin < Duration::zero()) {
    return Reason::kDeadline;
  }
  return std::nullopt;
}

// Whether the backlog ahead drains too slowly for the reservation to start in time, with no
// lower-tier work to shed for it.
bool Agent::Impl::CannotStartInTime(Now aNow, const Reservation& aReservation) const
{
  const Tier tier = aReservation.request.tier;
  if (this->HasLowerTierWork(tier)) {
    return false;
  }
  const std::size_t ahead = this->queue.Size() - this->queue.SizeBelow(tier);
  const Duration wait = this->drainRate.ExpectedWait(aNow.steady, ahead);
  return wait > (aReservation.startBy - aNow.steady) * kMaxWaitRatio;
}

// Whether strictly lower-tier work is queued, or running and preemptible.
bool Agent::Impl::HasLowerTierWork(Tier aTier) const
{
  return this->queue.SizeBelow(aTier) > 0 || ChooseVictim(this->running, aTier) != nullptr;
}

std::uint32_t Agent::Impl::HeldSlots() const
{
  return this->running.Size() + static_cast<std::uint32_t>(this->offers.size());
}

std::uint64_t Agent::Impl::HeldTokens() const
{
  std::uint64_t tokens = this->running.Tokens();
  for (const OpenOffer& offer : this->offers) {
    tokens += TokensOf(offer.reservation.request);
  }
  return tokens;
}

// Maximum number of requests that may be offered or running now.
std::uint32_t Agent::Impl::Allowance(Now aNow) const
{
  if (this->IsLeaving() || this->IsEndpointSilent(aNow)) {
    return 0;
  }
  return this->breaker.Allowance(this->limiter->Limit());
}

InFlight Agent::Impl::CurrentInFlight() const
{
  return InFlight{ this->HeldSlots(), this->HeldTokens(), this->queue.Size() > 0 };
}

// Whether a suspect is offered or running; nothing else may start beside it.
bool Agent::Impl::HasExclusiveWork() const
{
  const auto isExclusive = [](const RunningRequest& aRow) { return aRow.isExclusive; };
  const auto& rows = this->running.Rows();
  const auto isExclusiveOffer = [](const OpenOffer& aOffer) { return aOffer.isExclusive; };
  return std::any_of(rows.begin(), rows.end(), isExclusive) ||
         std::any_of(this->offers.begin(), this->offers.end(), isExclusiveOffer);
}

bool Agent::Impl::IsEligible(Now aNow, const Reservation& aReservation) const
{
  const auto peer = this->peers.find(aReservation.entry.node);
  if (peer == this->peers.end() || peer->second.isUnresponsive) {
    return false;
  }
  return !this->IsSuspect(aNow, aReservation) || aNow.steady >= this->exclusiveNotBefore;
}

bool Agent::Impl::IsSuspect(Now aNow, const Reservation& aReservation) const
{
  const std::uint64_t fingerprint = aReservation.request.fingerprint;
  return this->suspects.Judge(aNow.steady, fingerprint) != Verdict::kClear;
}

// Whether the fingerprint is refused because it was running during too many recent crashes.
bool Agent::Impl::IsBanned(Now aNow, std::uint64_t aFingerprint) const
{
  return this->suspects.Judge(aNow.steady, aFingerprint) == Verdict::kRefused;
}

bool Agent::Impl::HasRoomFor(Now aNow, const Reservation& aReservation) const
{
  return !this->HasExclusiveWork() && this->HasSlotFor(aNow, aReservation) &&
         !this->IsPrefillFull(aReservation);
}

// Prompt tokens of offered requests and of running ones without a first token.
std::uint32_t Agent::Impl::PendingPrefill() const
{
  std::uint32_t tokens = this->running.PendingPrompt();
  for (const OpenOffer& offer : this->offers) {
    tokens += offer.reservation.request.promptTokens;
  }
  return tokens;
}

// Whether the engine has enough prompts to prefill. Engines prefill in order of arrival and know no
// tiers, so further prompts wait here in queue order until the engine can prefill them soon.
bool Agent::Impl::IsPrefillFull(const Reservation& aReservation) const
{
  const std::uint32_t pending = this->PendingPrefill();
  if (pending == 0 || aReservation.request.kind != WorkKind::kCompletion) {
    return false;
  }
  return this->latency.FirstTokenLatency(pending) >
         this->options.firstTokenTarget / kPrefillTargetDivisor;
}

bool Agent::Impl::HasSlotFor(Now aNow, const Reservation& aReservation) const
{
  const std::uint32_t held = this->HeldSlots();
  if (held >= this->Allowance(aNow)) {
    return false;
  }
  const std::uint64_t tokens = this->HeldTokens() + TokensOf(aReservation.request);
  return held == 0 || tokens <= this->limiter->TokenLimit();
}

// Offers slots to reservations in queue order while there is room. A suspect at the head waits
// until the endpoint is idle and blocks the reservations behind it.
void Agent::Impl::OfferSlots(Now aNow)
{
  std::uint32_t pending = 0;
  const auto isEligible = [&](const Reservation& aRow) {
    const StartDeadlines deadlines = ComputeStartDeadlines(aRow, this->latency, pending);
    return deadlines.refuseAt > aNow.steady && this->IsEligible(aNow, aRow);
  };
  while (this->queue.Size() > 0 && this->HeldSlots() < this->Allowance(aNow)) {
    pending = this->PendingPrefill();
    const Reservation* first = this->queue.First(isEligible);
    if (first == nullptr) {
      return;
    }
    const bool isSuspect = this->IsSuspect(aNow, *first);
    if (!isSuspect) {
      this->exclusiveWaitStart = kNever;
    } else if (this->exclusiveWaitStart == kNever) {
      this->exclusiveWaitStart = aNow.steady;
    }
    if (!this->HasRoomFor(aNow, *first) || (isSuspect && this->HeldSlots() > 0)) {
      return;
    }
    this->SendOffer(aNow, RequestId(first->request.id), isSuspect, this->limiter->Limit());
  }
}

// aAllowed: maximum number of held slots after the offer.
void Agent::Impl::SendOffer(Now aNow, const RequestId& aId, bool aIsExclusive,
                            std::uint32_t aAllowed)
{
  OpenOffer offer{ *this->queue.Take(aId), ++this->lastOffer,
                   aNow.steady + this->options.offerTimeout, aIsExclusive };
  const Reserve& request = offer.reservation.request;
  this->queue.Charge(request.account, request.tier, request.weight,
                     static_cast<double>(TokensOf(request)));
  const NodeId entry = offer.reservation.entry.node;
  this->port.Send(entry, Offer{ aId, offer.number });
  this->Note(aNow, EventKind::kOffered, aId, entry, request.account);
  if (this->IsLeaving()) {
    this->ReportViolation(aNow, aId, "slot offered while the agent is leaving");
  }
  this->offers.push_back(std::move(offer));
  if (this->HeldSlots() > aAllowed) {
    this->ReportViolation(aNow, aId, "offered and running requests exceed the concurrency limit");
  }
}

const OpenOffer* Agent::Impl::FindOffer(const RequestId& aId) const
{
  const auto found =
    std::find_if(this->offers.begin(), this->offers.end(),
                 [&aId](const OpenOffer& aOffer) { return aOffer.reservation.request.id == aId; });
  return found == this->offers.end() ? nullptr : &*found;
}

// Whether the request is queued or holds an offer.
bool Agent::Impl::IsReserved(const RequestId& aId) const
{
  return this->queue.Find(aId) != nullptr || this->FindOffer(aId) != nullptr;
}

void Agent::Impl::DropReservation(const RequestId& aId)
{
  this->queue.Take(aId);
  const std::optional<OpenOffer> offer = this->TakeOffer(aId);
  if (offer.has_value()) {
    this->ReleaseOffer(*offer);
  }
}

std::optional<OpenOffer> Agent::Impl::TakeOffer(const RequestId& aId)
{
  const OpenOffer* found = this->FindOffer(aId);
  if (found == nullptr) {
    return std::nullopt;
  }
  const auto place = this->offers.begin() + (found - this->offers.data());
  OpenOffer taken = std::move(*place);
  this->offers.erase(place);
  return taken;
}

// Refunds the service charged for an offer that was not granted.
void Agent::Impl::ReleaseOffer(const OpenOffer& aOffer)
{
  const Reserve& request = aOffer.reservation.request;
  this->queue.Charge(request.account, request.tier, request.weight,
                     -static_cast<double>(TokensOf(request)));
  if (aOffer.isExclusive) {
    this->exclusiveWaitStart = kNever;
  }
}

// Frees the slots of timed-out offers. Their reservations are queued again, and their entries get
// no offers until they send a message.
void Agent::Impl::ExpireOffers(Now aNow)
{
  std::vector<RequestId> expired;
  for (const OpenOffer& offer : this->offers) {
    if (offer.expires <= aNow.steady) {
      expired.push_back(offer.reservation.request.id);
    }
  }
  for (const RequestId& id : expired) {
    OpenOffer offer = *this->TakeOffer(id);
    this->ReleaseOffer(offer);
    const auto peer = this->peers.find(offer.reservation.entry.node);
    if (peer != this->peers.end()) {
      peer->second.isUnresponsive = true;
    }
    if (this->IsLeaving()) {
      this->SendRefuse(aNow, offer.reservation, Reason::kDraining);
    } else {
      this->nextSweep = std::min(this->nextSweep, aNow.steady);
      this->queue.Push(std::move(offer.reservation));
    }
  }
}

void Agent::Impl::On(Now aNow, Peer aFrom, const Withdraw& aWithdraw)
{
  const Reservation* queued = this->queue.Find(aWithdraw.id);
  if (queued != nullptr && queued->entry == aFrom) {
    this->drainRate.OnServed(aNow.steady);
    this->queue.Take(aWithdraw.id);
  }
  const OpenOffer* offered = this->FindOffer(aWithdraw.id);
  if (offered != nullptr && offered->reservation.entry == aFrom) {
    this->drainRate.OnServed(aNow.steady);
    this->ReleaseOffer(*this->TakeOffer(aWithdraw.id));
  }
  this->OfferSlots(aNow);
}

void Agent::Impl::DropReservationsOf(NodeId aNode)
{
  std::vector<RequestId> ids;
  this->queue.ForEach([&](const Reservation& aRow) {
    if (aRow.entry.node == aNode) {
      ids.push_back(aRow.request.id);
    }
  });
  for (const OpenOffer& offer : this->offers) {
    if (offer.reservation.entry.node == aNode) {
      ids.push_back(offer.reservation.request.id);
    }
  }
  for (const RequestId& id : ids) {
    this->DropReservation(id);
  }
}

// Refuses a reservation that is no longer queued; its request has not run.
void Agent::Impl::SendRefuse(Now aNow, const Reservation& aReservation, Reason aReason)
{
  const Reserve& request = aReservation.request;
  Refuse refuse{ request.id, aReason };
  const bool isOverload = aReason == Reason::kOverload;
  if (aReason == Reason::kSuspect && this->IsBanned(aNow, request.fingerprint)) {
    refuse.retryAfter = this->suspects.ForgetAfter(aNow.steady, request.fingerprint);
  } else if (isOverload) {
    const std::size_t backlog = this->queue.Size() - this->queue.SizeBelow(request.tier);
    refuse.retryAfter = this->drainRate.RetryAfter(aNow.steady, backlog, this->random);
    refuse.lowerTierLeft =
      this->queue.SizeBelow(request.tier) > 0 || this->CanRoomBeMade(aNow, aReservation);
  } else {
    refuse.retryAfter = kShortRetryAfter;
  }
  if (isOverload) {
    this->checker.OnShed(aNow, request.id, request.tier, refuse.lowerTierLeft);
  }
  this->Note(
    aNow, EventKind::kRefused, request.id, aReservation.entry.node, request.account,
    { { "reason", std::string(ToString(aReason)) }, { "tier", std::to_string(request.tier) } });
  this->port.Send(aReservation.entry.node, refuse);
}

// Lower-tier work to preempt for the reservation; nullptr if there is none. If prefill is the
// bottleneck, only work without a first token is chosen, unless aIsLastAttempt: the reservation is
// refused otherwise, and no lower-tier work may continue in that case.
const RunningRequest* Agent::Impl::VictimFor(Now aNow, const Reservation& aReservation,
                                             bool aIsLastAttempt) const
{
  if (this->Allowance(aNow) == 0 || !this->IsEligible(aNow, aReservation) ||
      this->IsSuspect(aNow, aReservation) || this->HasExclusiveWork()) {
    return nullptr;
  }
  const Tier tier = aReservation.request.tier;
  const RunningRequest* unstarted =
    this->IsPrefillFull(aReservation) ? ChoosePrefillVictim(this->running, tier) : nullptr;
  const bool mustBeUnstarted = this->IsPrefillFull(aReservation) && !aIsLastAttempt;
  return unstarted != nullptr || mustBeUnstarted ? unstarted : ChooseVictim(this->running, tier);
}

bool Agent::Impl::CanRoomBeMade(Now aNow, const Reservation& aReservation) const
{
  return this->VictimFor(aNow, aReservation, true) != nullptr;
}

// Checks the deadlines of all queued reservations: preempts lower-tier work for those about to miss
// their start, and refuses those that can no longer start in time.
void Agent::Impl::SweepQueue(Now aNow)
{
  if (aNow.steady < this->nextSweep) {
    return;
  }
  this->nextSweep = kNever;
  std::vector<RequestId> due;
  const std::uint32_t pending = this->PendingPrefill();
  this->queue.ForEach([&](const Reservation& aRow) {
    const StartDeadlines deadlines = ComputeStartDeadlines(aRow, this->latency, pending);
    if (deadlines.preemptAt <= aNow.steady) {
      due.push_back(aRow.request.id);
    }
    for (const TimePoint step : { deadlines.preemptAt, deadlines.replaceAt, deadlines.refuseAt }) {
      this->nextSweep = step > aNow.steady ? std::min(this->nextSweep, step) : this->nextSweep;
    }
  });
  if (this->nextSweep != kNever) {
    this->nextSweep = std::max(this->nextSweep, aNow.steady + kMinSweepInterval);
  }
  for (const RequestId& id : due) {
    this->ProcessDue(aNow, id);
  }
}

// Gets a due reservation a slot, by preemption if none frees in time, or refuses it after its start
// deadline.
void Agent::Impl::ProcessDue(Now aNow, const RequestId& aId)
{
  const Reservation* row = this->queue.Find(aId);
  if (row == nullptr) {
    return;
  }
  const StartDeadlines deadlines =
    ComputeStartDeadlines(*row, this->latency, this->PendingPrefill());
  const bool isPastStart = deadlines.refuseAt <= aNow.steady;
  const Duration timeLeft = deadlines.refuseAt - aNow.steady;
  const bool isSlotFreeInTime = TimeToFreeSlot(this->running, this->latency) <= timeLeft;
  const bool isOneSlotEnough = this->HeldSlots() <= this->Allowance(aNow);
  const bool mustPreempt =
    isPastStart || deadlines.replaceAt <= aNow.steady || (isOneSlotEnough && !isSlotFreeInTime);
  if (mustPreempt && this->PreemptFor(aNow, aId, isPastStart)) {
    return;
  }
  if (!isPastStart) {
    return;
  }
  const Reason reason = this->DelayReason(aNow, *row);
  if (reason == Reason::kOverload) {
    this->RefuseLowerTiers(aNow, row->request.tier);
  }
  const std::optional<Reservation> taken = this->queue.Take(aId);
  if (taken.has_value()) {
    this->SendRefuse(aNow, *taken, reason);
  }
}

// Reason why a queued reservation missed its start deadline.
Reason Agent::Impl::DelayReason(Now aNow, const Reservation& aReservation) const
{
  if (this->IsSuspect(aNow, aReservation)) {
    return Reason::kSuspect;
  }
  if (!this->IsEligible(aNow, aReservation)) {
    return Reason::kDeadline;
  }
  return this->Allowance(aNow) == 0 ? Reason::kNoEndpoint : Reason::kOverload;
}

// Preempts lower-tier work until the queued reservation has a slot; false if nothing is left to
// preempt. If more is in flight than the limit, the reservation replaces the preempted request one
// for one: preempting down to the limit first would waste many answers for one.
bool Agent::Impl::PreemptFor(Now aNow, const RequestId& aId, bool aIsLastAttempt)
{
  const Reservation* row = this->queue.Find(aId);
  while (row != nullptr) {
    const RunningRequest* victim = this->VictimFor(aNow, *row, aIsLastAttempt);
    if (victim == nullptr) {
      return false;
    }
    const std::uint32_t before = this->HeldSlots();
    this->Stop(aNow, RequestId(victim->id), Reason::kPreempted);
    row = this->queue.Find(aId);
    if (row != nullptr && this->HeldSlots() < before) {
      this->SendOffer(aNow, aId, false, before);
      return true;
    }
  }
  return true;
}

// Makes room for a reservation in a full queue by refusing reservations of lower tiers, or by
// preempting running ones.
bool Agent::Impl::MakeQueueRoom(Now aNow, const Reservation& aReservation)
{
  while (this->queue.Size() >= this->options.maxQueue) {
    const std::vector<RequestId> lower = this->QueuedBelow(aReservation.request.tier);
    if (!lower.empty()) {
      this->PreemptOrRefuse(aNow, lower.front());
    } else if (this->CanRoomBeMade(aNow, aReservation)) {
      this->Stop(aNow, RequestId(this->VictimFor(aNow, aReservation, true)->id),
                 Reason::kPreempted);
    } else {
      return false;
    }
  }
  return true;
}

// Requests queued in strictly lower tiers, lowest tier first.
std::vector<RequestId> Agent::Impl::QueuedBelow(Tier aTier) const
{
  std::vector<RequestId> lower;
  this->queue.ForEach([&](const Reservation& aRow) {
    if (aRow.request.tier > aTier) {
      lower.push_back(aRow.request.id);
    }
  });
  std::reverse(lower.begin(), lower.end());
  return lower;
}

// Refuses all reservations in strictly lower tiers, lowest tier first, except those that get a slot
// by preemption.
void Agent::Impl::RefuseLowerTiers(Now aNow, Tier aTier)
{
  for (const RequestId& id : this->QueuedBelow(aTier)) {
    this->PreemptOrRefuse(aNow, id);
  }
}

// Gets a queued reservation a slot by preempting still lower tiers, or refuses it.
void Agent::Impl::PreemptOrRefuse(Now aNow, const RequestId& aId)
{
  if (this->PreemptFor(aNow, aId, true)) {
    return;
  }
  this->SendRefuse(aNow, *this->queue.Take(aId), Reason::kOverload);
}

} // namespace caraway
