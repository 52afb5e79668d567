#include "direct/patience.h"

#include <algorithm>

namespace caraway::direct {

namespace {

Duration Scaled(Duration aTime, double aFactor)
{
  return std::chrono::duration_cast<Duration>(aTime * aFactor);
}

} // namespace

TimePoint GiveUpTime(const PatienceOptions& aOptions, const CallSpec& aSpec)
{
  const Duration whole = aSpec.deadline - aSpec.arrived;
  const Duration byTime = Scaled(whole, aOptions.ofTime);
  const Duration byObjective =
    aSpec.objective > Duration::zero() ? Scaled(aSpec.objective, aOptions.ofObjective) : byTime;
  return std::min(aSpec.arrived + std::min(byTime, byObjective), aSpec.deadline);
}

Duration RetryTime(const PatienceOptions& aOptions, double aBacklog, double aSlots,
                   Duration aServiceTime)
{
  const Duration drain = Scaled(aServiceTime, (aBacklog + 1) / std::max(aSlots, 1.0));
  return std::clamp(drain, aOptions.shortestRetry, aOptions.longestRetry);
}

} // namespace caraway::direct
