// How long a call waits for a slot, and the retry delay for a refused caller. Under overload, long
// waits only delay a refusal, and a caller that retries too early meets the same backlog.
#pragma once

#include "direct/call.h"

namespace caraway::direct {

struct WaitPolicyOptions
{
  // Maximum wait for a slot as a share of the call's objective and of the time to its deadline.
  double objectiveShare = 1.5;
  double deadlineShare = 0.3;
  Duration minRetryDelay = std::chrono::milliseconds(150);
  Duration maxRetryDelay = std::chrono::seconds(5);
};

// Time at which a call without a slot is given up.
TimePoint WaitDeadline(const WaitPolicyOptions& aOptions, const CallSpec& aSpec);

// Retry delay if aBacklog calls of the same or a higher priority wait for aSlots slots with a mean
// service time of aServiceTime.
Duration RetryDelay(const WaitPolicyOptions& aOptions, double aBacklog, double aSlots,
                    Duration aServiceTime);

} // namespace caraway::direct
