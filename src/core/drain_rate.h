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
  // not count: they are no service. aIsFull: the endpoint was full, so that the rate tells what it
  // can do and not what was asked of it.
  void OnServed(TimePoint aNow, bool aIsFull);

  // Reservations served each second, exponentially decayed.
  double ServedPerSecond(TimePoint aNow) const;
  // Time to serve aAhead reservations at the rate of a full endpoint. Zero while too little is
  // known of it.
  Duration WaitFor(TimePoint aNow, std::size_t aAhead) const;
  // When to come back: the time to drain aBacklog reservations, between bounds, with jitter so that
  // refused callers do not return together.
  Duration RetryAfter(TimePoint aNow, std::size_t aBacklog, Random& aRandom) const;

private:
  double perSecond = 0;
  TimePoint updated{};
  double fullPerSecond = 0; // decayed, of the time since the endpoint became full
  TimePoint fullSince = kNever;
  TimePoint fullUpdated{};
  std::uint64_t fullCount = 0;
};

} // namespace caraway
