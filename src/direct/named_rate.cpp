#include "direct/named_rate.h"

#include <algorithm>
#include <limits>

namespace caraway::direct {

namespace {

constexpr double kMinPerSecond = 0.25;

double RateOf(const RateObservation& aRow)
{
  return aRow.perSecond.value_or(std::numeric_limits<double>::infinity());
}

} // namespace

std::optional<double> NamedRate::EnforcedRate() const
{
  const std::optional<double>& named = this->current.perSecond;
  return named ? std::optional(std::max(*named, kMinPerSecond)) : std::nullopt;
}

bool NamedRate::Add(const RateObservation& aNew)
{
  if (!this->hasLimit && !aNew.perSecond) {
    return false;
  }
  this->hasLimit = true;
  if (RateOf(aNew) == RateOf(this->current)) {
    this->current.earliest = std::max(this->current.earliest, aNew.earliest);
    this->current.latest = std::max(this->current.latest, aNew.latest);
    return false;
  }
  const bool isLater = aNew.earliest > this->current.latest;
  const bool isEarlier = aNew.latest < this->current.earliest;
  if (isEarlier || (!isLater && RateOf(aNew) > RateOf(this->current))) {
    return false;
  }
  this->current = aNew;
  return true;
}

} // namespace caraway::direct
