#include "direct/endpoint_pace.h"

#include <algorithm>

namespace caraway::direct {

std::string_view ToString(PacePhase aPhase)
{
  switch (aPhase) {
    case PacePhase::kStarting:
      return "starting";
    case PacePhase::kLimited:
      return "limited";
    case PacePhase::kFull:
      return "full";
  }
  return "unknown";
}

std::string_view ToString(PaceReason aReason)
{
  switch (aReason) {
    case PaceReason::kNewProcess:
      return "new_process";
    case PaceReason::kRecovered:
      return "recovered";
    case PaceReason::kAnswers:
      return "answers";
    case PaceReason::kQuiet:
      return "quiet";
    case PaceReason::kSlow:
      return "slow";
    case PaceReason::kFailure:
      return "failure";
  }
  return "unknown";
}

double AdditiveIncrease::Grow(double aLimit, bool aIsStarting, Duration) const
{
  return aIsStarting ? aLimit + 1 : aLimit + 1 / std::max(aLimit, 1.0);
}

EndpointPace::EndpointPace(const PaceOptions& aOptions, const PaceRule& aRule)
  : options(aOptions)
  , rule(aRule)
{
}

void EndpointPace::SetProcess(TimePoint aNow, std::int64_t aBornMs, bool aIsYoung)
{
  if (aBornMs == this->bornMs) {
    return;
  }
  const bool isFirst = this->bornMs < 0;
  this->bornMs = aBornMs;
  if (!isFirst || aIsYoung) {
    this->Restart(aNow, PaceReason::kNewProcess);
  }
}

void EndpointPace::SetReachable(TimePoint aNow, bool aIsReachable)
{
  if (!aIsReachable) {
    this->silentSince = std::min(this->silentSince, aNow);
    return;
  }
  const bool wasLong =
    this->silentSince != kNever && aNow - this->silentSince >= this->options.shortSilence;
  this->silentSince = kNever;
  if (wasLong) {
    this->Restart(aNow, PaceReason::kRecovered);
  }
}

void EndpointPace::OnFirstEvent(TimePoint aSentAt, TimePoint aNow, Duration aExpected)
{
  if (this->phase == PacePhase::kFull || aSentAt < this->changedAt) {
    return;
  }
  const bool isSlow =
    aExpected > Duration::zero() && aNow - aSentAt > aExpected * this->options.slowRatio;
  if (!isSlow) {
    this->OnGoodAnswer(aSentAt, aNow);
  } else if (++this->slowCount >= this->options.slowInRow) {
    this->OnSign(aSentAt, aNow, PaceReason::kSlow);
  }
}

void EndpointPace::OnAttemptEnd(TimePoint aSentAt, TimePoint aNow, AttemptEnd aEnd)
{
  switch (aEnd) {
    case AttemptEnd::kAnswered:
    case AttemptEnd::kUnsent:
    case AttemptEnd::kMisdirected:
      return;
    case AttemptEnd::kFailed:
    case AttemptEnd::kBroken:
    case AttemptEnd::kRefused:
    case AttemptEnd::kStalled:
      this->OnSign(aSentAt, aNow, PaceReason::kFailure);
      return;
  }
}

void EndpointPace::OnTime(TimePoint aNow)
{
  if (this->phase == PacePhase::kStarting && aNow - this->startedAt >= this->options.maxStartTime) {
    this->phase = PacePhase::kFull;
    this->reason = PaceReason::kQuiet;
  }
}

std::uint32_t EndpointPace::Limit() const
{
  return this->phase == PacePhase::kFull
           ? this->slots
           : std::clamp(static_cast<std::uint32_t>(this->limit), 1U, this->slots);
}

void EndpointPace::Restart(TimePoint aNow, PaceReason aReason)
{
  this->limit = this->options.initialLimit;
  this->slowCount = 0;
  this->startedAt = aNow;
  this->changedAt = aNow;
  this->phase = PacePhase::kStarting;
  this->reason = aReason;
}

// Requests that were sent before the last cut met the load of before it.
void EndpointPace::OnSign(TimePoint aSentAt, TimePoint aNow, PaceReason aReason)
{
  if (this->phase == PacePhase::kFull || aSentAt < this->changedAt) {
    return;
  }
  this->limit = std::max(this->limit * this->options.decrease, 1.0);
  this->slowCount = 0;
  this->changedAt = aNow;
  this->phase = PacePhase::kLimited;
  this->reason = aReason;
}

void EndpointPace::OnGoodAnswer(TimePoint, TimePoint aNow)
{
  this->slowCount = 0;
  this->limit =
    this->rule.Grow(this->limit, this->phase == PacePhase::kStarting, aNow - this->startedAt);
  if (this->limit >= this->slots) {
    this->phase = PacePhase::kFull;
    this->reason = PaceReason::kAnswers;
  }
}

} // namespace caraway::direct
