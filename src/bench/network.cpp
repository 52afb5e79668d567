#include "bench/network.h"

#include <algorithm>
#include <vector>

namespace caraway::bench {

Network::Network(Schedule& aSchedule, Random& aRandom)
  : schedule(aSchedule)
  , random(aRandom)
{
}

Network::Key Network::KeyOf(NodeId aLeft, NodeId aRight)
{
  return std::minmax(aLeft, aRight);
}

void Network::Attach(Process& aProcess)
{
  this->processes[aProcess.Self().node] = &aProcess;
}

void Network::Detach(NodeId aNode)
{
  this->processes.erase(aNode);
  std::vector<NodeId> others;
  for (const auto& [key, link] : this->links) {
    if (key.first == aNode || key.second == aNode) {
      others.push_back(key.first == aNode ? key.second : key.first);
    }
  }
  for (const NodeId other : others) {
    this->Cut(aNode, other);
  }
}

bool Network::Connected(NodeId aLeft, NodeId aRight) const
{
  return this->links.contains(KeyOf(aLeft, aRight));
}

void Network::Connect(NodeId aLeft, NodeId aRight)
{
  const Key key = KeyOf(aLeft, aRight);
  const bool both = this->processes.contains(aLeft) && this->processes.contains(aRight);
  if (!both || this->links.contains(key)) {
    return;
  }
  Link& link = this->links[key];
  link.number = this->nextNumber++;
  link.directions[0] = { key.second, this->processes[key.first]->Self(), {}, {}, false };
  link.directions[1] = { key.first, this->processes[key.second]->Self(), {}, {}, false };
  this->Announce(key.first, key.second);
  this->Announce(key.second, key.first);
}

// Tells one side that the connection stands, unless it is cut before the handshake ends.
void Network::Announce(NodeId aTo, NodeId aAbout)
{
  const std::uint64_t number = this->links.at(KeyOf(aTo, aAbout)).number;
  this->schedule.After(this->options.longest * 2, [this, aTo, aAbout, number] {
    const auto found = this->links.find(KeyOf(aTo, aAbout));
    if (found != this->links.end() && found->second.number == number) {
      const Process* about = this->processes.at(aAbout);
      this->processes.at(aTo)->OnLinkUp(about->Self(), about->SelfHello());
    }
  });
}

void Network::Cut(NodeId aLeft, NodeId aRight)
{
  if (this->links.erase(KeyOf(aLeft, aRight)) == 0) {
    return;
  }
  for (const auto& [to, about] : { std::pair(aLeft, aRight), std::pair(aRight, aLeft) }) {
    this->schedule.After(this->Delay(), [this, to = to, about = about] {
      const auto found = this->processes.find(to);
      if (found != this->processes.end() && !this->Connected(to, about)) {
        found->second->OnLinkDown(about);
      }
    });
  }
}

Duration Network::Delay()
{
  const auto span =
    static_cast<std::uint64_t>((this->options.longest - this->options.shortest).count());
  return this->options.shortest + Duration(this->random.Below(span + 1));
}

void Network::Send(NodeId aFrom, NodeId aTo, const Message& aMessage)
{
  const Key key = KeyOf(aFrom, aTo);
  const auto found = this->links.find(key);
  if (found == this->links.end()) {
    return;
  }
  this->Count(aMessage);
  Direction& direction = found->second.directions[key.first == aFrom ? 0 : 1];
  this->Push(key, direction, aMessage);
  if (this->options.duplicateRatio > 0 && this->random.Unit() < this->options.duplicateRatio) {
    this->Push(key, direction, aMessage);
  }
}

void Network::Push(const Key& aKey, Direction& aDirection, const Message& aMessage)
{
  Duration delay = this->Delay();
  if (this->options.slowRatio > 0 && this->random.Unit() < this->options.slowRatio) {
    delay += this->options.slowDelay;
  }
  aDirection.last = std::max(aDirection.last, this->schedule.Time() + delay);
  aDirection.queue.push_back({ aDirection.last, aMessage });
  if (!aDirection.waking) {
    this->Wake(aKey, this->links.at(aKey).number, aDirection.to == aKey.second ? 0 : 1);
  }
}

void Network::Wake(const Key& aKey, std::uint64_t aNumber, std::size_t aIndex)
{
  Direction& direction = this->links.at(aKey).directions[aIndex];
  direction.waking = true;
  this->schedule.At(direction.queue.front().due,
                    [this, aKey, aNumber, aIndex] { this->Deliver(aKey, aNumber, aIndex); });
}

// Hands over everything that is due on one direction of a connection.
void Network::Deliver(const Key& aKey, std::uint64_t aNumber, std::size_t aIndex)
{
  for (;;) {
    const auto found = this->links.find(aKey);
    if (found == this->links.end() || found->second.number != aNumber) {
      return;
    }
    Direction& direction = found->second.directions[aIndex];
    direction.waking = false;
    if (direction.queue.empty()) {
      return;
    }
    if (direction.queue.front().due > this->schedule.Time()) {
      this->Wake(aKey, aNumber, aIndex);
      return;
    }
    const Message message = std::move(direction.queue.front().message);
    direction.queue.pop_front();
    direction.waking = true;
    this->processes.at(direction.to)->OnDeliver(direction.from, message);
  }
}

void Network::Count(const Message& aMessage)
{
  if (std::holds_alternative<Chunk>(aMessage)) {
    ++this->counts.chunks;
  } else if (std::holds_alternative<Ack>(aMessage)) {
    ++this->counts.acks;
  } else {
    ++this->counts.control;
  }
}

} // namespace caraway::bench
