// Reservation queue of an agent. Order: tier, then weighted fair queueing between client accounts
// by tokens served, then start deadline.
#pragma once

#include "core/messages.h"

#include <array>
#include <optional>
#include <unordered_map>
#include <vector>

namespace caraway {

// An entry's request for a slot, with its deadlines on the agent's clock.
struct Reservation
{
  Reserve request;
  Peer entry;
  TimePoint arrived;
  TimePoint startBy; // deadline of the first token
  TimePoint endBy;   // deadline of the complete answer
};

// Prompt and estimated output tokens of a request; the cost for fair queueing and the token limit.
inline std::uint64_t TokensOf(const Reserve& aRequest)
{
  return std::uint64_t{ aRequest.promptTokens } + aRequest.outputTokens + 1;
}

class ReservationQueue
{
public:
  explicit ReservationQueue(std::uint32_t aCapacity);

  // Adds a reservation; false if the queue is full or already contains its request.
  bool Push(Reservation aReservation);
  // Removes and returns a reservation.
  std::optional<Reservation> Take(const RequestId& aId);
  const Reservation* Find(const RequestId& aId) const;

  // First reservation in order for which aEligible(reservation) holds; nullptr if there is none.
  template<class Eligible>
  const Reservation* First(Eligible&& aEligible) const
  {
    for (const std::vector<AccountQueue>& tier : this->tiers) {
      const Reservation* best = nullptr;
      double bestTime = 0;
      for (const AccountQueue& accountQueue : tier) {
        if (best != nullptr && accountQueue.virtualTime >= bestTime) {
          continue;
        }
        const Reservation* found = this->FirstIn(accountQueue, aEligible);
        if (found != nullptr) {
          best = found;
          bestTime = accountQueue.virtualTime;
        }
      }
      if (best != nullptr) {
        return best;
      }
    }
    return nullptr;
  }

  // Calls aVisit(reservation) for each, highest tier first; aVisit must not change the queue.
  template<class Visit>
  void ForEach(Visit&& aVisit) const
  {
    for (const std::vector<AccountQueue>& tier : this->tiers) {
      for (const AccountQueue& accountQueue : tier) {
        for (const std::uint32_t slot : accountQueue.order) {
          aVisit(this->slots[slot]);
        }
      }
    }
  }

  // Charges aTokens of service to the account in this tier; a negative number refunds unused
  // service.
  void Charge(const std::string& aAccount, Tier aTier, double aWeight, double aTokens);

  std::size_t Size() const { return this->index.size(); }
  std::size_t Size(Tier aTier) const { return this->counts.at(aTier); }
  // Number of reservations in strictly lower tiers than aTier.
  std::size_t SizeBelow(Tier aTier) const;

private:
  // Reservations of one account in one tier.
  struct AccountQueue
  {
    std::string account;
    double virtualTime = 0;           // tokens served divided by weight
    std::vector<std::uint32_t> order; // indices into ReservationQueue::slots, by start deadline
  };

  template<class Eligible>
  const Reservation* FirstIn(const AccountQueue& aAccountQueue, Eligible&& aEligible) const
  {
    for (const std::uint32_t slot : aAccountQueue.order) {
      if (aEligible(this->slots[slot])) {
        return &this->slots[slot];
      }
    }
    return nullptr;
  }

  AccountQueue& AccountQueueOf(const std::string& aAccount, Tier aTier);
  std::vector<std::uint32_t>::iterator PositionOf(AccountQueue& aAccountQueue, std::uint32_t aSlot);
  void DropIdleAccounts(std::vector<AccountQueue>& aAccountQueues) const;

  std::uint32_t capacity;
  std::vector<Reservation> slots;
  std::vector<std::uint32_t> freeSlots;
  std::unordered_map<RequestId, std::uint32_t> index;
  std::array<std::vector<AccountQueue>, kTierCount> tiers;
  std::array<std::size_t, kTierCount> counts{};
  std::array<double, kTierCount> tierVirtualTime{}; // virtual time of the account served last
};

} // namespace caraway
