#include "direct/slot_queue.h"

#include <algorithm>
#include <set>
#include <tuple>

namespace caraway::direct {

namespace {

using std::chrono::milliseconds;

// A running call that its holder does not list is released after this time, which a UseSlot on its
// way cannot take.
constexpr Duration kUnlistedTime = milliseconds(300);

} // namespace

SlotQueue::SlotQueue(const SlotQueueOptions& aOptions, SlotQueuePort& aPort)
  : options(aOptions)
  , port(aPort)
{
}

void SlotQueue::SetLimit(TimePoint aNow, std::uint32_t aLimit)
{
  this->limit = aLimit;
  this->Pump(aNow);
}

void SlotQueue::Reserve(TimePoint aNow, const Peer& aHolder, const ReserveSlot& aReserve)
{
  if (!this->Hear(aNow, aHolder)) {
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
  this->Pump(aNow);
}

void SlotQueue::Withdraw(TimePoint aNow, const Peer& aHolder, CallNumber aCall)
{
  if (!this->Hear(aNow, aHolder)) {
    return;
  }
  const Key key{ aHolder.node, aCall };
  this->waiting.erase(key);
  this->offers.erase(key);
  this->Pump(aNow);
}

void SlotQueue::Use(TimePoint aNow, const Peer& aHolder, const UseSlot& aUse)
{
  if (!this->Hear(aNow, aHolder)) {
    return;
  }
  const Key key{ aHolder.node, aUse.call };
  this->waiting.erase(key);
  this->offers.erase(key);
  const std::uint32_t ahead = this->PendingPrefill() + aUse.promptTokens;
  this->running.insert_or_assign(key, Held{ aHolder, aUse.promptTokens, ahead, aNow });
}

void SlotQueue::BeginAnswer(TimePoint aNow, const Peer& aHolder, CallNumber aCall)
{
  if (!this->Hear(aNow, aHolder)) {
    return;
  }
  const auto found = this->running.find(Key{ aHolder.node, aCall });
  if (found != this->running.end()) {
    if (found->second.prefill > 0) {
      this->pace.OnFirstToken(aNow - found->second.since, found->second.ahead);
    }
    found->second.prefill = 0;
    this->Pump(aNow);
  }
}

void SlotQueue::Release(TimePoint aNow, const Peer& aHolder, CallNumber aCall)
{
  if (!this->Hear(aNow, aHolder)) {
    return;
  }
  const Key key{ aHolder.node, aCall };
  this->waiting.erase(key);
  this->offers.erase(key);
  this->running.erase(key);
  this->Pump(aNow);
}

void SlotQueue::Reconcile(TimePoint aNow, const Peer& aHolder, const HoldState& aState)
{
  if (!this->Hear(aNow, aHolder)) {
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
           aNow - aRow.second.since > kUnlistedTime;
  });
  for (const UseSlot& row : aState.running) {
    const Key key{ aHolder.node, row.call };
    this->waiting.erase(key);
    this->offers.erase(key);
    const auto [place, isNew] =
      this->running.try_emplace(key, Held{ aHolder, row.promptTokens, row.promptTokens, aNow });
    if (!isNew) {
      place->second.prefill = row.promptTokens;
    }
  }
  for (const ReserveSlot& row : aState.waiting) {
    this->Reserve(aNow, aHolder, row);
  }
  this->Pump(aNow);
}

void SlotQueue::DropHolder(TimePoint aNow, NodeId aNode)
{
  const auto isOfNode = [aNode](const auto& aRow) { return aRow.first.node == aNode; };
  std::erase_if(this->waiting, isOfNode);
  std::erase_if(this->offers, isOfNode);
  std::erase_if(this->running, isOfNode);
  this->holders.erase(aNode);
  this->Pump(aNow);
}

// Frees what silent holders hold and offers that were not answered.
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
  std::erase_if(this->offers, [&](const auto& aRow) {
    return aNow - aRow.second.since >= this->options.offerTimeout;
  });
  std::erase_if(this->waiting, [&](const auto& aRow) { return aRow.second.deadline <= aNow; });
  this->Pump(aNow);
}

TimePoint SlotQueue::NextTimer() const
{
  TimePoint next = kNever;
  for (const auto& [node, holder] : this->holders) {
    next = std::min(next, holder.heardAt + this->options.holderTimeout);
  }
  for (const auto& [key, offer] : this->offers) {
    next = std::min(next, offer.since + this->options.offerTimeout);
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

// Remembers a sign of life. A new life of a process holds nothing of the one before; what the one
// before has sent and arrives late is refused.
bool SlotQueue::Hear(TimePoint aNow, const Peer& aHolder)
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

// Offers free slots to the first reservations.
void SlotQueue::Pump(TimePoint aNow)
{
  while (this->Taken() < this->limit && !this->waiting.empty()) {
    const auto first = this->First(aNow);
    if (first == this->waiting.end() || !this->HasRoomFor(first->second)) {
      return;
    }
    const Key key = first->first;
    const Reservation reservation = first->second;
    this->waiting.erase(first);
    this->offers.emplace(key,
                         Held{ reservation.holder, reservation.request.promptTokens, 0, aNow });
    this->port.OfferSlotTo(reservation.holder, key.call);
  }
}

// The engine reads prompts in order of arrival and knows no tiers: a long prompt sent too early
// delays the first event of whatever comes after it.
bool SlotQueue::HasRoomFor(const Reservation& aReservation) const
{
  const std::uint32_t pending = this->PendingPrefill();
  return pending == 0 || pending + aReservation.request.promptTokens <= this->MaxPendingPrefill();
}

// Prompt tokens that this endpoint reads in the time that may wait there. A pace measured among the
// tokens of other requests may look far slower than the engine is.
double SlotQueue::MaxPendingPrefill() const
{
  const Duration reading = this->pace.FirstToken(1000) - this->pace.FirstToken(0);
  const double perMs =
    reading > Duration::zero() ? 1.0 / SecondsOf(reading) : this->options.initialTokensPerMs;
  const double waitMs = SecondsOf(this->options.maxPendingReading) * 1000;
  return std::max(perMs, this->options.leastTokensPerMs) * waitMs;
}

std::map<SlotQueue::Key, SlotQueue::Reservation>::iterator SlotQueue::First(TimePoint aNow)
{
  auto best = this->waiting.end();
  for (auto row = this->waiting.begin(); row != this->waiting.end(); ++row) {
    if (best == this->waiting.end() || GoesBefore(row->second, best->second, aNow)) {
      best = row;
    }
  }
  return best;
}

// Tier first. Inside a tier, calls that can still meet their objective go before those that cannot:
// when more arrives than the slots take, a queue in order of arrival makes all of it late. Then
// rank, and then the call whose time runs out first, or that waits longest where it has run out.
bool SlotQueue::GoesBefore(const Reservation& aLeft, const Reservation& aRight, TimePoint aNow)
{
  const auto keyOf = [aNow](const Reservation& aRow) {
    return std::tuple(aRow.request.tier, aRow.startBy <= aNow, aRow.request.rank, aRow.startBy);
  };
  return keyOf(aLeft) < keyOf(aRight);
}

} // namespace caraway::direct
