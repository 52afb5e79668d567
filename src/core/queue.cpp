#include "core/queue.h"

#include <algorithm>

namespace caraway {

namespace {

// Accounts kept per tier before those without a backlog are dropped.
constexpr std::size_t kMaxIdleAccounts = 512;
constexpr double kMinWeight = 1e-3;

// Unknown tiers, which newer entries may send, count as the lowest tier.
Tier ClampTier(Tier aTier)
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
  aReservation.request.tier = ClampTier(aReservation.request.tier);
  const Tier tier = aReservation.request.tier;
  AccountQueue& accountQueue = this->AccountQueueOf(aReservation.request.account, tier);
  if (accountQueue.order.empty()) {
    accountQueue.virtualTime = std::max(accountQueue.virtualTime, this->tierVirtualTime[tier]);
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
  accountQueue.order.insert(this->PositionOf(accountQueue, slot), slot);
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
  AccountQueue& accountQueue = this->AccountQueueOf(this->slots[slot].request.account, tier);
  accountQueue.order.erase(this->PositionOf(accountQueue, slot));
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
  const Tier tier = ClampTier(aTier);
  AccountQueue& accountQueue = this->AccountQueueOf(aAccount, tier);
  if (aTokens > 0) {
    this->tierVirtualTime[tier] = std::max(this->tierVirtualTime[tier], accountQueue.virtualTime);
  }
  accountQueue.virtualTime += aTokens / std::max(aWeight, kMinWeight);
}

std::size_t ReservationQueue::SizeBelow(Tier aTier) const
{
  std::size_t size = 0;
  for (std::size_t tier = aTier + std::size_t{ 1 }; tier < kTierCount; tier++) {
    size += this->counts.at(tier);
  }
  return size;
}

ReservationQueue::AccountQueue& ReservationQueue::AccountQueueOf(const std::string& aAccount,
                                                                 Tier aTier)
{
  std::vector<AccountQueue>& accountQueues = this->tiers.at(aTier);
  for (AccountQueue& accountQueue : accountQueues) {
    if (accountQueue.account == aAccount) {
      return accountQueue;
    }
  }
  if (accountQueues.size() >= kMaxIdleAccounts) {
    this->DropIdleAccounts(accountQueues);
  }
  accountQueues.push_back(AccountQueue{ aAccount, this->tierVirtualTime.at(aTier), {} });
  return accountQueues.back();
}

// Position of a slot in the account's queue, by start deadline, arrival time and request id.
std::vector<std::uint32_t>::iterator ReservationQueue::PositionOf(AccountQueue& aAccountQueue,
                                                                  std::uint32_t aSlot)
{
  const auto before = [this](std::uint32_t aLeft, std::uint32_t aRight) {
    const Reservation& left = this->slots[aLeft];
    const Reservation& right = this->slots[aRight];
    return std::tie(left.startBy, left.arrived, left.request.id) <
           std::tie(right.startBy, right.arrived, right.request.id);
  };
  return std::lower_bound(aAccountQueue.order.begin(), aAccountQueue.order.end(), aSlot, before);
}

// Drops accounts without a backlog; they restart at the tier's virtual time.
void ReservationQueue::DropIdleAccounts(std::vector<AccountQueue>& aAccountQueues) const
{
  std::erase_if(aAccountQueues,
                [](const AccountQueue& aAccountQueue) { return aAccountQueue.order.empty(); });
}

} // namespace caraway
