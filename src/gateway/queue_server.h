// Serves the slot queue of one endpoint to entries: tracks the entries that send messages, and
// sends them the state of the queue.
#pragma once

#include "direct/slot_queue.h"
#include "runtime/address.h"

#include <map>
#include <string>
#include <vector>

namespace caraway::gateway {

struct QueueServerOptions
{
  std::uint32_t idleStatePeriods = 3; // periods between states to an entry that holds nothing
  // An entry that sent nothing for this long is removed.
  Duration entryTimeout = std::chrono::seconds(3);
  // Entries listed in one state; enough for a new entry to discover all others within seconds.
  std::size_t entriesPerState = 2;
  direct::SlotQueueOptions queue;
};

class QueueServerPort
{
public:
  virtual ~QueueServerPort() = default;
  virtual void SendFromQueue(const Address& aEntry, const direct::QueueMessage& aMessage) = 0;
};

class QueueServer final : private direct::SlotQueuePort
{
public:
  QueueServer(const QueueServerOptions& aOptions, QueueServerPort& aPort);

  void SetLimit(TimePoint aNow, std::uint32_t aLimit) { this->queue.SetLimit(aNow, aLimit); }
  void SetRate(TimePoint aNow, std::optional<double> aPerSecond)
  {
    this->queue.SetRate(aNow, aPerSecond);
  }
  void SetMaxInSecond(TimePoint aNow, std::optional<std::uint32_t> aCount)
  {
    this->queue.SetMaxInSecond(aNow, aCount);
  }
  // Returns true if the entry was unknown before.
  bool OnMessage(TimePoint aNow, const Address& aFrom, const Peer& aPeer,
                 const direct::QueueMessage& aMessage);
  // Slots of the endpoint as reported by entries; 0 if unknown.
  std::uint32_t Slots() const { return this->slots; }

  // The queue's part of an AgentState; the caller fills in the fields about the endpoint.
  direct::AgentState State() const;
  // Sends aState, and aRate and aCold if there are any, to the entries that are due, and removes
  // entries that timed out.
  void SendStates(TimePoint aNow, const direct::AgentState& aState,
                  const std::optional<direct::RateNews>& aRate,
                  const std::optional<direct::ColdNews>& aCold);
  void SendToAll(const direct::QueueMessage& aMessage);

  void OnTimer(TimePoint aNow) { this->queue.OnTimer(aNow); }
  TimePoint NextTimer(TimePoint aNow) const { return this->queue.NextTimer(aNow); }
  const direct::SlotQueue& Queue() const { return this->queue; }
  std::size_t EntryCount() const { return this->entries.size(); }

private:
  struct EntryRow
  {
    Address address;
    TimePoint heardAt{};
    bool hasHolds = false; // had slots or reservations here according to its last message
  };

  void OfferSlotTo(const Peer& aHolder, direct::CallNumber aCall) override;

  QueueServerOptions options;
  QueueServerPort& port;
  direct::SlotQueue queue;
  std::map<NodeId, EntryRow> entries;
  std::uint32_t slots = 0;
  std::uint32_t stateRound = 0;
};

} // namespace caraway::gateway
