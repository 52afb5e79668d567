// Endpoint versions that calls must not use, or that a move of versions counts.
#include "direct/dispatcher.h"

#include <utility>

namespace caraway::direct {

void Dispatcher::SetBannedVersions(TimePoint aNow,
                                   const std::map<std::string, std::set<std::string>>& aByService)
{
  if (aByService == this->bannedVersions) {
    return;
  }
  this->bannedVersions = aByService;
  for (auto& row : this->calls) {
    if (row.second.stage == Stage::kQueued) {
      this->CancelCanary(row.second);
      this->DropUnusable(aNow, row.second);
    }
  }
  this->DrainLocalOffers(aNow);
}

std::uint32_t Dispatcher::RunningElsewhere(const std::string& aService,
                                           const std::string& aVersion) const
{
  std::uint32_t count = 0;
  for (const auto& [id, target] : this->targets) {
    const bool isOther = target.info.service == aService && target.info.version != aVersion;
    count += isOther ? target.running : 0;
  }
  return count;
}

// Sends a canary call to the other versions instead, so that it does not wait for the new one.
void Dispatcher::CancelCanary(Call& aCall)
{
  if (aCall.spec.isCanary) {
    aCall.spec.isCanary = false;
    aCall.spec.excludedVersion = std::exchange(aCall.spec.requiredVersion, "");
  }
}

} // namespace caraway::direct
