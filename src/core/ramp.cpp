#include "core/ramp.h"

#include <algorithm>
#include <cmath>

namespace caraway {

namespace {

constexpr double kGrowth = 2;         // factor from one share to the next
constexpr double kPlanPart = 0.5;     // part of the time that the plan uses; the rest is reserve
constexpr double kMaxSoakPart = 0.25; // longest soak as a part of the whole time
constexpr double kOutcomesPerShare =
  150; // outcomes wanted before a rise, as a multiple of the share
constexpr double kMinOutcomes = 3;
constexpr double kMaxOutcomes = 30;
constexpr double kMinLevelPart = 0.1; // load levels below this part of the outcomes don't count
constexpr double kMinLevelOutcomes = 4;
constexpr double kMaxBadPart = 0.1;   // of the outcomes at one share
constexpr double kFewBad = 1;         // failures at one share that prove nothing
constexpr double kFarBehind = 4;      // planned share over the present one
constexpr double kLateProgress = 1.2; // of the plan: every route counts as far behind
constexpr double kTopShare = 0.98;    // until the verdict

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
  , share(std::min(aPlan.firstShare, kTopShare))
  , counter(aPhase)
  , since(aNow.steady)
{
  if (this->IsFull()) {
    this->fullSince = aNow.steady;
  }
}

bool Ramp::IsFull() const
{
  return this->share >= kTopShare;
}

bool Ramp::Take()
{
  ++this->total;
  this->counter += this->share;
  if (this->counter < 1) {
    return false;
  }
  this->counter -= 1;
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

// Outcomes that are wanted at the present share before it is raised.
double Ramp::NeededOutcomes() const
{
  return std::clamp(kOutcomesPerShare * this->share, kMinOutcomes, kMaxOutcomes);
}

// The version has proved itself at the present share. A route that is behind the plan needs fewer
// outcomes; one that is far behind may use those of other routes.
bool Ramp::IsProved(WallTime aTime) const
{
  const double goodSum = Sum(this->good);
  const double badSum = Sum(this->bad);
  const double all = goodSum + badSum;
  if (badSum > std::max(kFewBad, kMaxBadPart * all)) {
    return false;
  }
  const double needed = this->NeededOutcomes();
  const double behind = this->PlannedShare(aTime) / this->share;
  if (this->IsProvedByLevel(std::max(kMinOutcomes, needed / std::max(1.0, behind / kGrowth)))) {
    return true;
  }
  const bool isFarBehind = behind >= kFarBehind || this->PlanProgress(aTime) >= kLateProgress;
  const double pooled = all + this->otherGood + this->otherBad;
  return isFarBehind && pooled >= needed &&
         badSum + this->otherBad <= std::max(kFewBad, kMaxBadPart * pooled);
}

// Enough outcomes on every load level that the version meets at this share.
bool Ramp::IsProvedByLevel(double aNeeded) const
{
  const double all = Sum(this->good) + Sum(this->bad);
  const double wanted = std::min(kMinLevelOutcomes, aNeeded);
  for (std::size_t level = 0; level < kLoadLevels; ++level) {
    const double here = this->good[level] + this->bad[level];
    const bool counts = here > kMinLevelPart * all;
    if (counts && here < wanted) {
      return false;
    }
  }
  return all >= aNeeded;
}

// Time since the start as a part of the time that the plan uses to rise; above 1 in the reserve.
double Ramp::PlanProgress(WallTime aTime) const
{
  const auto whole = static_cast<double>((this->plan.finishBy - this->plan.startedAt).count());
  const double soakMs = static_cast<double>(this->plan.soak.count()) / 1000;
  const double soak = std::min(soakMs, kMaxSoakPart * whole);
  const double rising = kPlanPart * (whole - soak);
  const auto elapsed = static_cast<double>((aTime - this->plan.startedAt).count());
  return rising > 0 ? std::max(0.0, elapsed) / rising : kLateProgress;
}

// Largest share that the plan allows at a time: the shares divide a part of the time evenly.
double Ramp::PlannedShare(WallTime aTime) const
{
  const double progress = this->PlanProgress(aTime);
  if (progress >= 1) {
    return kTopShare;
  }
  const double steps = std::ceil(std::log(1 / this->plan.firstShare) / std::log(kGrowth));
  const double step = std::floor(progress * (steps + 1));
  return std::min(kTopShare, this->plan.firstShare * std::pow(kGrowth, step));
}

void Ramp::Step(Now aNow)
{
  const double next = std::min(kTopShare, this->share * kGrowth);
  const bool isPlanned = next <= this->PlannedShare(aNow.wall) + 1e-9;
  const bool hasStayed = aNow.steady >= this->since + this->plan.dwell;
  if (!this->IsFull() && isPlanned && hasStayed && this->IsProved(aNow.wall)) {
    this->SetShare(aNow, next);
  }
}

void Ramp::SetShare(Now aNow, double aShare)
{
  this->share = std::min(kTopShare, aShare);
  this->since = aNow.steady;
  this->good = {};
  this->bad = {};
  this->otherGood = 0;
  this->otherBad = 0;
  if (this->IsFull()) {
    this->fullSince = aNow.steady;
  }
}

} // namespace caraway
