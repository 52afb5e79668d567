// Sequential judgement of a new version against the old one, for one route and one load level.
// Knows nothing of moves, entries or messages.
#pragma once

#include "core/types.h"

#include <array>
#include <string_view>

namespace caraway {

// Outcomes of one kind of failure: those that show it and those that don't. Weighted counts.
struct Tally
{
  double hits = 0;
  double misses = 0;

  double Total() const { return this->hits + this->misses; }
};

// Share of hits among recent outcomes, as of the old version. A fast and a slow average are kept
// and the higher one counts, so that trouble that hits both versions is not blamed on the new one.
class BaseRate
{
public:
  // aPrior: assumed rate before anything was seen, and the lowest rate ever returned.
  explicit BaseRate(double aPrior);

  void Add(TimePoint aNow, const Tally& aTally);
  double Rate() const;
  // Outcomes of the slow window.
  double Weight() const { return this->slow.Total(); }

private:
  static void Decay(Tally& aTally, Duration aElapsed, Duration aHalfLife);
  double RateOf(const Tally& aTally) const;

  double prior;
  TimePoint lastAt{};
  Tally fast;
  Tally slow;
};

// Cumulative sums of likelihood ratios, one for each of several assumed failure rates above the
// base rate. A sum never falls below zero, so a version that turns bad late is found as fast as one
// that is bad from the start. The mean number of outcomes until a false alarm is at least the
// threshold.
class SequentialTest
{
public:
  // aExcess: smallest excess over the base rate that is worth finding.
  SequentialTest(double aExcess, double aThreshold);

  void Add(const Tally& aTally, double aBaseRate);
  // Largest sum as a share of the threshold: 1 and above is an alarm.
  double Score() const;
  bool IsAlarm() const { return this->Score() >= 1; }

private:
  static constexpr std::size_t kRates = 4;
  double excess;
  double logThreshold;
  std::array<double, kRates> sums{};
};

// Collects outcomes of a short time into one step. Failures that come together have often one
// cause, such as the loss of one VM, so a step counts at most a fixed number of hits; misses shrink
// in the same proportion.
class ClusteredTally
{
public:
  ClusteredTally(Duration aWindow, double aMaxHits);

  void Add(TimePoint aNow, const Tally& aTally);
  bool IsDue(TimePoint aNow) const;
  // The step that ended; empties the collection.
  Tally Take();

private:
  Duration window;
  double maxHits;
  TimePoint since = kNever;
  Tally tally;
};

// One sequential test with its base rate and its collection.
class VersionTest
{
public:
  struct Limits
  {
    double prior;     // assumed rate of hits of the old version
    double excess;    // smallest excess that is worth finding
    double threshold; // mean outcomes until a false alarm, at the least
    Duration window;  // of clustered outcomes
    double maxHits;   // of one window
  };

  explicit VersionTest(const Limits& aLimits);

  void AddOld(TimePoint aNow, const Tally& aTally);
  // aFallback: base rate used while the old version has few outcomes here.
  void AddNew(TimePoint aNow, const Tally& aTally, double aFallback);
  // Evaluates what was collected, if its window has ended.
  void Step(TimePoint aNow, double aFallback);

  double Score() const { return this->test.Score(); }
  bool IsAlarm() const { return this->test.IsAlarm(); }
  double OldRate(double aFallback) const;

private:
  BaseRate base;
  ClusteredTally pending;
  SequentialTest test;
};

} // namespace caraway
