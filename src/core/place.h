// Placement policies, which choose the agents that get a reservation for a request. The baseline
// policies of the benchmark implement the same interface.
#pragma once

#include "core/random.h"
#include "core/types.h"

#include <optional>
#include <span>
#include <vector>

namespace caraway {

// An agent that may be able to serve a request, as known to the entry.
struct Candidate
{
  NodeId node{};
  std::uint32_t freeSlots = 0;    // last reported by the agent; may be stale
  double tokensPerSecond = 0;     // last reported decode speed of one stream; 0: unknown
  std::uint32_t reserved = 0;     // this entry's reservations and grants at the agent
  std::uint32_t reportedLoad = 0; // running and waiting requests reported by the engine; stale
};

// Properties of a request that placement policies use.
struct PlacementRequest
{
  std::optional<NodeId> affinity; // agent whose engine may hold the prompt's prefix
  std::uint64_t fingerprint = 0;
  bool suspect = false; // crashed an endpoint before; all entries must pick the same single agent
};

class Placement
{
public:
  virtual ~Placement() = default;
  // Replaces the contents of aChosen by at most aCount distinct agents, best first.
  virtual void Pick(std::span<const Candidate> aCandidates, const PlacementRequest& aRequest,
                    std::size_t aCount, Random& aRandom, std::vector<NodeId>& aChosen) = 0;
};

// Prefers the agent with prefix affinity, then agents with a free slot, then the fastest ones.
class LateBindingPlacement final : public Placement
{
public:
  void Pick(std::span<const Candidate> aCandidates, const PlacementRequest& aRequest,
            std::size_t aCount, Random& aRandom, std::vector<NodeId>& aChosen) override;

private:
  struct Scored
  {
    double score;
    NodeId node;
  };
  std::vector<Scored> scored;
};

// Uniformly random agents.
class RandomPlacement final : public Placement
{
public:
  void Pick(std::span<const Candidate> aCandidates, const PlacementRequest& aRequest,
            std::size_t aCount, Random& aRandom, std::vector<NodeId>& aChosen) override;
};

// Agents in round-robin order.
class RoundRobinPlacement final : public Placement
{
public:
  void Pick(std::span<const Candidate> aCandidates, const PlacementRequest& aRequest,
            std::size_t aCount, Random& aRandom, std::vector<NodeId>& aChosen) override;

private:
  std::size_t next = 0;
};

// Agents with the least reported load, regardless of the report's age.
class LeastLoadPlacement final : public Placement
{
public:
  void Pick(std::span<const Candidate> aCandidates, const PlacementRequest& aRequest,
            std::size_t aCount, Random& aRandom, std::vector<NodeId>& aChosen) override;
};

// Power of two choices: draws two random agents for each reservation and takes the one with the
// smaller sum of reported load and this entry's reservations.
class TwoChoicesPlacement final : public Placement
{
public:
  void Pick(std::span<const Candidate> aCandidates, const PlacementRequest& aRequest,
            std::size_t aCount, Random& aRandom, std::vector<NodeId>& aChosen) override;
};

// Rendezvous hashing: picks the same agent for the same key and candidates in every process;
// nullopt if there are no candidates.
std::optional<NodeId> RendezvousPick(std::span<const Candidate> aCandidates, std::uint64_t aKey);

} // namespace caraway
