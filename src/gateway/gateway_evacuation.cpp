// Evacuations of failure domains: brings what the store and other entries say into force.
#include "gateway/flow.h"
#include "gateway/gateway.h"
#include "runtime/log.h"

#include <algorithm>

namespace caraway::gateway {

void Gateway::OnEvacuationRecord(const direct::EvacuationRecord& aRecord)
{
  this->evacuations.OnRecord(this->Now(), aRecord);
  this->ApplyEvacuations();
}

void Gateway::OnEvacuationSnapshot(std::uint64_t aEra, std::uint64_t aEnd,
                                   const std::vector<direct::EvacuationRecord>& aListed)
{
  this->evacuations.OnSnapshot(this->Now(), aEra, aEnd, aListed);
  this->ApplyEvacuations();
}

// What this entry did not hear from another one goes to all entries at once, so that those that do
// not reach the store obey as well.
void Gateway::ApplyEvacuations()
{
  const std::vector<direct::EvacuationChange> changes = this->evacuations.TakeChanges();
  if (changes.empty()) {
    return;
  }
  for (const direct::EvacuationChange& change : changes) {
    const direct::EvacuationState& state = change.state;
    const auto isInside = [&](const auto& aRow) {
      return aRow.second.failureDomain == state.domain;
    };
    const auto inside = std::count_if(this->endpoints.begin(), this->endpoints.end(), isInside);
    LogEvent(
      LogLevel::kInfo, state.isOrdered ? "evacuation_begin" : "evacuation_end",
      { { "failure_domain", state.domain },
        { "era", std::to_string(state.era) },
        { "offset", std::to_string(state.offset) },
        { "source", std::string(ToString(change.source)) },
        { "age_ms", std::to_string(state.ageMs) },
        { "config_age_ms", std::to_string(this->ConfigAge() / std::chrono::milliseconds(1)) },
        { "endpoints", std::to_string(inside) },
        { "endpoints_listed", std::to_string(this->endpoints.size()) } });
    this->hasUrgentState = this->hasUrgentState || change.source != direct::EvacuationSource::kTold;
  }
  this->dispatcher.SetEvacuatedDomains(this->Now(), this->evacuations.Domains());
  this->SetEndpoints(std::map<std::string, direct::EndpointInfo>(this->endpoints));
}

} // namespace caraway::gateway
