// Callers: which requests arrive when. Lengths differ a hundredfold, a burst raises the rate for a
// third of the run, and prompts of one account share prefixes.
#pragma once

#include "bench/job.h"
#include "core/random.h"

#include <array>
#include <string>
#include <vector>

namespace caraway::bench {

constexpr std::size_t kAccounts = 5;

struct WorkloadOptions
{
  std::string pool = "model";
  double perSecond = 10;         // mean rate of new calls over the run
  Duration length = seconds(60); // of the run
  double burstFactor = 1.5;      // rate in the middle third, in multiples of the mean
  std::uint32_t shortestPrompt = 20;
  std::uint32_t longestPrompt = 2000;
  std::uint32_t shortestOutput = 5;
  std::uint32_t longestOutput = 500;
  std::array<double, kTierCount> tierShares = { 0.15, 0.25, 0.3, 0.3 };
  std::array<double, kAccounts> accountShares = { 0.35, 0.3, 0.2, 0.1, 0.05 };
  std::array<Duration, kTierCount> startWithin = { seconds(1), seconds(1), seconds(3), seconds(3) };
  Duration endWithin = seconds(30);
  double sharedPrefixRatio = 0.4; // requests whose prompt begins like others'
  std::uint32_t prefixesPerAccount = 8;
};

std::string AccountName(std::size_t aNumber);

class Workload
{
public:
  Workload(const WorkloadOptions& aOptions, Random& aRandom);

  // Time from the start of the run until the next call arrives.
  Duration NextArrival();
  // The request of the call that arrives at aWall.
  Job NewJob(WallTime aWall);

private:
  std::uint32_t LogUniform(std::uint32_t aLow, std::uint32_t aHigh);
  std::size_t Pick(const double* aShares, std::size_t aCount);
  double RateAt(Duration aTime) const;
  void SetPrefix(Job& aJob, std::size_t aAccount);

  WorkloadOptions options;
  Random& random;
  Duration now{};
  std::uint32_t nextCall = 0;
};

} // namespace caraway::bench
