#include "core/health.h"

#include <algorithm>

namespace caraway {

namespace {

constexpr double kInterTokenWeight = 0.02; // weight of a new sample
constexpr double kAnswerWeight = 0.1;      // weight of a new answer time
constexpr double kFitDecay = 0.97;         // weight kept by older samples
// Multiple of the expected prefill time that is added to a stall timeout.
constexpr double kPrefillFactor = 2;
// Timeout before the first token, relative to that between tokens.
constexpr double kFirstTokenFactor = 3;
constexpr std::uint32_t kFailureThreshold = 3; // consecutive failures that open the breaker
constexpr int kMaxDelayFactor = 16;            // in multiples of the initial delay
constexpr std::uint32_t kSlowStartEnd = 64;

Duration DurationOf(double aSeconds)
{
  return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(aSeconds));
}

Duration Scaled(Duration aTime, double aFactor)
{
  return DurationOf(SecondsOf(aTime) * aFactor);
}

// Exponential moving average, initialized with the first sample.
Duration MovingAverage(Duration aOld, Duration aNew, double aWeight)
{
  return aOld == Duration::zero() ? aNew : aOld + Scaled(aNew - aOld, aWeight);
}

} // namespace

void LatencyModel::OnFirstToken(Duration aWait, std::uint32_t aPrefillTokens)
{
  const double x = aPrefillTokens;
  const double y = SecondsOf(aWait);
  this->weight = this->weight * kFitDecay + 1;
  this->sumX = this->sumX * kFitDecay + x;
  this->sumY = this->sumY * kFitDecay + y;
  this->sumXx = this->sumXx * kFitDecay + x * x;
  this->sumXy = this->sumXy * kFitDecay + x * y;
}

void LatencyModel::OnTokens(Duration aGap, std::uint32_t aTokens)
{
  const Duration each = aGap / std::max(aTokens, 1U);
  this->interTokenLatency =
    std::max(MovingAverage(this->interTokenLatency, each, kInterTokenWeight), Duration(1));
}

void LatencyModel::OnAnswer(Duration aTime)
{
  this->answerLatency =
    MovingAverage(this->answerLatency, std::max(aTime, Duration(1)), kAnswerWeight);
}

Duration LatencyModel::FirstTokenLatency(std::uint32_t aPrefillTokens) const
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

StallTimeouts::StallTimeouts(const AgentOptions& aOptions)
  : floor(aOptions.stallFloor)
  , firstTokenFloor(Scaled(aOptions.firstTokenTarget, aOptions.stallFactor))
  , factor(aOptions.stallFactor)
{
}

Duration StallTimeouts::BetweenTokens(const LatencyModel& aModel,
                                      std::uint32_t aPendingPrompt) const
{
  const Duration silence = std::max(this->floor, Scaled(aModel.InterTokenLatency(), this->factor));
  if (aPendingPrompt == 0) {
    return silence;
  }
  return silence + Scaled(aModel.FirstTokenLatency(aPendingPrompt), kPrefillFactor);
}

Duration StallTimeouts::BeforeFirstToken(const LatencyModel& aModel,
                                         std::uint32_t aPendingPrompt) const
{
  const Duration expected = aModel.FirstTokenLatency(aPendingPrompt);
  if (expected == Duration::zero()) {
    return this->firstTokenFloor;
  }
  const Duration silence = std::max(this->floor, Scaled(aModel.InterTokenLatency(), this->factor));
  return Scaled(silence, kFirstTokenFactor) + Scaled(expected, kPrefillFactor);
}

Duration StallTimeouts::BeforeAnswer(const LatencyModel& aModel) const
{
  return std::max(this->firstTokenFloor, Scaled(aModel.AnswerLatency(), this->factor));
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

void Breaker::OnFailure(TimePoint aNow, bool aIsSevere)
{
  this->failures++;
  const bool isSlowStart = this->state == BreakerState::kSlowStart;
  if (this->state == BreakerState::kOpen || this->state == BreakerState::kProbing) {
    return;
  }
  if (aIsSevere || isSlowStart || this->failures >= kFailureThreshold) {
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
  if (this->allowance >= kSlowStartEnd) {
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

// Opens the breaker. The delay before the probe doubles with each consecutive opening.
void Breaker::Open(TimePoint aNow)
{
  this->state = BreakerState::kOpen;
  this->probeAt = aNow + this->nextDelay;
  this->nextDelay = std::min(this->nextDelay * 2, this->delay * kMaxDelayFactor);
}

} // namespace caraway
