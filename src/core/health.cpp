#include "core/health.h"

#include <algorithm>

namespace caraway {

namespace {

constexpr double kGapMemory = 0.02;    // weight of a new gap
constexpr double kAnswerMemory = 0.1;  // weight of a new answer time
constexpr double kFitMemory = 0.97;    // weight kept by older first tokens
constexpr double kPrefillFactor = 2;   // expected prefill time of others that a stream may wait
constexpr double kFirstFactor = 3;     // silence before the first token over that between tokens
constexpr std::uint32_t kFailures = 3; // in a row that open the breaker
constexpr int kLongestDelay = 16;      // in multiples of the first delay
constexpr std::uint32_t kStartedAllowance = 64;

Duration DurationOf(double aSeconds)
{
  return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(aSeconds));
}

Duration Scaled(Duration aTime, double aFactor)
{
  return DurationOf(SecondsOf(aTime) * aFactor);
}

// Exponential moving average that starts at its first value.
Duration Average(Duration aOld, Duration aNew, double aWeight)
{
  return aOld == Duration::zero() ? aNew : aOld + Scaled(aNew - aOld, aWeight);
}

} // namespace

void Pace::OnFirstToken(Duration aWait, std::uint32_t aPrefillTokens)
{
  const double x = aPrefillTokens;
  const double y = SecondsOf(aWait);
  this->weight = this->weight * kFitMemory + 1;
  this->sumX = this->sumX * kFitMemory + x;
  this->sumY = this->sumY * kFitMemory + y;
  this->sumXx = this->sumXx * kFitMemory + x * x;
  this->sumXy = this->sumXy * kFitMemory + x * y;
}

void Pace::OnTokens(Duration aGap, std::uint32_t aTokens)
{
  const Duration each = aGap / std::max(aTokens, 1U);
  this->gap = std::max(Average(this->gap, each, kGapMemory), Duration(1));
}

void Pace::OnAnswer(Duration aTime)
{
  this->answerTime = Average(this->answerTime, std::max(aTime, Duration(1)), kAnswerMemory);
}

Duration Pace::FirstToken(std::uint32_t aPrefillTokens) const
{
  if (this->weight == 0) {
    return Duration::zero();
  }
  const double spread = this->weight * this->sumXx - this->sumX * this->sumX;
  const double covariance = this->weight * this->sumXy - this->sumX * this->sumY;
  const bool hasSlope = spread > 1 && covariance > 0;
  const double slope = hasSlope ? covariance / spread : 0;
  const double base = std::max((this->sumY - slope * this->sumX) / this->weight, 0.0);
  return DurationOf(base + slope * aPrefillTokens);
}

StallRule::StallRule(const AgentOptions& aOptions)
  : floor(aOptions.stallFloor)
  , firstFloor(Scaled(aOptions.firstTokenTarget, aOptions.stallFactor))
  , factor(aOptions.stallFactor)
{
}

Duration StallRule::BetweenTokens(const Pace& aPace, std::uint32_t aPendingPrompt) const
{
  const Duration silence = std::max(this->floor, Scaled(aPace.Gap(), this->factor));
  if (aPendingPrompt == 0) {
    return silence;
  }
  return silence + Scaled(aPace.FirstToken(aPendingPrompt), kPrefillFactor);
}

Duration StallRule::BeforeFirst(const Pace& aPace, std::uint32_t aPendingPrompt) const
{
  const Duration expected = aPace.FirstToken(aPendingPrompt);
  if (expected == Duration::zero()) {
    return this->firstFloor;
  }
  const Duration silence = std::max(this->floor, Scaled(aPace.Gap(), this->factor));
  return Scaled(silence, kFirstFactor) + Scaled(expected, kPrefillFactor);
}

Duration StallRule::BeforeAnswer(const Pace& aPace) const
{
  return std::max(this->firstFloor, Scaled(aPace.AnswerTime(), this->factor));
}

std::string_view ToString(BreakerState aState)
{
  switch (aState) {
    case BreakerState::kClosed:
      return "closed";
    case BreakerState::kOpen:
      return "open";
    case BreakerState::kProbing:
      return "probing";
    case BreakerState::kSlowStart:
      return "slow_start";
  }
  return "invalid";
}

Breaker::Breaker(const AgentOptions& aOptions)
  : delay(aOptions.breakerDelay)
  , nextDelay(aOptions.breakerDelay)
{
}

void Breaker::OnFailure(TimePoint aNow, bool aSevere)
{
  this->failures++;
  const bool isFragile = this->state == BreakerState::kSlowStart;
  if (this->state == BreakerState::kOpen || this->state == BreakerState::kProbing) {
    return;
  }
  if (aSevere || isFragile || this->failures >= kFailures) {
    this->Open(aNow);
  }
}

void Breaker::OnSuccess()
{
  this->failures = 0;
  if (this->state != BreakerState::kSlowStart) {
    return;
  }
  this->allowance *= 2;
  this->nextDelay = this->delay;
  if (this->allowance >= kStartedAllowance) {
    this->state = BreakerState::kClosed;
  }
}

void Breaker::OnProbe(TimePoint aNow, bool aReachable)
{
  if (!aReachable) {
    this->Open(aNow);
    return;
  }
  if (this->state == BreakerState::kProbing) {
    this->state = BreakerState::kSlowStart;
    this->allowance = 1;
    this->failures = 0;
  }
}

bool Breaker::TakeProbe(TimePoint aNow)
{
  if (this->state != BreakerState::kOpen || this->probeAt > aNow) {
    return false;
  }
  this->state = BreakerState::kProbing;
  this->probeAt = kNever;
  return true;
}

std::uint32_t Breaker::Allowance(std::uint32_t aLimit) const
{
  switch (this->state) {
    case BreakerState::kClosed:
      return aLimit;
    case BreakerState::kSlowStart:
      return std::min(aLimit, this->allowance);
    case BreakerState::kOpen:
    case BreakerState::kProbing:
      break;
  }
  return 0;
}

TimePoint Breaker::ProbeAt() const
{
  return this->state == BreakerState::kOpen ? this->probeAt : kNever;
}

// Opens the breaker; each opening in a row waits twice as long for its probe.
void Breaker::Open(TimePoint aNow)
{
  this->state = BreakerState::kOpen;
  this->probeAt = aNow + this->nextDelay;
  this->nextDelay = std::min(this->nextDelay * 2, this->delay * kLongestDelay);
}

} // namespace caraway
