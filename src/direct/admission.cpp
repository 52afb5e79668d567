#include "direct/admission.h"

#include <algorithm>
#include <cmath>

namespace caraway::direct {

namespace {

// A class that was not seen for this long does not count as the lowest.
constexpr Duration kClassMemory = std::chrono::seconds(10);
// Callers come back at most once within about a third of the time that they have left.
constexpr double kSoonestReturn = 0.1;
constexpr double kLatestReturn = 0.25;

} // namespace

Admission::Admission(const AdmissionOptions& aOptions, Random& aRandom)
  : options(aOptions)
  , random(aRandom)
{
}

Admission::Counts& Admission::Fresh(TimePoint aNow, const CallSpec& aSpec)
{
  Counts& counts = this->services[aSpec.service][{ aSpec.tier, aSpec.rank }];
  const double halves = SecondsOf(aNow - counts.at) / SecondsOf(this->options.halfLife);
  const double kept = std::exp2(-halves);
  counts.arrived *= kept;
  counts.started *= kept;
  counts.givenUp *= kept;
  counts.refused *= kept;
  counts.at = aNow;
  return counts;
}

bool Admission::Admit(TimePoint aNow, const CallSpec& aSpec)
{
  Counts& counts = this->Fresh(aNow, aSpec);
  counts.arrived += 1;
  const auto& classes = this->services[aSpec.service];
  const auto lowest = std::find_if(classes.rbegin(), classes.rend(), [aNow](const auto& aRow) {
    return aNow - aRow.second.at < kClassMemory;
  });
  const bool isLowest = &lowest->second == &counts;
  const bool isVain = counts.givenUp >= this->options.leastGivenUp &&
                      counts.givenUp + counts.refused >= this->options.vainShare * counts.arrived;
  if (!isLowest || !isVain) {
    return true;
  }
  const double share = this->options.headroom * counts.started / counts.arrived;
  if (this->random.Unit() < std::max(share, this->options.leastShare)) {
    return true;
  }
  counts.refused += 1;
  return false;
}

void Admission::OnStart(TimePoint aNow, const CallSpec& aSpec)
{
  this->Fresh(aNow, aSpec).started += 1;
}

void Admission::OnGivenUp(TimePoint aNow, const CallSpec& aSpec)
{
  this->Fresh(aNow, aSpec).givenUp += 1;
}

Duration ReturnTime(TimePoint aNow, const CallSpec& aSpec, Random& aRandom)
{
  const Duration left = std::max(aSpec.deadline - aNow, Duration::zero());
  const double part = kSoonestReturn + (kLatestReturn - kSoonestReturn) * aRandom.Unit();
  return std::chrono::duration_cast<Duration>(left * part);
}

} // namespace caraway::direct
