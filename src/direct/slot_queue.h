// The queue before one endpoint's slots: reservations of all entries wait here, and each slot that
// falls free is offered to the first of them. Runs in the agent beside the endpoint; an entry keeps
// one of its own for an endpoint whose agent is silent or that has none.
#pragma once

#include "core/health.h"
#include "direct/messages.h"

#include <array>
#include <map>
#include <vector>

namespace caraway::direct {

struct SlotQueueOptions
{
  // An offer without an answer is void after this time; several round trips within a region.
  Duration offerTimeout = std::chrono::milliseconds(120);
  // A holder without a sign of life loses what it holds; some periods of HoldState.
  Duration holderTimeout = std::chrono::milliseconds(1000);
  // Reading time of the prompts that may wait for their first event at the endpoint before more is
  // offered; a quarter of the objective of a usual prompt.
  Duration maxPendingReading = std::chrono::milliseconds(150);
  // Assumed until the endpoint's pace is known, and of the slowest engine at all.
  double initialTokensPerMs = 40;
  double leastTokensPerMs = 20;
};

// What a queue asks of its host. Calls must not call back into the queue.
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

  // Requests that may be at the endpoint at once; 0 while it cannot be used.
  void SetLimit(TimePoint aNow, std::uint32_t aLimit);
  std::uint32_t Limit() const { return this->limit; }

  void Reserve(TimePoint aNow, const Peer& aHolder, const ReserveSlot& aReserve);
  void Withdraw(TimePoint aNow, const Peer& aHolder, CallNumber aCall);
  // The holder took the offer, or sent the call without one.
  void Use(TimePoint aNow, const Peer& aHolder, const UseSlot& aUse);
  void BeginAnswer(TimePoint aNow, const Peer& aHolder, CallNumber aCall);
  void Release(TimePoint aNow, const Peer& aHolder, CallNumber aCall);
  // Takes over the holder's own account of what it holds.
  void Reconcile(TimePoint aNow, const Peer& aHolder, const HoldState& aState);
  void DropHolder(TimePoint aNow, NodeId aNode);
  // The holder gives a sign of life without a change.
  void KeepHolder(TimePoint aNow, const Peer& aHolder) { this->Hear(aNow, aHolder); }

  void OnTimer(TimePoint aNow);
  TimePoint NextTimer() const;

  std::uint32_t Taken() const
  {
    return static_cast<std::uint32_t>(this->running.size() + this->offers.size());
  }
  std::uint32_t PendingPrefill() const;
  // How long the endpoint takes to the first event, as seen over all holders.
  const LatencyModel& FirstEvents() const { return this->pace; }
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
    TimePoint startBy;
    TimePoint deadline;
  };
  struct Held
  {
    Peer holder;
    std::uint32_t prefill = 0; // prompt tokens before the first event
    std::uint32_t ahead = 0;   // with those of the prompts before it
    TimePoint since;           // of the offer or the use
  };
  struct Holder
  {
    Incarnation incarnation{};
    TimePoint heardAt{};
  };

  bool Hear(TimePoint aNow, const Peer& aHolder);
  void Pump(TimePoint aNow);
  bool HasRoomFor(const Reservation& aReservation) const;
  double MaxPendingPrefill() const;
  std::map<Key, Reservation>::iterator First(TimePoint aNow);
  static bool GoesBefore(const Reservation& aLeft, const Reservation& aRight, TimePoint aNow);

  SlotQueueOptions options;
  SlotQueuePort& port;
  std::uint32_t limit = 0;
  LatencyModel pace;
  std::map<Key, Reservation> waiting;
  std::map<Key, Held> offers;
  std::map<Key, Held> running;
  std::map<NodeId, Holder> holders;
};

} // namespace caraway::direct
