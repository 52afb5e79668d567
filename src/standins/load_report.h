// Counts and latencies of a load run by tier, as JSON and as a table.
#pragma once

#include "standins/load_answer.h"

#include <boost/histogram.hpp>

#include <array>
#include <map>
#include <string>
#include <tuple>

namespace caraway {

// Latencies in milliseconds, logarithmic bins of about 3%.
class LatencyHistogram
{
public:
  LatencyHistogram();
  void Add(Duration aLatency);
  // Upper bound of the bin that holds the quantile; zero if nothing was added.
  Duration Quantile(double aShare) const;
  std::uint64_t Count() const { return this->count; }

private:
  using Axis = boost::histogram::axis::regular<double, boost::histogram::axis::transform::log>;
  boost::histogram::histogram<std::tuple<Axis>> bins;
  std::uint64_t count = 0;
};

// One request as the run saw it end.
struct LoadSample
{
  Tier tier = kLowestTier;
  LoadResult result = LoadResult::kLost;
  std::string reason;
  bool inTime = false;   // answered within its deadlines
  Duration firstToken{}; // from sending, if there was one
  bool hasFirstToken = false;
};

class LoadReport
{
public:
  void Add(const LoadSample& aSample);
  void AddTokenGap(Tier aTier, Duration aGap);
  void AddRetry() { ++this->retries; }

  std::uint64_t Sent() const;
  std::uint64_t Count(LoadResult aResult) const;
  std::string Json() const;
  std::string Table() const;

private:
  struct TierCounts
  {
    std::uint64_t sent = 0;
    std::uint64_t inTime = 0;
    std::array<std::uint64_t, kLoadResults> results{};
    std::map<std::string, std::uint64_t> reasons;
    LatencyHistogram firstToken;
    LatencyHistogram tokenGap;
  };

  std::array<TierCounts, kTierCount> tiers;
  std::uint64_t retries = 0;
};

} // namespace caraway
