// Health of an endpoint judged from the progress of its work, never from its own report.
#pragma once

#include "core/options.h"
#include "core/types.h"

namespace caraway {

// Learns the endpoint's usual pace: the gap between two tokens of a stream, and the time to the
// first token as a line over the prompt tokens to prefill, its own and those before it.
class Pace
{
public:
  void OnFirstToken(Duration aWait, std::uint32_t aPrefillTokens);
  // aTokens tokens of one stream arrived aGap after the ones before.
  void OnTokens(Duration aGap, std::uint32_t aTokens);
  // A plain service answered after aTime.
  void OnAnswer(Duration aTime);

  // Usual time between two tokens; zero before any was seen.
  Duration Gap() const { return this->gap; }
  // Expected time from dispatch to the first token; zero before any was seen.
  Duration FirstToken(std::uint32_t aPrefillTokens) const;
  // Usual time of a plain service's answer; zero before any was seen.
  Duration AnswerTime() const { return this->answerTime; }

private:
  Duration gap{};
  Duration answerTime{};
  // Decayed sums of a least-squares fit: waits in seconds over prompt tokens.
  double weight = 0;
  double sumX = 0;
  double sumY = 0;
  double sumXx = 0;
  double sumXy = 0;
};

// When the silence of a stream counts as a stall.
class StallRule
{
public:
  explicit StallRule(const AgentOptions& aOptions);

  // Longest silence of a stream that has begun, while prompts of aPendingPrompt tokens in all wait
  // for their first token (prefill may hold up the other streams of the engine).
  Duration BetweenTokens(const Pace& aPace, std::uint32_t aPendingPrompt) const;
  // Longest wait for the first token.
  Duration BeforeFirst(const Pace& aPace, std::uint32_t aPendingPrompt) const;
  // Longest wait for the answer of a plain service.
  Duration BeforeAnswer(const Pace& aPace) const;

private:
  Duration floor;
  Duration firstFloor;
  double factor;
};

enum class BreakerState : std::uint8_t
{
  kClosed,    // healthy
  kOpen,      // nothing is offered
  kProbing,   // asked the host to probe
  kSlowStart, // offers grow from one at a time
};

std::string_view ToString(BreakerState aState);

// Keeps work away from a failed endpoint; reopens by probe, then one request at a time, then twice
// as many after each that comes through.
class Breaker
{
public:
  explicit Breaker(const AgentOptions& aOptions);

  // Work failed; opens the breaker after a few failures in a row, at once if aSevere.
  void OnFailure(TimePoint aNow, bool aSevere);
  void OnSuccess();
  // Answer to a probe.
  void OnProbe(TimePoint aNow, bool aReachable);
  // True if the host has to probe now; asked again only after the answer.
  bool TakeProbe(TimePoint aNow);

  BreakerState State() const { return this->state; }
  // Most requests that may be offered or running now, for an endpoint with the given limit.
  std::uint32_t Allowance(std::uint32_t aLimit) const;
  // Time of the next probe; kNever unless the breaker is open.
  TimePoint ProbeAt() const;

private:
  void Open(TimePoint aNow);

  Duration delay;
  Duration nextDelay;
  BreakerState state = BreakerState::kClosed;
  TimePoint probeAt = kNever;
  std::uint32_t failures = 0; // in a row
  std::uint32_t allowance = 1;
};

} // namespace caraway
