#include "direct/fair_share.h"

#include <algorithm>

namespace caraway::direct {

namespace {

// A step generates one token for each stream in the time of so many tokens of prefill.
constexpr double kOutputTokenCost = 32;
// Least cost of a request: it takes a slot and a connection.
constexpr double kMinCost = 100;

} // namespace

double EngineCost(std::uint32_t aPromptTokens, std::uint32_t aOutputTokens)
{
  return std::max(aPromptTokens + kOutputTokenCost * aOutputTokens, kMinCost);
}

double FairShare::VirtualTimeOf(std::uint32_t aAccount) const
{
  const auto found = this->accounts.find(aAccount);
  return found == this->accounts.end() ? this->lowest : std::max(found->second, this->lowest);
}

void FairShare::Advance(double aLowest)
{
  this->lowest = std::max(this->lowest, aLowest);
}

bool FairShare::IsOverShare(std::uint32_t aAccount) const
{
  return this->VirtualTimeOf(aAccount) - this->lowest > this->options.allowance;
}

void FairShare::Charge(std::uint32_t aAccount, std::uint16_t aWeight, double aCost)
{
  if (aAccount == 0) {
    return;
  }
  const double weight =
    static_cast<double>(std::max<std::uint16_t>(aWeight, 1)) / kMeanAccountWeight;
  const double end = this->VirtualTimeOf(aAccount) + aCost / weight;
  if (!this->accounts.contains(aAccount) && this->accounts.size() >= this->options.maxAccounts) {
    std::erase_if(this->accounts, [this](const auto& aRow) { return aRow.second <= this->lowest; });
    if (this->accounts.size() >= this->options.maxAccounts) {
      return;
    }
  }
  this->accounts[aAccount] = end;
}

void RankFloor::Charge(Tier aRank, double aCost, const std::array<bool, kTierCount>& aWaiting)
{
  this->earned.at(aRank) = std::max(this->earned.at(aRank) - aCost, 0.0);
  for (Tier rank = aRank + 1; rank < kTierCount; rank++) {
    // A rank that does not wait keeps nothing, so that what it earns is bounded by its wait.
    this->earned.at(rank) =
      aWaiting.at(rank) ? this->earned.at(rank) + aCost * this->options.minRankShare : 0.0;
  }
}

} // namespace caraway::direct
