// Endpoints that a call must not use because of where they are: evacuated failure domains, and
// regions outside those allowed for the call.
#include "direct/dispatcher.h"

namespace caraway::direct {

void Dispatcher::SetEvacuatedDomains(TimePoint aNow, const std::set<std::string>& aDomains)
{
  if (aDomains == this->evacuatedDomains) {
    return;
  }
  this->evacuatedDomains = aDomains;
  this->DropUnusableCalls(aNow);
  this->DrainLocalOffers(aNow);
}

// The subset leaves out evacuated endpoints, as the entry sends hold states only to those in it.
std::set<std::string> Dispatcher::ChooseSubset(
  const std::map<std::string, EndpointInfo>& aAll) const
{
  const auto choose = [this](const std::map<std::string, EndpointInfo>& aChoices) {
    return ChooseEndpointSubset(this->options.subset, static_cast<std::uint64_t>(this->self.node),
                                this->failureDomain, aChoices);
  };
  if (this->evacuatedDomains.empty()) {
    return choose(aAll);
  }
  std::map<std::string, EndpointInfo> usable = aAll;
  std::erase_if(usable, [this](const auto& aRow) {
    return this->evacuatedDomains.contains(aRow.second.failureDomain);
  });
  return choose(usable);
}

bool Dispatcher::IsPlaceAllowed(const EndpointInfo& aInfo, const CallSpec& aSpec) const
{
  return !this->evacuatedDomains.contains(aInfo.failureDomain) &&
         IsAllowed(aSpec.regions, aInfo.region);
}

// Returns whether the service has endpoints, but none where the call may run. Waiting seldom helps
// then.
bool Dispatcher::IsShutOut(const CallSpec& aSpec) const
{
  if (this->evacuatedDomains.empty() && !aSpec.regions) {
    return false;
  }
  bool hasEndpoint = false;
  for (const auto& [id, target] : this->targets) {
    if (!target.isListed || target.info.service != aSpec.service) {
      continue;
    }
    if (this->IsPlaceAllowed(target.info, aSpec)) {
      return false;
    }
    hasEndpoint = true;
  }
  return hasEndpoint;
}

} // namespace caraway::direct
