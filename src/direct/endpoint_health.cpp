#include "direct/endpoint_health.h"

#include <algorithm>

namespace caraway::direct {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr Duration kLongestAvoidance = seconds(2);
// An endpoint that refuses is full: it is asked again after about the time of one short request.
constexpr Duration kRefusalPause = milliseconds(50);
// A misdirected request shows that the registration is out of date by some seconds at most.
constexpr Duration kMisdirectedPause = seconds(2);
constexpr double kFailureMemory = 0.1; // weight of the newest attempt
// Assumed until the first measurement: a mid-size engine reads some 30 tokens in a millisecond.
constexpr Duration kInitialTokenTime = milliseconds(1);
constexpr int kInitialTokens = 30;

} // namespace

void EndpointHealth::OnAttempt(TimePoint aNow, AttemptEnd aEnd)
{
  const bool isFailure =
    aEnd == AttemptEnd::kFailed || aEnd == AttemptEnd::kBroken || aEnd == AttemptEnd::kStalled;
  if (isFailure || aEnd == AttemptEnd::kAnswered) {
    this->failureRate += kFailureMemory * ((isFailure ? 1.0 : 0.0) - this->failureRate);
  }
  switch (aEnd) {
    case AttemptEnd::kAnswered:
      this->nextAvoidance = kFirstAvoidance;
      break;
    case AttemptEnd::kUnsent:
    case AttemptEnd::kBroken:
    case AttemptEnd::kStalled:
      this->avoidUntil = std::max(this->avoidUntil, aNow + this->nextAvoidance);
      this->nextAvoidance = std::min(this->nextAvoidance * 2, kLongestAvoidance);
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
  this->nextAvoidance = kFirstAvoidance;
  this->failureRate = 0;
}

Duration EndpointHealth::FirstEventTime(std::uint32_t aTokens) const
{
  const Duration learned = this->pace.FirstTokenLatency(aTokens);
  return learned > Duration::zero() ? learned : kInitialTokenTime * aTokens / kInitialTokens;
}

} // namespace caraway::direct
