// Cold endpoints: a process that started recently, or turned cold again, bears few requests a
// second from all processes together until it is warm.
#pragma once

#include "core/types.h"

#include <cstdint>
#include <optional>

namespace caraway::direct {

// What the endpoints of a service bear. Without a rate there is no limit.
struct ColdLimits
{
  Duration coldTime{};    // a process is cold for that long after its start
  double perSecond = 0;   // requests that a cold process accepts
  double maxInSecond = 0; // requests that may reach it in any second, from all processes together

  bool IsSet() const { return this->perSecond > 0; }
  friend bool operator==(const ColdLimits&, const ColdLimits&) = default;
};

// One statement about an endpoint's process: cold until then, which is past if it is warm. It was
// written between earliest and latest.
struct ColdObservation
{
  TimePoint until{};
  TimePoint earliest{};
  TimePoint latest{};
};

// Until when one endpoint's process is taken for cold. Combines statements that arrive out of
// order, from this process and from others: the newest holds, and where two may have been written
// in either order, the longer one. A suspicion lasts for the cold time unless a later statement
// ends it.
class ColdState
{
public:
  // Returns true if the statement changed what is known.
  bool Add(const ColdObservation& aNew);
  // The process may have started, or turned cold without word, at aNow.
  void Suspect(TimePoint aNow);
  // A past time if the process is warm.
  TimePoint Until(const ColdLimits& aLimits) const;
  bool IsCold(TimePoint aNow, const ColdLimits& aLimits) const
  {
    return aLimits.IsSet() && aNow < this->Until(aLimits);
  }
  // nullopt before the first statement.
  const std::optional<ColdObservation>& Stated() const { return this->stated; }

private:
  std::optional<ColdObservation> stated;
  std::optional<TimePoint> suspectedAt;
};

// Who spends the rate of an endpoint.
enum class RateHolder : std::uint8_t
{
  kAgent,
  kOwner,         // of the queue of an endpoint without an agent
  kFallbackOwner, // of one whose agent is silent to some entries and may be heard by others
  kEntry,         // for itself, while it hears no owner of such an endpoint's queue
  kFallbackEntry, // for itself, while it hears neither agent nor owner
};

struct RateBounds
{
  std::optional<double> perSecond;          // over all entries if they are the holders
  std::optional<std::uint32_t> maxInSecond; // in any second
};

// The holder's part of what the endpoint bears. The parts of all holders together stay below
// maxInSecond while the endpoint is cold. A warm engine has a bound too, since it may turn cold at
// any moment, and its word comes later.
RateBounds BoundsOf(const ColdLimits& aLimits, bool aIsCold, RateHolder aHolder);

// The lower of two optional rates.
std::optional<double> LowerRate(std::optional<double> aLeft, std::optional<double> aRight);

} // namespace caraway::direct
