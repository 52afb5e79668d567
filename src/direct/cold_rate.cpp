#include "direct/cold_rate.h"

#include <algorithm>
#include <array>
#include <cmath>

namespace caraway::direct {

namespace {

// Parts of one holder. Zero: no bound.
struct Part
{
  double coldRate;     // of the rate, while the endpoint is cold
  double warmRate;     // of the bound on any second, as a rate while the endpoint is warm
  double coldInSecond; // of the bound on any second
  double warmInSecond;
};

// In the order of RateHolder. Two owners of one queue may act for a moment after a change of
// owners, so that an owner's part is below half. A warm endpoint without an agent has no bound: it
// runs short requests, of which it takes many more when it is warm.
constexpr std::array<Part, 5> kParts = { {
  { 1.0, 0, 0.6, 0.9 },
  { 0.6, 0, 0.4, 0 },
  { 0.2, 0, 0.15, 0.6 },
  { 0.1, 0, 0, 0 },
  { 0.1, 0.3, 0, 0 },
} };

std::uint32_t CountOf(double aShare, double aBound)
{
  return static_cast<std::uint32_t>(std::max(std::floor(aShare * aBound), 1.0));
}

} // namespace

bool ColdState::Add(const ColdObservation& aNew)
{
  if (this->stated) {
    const bool isLater = aNew.earliest > this->stated->latest;
    const bool isEarlier = aNew.latest < this->stated->earliest;
    if (isEarlier || (!isLater && aNew.until <= this->stated->until)) {
      return false;
    }
  }
  this->stated = aNew;
  return true;
}

void ColdState::Suspect(TimePoint aNow)
{
  this->suspectedAt = aNow;
}

TimePoint ColdState::Until(const ColdLimits& aLimits) const
{
  TimePoint until = this->stated ? this->stated->until : TimePoint{};
  if (this->suspectedAt && !(this->stated && this->stated->earliest > *this->suspectedAt)) {
    until = std::max(until, *this->suspectedAt + aLimits.coldTime);
  }
  return until;
}

RateBounds BoundsOf(const ColdLimits& aLimits, bool aIsCold, RateHolder aHolder)
{
  RateBounds bounds;
  if (!aLimits.IsSet()) {
    return bounds;
  }
  const Part& part = kParts.at(static_cast<std::size_t>(aHolder));
  const double share = aIsCold ? part.coldInSecond : part.warmInSecond;
  if (share > 0) {
    bounds.maxInSecond = CountOf(share, aLimits.maxInSecond);
  }
  if (aIsCold) {
    bounds.perSecond = part.coldRate * aLimits.perSecond;
  } else if (part.warmRate > 0) {
    bounds.perSecond = part.warmRate * aLimits.maxInSecond;
  }
  return bounds;
}

std::optional<double> LowerRate(std::optional<double> aLeft, std::optional<double> aRight)
{
  return aLeft && aRight ? std::min(aLeft, aRight) : aLeft ? aLeft : aRight;
}

} // namespace caraway::direct
