// Fair sharing of one endpoint among client accounts, and among ranks, by engine time. Decides only
// who goes behind whom: a queue that has room for a call offers it, whatever the shares.
#pragma once

#include "core/types.h"

#include <array>
#include <cstddef>
#include <cstdint>
#include <map>

namespace caraway::direct {

// Engine time is counted in tokens of prefill.
struct FairShareOptions
{
  // An account with the mean weight goes behind the others once it has had so much more than the
  // waiting account that has had least.
  double allowance = 12000;
  // Share of the engine time of a tier that each rank gets while it waits, behind higher ranks.
  double minRankShare = 1.0 / 32;
  std::size_t maxAccounts = 4096; // accounts tracked; others count as within their share
};

// Weight of the mean account in messages.
constexpr std::uint16_t kMeanAccountWeight = 256;

// Estimated engine time of a request, in tokens of prefill.
double EngineCost(std::uint32_t aPromptTokens, std::uint32_t aOutputTokens);

// Accounts of one class (tier and rank) at one endpoint: start-time fair queueing in which an
// account within its allowance is not reordered. Each account has a virtual time, its engine time
// by its weight. One that comes back begins at the time of the others, so that idleness earns no
// credit and use without competition is not held against it.
class FairShare
{
public:
  explicit FairShare(const FairShareOptions& aOptions = {})
    : options(aOptions)
  {
  }

  // Account 0: unknown, and always within its share.
  double VirtualTimeOf(std::uint32_t aAccount) const;
  // Sets the lowest virtual time of the accounts that wait.
  void Advance(double aLowest);
  bool IsOverShare(std::uint32_t aAccount) const;
  // The account got aCost of engine time; aWeight is relative to kMeanAccountWeight.
  void Charge(std::uint32_t aAccount, std::uint16_t aWeight, double aCost);
  std::size_t Size() const { return this->accounts.size(); }

private:
  FairShareOptions options;
  double lowest = 0;
  std::map<std::uint32_t, double> accounts; // virtual times above the lowest
};

// Ranks of one tier at one endpoint, for queues ordered by rank first: a waiting rank earns a small
// share of the engine time that others get and is due once it has earned a call.
class RankFloor
{
public:
  explicit RankFloor(const FairShareOptions& aOptions = {})
    : options(aOptions)
  {
  }

  // A call of aRank got aCost of engine time while calls of aWaiting ranks waited.
  void Charge(Tier aRank, double aCost, const std::array<bool, kTierCount>& aWaiting);
  bool IsDue(Tier aRank, double aCost) const { return this->earned.at(aRank) >= aCost; }

private:
  FairShareOptions options;
  std::array<double, kTierCount> earned{};
};

} // namespace caraway::direct
