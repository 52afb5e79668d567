#include "core/queue.h"

#include <algorithm>

namespace caraway {

namespace {

constexpr std::size_t kMaxIdleLanes = 512; // accounts of one tier remembered without a backlog
constexpr double kLeastWeight = 1e-3;

// Tiers above the last one come from newer entries; they count as the lowest.
Tier Bounded(Tier aTier)
{
  return std::min(aTier, kLowestTier);
}

} // namespace

ReservationQueue::ReservationQueue(std::uint32_t aCapacity)
  : capacity(aCapacity)
{
  this->index.reserve(std::min<std::uint32_t>(aCapacity, 4096));
}

bool ReservationQueue::Push(Reservation aReservation)
{
  if (this->index.size() >= this->capacity || this->index.contains(aReservation.request.id)) {
    return false;
  }
  aReservation.request.tier = Bounded(aReservation.request.tier);
  const Tier tier = aReservation.request.tier;
  Lane& lane = this->LaneOf(aReservation.request.account, tier);
  if (lane.order.empty()) {
    lane.virtualTime = std::max(lane.virtualTime, this->virtualNow[tier]);
  }
  std::uint32_t slot = 0;
  if (this->freeSlots.empty()) {
    slot = static_cast<std::uint32_t>(this->slots.size());
    this->slots.emplace_back();
  } else {
    slot = this->freeSlots.back();
    this->freeSlots.pop_back();
  }
  this->index.emplace(aReservation.request.id, slot);
  this->slots[slot] = std::move(aReservation);
  lane.order.insert(this->PlaceOf(lane, slot), slot);
  this->counts[tier]++;
  return true;
}

std::optional<Reservation> ReservationQueue::Take(const RequestId& aId)
{
  const auto found = this->index.find(aId);
  if (found == this->index.end()) {
    return std::nullopt;
  }
  const std::uint32_t slot = found->second;
  const Tier tier = this->slots[slot].request.tier;
  Lane& lane = this->LaneOf(this->slots[slot].request.account, tier);
  lane.order.erase(this->PlaceOf(lane, slot));
  Reservation taken = std::move(this->slots[slot]);
  this->index.erase(found);
  this->freeSlots.push_back(slot);
  this->counts[tier]--;
  return taken;
}

const Reservation* ReservationQueue::Find(const RequestId& aId) const
{
  const auto found = this->index.find(aId);
  return found == this->index.end() ? nullptr : &this->slots[found->second];
}

void ReservationQueue::Charge(const std::string& aAccount, Tier aTier, double aWeight,
                              double aTokens)
{
  const Tier tier = Bounded(aTier);
  Lane& lane = this->LaneOf(aAccount, tier);
  if (aTokens > 0) {
    this->virtualNow[tier] = std::max(this->virtualNow[tier], lane.virtualTime);
  }
  lane.virtualTime += aTokens / std::max(aWeight, kLeastWeight);
}

std::size_t ReservationQueue::SizeBelow(Tier aTier) const
{
  std::size_t size = 0;
  for (std::size_t tier = aTier + std::size_t{ 1 }; tier < kTierCount; tier++) {
    size += this->counts.at(tier);
  }
  return size;
}

ReservationQueue::Lane& ReservationQueue::LaneOf(const std::string& aAccount, Tier aTier)
{
  std::vector<Lane>& lanes = this->tiers.at(aTier);
  for (Lane& lane : lanes) {
    if (lane.account == aAccount) {
      return lane;
    }
  }
  if (lanes.size() >= kMaxIdleLanes) {
    this->DropIdleLanes(lanes);
  }
  lanes.push_back(Lane{ aAccount, this->virtualNow.at(aTier), {} });
  return lanes.back();
}

// Place of a slot in its lane, by start deadline, then arrival, then request.
std::vector<std::uint32_t>::iterator ReservationQueue::PlaceOf(Lane& aLane, std::uint32_t aSlot)
{
  const auto before = [this](std::uint32_t aLeft, std::uint32_t aRight) {
    const Reservation& left = this->slots[aLeft];
    const Reservation& right = this->slots[aRight];
    return std::tie(left.startBy, left.arrived, left.request.id) <
           std::tie(right.startBy, right.arrived, right.request.id);
  };
  return std::lower_bound(aLane.order.begin(), aLane.order.end(), aSlot, before);
}

// Forgets accounts without a backlog; they start again at the tier's virtual time.
void ReservationQueue::DropIdleLanes(std::vector<Lane>& aLanes) const
{
  std::erase_if(aLanes, [](const Lane& aLane) { return aLane.order.empty(); });
}

} // namespace caraway
