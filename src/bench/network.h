// In-memory connections between processes. A connection keeps the order of its messages, as TCP
// does; messages of different connections overtake each other. A cut loses what is on its way.
#pragma once

#include "bench/schedule.h"
#include "core/messages.h"
#include "core/options.h"
#include "core/random.h"

#include <array>
#include <deque>
#include <map>
#include <utility>

namespace caraway::bench {

// A process as the network sees it.
class Process
{
public:
  virtual ~Process() = default;
  virtual Peer Self() const = 0;
  virtual Hello SelfHello() const = 0;
  virtual void OnLinkUp(Peer aPeer, const Hello& aHello) = 0;
  virtual void OnLinkDown(NodeId aNode) = 0;
  virtual void OnDeliver(Peer aFrom, const Message& aMessage) = 0;
};

struct NetworkOptions
{
  Duration shortest = std::chrono::microseconds(200); // one way
  Duration longest = std::chrono::microseconds(900);
  double duplicateRatio = 0; // messages delivered twice
  double slowRatio = 0;      // messages that hold up their connection
  Duration slowDelay = milliseconds(300);
};

// Counts of messages by purpose.
struct MessageCounts
{
  std::uint64_t control = 0; // reservations, offers, grants, and all else but the two below
  std::uint64_t chunks = 0;
  std::uint64_t acks = 0;
};

class Network
{
public:
  Network(Schedule& aSchedule, Random& aRandom);

  // aProcess must outlive the network or be detached.
  void Attach(Process& aProcess);
  // The process is gone: its connections break.
  void Detach(NodeId aNode);
  // Both sides learn of each other after a round trip.
  void Connect(NodeId aLeft, NodeId aRight);
  void Cut(NodeId aLeft, NodeId aRight);
  // Loses the message silently if there is no connection.
  void Send(NodeId aFrom, NodeId aTo, const Message& aMessage);

  bool Connected(NodeId aLeft, NodeId aRight) const;
  void SetOptions(const NetworkOptions& aOptions) { this->options = aOptions; }
  const MessageCounts& Counts() const { return this->counts; }

private:
  struct Queued
  {
    TimePoint due;
    Message message;
  };
  // One direction of a connection.
  struct Direction
  {
    NodeId to{};
    Peer from;
    TimePoint last;
    std::deque<Queued> queue;
    bool waking = false;
  };
  struct Link
  {
    std::uint64_t number = 0; // a cut link's deliveries are void
    std::array<Direction, 2> directions;
  };
  using Key = std::pair<NodeId, NodeId>;

  static Key KeyOf(NodeId aLeft, NodeId aRight);
  Duration Delay();
  void Push(const Key& aKey, Direction& aDirection, const Message& aMessage);
  void Wake(const Key& aKey, std::uint64_t aNumber, std::size_t aIndex);
  void Deliver(const Key& aKey, std::uint64_t aNumber, std::size_t aIndex);
  void Announce(NodeId aTo, NodeId aAbout);
  void Count(const Message& aMessage);

  Schedule& schedule;
  Random& random;
  NetworkOptions options;
  std::uint64_t nextNumber = 1;
  std::map<NodeId, Process*> processes;
  std::map<Key, Link> links;
  MessageCounts counts;
};

} // namespace caraway::bench
