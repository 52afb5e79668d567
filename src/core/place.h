// Placement: which agents get a reservation for a request. The baselines that the bench compares
// with stand behind the same interface.
#pragma once

#include "core/random.h"
#include "core/types.h"

#include <optional>
#include <span>
#include <vector>

namespace caraway {

// An agent that could serve a request, as far as the entry knows.
struct Candidate
{
  NodeId node{};
  std::uint32_t freeSlots = 0;    // last hint of the agent; stale
  double tokensPerSecond = 0;     // last hint of one stream's decode speed; 0: not known
  std::uint32_t reserved = 0;     // own reservations and grants at this agent
  std::uint32_t reportedLoad = 0; // running and waiting requests by the engine's report; stale
};

// What a placement may look at.
struct PlaceRequest
{
  std::optional<NodeId> affinity; // agent whose engine may hold the prompt's prefix
  std::uint64_t fingerprint = 0;
  bool suspect = false; // crashed an endpoint before: all entries must pick the same single agent
};

class Placement
{
public:
  virtual ~Placement() = default;
  // Puts at most aCount distinct agents into aChosen, best first. aChosen is emptied before.
  virtual void Pick(std::span<const Candidate> aCandidates, const PlaceRequest& aRequest,
                    std::size_t aCount, Random& aRandom, std::vector<NodeId>& aChosen) = 0;
};

// One agent by prefix affinity, then those with a free slot, then the fastest.
class LateBindingPlacement final : public Placement
{
public:
  void Pick(std::span<const Candidate> aCandidates, const PlaceRequest& aRequest,
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
  void Pick(std::span<const Candidate> aCandidates, const PlaceRequest& aRequest,
            std::size_t aCount, Random& aRandom, std::vector<NodeId>& aChosen) override;
};

// Agents in turn.
class RoundRobinPlacement final : public Placement
{
public:
  void Pick(std::span<const Candidate> aCandidates, const PlaceRequest& aRequest,
            std::size_t aCount, Random& aRandom, std::vector<NodeId>& aChosen) override;

private:
  std::size_t next = 0;
};

// Agents with the least reported load, however old the report is.
class LeastLoadPlacement final : public Placement
{
public:
  void Pick(std::span<const Candidate> aCandidates, const PlaceRequest& aRequest,
            std::size_t aCount, Random& aRandom, std::vector<NodeId>& aChosen) override;
};

// Draws two agents for each place and takes the one with less of its own work and reported load.
class TwoChoicesPlacement final : public Placement
{
public:
  void Pick(std::span<const Candidate> aCandidates, const PlaceRequest& aRequest,
            std::size_t aCount, Random& aRandom, std::vector<NodeId>& aChosen) override;
};

// The agent that every caller of this function picks for the same key out of the same candidates
// (rendezvous hashing); nullopt when there are none.
std::optional<NodeId> RendezvousPick(std::span<const Candidate> aCandidates, std::uint64_t aKey);

} // namespace caraway
