#include "direct/endpoint_health.h"

#include <algorithm>

namespace caraway::direct {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr Duration kMaxAvoidance = seconds(2);
// An endpoint that refuses is full; it is retried after about the duration of one short request.
constexpr Duration kRefusalPause = milliseconds(50);
// A registration that misdirects a request is out of date by a few seconds at most.
constexpr Duration kMisdirectedPause = seconds(2);
constexpr double kFailureWeight = 0.1; // weight of the newest attempt in the moving average
// Prefill rate assumed until the first measurement: about 30 tokens per ms for a mid-size engine.
constexpr Duration kInitialTokenTime = milliseconds(1);
constexpr int kInitialTokens = 30;

} // namespace

void EndpointHealth::OnAttempt(TimePoint aNow, AttemptEnd aEnd)
{
  const bool isFailure =
    aEnd == AttemptEnd::kFailed || aEnd == AttemptEnd::kBroken || aEnd == AttemptEnd::kStalled;
  if (isFailure || aEnd == AttemptEnd::kAnswered) {
    this->failureRate += kFailureWeight * ((isFailure ? 1.0 : 0.0) - this->failureRate);
  }
  switch (aEnd) {
    case AttemptEnd::kAnswered:
      this->nextAvoidance = kInitialAvoidance;
      break;
    case AttemptEnd::kUnsent:
    case AttemptEnd::kBroken:
    case AttemptEnd::kStalled:
      this->avoidUntil = std::max(this->avoidUntil, aNow + this->nextAvoidance);
      this->nextAvoidance = std::min(this->nextAvoidance * 2, kMaxAvoidance);
      break;
    case AttemptEnd::kRefused:
      this->avoidUntil = std::max(this->avoidUntil, aNow + kRefusalPause);
      break;
    case AttemptEnd::kMisdirected:
      this->avoidUntil = std::max(this->avoidUntil, aNow + kMisdirectedPause);
      break;
    case AttemptEnd::kFailed:
      break;
  }
}

void EndpointHealth::OnRecovered()
{
  this->avoidUntil = TimePoint{};
  this->nextAvoidance = kInitialAvoidance;
  this->failureRate = 0;
}

Duration EndpointHealth::FirstEventTime(std::uint32_t aTokens) const
{
  const Duration learned = this->pace.FirstTokenLatency(aTokens);
  return learned > Duration::zero() ? learned : kInitialTokenTime * aTokens / kInitialTokens;
}

} // namespace caraway::direct
