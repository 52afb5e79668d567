#include "direct/regions.h"

#include <iterator>

namespace caraway::direct {

AllowedRegions IntersectRegions(const std::vector<std::string>& aOfRoute,
                                const std::vector<std::string>& aOfAccount)
{
  if (aOfRoute.empty() && aOfAccount.empty()) {
    return std::nullopt;
  }
  if (aOfRoute.empty() || aOfAccount.empty()) {
    return aOfRoute.empty() ? aOfAccount : aOfRoute;
  }
  std::vector<std::string> both;
  std::copy_if(
    aOfRoute.begin(), aOfRoute.end(), std::back_inserter(both), [&](const std::string& aRegion) {
      return std::find(aOfAccount.begin(), aOfAccount.end(), aRegion) != aOfAccount.end();
    });
  return both;
}

} // namespace caraway::direct
