#include "core/ramp.h"

#include <algorithm>
#include <cmath>

namespace caraway {

namespace {

constexpr double kShareGrowth = 2;        // ratio of successive shares
constexpr double kRampTimeShare = 0.5;    // of the time before the soak; the rest is reserve
constexpr double kMaxSoakShare = 0.25;    // of the time from start to deadline
constexpr double kOutcomesPerShare = 150; // required for a rise, as a multiple of the share
constexpr double kMinOutcomes = 3;
constexpr double kMaxOutcomes = 30;
constexpr double kMinLevelShare = 0.1; // of the outcomes; smaller load levels are ignored
constexpr double kMinLevelOutcomes = 4;
constexpr double kMaxBadShare = 0.1;  // of the outcomes at one share
constexpr double kToleratedBad = 1;   // failures at one share that don't prevent a rise
constexpr double kFarBehindRatio = 4; // planned share to current share
constexpr double kLateProgress = 1.2; // plan progress from which every route counts as far behind
constexpr double kMaxShare = 0.98;    // until the verdict

double Sum(const std::array<double, kLoadLevels>& aValues)
{
  double sum = 0;
  for (const double value : aValues) {
    sum += value;
  }
  return sum;
}

} // namespace

Ramp::Ramp(const RampPlan& aPlan, Now aNow, double aPhase)
  : plan(aPlan)
  , share(std::min(aPlan.initialShare, kMaxShare))
  , accumulator(aPhase)
  , shareSince(aNow.steady)
{
  if (this->IsFull()) {
    this->fullSince = aNow.steady;
  }
}

bool Ramp::IsFull() const
{
  return this->share >= kMaxShare;
}

bool Ramp::ChooseNew()
{
  ++this->total;
  this->accumulator += this->share;
  if (this->accumulator < 1) {
    return false;
  }
  this->accumulator -= 1;
  ++this->sent;
  return true;
}

void Ramp::OnOutcomes(std::uint8_t aLoadLevel, double aGood, double aBad)
{
  const std::size_t level = std::min<std::size_t>(aLoadLevel, kLoadLevels - 1);
  this->good[level] += aGood;
  this->bad[level] += aBad;
}

void Ramp::OnOtherOutcomes(double aGood, double aBad)
{
  this->otherGood += aGood;
  this->otherBad += aBad;
}

// Outcomes required at the current share before it is raised.
double Ramp::NeededOutcomes() const
{
  return std::clamp(kOutcomesPerShare * this->share, kMinOutcomes, kMaxOutcomes);
}

// Whether the outcomes at the current share allow a rise. A route that is behind the plan needs
// fewer outcomes; one that is far behind may use those of other routes.
bool Ramp::IsValidated(WallTime aTime) const
{
  const double goodSum = Sum(this->good);
  const double badSum = Sum(this->bad);
  const double allOutcomes = goodSum + badSum;
  if (badSum > std::max(kToleratedBad, kMaxBadShare * allOutcomes)) {
    return false;
  }
  const double needed = this->NeededOutcomes();
  const double planRatio = this->PlannedShare(aTime) / this->share;
  if (this->IsValidatedByLevel(
        std::max(kMinOutcomes, needed / std::max(1.0, planRatio / kShareGrowth)))) {
    return true;
  }
  const bool isFarBehind =
    planRatio >= kFarBehindRatio || this->PlanProgress(aTime) >= kLateProgress;
  const double pooled = allOutcomes + this->otherGood + this->otherBad;
  return isFarBehind && pooled >= needed &&
         badSum + this->otherBad <= std::max(kToleratedBad, kMaxBadShare * pooled);
}

// Whether there are enough outcomes, in total and on each load level with a significant share.
bool Ramp::IsValidatedByLevel(double aNeeded) const
{
  const double allOutcomes = Sum(this->good) + Sum(this->bad);
  const double wanted = std::min(kMinLevelOutcomes, aNeeded);
  for (std::size_t level = 0; level < kLoadLevels; ++level) {
    const double levelOutcomes = this->good[level] + this->bad[level];
    const bool isCounted = levelOutcomes > kMinLevelShare * allOutcomes;
    if (isCounted && levelOutcomes < wanted) {
      return false;
    }
  }
  return allOutcomes >= aNeeded;
}

// Time since the start as a fraction of the time that the plan uses to raise the share; above 1 in
// the reserve.
double Ramp::PlanProgress(WallTime aTime) const
{
  const auto windowMs = static_cast<double>((this->plan.finishBy - this->plan.startedAt).count());
  const double soakMs = static_cast<double>(this->plan.soak.count()) / 1000;
  const double soak = std::min(soakMs, kMaxSoakShare * windowMs);
  const double rampMs = kRampTimeShare * (windowMs - soak);
  const auto elapsed = static_cast<double>((aTime - this->plan.startedAt).count());
  return rampMs > 0 ? std::max(0.0, elapsed) / rampMs : kLateProgress;
}

// Largest share that the plan allows at a time: each share gets the same part of the ramp time.
double Ramp::PlannedShare(WallTime aTime) const
{
  const double progress = this->PlanProgress(aTime);
  if (progress >= 1) {
    return kMaxShare;
  }
  const double steps = std::ceil(std::log(1 / this->plan.initialShare) / std::log(kShareGrowth));
  const double step = std::floor(progress * (steps + 1));
  return std::min(kMaxShare, this->plan.initialShare * std::pow(kShareGrowth, step));
}

void Ramp::Step(Now aNow)
{
  const double next = std::min(kMaxShare, this->share * kShareGrowth);
  const bool isPlanned = next <= this->PlannedShare(aNow.wall) + 1e-9;
  const bool hasDwelled = aNow.steady >= this->shareSince + this->plan.dwell;
  if (!this->IsFull() && isPlanned && hasDwelled && this->IsValidated(aNow.wall)) {
    this->SetShare(aNow, next);
  }
}

void Ramp::SetShare(Now aNow, double aShare)
{
  this->share = std::min(kMaxShare, aShare);
  this->shareSince = aNow.steady;
  this->good = {};
  this->bad = {};
  this->otherGood = 0;
  this->otherBad = 0;
  if (this->IsFull()) {
    this->fullSince = aNow.steady;
  }
}

} // namespace caraway
