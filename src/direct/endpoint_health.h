// Health of one endpoint as measured by one entry's attempts: its failure rate, whether to avoid it
// for a while, and its prefill rate.
#pragma once

#include "core/health.h"
#include "direct/call.h"

namespace caraway::direct {

class EndpointHealth
{
public:
  void OnAttempt(TimePoint aNow, AttemptEnd aEnd);
  // An engine's first event arrived aWait after its prompt was sent. aTokens is the prefill until
  // then, including earlier prompts.
  void OnFirstEvent(Duration aWait, std::uint32_t aTokens)
  {
    this->pace.OnFirstToken(aWait, aTokens);
  }
  // Resets failures and avoidance, after a new registration or once the agent reaches the endpoint.
  void OnRecovered();

  // The endpoint gets no calls before this time unless no other endpoint is left.
  TimePoint AvoidUntil() const { return this->avoidUntil; }
  // Share of recent attempts that failed.
  double FailureRate() const { return this->failureRate; }
  // Expected time from sending a prompt to its first event after a prefill of aTokens.
  Duration FirstEventTime(std::uint32_t aTokens) const;

private:
  TimePoint avoidUntil{};
  Duration nextAvoidance = kInitialAvoidance;
  double failureRate = 0;
  LatencyModel pace;

  // Initial backoff after an attempt did not reach the endpoint or broke off; doubles each time.
  static constexpr Duration kInitialAvoidance = std::chrono::milliseconds(200);
};

} // namespace caraway::direct
