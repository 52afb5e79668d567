// Queue for one endpoint's slots: reservations of all entries wait here, and each free slot is
// offered to the one of highest priority. Runs in the agent on the endpoint's VM; an entry keeps
// one for an endpoint that has no agent or whose agent has timed out.
#pragma once

#include "core/health.h"
#include "direct/messages.h"
#include "direct/rate_limiter.h"

#include <array>
#include <map>
#include <optional>
#include <vector>

namespace caraway::direct {

struct SlotQueueOptions
{
  // An offer that is not answered expires after this time; several round trips within a region.
  Duration offerTimeout = std::chrono::milliseconds(120);
  // A holder that sends nothing for this time loses its slots and reservations; several periods of
  // HoldState.
  Duration holderTimeout = std::chrono::milliseconds(1000);
  // Maximum prefill time of the prompts pending at the endpoint before more slots are offered; a
  // quarter of the objective of a typical prompt.
  Duration maxPendingPrefillTime = std::chrono::milliseconds(150);
  // Prefill rate assumed until it is measured, and the lower bound of a measured rate, which is
  // that of the slowest engine.
  double initialTokensPerMs = 40;
  double minTokensPerMs = 20;
};

// Interface to the queue's host. Implementations must not call back into the queue.
class SlotQueuePort
{
public:
  virtual ~SlotQueuePort() = default;
  virtual void OfferSlotTo(const Peer& aHolder, CallNumber aCall) = 0;
};

class SlotQueue
{
public:
  SlotQueue(const SlotQueueOptions& aOptions, SlotQueuePort& aPort);

  // Sets the maximum number of concurrent requests at the endpoint; 0 while it cannot be used.
  void SetLimit(TimePoint aNow, std::uint32_t aLimit);
  std::uint32_t Limit() const { return this->limit; }
  // Sets the maximum number of requests per second; nullopt: no limit.
  void SetRate(TimePoint aNow, std::optional<double> aPerSecond);
  std::optional<double> Rate() const { return this->rate.Rate(); }
  // Sets the maximum number of requests in any second; nullopt: no bound.
  void SetMaxInSecond(TimePoint aNow, std::optional<std::uint32_t> aCount);

  void Reserve(TimePoint aNow, const Peer& aHolder, const ReserveSlot& aReserve);
  void Withdraw(TimePoint aNow, const Peer& aHolder, CallNumber aCall);
  // The holder accepted the offer, or sent the call without one.
  void Use(TimePoint aNow, const Peer& aHolder, const UseSlot& aUse);
  void BeginAnswer(TimePoint aNow, const Peer& aHolder, CallNumber aCall);
  void Release(TimePoint aNow, const Peer& aHolder, CallNumber aCall);
  // Updates the holder's reservations and running calls to match its HoldState.
  void Reconcile(TimePoint aNow, const Peer& aHolder, const HoldState& aState);
  void DropHolder(TimePoint aNow, NodeId aNode);
  // Records a heartbeat of the holder without any other change.
  void KeepAlive(TimePoint aNow, const Peer& aHolder) { this->RenewLease(aNow, aHolder); }

  void OnTimer(TimePoint aNow);
  TimePoint NextTimer(TimePoint aNow) const;

  std::uint32_t Taken() const
  {
    return static_cast<std::uint32_t>(this->running.size() + this->offers.size());
  }
  std::uint32_t PendingPrefill() const;
  // Measured time to the first event over the calls of all holders.
  const LatencyModel& FirstEventPace() const { return this->pace; }
  // Reservations by rank.
  std::array<std::uint16_t, kTierCount> Waiting() const;
  std::size_t WaitingCount() const { return this->waiting.size(); }

private:
  struct Key
  {
    NodeId node{};
    CallNumber call = 0;
    // NOLINTNEXTLINE(modernize-use-nullptr): reported inside the compiler-made operator
    friend auto operator<=>(const Key&, const Key&) = default;
  };
  struct Reservation
  {
    Peer holder;
    ReserveSlot request;
    TimePoint arrived;
    TimePoint startDeadline;
    TimePoint deadline;
  };
  struct OccupiedSlot
  {
    Peer holder;
    std::uint32_t prefill = 0;           // prompt tokens; 0 after the first event
    std::uint32_t cumulativePrefill = 0; // including earlier pending prompts
    TimePoint since;                     // time of the offer or of its use
  };
  struct Holder
  {
    Incarnation incarnation{};
    TimePoint heardAt{};
  };

  bool RenewLease(TimePoint aNow, const Peer& aHolder);
  void OfferFreeSlots(TimePoint aNow);
  bool MayOffer(TimePoint aNow) const
  {
    return this->Taken() < this->limit && this->rate.Allows(aNow, this->offers.size());
  }
  bool HasPrefillCapacityFor(const Reservation& aReservation) const;
  double MaxPendingPrefill() const;
  std::map<Key, Reservation>::iterator FindNext(TimePoint aNow);
  static bool HasPriorityOver(const Reservation& aLeft, const Reservation& aRight, TimePoint aNow);

  SlotQueueOptions options;
  SlotQueuePort& port;
  std::uint32_t limit = 0;
  RateLimiter rate; // charged when an offered slot is used
  LatencyModel pace;
  std::map<Key, Reservation> waiting;
  std::map<Key, OccupiedSlot> offers;
  std::map<Key, OccupiedSlot> running;
  std::map<NodeId, Holder> holders;
};

} // namespace caraway::direct
