// What the attempts of one entry show of one endpoint: how often it fails, whether to keep away
// from it for a while, and how fast it reads prompts.
#pragma once

#include "direct/call.h"

namespace caraway::direct {

class EndpointHealth
{
public:
  void OnAttempt(TimePoint aNow, AttemptEnd aEnd);
  // An engine's first event came aWait after the prompt was sent.
  void OnFirstEvent(Duration aWait, std::uint32_t aPromptTokens);
  // The endpoint registered anew or its agent reaches it: nothing speaks against it any more.
  void OnRecovered();

  // Nothing is sent before this time, unless no other endpoint is left.
  TimePoint AvoidUntil() const { return this->avoidUntil; }
  // Part of the recent attempts that failed.
  double FailureRate() const { return this->failureRate; }
  // Expected time from sending a prompt to its first event.
  Duration FirstEventTime(std::uint32_t aPromptTokens) const;

private:
  TimePoint avoidUntil{};
  Duration nextAvoidance = kFirstAvoidance;
  double failureRate = 0;
  double secondsPerToken = kInitialSecondsPerToken;

  // First pause after an endpoint was not reached; it doubles with each further time.
  static constexpr Duration kFirstAvoidance = std::chrono::milliseconds(200);
  // Assumed until the first measurement: a mid-size engine reads some 30 tokens in a millisecond.
  static constexpr double kInitialSecondsPerToken = 1.0 / 30000;
};

} // namespace caraway::direct
