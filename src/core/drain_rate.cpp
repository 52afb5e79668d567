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

Duration DurationOf(double aSeconds)
{
  const double bounded = std::min(aSeconds, SecondsOf(std::chrono::hours(1)));
  return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(bounded));
}

} // namespace

void DrainRate::OnServed(TimePoint aNow)
{
  this->perSecond = this->ServedPerSecond(aNow) + 1 / SecondsOf(kMemory);
  this->updated = aNow;
  this->servedCount++;
}

void DrainRate::OnQueued(TimePoint aNow, std::size_t aAhead)
{
  if (aAhead == 0) {
    this->backlogSince = aNow;
  }
}

double DrainRate::ServedPerSecond(TimePoint aNow) const
{
  const double age = SecondsOf(aNow - this->updated);
  return this->perSecond * std::exp(-std::max(age, 0.0) / SecondsOf(kMemory));
}

Duration DrainRate::WaitFor(TimePoint aNow, std::size_t aAhead) const
{
  const bool isBacklogLasting = this->backlogSince <= aNow && aNow - this->backlogSince >= kMemory;
  if (this->servedCount < kFewestServed || !isBacklogLasting) {
    return Duration::zero();
  }
  const double rate = std::max(this->ServedPerSecond(aNow), kLeastRate);
  return DurationOf(static_cast<double>(aAhead) / rate);
}

Duration DrainRate::RetryAfter(TimePoint aNow, std::size_t aBacklog, Random& aRandom) const
{
  const double rate = std::max(this->ServedPerSecond(aNow), kLeastRate);
  const Duration drain = DurationOf(static_cast<double>(aBacklog + 1) / rate);
  const Duration base = std::clamp(drain, kShortestRetry, kLongestRetry);
  return base + DurationOf(SecondsOf(base) * kJitter * aRandom.Unit());
}

} // namespace caraway
