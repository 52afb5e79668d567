// The queue before one endpoint's slots as a server for entries: knows which entries it hears, and
// tells them the state of the queue.
#pragma once

#include "direct/slot_queue.h"
#include "runtime/address.h"

#include <map>
#include <string>
#include <vector>

namespace caraway::gateway {

struct QueueServerOptions
{
  std::uint32_t idleStatePeriods = 3; // of AgentState to entries that hold nothing here
  // An entry that was not heard for this long gets no state any more.
  Duration entrySilence = std::chrono::seconds(3);
  // Entries named in one state; enough for a new entry to find all others within seconds.
  std::size_t entriesTold = 2;
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
  // True if the entry was not heard before.
  bool OnMessage(TimePoint aNow, const Address& aFrom, const Peer& aPeer,
                 const direct::QueueMessage& aMessage);
  // Slots of the endpoint as entries know them; 0: nobody said.
  std::uint32_t Slots() const { return this->slots; }

  // What the queue knows for an AgentState; the rest is the endpoint's own.
  direct::AgentState State() const;
  // Sends aState to the entries whose turn it is, and forgets silent ones.
  void SendStates(TimePoint aNow, const direct::AgentState& aState);

  void OnTimer(TimePoint aNow) { this->queue.OnTimer(aNow); }
  TimePoint NextTimer() const { return this->queue.NextTimer(); }
  const direct::SlotQueue& Queue() const { return this->queue; }
  std::size_t EntryCount() const { return this->entries.size(); }

private:
  struct EntryRow
  {
    Address address;
    TimePoint heardAt{};
    bool holds = false; // held slots or reservations here when it last said so
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
