#include "core/drain_rate.h"

#include <algorithm>
#include <cmath>

namespace caraway {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr Duration kMemory = seconds(2); // time constant of the rates
constexpr std::uint64_t kFewestServed = 8;
constexpr Duration kShortestRetry = milliseconds(250);
constexpr Duration kLongestRetry = seconds(30);
constexpr double kJitter = 0.5; // of the wait, added at random
constexpr double kLeastRate = 0.05;

double SecondsOf(Duration aTime)
{
  return std::chrono::duration<double>(aTime).count();
}

Duration DurationOf(double aSeconds)
{
  const double bounded = std::min(aSeconds, SecondsOf(std::chrono::hours(1)));
  return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(bounded));
}

// Weight that is left of a value after aAge.
double Decay(Duration aAge)
{
  return std::exp(-std::max(SecondsOf(aAge), 0.0) / SecondsOf(kMemory));
}

} // namespace

void DrainRate::OnServed(TimePoint aNow, bool aIsFull)
{
  this->perSecond = this->ServedPerSecond(aNow) + 1 / SecondsOf(kMemory);
  this->updated = aNow;
  if (!aIsFull) {
    this->fullSince = kNever;
    return;
  }
  if (this->fullSince == kNever) {
    this->fullSince = aNow;
    this->fullPerSecond = 0;
    this->fullCount = 0;
  }
  this->fullPerSecond =
    this->fullPerSecond * Decay(aNow - this->fullUpdated) + 1 / SecondsOf(kMemory);
  this->fullUpdated = aNow;
  this->fullCount++;
}

double DrainRate::ServedPerSecond(TimePoint aNow) const
{
  return this->perSecond * Decay(aNow - this->updated);
}

Duration DrainRate::WaitFor(TimePoint aNow, std::size_t aAhead) const
{
  if (this->fullSince == kNever || this->fullCount < kFewestServed) {
    return Duration::zero();
  }
  // The decayed sum has not reached its level yet while the endpoint has been full for a short
  // time.
  const double reached = 1 - Decay(aNow - this->fullSince);
  if (reached <= 0) {
    return Duration::zero();
  }
  const double rate = this->fullPerSecond * Decay(aNow - this->fullUpdated) / reached;
  return DurationOf(static_cast<double>(aAhead) / std::max(rate, kLeastRate));
}

Duration DrainRate::RetryAfter(TimePoint aNow, std::size_t aBacklog, Random& aRandom) const
{
  const double rate = std::max(this->ServedPerSecond(aNow), kLeastRate);
  const Duration drain = DurationOf(static_cast<double>(aBacklog + 1) / rate);
  const Duration base = std::clamp(drain, kShortestRetry, kLongestRetry);
  return base + DurationOf(SecondsOf(base) * kJitter * aRandom.Unit());
}

} // namespace caraway
