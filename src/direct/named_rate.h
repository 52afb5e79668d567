// The request rate that an endpoint names in its answers as the most it accepts from all processes
// together.
#pragma once

#include "core/types.h"

#include <optional>

namespace caraway::direct {

// What one answer said. It was written between the sending of its request and its arrival.
struct RateObservation
{
  std::optional<double> perSecond; // nullopt: no limit
  TimePoint earliest{};
  TimePoint latest{};
};

// Combines observations that arrive out of order, from this process and from others. Where two may
// have been written in either order, the lower rate holds, so that only an answer to a later
// request raises or ends a limit.
class NamedRate
{
public:
  // Returns true if the rate in force changed.
  bool Add(const RateObservation& aNew);

  std::optional<double> PerSecond() const { return this->current.perSecond; }
  // The rate to enforce over all processes: a lower one, zero too, is raised so that a request now
  // and then shows when it ends.
  std::optional<double> EnforcedRate() const;
  // The observation in force; nullptr before the first one that named a rate.
  const RateObservation* Current() const { return this->hasLimit ? &this->current : nullptr; }

private:
  RateObservation current;
  bool hasLimit = false; // a rate was named at some time
};

} // namespace caraway::direct
