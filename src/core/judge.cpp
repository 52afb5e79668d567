#include "core/judge.h"

#include <algorithm>
#include <cmath>

namespace caraway {

namespace {

using std::chrono::seconds;

constexpr Duration kFastHalfLife = seconds(2);
constexpr Duration kSlowHalfLife = seconds(60);
constexpr double kPriorWeight = 20; // outcomes
constexpr double kMinBaseWeight =
  30; // outcomes of the old version; with fewer the fallback rate applies too
constexpr double kMaxRate = 0.98;
constexpr double kMaxBaseRate = 0.9; // above it the old version is no usable baseline

} // namespace

BaseRate::BaseRate(double aPrior)
  : prior(aPrior)
{
}

void BaseRate::Decay(Tally& aTally, Duration aElapsed, Duration aHalfLife)
{
  const double halfLives =
    static_cast<double>(aElapsed.count()) / static_cast<double>(aHalfLife.count());
  const double factor = std::exp2(-halfLives);
  aTally.hits *= factor;
  aTally.misses *= factor;
}

void BaseRate::Add(TimePoint aNow, const Tally& aTally)
{
  const Duration elapsed = std::max(aNow - this->lastAt, Duration::zero());
  this->lastAt = aNow;
  Decay(this->fast, elapsed, kFastHalfLife);
  Decay(this->slow, elapsed, kSlowHalfLife);
  for (Tally* tally : { &this->fast, &this->slow }) {
    tally->hits += aTally.hits;
    tally->misses += aTally.misses;
  }
}

double BaseRate::RateOf(const Tally& aTally) const
{
  return (aTally.hits + this->prior * kPriorWeight) / (aTally.Total() + kPriorWeight);
}

double BaseRate::Rate() const
{
  return std::max({ this->prior, this->RateOf(this->fast), this->RateOf(this->slow) });
}

SequentialTest::SequentialTest(double aExcess, double aThreshold)
  : excess(aExcess)
  , logThreshold(std::log(aThreshold))
{
}

void SequentialTest::Add(const Tally& aTally, double aBaseRate)
{
  if (aBaseRate >= kMaxBaseRate) {
    return;
  }
  for (std::size_t index = 0; index < kRates; ++index) {
    // The assumed excess rates are spaced geometrically from the smallest excess up to 1.
    const double part = std::pow(1 / this->excess, static_cast<double>(index) / (kRates - 1));
    const double rate = std::min(kMaxRate, aBaseRate + this->excess * part * (1 - aBaseRate));
    const double gain = aTally.hits * std::log(rate / aBaseRate) +
                        aTally.misses * std::log((1 - rate) / (1 - aBaseRate));
    this->sums[index] = std::max(0.0, this->sums[index] + gain);
  }
}

double SequentialTest::Score() const
{
  return *std::ranges::max_element(this->sums) / this->logThreshold;
}

ClusteredTally::ClusteredTally(Duration aWindow, double aMaxHits)
  : window(aWindow)
  , maxHits(aMaxHits)
{
}

void ClusteredTally::Add(TimePoint aNow, const Tally& aTally)
{
  this->windowStart = std::min(this->windowStart, aNow);
  this->tally.hits += aTally.hits;
  this->tally.misses += aTally.misses;
}

bool ClusteredTally::IsDue(TimePoint aNow) const
{
  return this->windowStart != kNever && aNow >= this->windowStart + this->window;
}

Tally ClusteredTally::Take()
{
  Tally step = this->tally;
  if (step.hits > this->maxHits) {
    step.misses *= this->maxHits / step.hits;
    step.hits = this->maxHits;
  }
  this->tally = {};
  this->windowStart = kNever;
  return step;
}

VersionTest::VersionTest(const Limits& aLimits)
  : base(aLimits.prior)
  , pendingStep(aLimits.window, aLimits.maxHits)
  , test(aLimits.excess, aLimits.threshold)
{
}

void VersionTest::AddOld(TimePoint aNow, const Tally& aTally)
{
  this->base.Add(aNow, aTally);
}

void VersionTest::AddNew(TimePoint aNow, const Tally& aTally, double aFallbackRate)
{
  this->Step(aNow, aFallbackRate);
  this->pendingStep.Add(aNow, aTally);
}

void VersionTest::Step(TimePoint aNow, double aFallbackRate)
{
  if (this->pendingStep.IsDue(aNow)) {
    this->test.Add(this->pendingStep.Take(), this->OldRate(aFallbackRate));
  }
}

double VersionTest::OldRate(double aFallbackRate) const
{
  const double rate = this->base.Rate();
  return this->base.Weight() < kMinBaseWeight ? std::max(rate, aFallbackRate) : rate;
}

} // namespace caraway
