// Rate at which reservations leave an agent's queue, for waiting times and Retry-After.
#pragma once

#include "core/random.h"
#include "core/types.h"

#include <cstdint>

namespace caraway {

class DrainRate
{
public:
  // A reservation left the queue because its request got a slot, here or elsewhere. Refusals do
  // not count: they are no service.
  void OnServed(TimePoint aNow);

  // A reservation joins the queue, which holds aAhead others.
  void OnQueued(TimePoint aNow, std::size_t aAhead);

  // Reservations served each second, exponentially decayed.
  double ServedPerSecond(TimePoint aNow) const;
  // Time to serve aAhead reservations. Zero while too little is known: without a lasting backlog
  // the rate is that of the arrivals, not what the endpoint can drain.
  Duration WaitFor(TimePoint aNow, std::size_t aAhead) const;
  // When to come back: the time to drain aBacklog reservations, between bounds, with jitter so that
  // refused callers do not return together.
  Duration RetryAfter(TimePoint aNow, std::size_t aBacklog, Random& aRandom) const;

private:
  double perSecond = 0;
  TimePoint updated{};
  TimePoint backlogSince = kNever; // the queue was never empty since
  std::uint64_t servedCount = 0;
};

} // namespace caraway
