// Rate at which an agent's queue drains, used to estimate waiting times and Retry-After.
#pragma once

#include "core/random.h"
#include "core/types.h"

#include <cstdint>

namespace caraway {

class DrainRate
{
public:
  // A reservation left the queue because its request got a slot, here or at another agent. Refusals
  // are not counted as service.
  void OnServed(TimePoint aNow);

  // A reservation joins the queue, which holds aAhead others.
  void OnQueued(TimePoint aNow, std::size_t aAhead);

  // Reservations served each second, exponentially decayed.
  double ServedPerSecond(TimePoint aNow) const;
  // Expected time to serve aAhead reservations. Zero without enough samples or a sustained backlog:
  // without a backlog the measured rate is the arrival rate, not the endpoint's capacity.
  Duration ExpectedWait(TimePoint aNow, std::size_t aAhead) const;
  // Retry delay for a refused caller: the bounded time to drain aBacklog reservations, with jitter
  // so that refused callers do not retry at the same time.
  Duration RetryAfter(TimePoint aNow, std::size_t aBacklog, Random& aRandom) const;

private:
  double perSecond = 0;
  TimePoint updated{};
  TimePoint backlogSince = kNever; // time since which the queue has not been empty
  std::uint64_t servedCount = 0;
};

} // namespace caraway
