#include "core/drain_rate.h"

#include <algorithm>
#include <cmath>

namespace caraway {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr Duration kTimeConstant = seconds(2); // of the exponential decay
constexpr std::uint64_t kMinServed = 8;
constexpr Duration kMinRetryAfter = milliseconds(250);
constexpr Duration kMaxRetryAfter = seconds(30);
constexpr double kJitterRatio = 0.5; // maximum random addition, relative to the delay
constexpr double kMinRate = 0.05;

Duration DurationOf(double aSeconds)
{
  const double bounded = std::min(aSeconds, SecondsOf(std::chrono::hours(1)));
  return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(bounded));
}

} // namespace

void DrainRate::OnServed(TimePoint aNow)
{
  this->perSecond = this->ServedPerSecond(aNow) + 1 / SecondsOf(kTimeConstant);
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
  return this->perSecond * std::exp(-std::max(age, 0.0) / SecondsOf(kTimeConstant));
}

Duration DrainRate::ExpectedWait(TimePoint aNow, std::size_t aAhead) const
{
  const bool isBacklogSustained =
    this->backlogSince <= aNow && aNow - this->backlogSince >= kTimeConstant;
  if (this->servedCount < kMinServed || !isBacklogSustained) {
    return Duration::zero();
  }
  const double rate = std::max(this->ServedPerSecond(aNow), kMinRate);
  return DurationOf(static_cast<double>(aAhead) / rate);
}

Duration DrainRate::RetryAfter(TimePoint aNow, std::size_t aBacklog, Random& aRandom) const
{
  const double rate = std::max(this->ServedPerSecond(aNow), kMinRate);
  const Duration drain = DurationOf(static_cast<double>(aBacklog + 1) / rate);
  const Duration base = std::clamp(drain, kMinRetryAfter, kMaxRetryAfter);
  return base + DurationOf(SecondsOf(base) * kJitterRatio * aRandom.Unit());
}

} // namespace caraway
