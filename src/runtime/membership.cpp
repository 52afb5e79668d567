#include "runtime/membership.h"

#include "core/subset.h"

#include <algorithm>
#include <vector>

namespace caraway {

namespace {

// True if aTo is one of the next kEntryPeerCount entries after aFrom on the ring of all entries.
bool IsSuccessor(const std::vector<NodeId>& aRing, NodeId aFrom, NodeId aTo)
{
  const auto position = [&](NodeId aNode) {
    return static_cast<std::size_t>(std::ranges::lower_bound(aRing, aNode) - aRing.begin());
  };
  const std::size_t steps = (position(aTo) + aRing.size() - position(aFrom)) % aRing.size();
  return steps >= 1 && steps <= kEntryPeerCount;
}

std::vector<NodeId> BuildRing(NodeId aSelf, std::span<const Vm> aVms)
{
  std::vector<NodeId> ring{ aSelf };
  for (const Vm& vm : aVms) {
    if (vm.role == Role::kEntry) {
      ring.push_back(NodeIdOf(vm.name));
    }
  }
  std::ranges::sort(ring);
  ring.erase(std::unique(ring.begin(), ring.end()), ring.end());
  return ring;
}

// If two entries are successors of each other on the ring, only the one with the lower id connects.
bool ConnectsTo(const std::vector<NodeId>& aRing, NodeId aSelf, NodeId aOther)
{
  if (aSelf == aOther || !IsSuccessor(aRing, aSelf, aOther)) {
    return false;
  }
  return aSelf < aOther || !IsSuccessor(aRing, aOther, aSelf);
}

// Names of the agents that the entry aSelf connects to.
std::vector<std::string> ChooseAgents(const std::string& aSelf, std::span<const Vm> aVms)
{
  std::vector<SubsetMember> members;
  for (const Vm& vm : aVms) {
    if (vm.role == Role::kAgent) {
      members.push_back({ vm.name, vm.failureDomain, vm.pool, vm.version });
    }
  }
  return ChooseSubset(aSelf, members, SubsetOptions{});
}

} // namespace

std::set<Address> ChoosePeers(const std::string& aSelf, std::span<const Vm> aVms)
{
  const NodeId self = NodeIdOf(aSelf);
  const std::vector<NodeId> ring = BuildRing(self, aVms);
  const std::vector<std::string> agents = ChooseAgents(aSelf, aVms);
  std::set<Address> chosen;
  for (const Vm& vm : aVms) {
    const bool isChosen = vm.role == Role::kAgent ? std::ranges::binary_search(agents, vm.name)
                                                  : ConnectsTo(ring, self, NodeIdOf(vm.name));
    if (isChosen) {
      chosen.insert(Address{ vm.address, vm.port });
    }
  }
  return chosen;
}

} // namespace caraway
