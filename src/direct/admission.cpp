#include "direct/admission.h"

#include <algorithm>
#include <cmath>

namespace caraway::direct {

namespace {

// A class without calls for this long is not considered the lowest.
constexpr Duration kClassExpiry = std::chrono::seconds(10);
// Keeps callers to at most one retry within about a third of their remaining time.
constexpr double kMinReturnShare = 0.1;
constexpr double kMaxReturnShare = 0.25;

} // namespace

Admission::Admission(const AdmissionOptions& aOptions, Random& aRandom)
  : options(aOptions)
  , random(aRandom)
{
}

Admission::Counts& Admission::Decayed(TimePoint aNow, const CallSpec& aSpec)
{
  Counts& counts = this->services[aSpec.service][{ aSpec.tier, aSpec.rank }];
  const double halfLives = SecondsOf(aNow - counts.at) / SecondsOf(this->options.halfLife);
  const double decay = std::exp2(-halfLives);
  counts.arrived *= decay;
  counts.started *= decay;
  counts.givenUp *= decay;
  counts.refused *= decay;
  counts.at = aNow;
  return counts;
}

bool Admission::Admit(TimePoint aNow, const CallSpec& aSpec)
{
  Counts& counts = this->Decayed(aNow, aSpec);
  counts.arrived += 1;
  const auto& classes = this->services[aSpec.service];
  const auto lowest = std::find_if(classes.rbegin(), classes.rend(), [aNow](const auto& aRow) {
    return aNow - aRow.second.at < kClassExpiry;
  });
  const bool isLowest = &lowest->second == &counts;
  const bool isOverloaded =
    counts.givenUp >= this->options.minGivenUp &&
    counts.givenUp + counts.refused >= this->options.overloadShare * counts.arrived;
  if (!isLowest || !isOverloaded) {
    return true;
  }
  const double share = this->options.headroom * counts.started / counts.arrived;
  if (this->random.Unit() < std::max(share, this->options.minAdmittedShare)) {
    return true;
  }
  counts.refused += 1;
  return false;
}

void Admission::OnStart(TimePoint aNow, const CallSpec& aSpec)
{
  this->Decayed(aNow, aSpec).started += 1;
}

void Admission::OnGivenUp(TimePoint aNow, const CallSpec& aSpec)
{
  this->Decayed(aNow, aSpec).givenUp += 1;
}

Duration ReturnDelay(TimePoint aNow, const CallSpec& aSpec, Random& aRandom)
{
  const Duration left = std::max(aSpec.deadline - aNow, Duration::zero());
  const double part = kMinReturnShare + (kMaxReturnShare - kMinReturnShare) * aRandom.Unit();
  return std::chrono::duration_cast<Duration>(left * part);
}

} // namespace caraway::direct
