#include "direct/endpoint_subset.h"

#include <algorithm>
#include <utility>
#include <vector>

namespace caraway::direct {

namespace {

using Ranked = std::vector<std::pair<std::uint64_t, std::string>>; // hash and id

void InsertFirst(Ranked& aRanked, std::size_t aCount, std::set<std::string>& aChosen)
{
  std::sort(aRanked.begin(), aRanked.end());
  for (std::size_t index = 0; index < std::min(aCount, aRanked.size()); index++) {
    aChosen.insert(aRanked[index].second);
  }
}

} // namespace

std::set<std::string> ChooseEndpointSubset(const EndpointSubsetOptions& aOptions,
                                           std::uint64_t aSelf, const std::string& aFailureDomain,
                                           const std::map<std::string, EndpointInfo>& aAll)
{
  struct Pool
  {
    Ranked sameDomain;
    Ranked otherDomain;
  };
  std::map<std::pair<std::string, std::string>, Pool> pools; // by service and version
  for (const auto& [id, info] : aAll) {
    Pool& pool = pools[{ info.service, info.version }];
    Ranked& group = info.failureDomain == aFailureDomain ? pool.sameDomain : pool.otherDomain;
    group.emplace_back(caraway::HashOf(id, aSelf), id);
  }
  std::set<std::string> chosen;
  for (auto& [key, pool] : pools) {
    const std::size_t size = pool.sameDomain.size() + pool.otherDomain.size();
    const bool isSmall = size <= aOptions.smallPoolSize;
    const std::size_t sameDomain = std::min(
      pool.sameDomain.size(), isSmall ? size : aOptions.subsetSize - aOptions.minOtherDomain);
    InsertFirst(pool.sameDomain, sameDomain, chosen);
    InsertFirst(pool.otherDomain, (isSmall ? size : aOptions.subsetSize) - sameDomain, chosen);
  }
  return chosen;
}

} // namespace caraway::direct
