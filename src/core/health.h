// Endpoint health, derived from the progress of its work and never from the endpoint's own report.
#pragma once

#include "core/options.h"
#include "core/types.h"

namespace caraway {

// Learns the endpoint's usual latencies: the time between two tokens of a stream, and the time to
// first token as a linear function of the prompt tokens to prefill, both the request's own and
// those ahead of it.
class LatencyModel
{
public:
  void OnFirstToken(Duration aWait, std::uint32_t aPrefillTokens);
  // aTokens tokens of one stream arrived aGap after its previous tokens.
  void OnTokens(Duration aGap, std::uint32_t aTokens);
  // A plain service answered after aTime.
  void OnAnswer(Duration aTime);

  // Mean time between two tokens; zero before the first sample.
  Duration InterTokenLatency() const { return this->interTokenLatency; }
  // Expected time from dispatch to the first token; zero before the first sample.
  Duration FirstTokenLatency(std::uint32_t aPrefillTokens) const;
  // Mean answer time of a plain service; zero before the first sample.
  Duration AnswerLatency() const { return this->answerLatency; }

private:
  Duration interTokenLatency{};
  Duration answerLatency{};
  // Decayed sums of a least-squares fit of waits in seconds over prompt tokens.
  double weight = 0;
  double sumX = 0;
  double sumY = 0;
  double sumXx = 0;
  double sumXy = 0;
};

// Computes the timeouts after which a request without progress counts as stalled.
class StallTimeouts
{
public:
  explicit StallTimeouts(const AgentOptions& aOptions);

  // Timeout of a started stream while aPendingPrompt prompt tokens in total wait for prefill, which
  // may delay the other streams of the engine.
  Duration BetweenTokens(const LatencyModel& aModel, std::uint32_t aPendingPrompt) const;
  // Timeout of a stream without a first token.
  Duration BeforeFirstToken(const LatencyModel& aModel, std::uint32_t aPendingPrompt) const;
  // Timeout of a plain service's answer.
  Duration BeforeAnswer(const LatencyModel& aModel) const;

private:
  Duration floor;
  Duration firstTokenFloor;
  double factor;
};

enum class BreakerState : std::uint8_t
{
  kClosed,    // healthy
  kOpen,      // no offers
  kProbing,   // waiting for the result of a probe
  kSlowStart, // allowance grows from one request
};

std::string_view ToString(BreakerState aState);

// Circuit breaker for a failed endpoint. After a successful probe it allows one request at a time
// (slow start) and doubles this allowance with every success.
class Breaker
{
public:
  explicit Breaker(const AgentOptions& aOptions);

  // Work failed. Opens the breaker after several consecutive failures, or at once if aIsSevere.
  void OnFailure(TimePoint aNow, bool aIsSevere);
  void OnSuccess();
  // Result of a probe.
  void OnProbe(TimePoint aNow, bool aReachable);
  // True if a probe is due now; the next one is due only after the result of this one.
  bool TakeProbe(TimePoint aNow);

  BreakerState State() const { return this->state; }
  // Maximum number of requests that may be offered or running now, given the endpoint's limit.
  std::uint32_t Allowance(std::uint32_t aLimit) const;
  // Time of the next probe; kNever unless the breaker is open.
  TimePoint ProbeAt() const;

private:
  void Open(TimePoint aNow);

  Duration delay;
  Duration nextDelay;
  BreakerState state = BreakerState::kClosed;
  TimePoint probeAt = kNever;
  std::uint32_t failures = 0; // consecutive
  std::uint32_t allowance = 1;
};

} // namespace caraway
