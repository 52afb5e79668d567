#include "direct/slot_queue.h"

#include <algorithm>
#include <set>
#include <tuple>

namespace caraway::direct {

namespace {

using std::chrono::milliseconds;

// A running call that is missing from its holder's HoldState is released after this time. A UseSlot
// message in transit takes less.
constexpr Duration kUnlistedGracePeriod = milliseconds(300);

} // namespace

SlotQueue::SlotQueue(const SlotQueueOptions& aOptions, SlotQueuePort& aPort)
  : options(aOptions)
  , port(aPort)
{
}

void SlotQueue::SetLimit(TimePoint aNow, std::uint32_t aLimit)
{
  this->limit = aLimit;
  this->OfferFreeSlots(aNow);
}

void SlotQueue::SetRate(TimePoint aNow, std::optional<double> aPerSecond)
{
  this->rate.SetRate(aNow, aPerSecond);
  this->OfferFreeSlots(aNow);
}

void SlotQueue::SetMaxInSecond(TimePoint aNow, std::optional<std::uint32_t> aCount)
{
  this->rate.SetMaxInSecond(aCount);
  this->OfferFreeSlots(aNow);
}

void SlotQueue::Reserve(TimePoint aNow, const Peer& aHolder, const ReserveSlot& aReserve)
{
  if (!this->RenewLease(aNow, aHolder)) {
    return;
  }
  const Key key{ aHolder.node, aReserve.call };
  if (this->waiting.contains(key) || this->offers.contains(key) || this->running.contains(key)) {
    return;
  }
  Reservation reservation{ aHolder, aReserve, aNow, aNow + milliseconds(aReserve.startWithinMs),
                           aNow + milliseconds(aReserve.endWithinMs) };
  reservation.request.tier = std::min(aReserve.tier, kLowestTier);
  reservation.request.rank = std::min(aReserve.rank, kLowestTier);
  this->waiting.emplace(key, reservation);
  this->OfferFreeSlots(aNow);
}

void SlotQueue::Withdraw(TimePoint aNow, const Peer& aHolder, CallNumber aCall)
{
  if (!this->RenewLease(aNow, aHolder)) {
    return;
  }
  const Key key{ aHolder.node, aCall };
  this->waiting.erase(key);
  this->offers.erase(key);
  this->OfferFreeSlots(aNow);
}

void SlotQueue::Use(TimePoint aNow, const Peer& aHolder, const UseSlot& aUse)
{
  if (!this->RenewLease(aNow, aHolder)) {
    return;
  }
  const Key key{ aHolder.node, aUse.call };
  this->waiting.erase(key);
  this->offers.erase(key);
  const std::uint32_t cumulativePrefill = this->PendingPrefill() + aUse.promptTokens;
  const auto [place, isNew] = this->running.insert_or_assign(
    key, OccupiedSlot{ aHolder, aUse.promptTokens, cumulativePrefill, aNow });
  if (isNew) {
    this->rate.Charge(aNow);
  }
}

void SlotQueue::BeginAnswer(TimePoint aNow, const Peer& aHolder, CallNumber aCall)
{
  if (!this->RenewLease(aNow, aHolder)) {
    return;
  }
  const auto found = this->running.find(Key{ aHolder.node, aCall });
  if (found != this->running.end()) {
    if (found->second.prefill > 0) {
      this->pace.OnFirstToken(aNow - found->second.since, found->second.cumulativePrefill);
    }
    found->second.prefill = 0;
    this->OfferFreeSlots(aNow);
  }
}

void SlotQueue::Release(TimePoint aNow, const Peer& aHolder, CallNumber aCall)
{
  if (!this->RenewLease(aNow, aHolder)) {
    return;
  }
  const Key key{ aHolder.node, aCall };
  this->waiting.erase(key);
  if (this->offers.erase(key) > 0) {
    this->rate.Charge(aNow); // the message that the offer was used was lost
  }
  this->running.erase(key);
  this->OfferFreeSlots(aNow);
}

void SlotQueue::Reconcile(TimePoint aNow, const Peer& aHolder, const HoldState& aState)
{
  // What a holder brings along from another queue was charged there.
  const bool isKnown = this->holders.contains(aHolder.node);
  if (!this->RenewLease(aNow, aHolder)) {
    return;
  }
  std::set<CallNumber> waits;
  std::set<CallNumber> runs;
  for (const ReserveSlot& row : aState.waiting) {
    waits.insert(row.call);
  }
  for (const UseSlot& row : aState.running) {
    runs.insert(row.call);
  }
  std::erase_if(this->waiting, [&](const auto& aRow) {
    return aRow.first.node == aHolder.node && !waits.contains(aRow.first.call);
  });
  std::erase_if(this->running, [&](const auto& aRow) {
    return aRow.first.node == aHolder.node && !runs.contains(aRow.first.call) &&
           aNow - aRow.second.since > kUnlistedGracePeriod;
  });
  for (const UseSlot& row : aState.running) {
    const Key key{ aHolder.node, row.call };
    this->waiting.erase(key);
    this->offers.erase(key);
    const auto [place, isNew] = this->running.try_emplace(
      key, OccupiedSlot{ aHolder, row.promptTokens, row.promptTokens, aNow });
    if (!isNew) {
      place->second.prefill = row.promptTokens;
    } else if (isKnown) {
      this->rate.Charge(aNow);
    }
  }
  for (const ReserveSlot& row : aState.waiting) {
    this->Reserve(aNow, aHolder, row);
  }
  this->OfferFreeSlots(aNow);
}

void SlotQueue::DropHolder(TimePoint aNow, NodeId aNode)
{
  const auto isOfNode = [aNode](const auto& aRow) { return aRow.first.node == aNode; };
  std::erase_if(this->waiting, isOfNode);
  std::erase_if(this->offers, isOfNode);
  std::erase_if(this->running, isOfNode);
  this->holders.erase(aNode);
  this->OfferFreeSlots(aNow);
}

// Releases the slots and reservations of timed-out holders, expired offers and expired
// reservations.
void SlotQueue::OnTimer(TimePoint aNow)
{
  std::vector<NodeId> silent;
  for (const auto& [node, holder] : this->holders) {
    if (aNow - holder.heardAt >= this->options.holderTimeout) {
      silent.push_back(node);
    }
  }
  for (const NodeId node : silent) {
    this->DropHolder(aNow, node);
  }
  const std::size_t expired = std::erase_if(this->offers, [&](const auto& aRow) {
    return aNow - aRow.second.since >= this->options.offerTimeout;
  });
  if (this->rate.MaxInSecond()) {
    for (std::size_t count = 0; count < expired; count++) {
      this->rate.Charge(aNow); // its holder may be slow and use it yet
    }
  }
  std::erase_if(this->waiting, [&](const auto& aRow) { return aRow.second.deadline <= aNow; });
  this->OfferFreeSlots(aNow);
}

TimePoint SlotQueue::NextTimer(TimePoint aNow) const
{
  TimePoint next = kNever;
  for (const auto& [node, holder] : this->holders) {
    next = std::min(next, holder.heardAt + this->options.holderTimeout);
  }
  for (const auto& [key, offer] : this->offers) {
    next = std::min(next, offer.since + this->options.offerTimeout);
  }
  const std::size_t pending = this->offers.size();
  if (!this->waiting.empty() && !this->rate.Allows(aNow, pending)) {
    next = std::min(next, this->rate.NextAllowed(aNow, pending));
  }
  return next;
}

std::uint32_t SlotQueue::PendingPrefill() const
{
  std::uint32_t tokens = 0;
  for (const auto& [key, row] : this->running) {
    tokens += row.prefill;
  }
  for (const auto& [key, row] : this->offers) {
    tokens += row.prefill;
  }
  return tokens;
}

std::array<std::uint16_t, kTierCount> SlotQueue::Waiting() const
{
  std::array<std::uint16_t, kTierCount> counts{};
  for (const auto& [key, row] : this->waiting) {
    counts.at(row.request.rank)++;
  }
  return counts;
}

// Records a heartbeat of the holder. A restarted process holds nothing of its previous incarnation;
// returns false for messages of an earlier incarnation that arrive late.
bool SlotQueue::RenewLease(TimePoint aNow, const Peer& aHolder)
{
  const auto found = this->holders.find(aHolder.node);
  if (found != this->holders.end()) {
    if (aHolder.incarnation < found->second.incarnation) {
      return false;
    }
    if (aHolder.incarnation > found->second.incarnation) {
      this->DropHolder(aNow, aHolder.node);
    }
  }
  this->holders[aHolder.node] = Holder{ aHolder.incarnation, aNow };
  return true;
}

// Offers free slots to the reservations of highest priority.
void SlotQueue::OfferFreeSlots(TimePoint aNow)
{
  while (!this->waiting.empty() && this->MayOffer(aNow)) {
    const auto first = this->FindNext(aNow);
    if (first == this->waiting.end() || !this->HasPrefillCapacityFor(first->second)) {
      return;
    }
    const Key key = first->first;
    const Reservation reservation = first->second;
    this->waiting.erase(first);
    this->offers.emplace(
      key, OccupiedSlot{ reservation.holder, reservation.request.promptTokens, 0, aNow });
    this->port.OfferSlotTo(reservation.holder, key.call);
  }
}

// Limits the prefill that is pending at the engine: the engine prefills prompts in order of arrival
// without regard to tiers, so a long prompt sent too early delays the first event of all later
// ones.
bool SlotQueue::HasPrefillCapacityFor(const Reservation& aReservation) const
{
  const std::uint32_t pending = this->PendingPrefill();
  return pending == 0 || pending + aReservation.request.promptTokens <= this->MaxPendingPrefill();
}

// Prompt tokens that the endpoint prefills in maxPendingPrefillTime. The rate has a lower bound
// because a rate measured while other requests generate tokens can be far below the engine's.
double SlotQueue::MaxPendingPrefill() const
{
  const Duration prefillTime = this->pace.FirstTokenLatency(1000) - this->pace.FirstTokenLatency(0);
  const double perMs = prefillTime > Duration::zero() ? 1.0 / SecondsOf(prefillTime)
                                                      : this->options.initialTokensPerMs;
  const double waitMs = SecondsOf(this->options.maxPendingPrefillTime) * 1000;
  return std::max(perMs, this->options.minTokensPerMs) * waitMs;
}

std::map<SlotQueue::Key, SlotQueue::Reservation>::iterator SlotQueue::FindNext(TimePoint aNow)
{
  auto best = this->waiting.end();
  for (auto row = this->waiting.begin(); row != this->waiting.end(); ++row) {
    if (best == this->waiting.end() || HasPriorityOver(row->second, best->second, aNow)) {
      best = row;
    }
  }
  return best;
}

// Orders by tier first. Within a tier, calls that can still meet their objective precede those that
// cannot, because under overload a queue in order of arrival makes all calls late. Then by rank,
// and last by start deadline, earliest first.
bool SlotQueue::HasPriorityOver(const Reservation& aLeft, const Reservation& aRight, TimePoint aNow)
{
  const auto keyOf = [aNow](const Reservation& aRow) {
    return std::tuple(aRow.request.tier, aRow.startDeadline <= aNow, aRow.request.rank,
                      aRow.startDeadline);
  };
  return keyOf(aLeft) < keyOf(aRight);
}

} // namespace caraway::direct
