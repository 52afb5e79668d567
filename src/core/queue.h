// Queue of reservations at an agent: ordered by tier, then fair share between client accounts by
// weight and tokens, then start deadline.
#pragma once

#include "core/messages.h"

#include <array>
#include <optional>
#include <unordered_map>
#include <vector>

namespace caraway {

// An entry's wish for a slot, with its deadlines on the agent's clock.
struct Reservation
{
  Reserve request;
  Peer entry;
  TimePoint arrived;
  TimePoint startBy; // the first token is due
  TimePoint endBy;   // the whole answer is due
};

// Prompt and estimated output of a request, the unit of fair shares and of tokens in flight.
inline std::uint64_t TokensOf(const Reserve& aRequest)
{
  return std::uint64_t{ aRequest.promptTokens } + aRequest.outputTokens + 1;
}

class ReservationQueue
{
public:
  explicit ReservationQueue(std::uint32_t aCapacity);

  // Adds a reservation; false if the queue is full or holds its request already.
  bool Push(Reservation aReservation);
  // Removes and returns a reservation.
  std::optional<Reservation> Take(const RequestId& aId);
  const Reservation* Find(const RequestId& aId) const;

  // First reservation in order for which aEligible(reservation) holds; nullptr if there is none.
  template<class Eligible>
  const Reservation* First(Eligible&& aEligible) const
  {
    for (const std::vector<Lane>& tier : this->tiers) {
      const Reservation* best = nullptr;
      double bestTime = 0;
      for (const Lane& lane : tier) {
        if (best != nullptr && lane.virtualTime >= bestTime) {
          continue;
        }
        const Reservation* found = this->FirstOf(lane, aEligible);
        if (found != nullptr) {
          best = found;
          bestTime = lane.virtualTime;
        }
      }
      if (best != nullptr) {
        return best;
      }
    }
    return nullptr;
  }

  // Calls aVisit(reservation) for each, tier by tier; the queue must not change meanwhile.
  template<class Visit>
  void ForEach(Visit&& aVisit) const
  {
    for (const std::vector<Lane>& tier : this->tiers) {
      for (const Lane& lane : tier) {
        for (const std::uint32_t slot : lane.order) {
          aVisit(this->slots[slot]);
        }
      }
    }
  }

  // Counts aTokens of service against the account's share of the tier; a negative number gives
  // service back that was not used.
  void Charge(const std::string& aAccount, Tier aTier, double aWeight, double aTokens);

  std::size_t Size() const { return this->index.size(); }
  std::size_t Size(Tier aTier) const { return this->counts.at(aTier); }
  // Number of reservations in strictly lower tiers than aTier.
  std::size_t SizeBelow(Tier aTier) const;

private:
  // Reservations of one account in one tier.
  struct Lane
  {
    std::string account;
    double virtualTime = 0;           // tokens served over weight
    std::vector<std::uint32_t> order; // slots by start deadline
  };

  template<class Eligible>
  const Reservation* FirstOf(const Lane& aLane, Eligible&& aEligible) const
  {
    for (const std::uint32_t slot : aLane.order) {
      if (aEligible(this->slots[slot])) {
        return &this->slots[slot];
      }
    }
    return nullptr;
  }

  Lane& LaneOf(const std::string& aAccount, Tier aTier);
  std::vector<std::uint32_t>::iterator PlaceOf(Lane& aLane, std::uint32_t aSlot);
  void DropIdleLanes(std::vector<Lane>& aLanes) const;

  std::uint32_t capacity;
  std::vector<Reservation> slots;
  std::vector<std::uint32_t> freeSlots;
  std::unordered_map<RequestId, std::uint32_t> index;
  std::array<std::vector<Lane>, kTierCount> tiers;
  std::array<std::size_t, kTierCount> counts{};
  std::array<double, kTierCount> virtualNow{}; // virtual time of the lane served last
};

} // namespace caraway
