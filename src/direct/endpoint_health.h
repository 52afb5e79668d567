// What the attempts of one entry show of one endpoint: how often it fails, whether to keep away
// from it for a while, and how fast it reads prompts.
#pragma once

#include "core/health.h"
#include "direct/call.h"

namespace caraway::direct {

class EndpointHealth
{
public:
  void OnAttempt(TimePoint aNow, AttemptEnd aEnd);
  // An engine's first event came aWait after a prompt was sent; aTokens were to be read until then,
  // with the prompts before it.
  void OnFirstEvent(Duration aWait, std::uint32_t aTokens)
  {
    this->pace.OnFirstToken(aWait, aTokens);
  }
  // The endpoint registered anew or its agent reaches it: nothing speaks against it any more.
  void OnRecovered();

  // Nothing is sent before this time, unless no other endpoint is left.
  TimePoint AvoidUntil() const { return this->avoidUntil; }
  // Part of the recent attempts that failed.
  double FailureRate() const { return this->failureRate; }
  // Expected time from sending a prompt to its first event while aTokens are to be read until then.
  Duration FirstEventTime(std::uint32_t aTokens) const;

private:
  TimePoint avoidUntil{};
  Duration nextAvoidance = kFirstAvoidance;
  double failureRate = 0;
  LatencyModel pace;

  // First pause after an endpoint was not reached; it doubles with each further time.
  static constexpr Duration kFirstAvoidance = std::chrono::milliseconds(200);
};

} // namespace caraway::direct
