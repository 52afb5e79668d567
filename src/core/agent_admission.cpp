// Reservations, offers and shedding of an agent.
#include "core/agent_impl.h"

#include <algorithm>

namespace caraway {

namespace {

constexpr Duration kSweepPause = milliseconds(2); // least time between two passes over the queue
constexpr int kHopeless = 2;     // expected wait over the time to start: refused at once
constexpr int kPrefillShare = 8; // prompts are sent while those at the engine take this part of
                                 // the target of the first token
constexpr Duration kNoDeadline = hours(1);
constexpr Duration kBriefRetry = milliseconds(250); // nothing stands in the way of a new try

Duration OrNone(Duration aTime)
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
  Reservation reservation{ aReserve, aFrom, aNow.steady, aNow.steady + OrNone(aReserve.startWithin),
                           aNow.steady + OrNone(aReserve.endWithin) };
  reservation.request.tier = std::min(aReserve.tier, kLowestTier);
  const std::optional<Reason> reason = this->ReasonToRefuse(aNow, reservation.request);
  if (reason.has_value()) {
    this->SendRefuse(aNow, reservation, *reason);
    return;
  }
  this->drain.OnQueued(aNow.steady, this->queue.Size());
  const bool isPlaced = !this->IsHopeless(aNow, reservation) &&
                        this->MakeQueueRoom(aNow, reservation) && this->queue.Push(reservation);
  if (!isPlaced) {
    this->SendRefuse(aNow, reservation, Reason::kOverload);
    return;
  }
  const StartPlan plan = PlanStart(reservation, this->pace, this->PendingPrefill());
  this->nextSweep = std::min(this->nextSweep, plan.cutAt);
  this->OfferSlots(aNow);
}

// Reasons that are known before the reservation is queued.
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

// The backlog before the reservation drains so slowly that it cannot start in time, and nothing
// lower could be given up for it.
bool Agent::Impl::IsHopeless(Now aNow, const Reservation& aReservation) const
{
  const Tier tier = aReservation.request.tier;
  if (this->HasLowerTier(tier)) {
    return false;
  }
  const std::size_t ahead = this->queue.Size() - this->queue.SizeBelow(tier);
  const Duration wait = this->drain.WaitFor(aNow.steady, ahead);
  return wait > (aReservation.startBy - aNow.steady) * kHopeless;
}

// Strictly lower-tier work that could make room is queued or running here.
bool Agent::Impl::HasLowerTier(Tier aTier) const
{
  return this->queue.SizeBelow(aTier) > 0 || ChooseVictim(this->running, aTier) != nullptr;
}

std::uint32_t Agent::Impl::Held() const
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

// Most requests that may be offered or running now.
std::uint32_t Agent::Impl::Allowance(Now aNow) const
{
  if (this->IsLeaving() || this->IsSilent(aNow)) {
    return 0;
  }
  return this->breaker.Allowance(this->limiter->Limit());
}

InFlight Agent::Impl::CurrentInFlight() const
{
  return InFlight{ this->Held(), this->HeldTokens(), this->queue.Size() > 0 };
}

// A suspect has the endpoint for itself.
bool Agent::Impl::IsAloneBusy() const
{
  const auto isAlone = [](const Running& aRow) { return aRow.isAlone; };
  const auto& rows = this->running.Rows();
  const auto isAloneOffer = [](const OpenOffer& aOffer) { return aOffer.isAlone; };
  return std::any_of(rows.begin(), rows.end(), isAlone) ||
         std::any_of(this->offers.begin(), this->offers.end(), isAloneOffer);
}

bool Agent::Impl::IsEligible(Now aNow, const Reservation& aReservation) const
{
  const auto peer = this->peers.find(aReservation.entry.node);
  if (peer == this->peers.end() || peer->second.isSilent) {
    return false;
  }
  return !this->IsSuspect(aNow, aReservation) || aNow.steady >= this->aloneAfter;
}

bool Agent::Impl::IsSuspect(Now aNow, const Reservation& aReservation) const
{
  const std::uint64_t fingerprint = aReservation.request.fingerprint;
  return this->suspects.Judge(aNow.steady, fingerprint) != Verdict::kClear;
}

// The fingerprint was running in so many crashes that it is refused for a while.
bool Agent::Impl::IsBanned(Now aNow, std::uint64_t aFingerprint) const
{
  return this->suspects.Judge(aNow.steady, aFingerprint) == Verdict::kRefused;
}

bool Agent::Impl::HasRoomFor(Now aNow, const Reservation& aReservation) const
{
  return !this->IsAloneBusy() && this->HasSlotFor(aNow, aReservation) &&
         !this->IsPrefillFull(aReservation);
}

// Prompt tokens that are at the endpoint or offered and wait for their first token.
std::uint32_t Agent::Impl::PendingPrefill() const
{
  std::uint32_t tokens = this->running.PendingPrompt();
  for (const OpenOffer& offer : this->offers) {
    tokens += offer.reservation.request.promptTokens;
  }
  return tokens;
}

// The engine computes prompts in the order of their arrival and knows no tiers, so prompts wait
// here, in the order of the queue, unless their turn at the engine comes soon.
bool Agent::Impl::IsPrefillFull(const Reservation& aReservation) const
{
  const std::uint32_t pending = this->PendingPrefill();
  if (pending == 0 || aReservation.request.kind != WorkKind::kCompletion) {
    return false;
  }
  return this->pace.FirstToken(pending) > this->options.firstTokenTarget / kPrefillShare;
}

bool Agent::Impl::HasSlotFor(Now aNow, const Reservation& aReservation) const
{
  const std::uint32_t held = this->Held();
  if (held >= this->Allowance(aNow)) {
    return false;
  }
  const std::uint64_t tokens = this->HeldTokens() + TokensOf(aReservation.request);
  return held == 0 || tokens <= this->limiter->TokenLimit();
}

// Offers slots to the first reservations in order while there is room. A suspect at the head waits
// until the endpoint is empty, and nothing passes it meanwhile.
void Agent::Impl::OfferSlots(Now aNow)
{
  std::uint32_t pending = 0;
  const auto isEligible = [&](const Reservation& aRow) {
    const StartPlan plan = PlanStart(aRow, this->pace, pending);
    return plan.refuseAt > aNow.steady && this->IsEligible(aNow, aRow);
  };
  while (this->queue.Size() > 0 && this->Held() < this->Allowance(aNow)) {
    pending = this->PendingPrefill();
    const Reservation* first = this->queue.First(isEligible);
    if (first == nullptr) {
      return;
    }
    const bool isSuspect = this->IsSuspect(aNow, *first);
    if (!isSuspect) {
      this->aloneWaitStart = kNever;
    } else if (this->aloneWaitStart == kNever) {
      this->aloneWaitStart = aNow.steady;
    }
    if (!this->HasRoomFor(aNow, *first) || (isSuspect && this->Held() > 0)) {
      return;
    }
    this->SendOffer(aNow, RequestId(first->request.id), isSuspect, this->limiter->Limit());
  }
}

// aAllowed: most that may be held afterwards.
void Agent::Impl::SendOffer(Now aNow, const RequestId& aId, bool aIsAlone, std::uint32_t aAllowed)
{
  OpenOffer offer{ *this->queue.Take(aId), ++this->lastOffer,
                   aNow.steady + this->options.offerTimeout, aIsAlone };
  const Reserve& request = offer.reservation.request;
  this->queue.Charge(request.account, request.tier, request.weight,
                     static_cast<double>(TokensOf(request)));
  const NodeId entry = offer.reservation.entry.node;
  this->port.Send(entry, Offer{ aId, offer.number });
  this->Note(aNow, EventKind::kOffered, aId, entry, request.account);
  if (this->IsLeaving()) {
    this->Violate(aNow, aId, "offer while leaving");
  }
  this->offers.push_back(std::move(offer));
  if (this->Held() > aAllowed) {
    this->Violate(aNow, aId, "more offers and running work than the limit");
  }
}

const OpenOffer* Agent::Impl::FindOffer(const RequestId& aId) const
{
  const auto found =
    std::find_if(this->offers.begin(), this->offers.end(),
                 [&aId](const OpenOffer& aOffer) { return aOffer.reservation.request.id == aId; });
  return found == this->offers.end() ? nullptr : &*found;
}

// The request waits in the queue or holds an offer.
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

// Gives back the service that was counted for an offer without a grant.
void Agent::Impl::ReleaseOffer(const OpenOffer& aOffer)
{
  const Reserve& request = aOffer.reservation.request;
  this->queue.Charge(request.account, request.tier, request.weight,
                     -static_cast<double>(TokensOf(request)));
  if (aOffer.isAlone) {
    this->aloneWaitStart = kNever;
  }
}

// Frees the slots of offers without an answer. Their reservations queue again, and their entries
// get no further offer until they say something.
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
      peer->second.isSilent = true;
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
    this->drain.OnServed(aNow.steady);
    this->queue.Take(aWithdraw.id);
  }
  const OpenOffer* offered = this->FindOffer(aWithdraw.id);
  if (offered != nullptr && offered->reservation.entry == aFrom) {
    this->drain.OnServed(aNow.steady);
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

// Drops a reservation that is no longer queued. Nothing of it has run.
void Agent::Impl::SendRefuse(Now aNow, const Reservation& aReservation, Reason aReason)
{
  const Reserve& request = aReservation.request;
  Refuse refuse{ request.id, aReason };
  const bool isOverload = aReason == Reason::kOverload;
  if (aReason == Reason::kSuspect && this->IsBanned(aNow, request.fingerprint)) {
    refuse.retryAfter = this->suspects.ForgetAfter(aNow.steady, request.fingerprint);
  } else if (isOverload) {
    const std::size_t backlog = this->queue.Size() - this->queue.SizeBelow(request.tier);
    refuse.retryAfter = this->drain.RetryAfter(aNow.steady, backlog, this->random);
    refuse.lowerTierLeft =
      this->queue.SizeBelow(request.tier) > 0 || this->CanRoomBeMade(aNow, aReservation);
  } else {
    refuse.retryAfter = kBriefRetry;
  }
  if (isOverload) {
    this->checker.OnShed(aNow, request.id, request.tier, refuse.lowerTierLeft);
  }
  this->Note(
    aNow, EventKind::kRefused, request.id, aReservation.entry.node, request.account,
    { { "reason", std::string(ToString(aReason)) }, { "tier", std::to_string(request.tier) } });
  this->port.Send(aReservation.entry.node, refuse);
}

// Lower-tier work whose place the reservation could take; nullptr if there is none. When only
// prefill is in its way, that is work that has not begun to answer, unless aIsLast: the reservation
// would be refused otherwise, and nothing lower may run on then.
const Running* Agent::Impl::VictimFor(Now aNow, const Reservation& aReservation, bool aIsLast) const
{
  if (this->Allowance(aNow) == 0 || !this->IsEligible(aNow, aReservation) ||
      this->IsSuspect(aNow, aReservation) || this->IsAloneBusy()) {
    return nullptr;
  }
  const Tier tier = aReservation.request.tier;
  const Running* unstarted =
    this->IsPrefillFull(aReservation) ? ChoosePrefillVictim(this->running, tier) : nullptr;
  const bool onlyUnstarted = this->IsPrefillFull(aReservation) && !aIsLast;
  return unstarted != nullptr || onlyUnstarted ? unstarted : ChooseVictim(this->running, tier);
}

bool Agent::Impl::CanRoomBeMade(Now aNow, const Reservation& aReservation) const
{
  return this->VictimFor(aNow, aReservation, true) != nullptr;
}

// Looks at every reservation: cuts lower-tier work for those that would miss their start, and
// refuses those that can no longer make it.
void Agent::Impl::SweepQueue(Now aNow)
{
  if (aNow.steady < this->nextSweep) {
    return;
  }
  this->nextSweep = kNever;
  std::vector<RequestId> due;
  const std::uint32_t pending = this->PendingPrefill();
  this->queue.ForEach([&](const Reservation& aRow) {
    const StartPlan plan = PlanStart(aRow, this->pace, pending);
    if (plan.cutAt <= aNow.steady) {
      due.push_back(aRow.request.id);
    }
    for (const TimePoint step : { plan.cutAt, plan.replaceAt, plan.refuseAt }) {
      this->nextSweep = step > aNow.steady ? std::min(this->nextSweep, step) : this->nextSweep;
    }
  });
  if (this->nextSweep != kNever) {
    this->nextSweep = std::max(this->nextSweep, aNow.steady + kSweepPause);
  }
  for (const RequestId& id : due) {
    this->ServeDue(aNow, id);
  }
}

// Gives a due reservation a slot, by cutting if one will not free by itself, or refuses it when its
// time is over.
void Agent::Impl::ServeDue(Now aNow, const RequestId& aId)
{
  const Reservation* row = this->queue.Find(aId);
  if (row == nullptr) {
    return;
  }
  const StartPlan plan = PlanStart(*row, this->pace, this->PendingPrefill());
  const bool isOver = plan.refuseAt <= aNow.steady;
  const Duration timeLeft = plan.refuseAt - aNow.steady;
  const bool freesInTime = NextFreeSlot(this->running, this->pace) <= timeLeft;
  const bool oneSuffices = this->Held() <= this->Allowance(aNow);
  const bool mustCut = isOver || plan.replaceAt <= aNow.steady || (oneSuffices && !freesInTime);
  if (mustCut && this->CutFor(aNow, aId, isOver)) {
    return;
  }
  if (!isOver) {
    return;
  }
  const Reason reason = this->ReasonOfDelay(aNow, *row);
  if (reason == Reason::kOverload) {
    this->RefuseBelow(aNow, row->request.tier);
  }
  const std::optional<Reservation> taken = this->queue.Take(aId);
  if (taken.has_value()) {
    this->SendRefuse(aNow, *taken, reason);
  }
}

// Why a queued reservation could not start before its deadline.
Reason Agent::Impl::ReasonOfDelay(Now aNow, const Reservation& aReservation) const
{
  if (this->IsSuspect(aNow, aReservation)) {
    return Reason::kSuspect;
  }
  if (!this->IsEligible(aNow, aReservation)) {
    return Reason::kDeadline;
  }
  return this->Allowance(aNow) == 0 ? Reason::kNoEndpoint : Reason::kOverload;
}

// Cuts lower-tier work until the queued reservation has its slot; false if nothing more can be cut.
// Where more is in flight than the limit, the reservation takes the place of what was cut: to cut
// down to the limit first would waste many answers for one.
bool Agent::Impl::CutFor(Now aNow, const RequestId& aId, bool aIsLast)
{
  const Reservation* row = this->queue.Find(aId);
  while (row != nullptr) {
    const Running* victim = this->VictimFor(aNow, *row, aIsLast);
    if (victim == nullptr) {
      return false;
    }
    const std::uint32_t before = this->Held();
    this->Stop(aNow, RequestId(victim->id), Reason::kPreempted);
    row = this->queue.Find(aId);
    if (row != nullptr && this->Held() < before) {
      this->SendOffer(aNow, aId, false, before);
      return true;
    }
  }
  return true;
}

// Frees a place in a full queue for a reservation: gives up the lowest reservation below it.
bool Agent::Impl::MakeQueueRoom(Now aNow, const Reservation& aReservation)
{
  while (this->queue.Size() >= this->options.maxQueue) {
    const std::vector<RequestId> lower = this->QueuedBelow(aReservation.request.tier);
    if (!lower.empty()) {
      this->GiveUp(aNow, lower.front());
    } else if (this->CanRoomBeMade(aNow, aReservation)) {
      this->Stop(aNow, RequestId(this->VictimFor(aNow, aReservation, true)->id),
                 Reason::kPreempted);
    } else {
      return false;
    }
  }
  return true;
}

// Requests queued in strictly lower tiers, the lowest tier first.
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

// Refuses everything queued in strictly lower tiers, the lowest first.
void Agent::Impl::RefuseBelow(Now aNow, Tier aTier)
{
  for (const RequestId& id : this->QueuedBelow(aTier)) {
    this->GiveUp(aNow, id);
  }
}

// Refuses a queued reservation, unless cutting still lower work gets it a slot.
void Agent::Impl::GiveUp(Now aNow, const RequestId& aId)
{
  if (this->CutFor(aNow, aId, true)) {
    return;
  }
  this->SendRefuse(aNow, *this->queue.Take(aId), Reason::kOverload);
}

} // namespace caraway
