// Homes: the regions in which the requests of a route or of an account may run.
#pragma once

#include <algorithm>
#include <optional>
#include <string>
#include <vector>

namespace caraway::direct {

// nullopt: any region. An endpoint whose region is unknown is in none of them.
using AllowedRegions = std::optional<std::vector<std::string>>;

// The regions that a route and an account both allow; an empty list allows any.
AllowedRegions IntersectRegions(const std::vector<std::string>& aOfRoute,
                                const std::vector<std::string>& aOfAccount);

inline bool IsAllowed(const AllowedRegions& aAllowed, const std::string& aRegion)
{
  return !aAllowed || (!aRegion.empty() &&
                       std::find(aAllowed->begin(), aAllowed->end(), aRegion) != aAllowed->end());
}

} // namespace caraway::direct
