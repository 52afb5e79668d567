// Prefix affinity: maps a prompt prefix to the agent whose engine last ran it and may still have it
// in its cache.
#pragma once

#include "core/types.h"

#include <array>
#include <optional>
#include <vector>

namespace caraway {

// Set-associative table of fixed size; a new prefix replaces the oldest one of its set.
class PrefixAffinity
{
public:
  // aSets is rounded up to a power of two.
  PrefixAffinity(std::size_t aSets, Duration aMaxAge);

  void Learn(TimePoint aNow, std::uint64_t aPrefix, NodeId aNode);
  std::optional<NodeId> Find(TimePoint aNow, std::uint64_t aPrefix) const;
  // Called when an engine restarted and lost its whole cache, or reported the prefix as evicted.
  void EraseNode(NodeId aNode);
  void ErasePrefix(std::uint64_t aPrefix, NodeId aNode);

private:
  static constexpr std::size_t kWays = 4;

  struct Slot
  {
    std::uint64_t prefix = 0; // 0: empty
    NodeId node{};
    TimePoint time{};
  };
  using Set = std::array<Slot, kWays>;

  const Set& SetOf(std::uint64_t aPrefix) const;

  std::vector<Set> sets;
  Duration maxAge;
};

} // namespace caraway
