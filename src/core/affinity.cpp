#include "core/affinity.h"

#include <bit>

namespace caraway {

PrefixAffinity::PrefixAffinity(std::size_t aSets, Duration aMaxAge)
  : sets(std::bit_ceil(aSets))
  , maxAge(aMaxAge)
{
}

const PrefixAffinity::Set& PrefixAffinity::SetOf(std::uint64_t aPrefix) const
{
  return this->sets[aPrefix & (this->sets.size() - 1)];
}

void PrefixAffinity::Learn(TimePoint aNow, std::uint64_t aPrefix, NodeId aNode)
{
  if (aPrefix == 0) {
    return;
  }
  Set& set = this->sets[aPrefix & (this->sets.size() - 1)];
  Slot* oldest = &set.front();
  for (Slot& slot : set) {
    if (slot.prefix == aPrefix || slot.prefix == 0) {
      oldest = &slot;
      break;
    }
    if (slot.time < oldest->time) {
      oldest = &slot;
    }
  }
  *oldest = Slot{ aPrefix, aNode, aNow };
}

std::optional<NodeId> PrefixAffinity::Find(TimePoint aNow, std::uint64_t aPrefix) const
{
  if (aPrefix == 0) {
    return std::nullopt;
  }
  for (const Slot& slot : this->SetOf(aPrefix)) {
    if (slot.prefix == aPrefix && aNow - slot.time <= this->maxAge) {
      return slot.node;
    }
  }
  return std::nullopt;
}

void PrefixAffinity::EraseNode(NodeId aNode)
{
  for (Set& set : this->sets) {
    for (Slot& slot : set) {
      if (slot.node == aNode) {
        slot = Slot{};
      }
    }
  }
}

void PrefixAffinity::ErasePrefix(std::uint64_t aPrefix, NodeId aNode)
{
  Set& set = this->sets[aPrefix & (this->sets.size() - 1)];
  for (Slot& slot : set) {
    if (slot.prefix == aPrefix && slot.node == aNode) {
      slot = Slot{};
    }
  }
}

} // namespace caraway
