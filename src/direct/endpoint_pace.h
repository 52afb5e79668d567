// Admitted concurrency of one endpoint process after its start or recovery, found from how it
// answers. The process that keeps the endpoint's queue holds the state and limits the slots that it
// offers, so that it holds for all entries.
#pragma once

#include "direct/call.h"

#include <algorithm>
#include <cstdint>
#include <memory>
#include <string_view>

namespace caraway::direct {

struct PaceOptions
{
  // Concurrent requests admitted at a process that has not answered yet.
  std::uint32_t initialLimit = 1;
  // A first event that takes more than this multiple of the expected time shows overload.
  double slowRatio = 2.5;
  // Slow first events in a row that count as one sign of overload.
  std::uint32_t slowInRow = 3;
  double decrease = 0.5; // factor of the limit after a sign of overload
  // A start without a sign of overload ends after this time, also if few requests came.
  Duration maxStartTime = std::chrono::seconds(2);
  // An endpoint that was out of reach for less than this continues at the limit that it had.
  Duration shortSilence = std::chrono::milliseconds(300);
};

enum class PacePhase : std::uint8_t
{
  kStarting, // doubles each round of answers
  kLimited,  // after a sign of overload: one more each round
  kFull,     // all slots
};

std::string_view ToString(PacePhase aPhase);

// Why the limit changed last.
enum class PaceReason : std::uint8_t
{
  kNewProcess,
  kRecovered, // reachable again
  kAnswers,
  kQuiet, // no overload during the time of a start
  kSlow,
  kFailure, // a refusal, an error or a broken connection
};

std::string_view ToString(PaceReason aReason);

// How the limit grows while answers keep pace.
class PaceRule
{
public:
  virtual ~PaceRule() = default;
  // Returns the limit after one more answer in time; aIsStarting: no sign of overload so far.
  virtual double Grow(double aLimit, bool aIsStarting, Duration aAge) const = 0;
};

// Doubles each round of answers until the first sign of overload, then adds one each round.
class AdditiveIncrease final : public PaceRule
{
public:
  double Grow(double aLimit, bool aIsStarting, Duration aAge) const override;
};

class EndpointPace
{
public:
  EndpointPace(const PaceOptions& aOptions, const PaceRule& aRule);

  void SetSlots(std::uint32_t aSlots) { this->slots = std::max(aSlots, 1U); }
  // The start of the process in Unix milliseconds. A new process begins anew; the first one that is
  // seen has run for long and gets all its slots unless aIsYoung.
  void SetProcess(TimePoint aNow, std::int64_t aBornMs, bool aIsYoung);
  void SetReachable(TimePoint aNow, bool aIsReachable);
  // A request sent at aSentAt got its first event after aWait; aExpected is what the endpoint's
  // earlier answers or its peers led to expect, zero if unknown.
  void OnFirstEvent(TimePoint aSentAt, TimePoint aNow, Duration aExpected);
  void OnAttemptEnd(TimePoint aSentAt, TimePoint aNow, AttemptEnd aEnd);

  // Ends a start that showed no overload for maxStartTime.
  void OnTime(TimePoint aNow);

  // Concurrent requests to admit; at least 1.
  std::uint32_t Limit() const;
  PacePhase Phase() const { return this->phase; }
  PaceReason Reason() const { return this->reason; }

private:
  void Restart(TimePoint aNow, PaceReason aReason);
  void OnSign(TimePoint aSentAt, TimePoint aNow, PaceReason aReason);
  void OnGoodAnswer(TimePoint aSentAt, TimePoint aNow);

  PaceOptions options;
  const PaceRule& rule;
  std::int64_t bornMs = -1; // not seen yet
  std::uint32_t slots = 1;
  double limit = 1;
  std::uint32_t slowCount = 0; // slow first events since the last one in time
  TimePoint startedAt{};
  TimePoint changedAt{}; // of the last restart or cut; earlier requests say nothing about it
  TimePoint silentSince = kNever;
  PacePhase phase = PacePhase::kFull;
  PaceReason reason = PaceReason::kAnswers;
};

} // namespace caraway::direct
