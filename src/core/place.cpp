#include "core/place.h"

#include <algorithm>

namespace caraway {

namespace {

// Weights of the placement criteria; each outweighs the sum of all lower ones.
constexpr double kAffinityScore = 1e6;
constexpr double kFreeSlotScore = 1e4;

std::uint64_t Mix(std::uint64_t aNode, std::uint64_t aKey)
{
  std::uint64_t value = aNode ^ (aKey * 0x9E3779B97F4A7C15ULL);
  value ^= value >> 32;
  value *= 0xD6E8FEB86659FD93ULL;
  value ^= value >> 32;
  return value;
}

bool Contains(const std::vector<NodeId>& aNodes, NodeId aNode)
{
  return std::find(aNodes.begin(), aNodes.end(), aNode) != aNodes.end();
}

// Adds distinct random agents to aChosen until it has aCount of them.
void FillAtRandom(std::span<const Candidate> aCandidates, std::size_t aCount, Random& aRandom,
                  std::vector<NodeId>& aChosen)
{
  const std::size_t wanted = std::min(aCount, aCandidates.size());
  while (aChosen.size() < wanted) {
    const NodeId node = aCandidates[aRandom.Below(aCandidates.size())].node;
    if (!Contains(aChosen, node)) {
      aChosen.push_back(node);
    }
  }
}

} // namespace

void LateBindingPlacement::Pick(std::span<const Candidate> aCandidates,
                                const PlacementRequest& aRequest, std::size_t aCount,
                                Random& aRandom, std::vector<NodeId>& aChosen)
{
  aChosen.clear();
  if (aRequest.suspect) {
    if (const auto node = RendezvousPick(aCandidates, aRequest.fingerprint)) {
      aChosen.push_back(*node);
    }
    return;
  }
  this->scored.clear();
  for (const Candidate& candidate : aCandidates) {
    double score = candidate.tokensPerSecond + aRandom.Unit();
    if (candidate.freeSlots > candidate.reserved) {
      score += kFreeSlotScore;
    } else {
      score /= 1.0 + candidate.reserved;
    }
    if (aRequest.affinity == candidate.node) {
      score += kAffinityScore;
    }
    this->scored.push_back(Scored{ score, candidate.node });
  }
  const std::size_t count = std::min(aCount, this->scored.size());
  const auto middle = this->scored.begin() + static_cast<std::ptrdiff_t>(count);
  std::partial_sort(
    this->scored.begin(), middle, this->scored.end(),
    [](const Scored& aLeft, const Scored& aRight) { return aLeft.score > aRight.score; });
  for (auto it = this->scored.begin(); it != middle; ++it) {
    aChosen.push_back(it->node);
  }
}

void RandomPlacement::Pick(std::span<const Candidate> aCandidates,
                           const PlacementRequest& /*aRequest*/, std::size_t aCount,
                           Random& aRandom, std::vector<NodeId>& aChosen)
{
  aChosen.clear();
  FillAtRandom(aCandidates, aCount, aRandom, aChosen);
}

void RoundRobinPlacement::Pick(std::span<const Candidate> aCandidates,
                               const PlacementRequest& /*aRequest*/, std::size_t aCount,
                               Random& /*aRandom*/, std::vector<NodeId>& aChosen)
{
  aChosen.clear();
  const std::size_t count = std::min(aCount, aCandidates.size());
  for (std::size_t index = 0; index < count; ++index) {
    aChosen.push_back(aCandidates[(this->next + index) % aCandidates.size()].node);
  }
  ++this->next;
}

void LeastLoadPlacement::Pick(std::span<const Candidate> aCandidates,
                              const PlacementRequest& /*aRequest*/, std::size_t aCount,
                              Random& aRandom, std::vector<NodeId>& aChosen)
{
  aChosen.clear();
  const std::size_t count = std::min(aCount, aCandidates.size());
  const std::size_t start = aRandom.Below(aCandidates.size());
  while (aChosen.size() < count) {
    const Candidate* best = nullptr;
    for (std::size_t index = 0; index < aCandidates.size(); ++index) {
      const Candidate& candidate = aCandidates[(start + index) % aCandidates.size()];
      if (Contains(aChosen, candidate.node)) {
        continue;
      }
      if (best == nullptr || candidate.reportedLoad < best->reportedLoad) {
        best = &candidate;
      }
    }
    aChosen.push_back(best->node);
  }
}

void TwoChoicesPlacement::Pick(std::span<const Candidate> aCandidates,
                               const PlacementRequest& /*aRequest*/, std::size_t aCount,
                               Random& aRandom, std::vector<NodeId>& aChosen)
{
  aChosen.clear();
  if (aCandidates.empty()) {
    return;
  }
  for (std::size_t draw = 0; draw < aCount; ++draw) {
    const Candidate& first = aCandidates[aRandom.Below(aCandidates.size())];
    const Candidate& second = aCandidates[aRandom.Below(aCandidates.size())];
    const std::uint32_t firstLoad = first.reportedLoad + first.reserved;
    const std::uint32_t secondLoad = second.reportedLoad + second.reserved;
    const Candidate& better = firstLoad <= secondLoad ? first : second;
    if (!Contains(aChosen, better.node)) {
      aChosen.push_back(better.node);
    }
  }
}

std::optional<NodeId> RendezvousPick(std::span<const Candidate> aCandidates, std::uint64_t aKey)
{
  std::optional<NodeId> best;
  std::uint64_t bestWeight = 0;
  for (const Candidate& candidate : aCandidates) {
    const std::uint64_t weight = Mix(static_cast<std::uint64_t>(candidate.node), aKey);
    if (!best || weight > bestWeight) {
      best = candidate.node;
      bestWeight = weight;
    }
  }
  return best;
}

} // namespace caraway
