// How long a call waits for a slot, and when a refused caller should come back. Answers the load at
// which more calls arrive than the slots can take: waiting then only makes late what could be
// refused early, and a caller that comes back too soon meets the same queue.
#pragma once

#include "direct/call.h"

namespace caraway::direct {

struct PatienceOptions
{
  // Longest wait for a slot, as a part of the call's objective and of its whole time.
  double ofObjective = 1.5;
  double ofTime = 0.3;
  Duration shortestRetry = std::chrono::milliseconds(150);
  Duration longestRetry = std::chrono::seconds(5);
};

// When a call that still waits for its first slot is given up.
TimePoint GiveUpTime(const PatienceOptions& aOptions, const CallSpec& aSpec);

// When to come back, with aBacklog calls of the same tier or higher waiting before aSlots slots
// that each take aServiceTime for a call.
Duration RetryTime(const PatienceOptions& aOptions, double aBacklog, double aSlots,
                   Duration aServiceTime);

} // namespace caraway::direct
