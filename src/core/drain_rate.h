// Rate at which reservations leave an agent's queue, for waiting times and Retry-After.
#pragma once

#include "core/random.h"
#include "core/types.h"

#include <array>

namespace caraway {

// Exponentially decayed rates of arrivals and departures, by tier.
class DrainRate
{
public:
  void OnArrival(TimePoint aNow, Tier aTier);
  // A reservation left the queue because its request got a slot, here or elsewhere. Refusals do
  // not count: they are no service.
  void OnServed(TimePoint aNow, Tier aTier);

  // Reservations served each second, all tiers together.
  double ServedPerSecond(TimePoint aNow) const;
  // Expected wait of a reservation with aAhead others before it, while higher tiers keep arriving
  // as they do. Zero while too little is known.
  Duration WaitFor(TimePoint aNow, Tier aTier, std::size_t aAhead) const;
  // When to come back: the time to drain aBacklog reservations, between bounds, with jitter so that
  // refused callers do not return together.
  Duration RetryAfter(TimePoint aNow, std::size_t aBacklog, Random& aRandom) const;

private:
  struct Rate
  {
    double perSecond = 0;
    TimePoint updated{};
  };
  static void Count(Rate& aRate, TimePoint aNow);
  static double Value(const Rate& aRate, TimePoint aNow);

  std::array<Rate, kTierCount> arrivals{};
  std::array<Rate, kTierCount> served{};
  std::uint64_t servedCount = 0;
};

} // namespace caraway
