// Remembers which agent's engine last ran a prompt prefix and so may still hold it in its cache.
#pragma once

#include "core/types.h"

#include <array>
#include <optional>
#include <vector>

namespace caraway {

// Set-associative table of fixed size; the oldest entry of a set is replaced.
class PrefixAffinity
{
public:
  // aSets is rounded up to a power of two.
  PrefixAffinity(std::size_t aSets, Duration aMaxAge);

  void Learn(TimePoint aNow, std::uint64_t aPrefix, NodeId aNode);
  std::optional<NodeId> Find(TimePoint aNow, std::uint64_t aPrefix) const;
  // The engine lost its cache: it restarted, or an event says that the prefix was evicted.
  void ForgetNode(NodeId aNode);
  void ForgetPrefix(std::uint64_t aPrefix, NodeId aNode);

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
