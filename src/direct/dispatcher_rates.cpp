// Request rates that endpoints name.
#include "direct/dispatcher.h"

namespace caraway::direct {

void Dispatcher::AddRate(TimePoint, Target& aTarget, const RateObservation& aObservation,
                         std::string_view aSource)
{
  if (aTarget.namedRate.Add(aObservation)) {
    this->port.OnNamedRate(aTarget.info, aTarget.namedRate.PerSecond(), aSource);
  }
}

} // namespace caraway::direct
