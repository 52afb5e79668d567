#include "core/ramp.h"

#include <algorithm>
#include <cmath>

namespace caraway {

namespace {

constexpr double kGrowth = 2;         // factor from one share to the next
constexpr double kPlanPart = 0.5;     // part of the time that the plan uses; the rest is reserve
constexpr double kMaxSoakPart = 0.25; // longest soak as a part of the whole time
constexpr double kOutcomesPerShare =
  300; // outcomes wanted before a rise, as a multiple of the share
constexpr double kMinOutcomes = 6;
constexpr double kMaxOutcomes = 30;
constexpr double kMinLevelPart = 0.1; // load levels below this part of the outcomes don't count
constexpr double kMinLevelOutcomes = 4;
constexpr double kMaxBadPart = 0.1; // of the outcomes at one share

constexpr double kTopShare = 0.98; // until the verdict

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

// Outcomes that are wanted at the present share before it is raised.
double Ramp::NeededOutcomes() const
{
  return std::clamp(kOutcomesPerShare * this->share, kMinOutcomes, kMaxOutcomes);
}

// The version has proved itself at the present share, on every load level that it meets there.
bool Ramp::IsProved() const
{
  const double goodSum = Sum(this->good);
  const double badSum = Sum(this->bad);
  const double all = goodSum + badSum;
  if (all < this->NeededOutcomes() || badSum > std::max(1.0, kMaxBadPart * all)) {
    return false;
  }
  for (std::size_t level = 0; level < kLoadLevels; ++level) {
    const double here = this->good[level] + this->bad[level];
    const double wanted = std::min(kMinLevelOutcomes, this->NeededOutcomes());
    const bool counts = here > kMinLevelPart * all;
    if (counts && here < wanted) {
      return false;
    }
  }
  return true;
}

// Largest share that the plan allows at a time: the shares divide a part of the time evenly.
double Ramp::PlannedShare(WallTime aTime) const
{
  const auto whole = static_cast<double>((this->plan.finishBy - this->plan.startedAt).count());
  const double soakMs = static_cast<double>(this->plan.soak.count()) / 1000;
  const double soak = std::min(soakMs, kMaxSoakPart * whole);
  const double rising = kPlanPart * (whole - soak);
  const auto elapsed = static_cast<double>((aTime - this->plan.startedAt).count());
  const double steps = std::ceil(std::log(1 / this->plan.firstShare) / std::log(kGrowth));
  if (rising <= 0 || elapsed >= rising) {
    return 1;
  }
  const double step = std::floor(std::max(0.0, elapsed) / rising * (steps + 1));
  return std::min(1.0, this->plan.firstShare * std::pow(kGrowth, step));
}

void Ramp::Step(Now aNow)
{
  const double next = std::min(kTopShare, this->share * kGrowth);
  const bool isPlanned = next <= this->PlannedShare(aNow.wall) + 1e-9;
  const bool hasStayed = aNow.steady >= this->since + this->plan.dwell;
  if (!this->IsFull() && isPlanned && hasStayed && this->IsProved()) {
    this->SetShare(aNow, next);
  }
}

void Ramp::Follow(Now aNow, double aShare)
{
  if (aShare > this->share && aNow.steady >= this->since + this->plan.dwell) {
    this->SetShare(aNow, std::min(aShare, this->share * kGrowth));
  }
}

void Ramp::SetShare(Now aNow, double aShare)
{
  this->share = std::min(kTopShare, aShare);
  this->since = aNow.steady;
  this->good = {};
  this->bad = {};
  if (this->IsFull()) {
    this->fullSince = aNow.steady;
  }
}

} // namespace caraway
