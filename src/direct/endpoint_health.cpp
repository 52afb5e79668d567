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
constexpr double kFailureMemory = 0.1;      // weight of the newest attempt
constexpr double kSpeedMemory = 0.15;       // weight of the newest measurement
constexpr std::uint32_t kLeastTokens = 256; // shorter prompts say little about reading speed

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

void EndpointHealth::OnFirstEvent(Duration aWait, std::uint32_t aPromptTokens)
{
  if (aPromptTokens < kLeastTokens) {
    return;
  }
  const double measured = std::chrono::duration<double>(aWait).count() / aPromptTokens;
  this->secondsPerToken += kSpeedMemory * (measured - this->secondsPerToken);
}

void EndpointHealth::OnRecovered()
{
  this->avoidUntil = TimePoint{};
  this->nextAvoidance = kFirstAvoidance;
  this->failureRate = 0;
}

Duration EndpointHealth::FirstEventTime(std::uint32_t aPromptTokens) const
{
  return std::chrono::duration_cast<Duration>(
    std::chrono::duration<double>(this->secondsPerToken * aPromptTokens));
}

} // namespace caraway::direct
