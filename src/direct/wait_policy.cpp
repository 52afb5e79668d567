#include "direct/wait_policy.h"

#include <algorithm>

namespace caraway::direct {

namespace {

Duration Scaled(Duration aTime, double aFactor)
{
  return std::chrono::duration_cast<Duration>(aTime * aFactor);
}

} // namespace

TimePoint WaitDeadline(const WaitPolicyOptions& aOptions, const CallSpec& aSpec)
{
  const Duration whole = aSpec.deadline - aSpec.arrived;
  const Duration byDeadline = Scaled(whole, aOptions.deadlineShare);
  const Duration byObjective = aSpec.objective > Duration::zero()
                                 ? Scaled(aSpec.objective, aOptions.objectiveShare)
                                 : byDeadline;
  return std::min(aSpec.arrived + std::min(byDeadline, byObjective), aSpec.deadline);
}

Duration RetryDelay(const WaitPolicyOptions& aOptions, double aBacklog, double aSlots,
                    Duration aServiceTime)
{
  const Duration drain = Scaled(aServiceTime, (aBacklog + 1) / (aSlots > 0 ? aSlots : 1.0));
  return std::clamp(drain, aOptions.minRetryDelay, aOptions.maxRetryDelay);
}

} // namespace caraway::direct
