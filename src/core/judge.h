// Sequential test of a new version against the old one, for one route and one load level.
// Independent of moves, entries and messages.
#pragma once

#include "core/types.h"

#include <array>
#include <string_view>

namespace caraway {

// Weighted counts of the outcomes with (hits) and without (misses) one kind of failure.
struct Tally
{
  double hits = 0;
  double misses = 0;

  double Total() const { return this->hits + this->misses; }
};

// Share of hits among recent outcomes of the old version: the higher of a fast and a slow moving
// average, so that a fault that affects both versions is not attributed to the new one.
class BaseRate
{
public:
  // aPrior: assumed rate before the first outcome, and the lowest rate returned.
  explicit BaseRate(double aPrior);

  void Add(TimePoint aNow, const Tally& aTally);
  double Rate() const;
  // Number of outcomes in the slow average.
  double Weight() const { return this->slow.Total(); }

private:
  static void Decay(Tally& aTally, Duration aElapsed, Duration aHalfLife);
  double RateOf(const Tally& aTally) const;

  double prior;
  TimePoint lastAt{};
  Tally fast;
  Tally slow;
};

// CUSUM test: cumulative sums of log-likelihood ratios, one for each of several assumed failure
// rates above the base rate. A sum never falls below zero, so a version that starts to fail late is
// detected as fast as one that fails from the start. The mean number of outcomes until a false
// alarm is at least the threshold.
class SequentialTest
{
public:
  // aExcess: smallest excess over the base rate to detect.
  SequentialTest(double aExcess, double aThreshold);

  void Add(const Tally& aTally, double aBaseRate);
  // Largest sum as a fraction of the logarithm of the threshold: 1 and above is an alarm.
  double Score() const;
  bool IsAlarm() const { return this->Score() >= 1; }

private:
  static constexpr std::size_t kRates = 4;
  double excess;
  double logThreshold;
  std::array<double, kRates> sums{};
};

// Collects the outcomes of a short window into one step. Failures close together often share one
// cause, such as the loss of one VM, so a step counts at most a fixed number of hits; misses are
// reduced in the same proportion.
class ClusteredTally
{
public:
  ClusteredTally(Duration aWindow, double aMaxHits);

  void Add(TimePoint aNow, const Tally& aTally);
  bool IsDue(TimePoint aNow) const;
  // Returns the collected step and starts a new one.
  Tally Take();

private:
  Duration window;
  double maxHits;
  TimePoint windowStart = kNever;
  Tally tally;
};

// A sequential test with its base rate and its pending step.
class VersionTest
{
public:
  struct Limits
  {
    double prior;     // assumed hit rate of the old version
    double excess;    // smallest excess over the base rate to detect
    double threshold; // lower bound of the mean number of outcomes until a false alarm
    Duration window;  // length of one step
    double maxHits;   // counted per window
  };

  explicit VersionTest(const Limits& aLimits);

  void AddOld(TimePoint aNow, const Tally& aTally);
  // aFallbackRate: lower bound of the base rate while the old version has few outcomes.
  void AddNew(TimePoint aNow, const Tally& aTally, double aFallbackRate);
  // Evaluates the pending step if its window has ended.
  void Step(TimePoint aNow, double aFallbackRate);

  double Score() const { return this->test.Score(); }
  bool IsAlarm() const { return this->test.IsAlarm(); }
  double OldRate(double aFallbackRate) const;

private:
  BaseRate base;
  ClusteredTally pendingStep;
  SequentialTest test;
};

} // namespace caraway
