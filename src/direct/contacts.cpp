#include "direct/contacts.h"

#include <algorithm>
#include <utility>
#include <vector>

namespace caraway::direct {

namespace {

using Ranked = std::vector<std::pair<std::uint64_t, std::string>>; // hash and id

void TakeFirst(Ranked& aRanked, std::size_t aCount, std::set<std::string>& aChosen)
{
  std::sort(aRanked.begin(), aRanked.end());
  for (std::size_t index = 0; index < std::min(aCount, aRanked.size()); index++) {
    aChosen.insert(aRanked[index].second);
  }
}

} // namespace

std::set<std::string> ChooseContacts(const ContactOptions& aOptions, std::uint64_t aSelf,
                                     const std::string& aFailureDomain,
                                     const std::map<std::string, EndpointInfo>& aAll)
{
  struct Pool
  {
    Ranked near;
    Ranked far;
  };
  std::map<std::pair<std::string, std::string>, Pool> pools; // by service and version
  for (const auto& [id, info] : aAll) {
    Pool& pool = pools[{ info.service, info.version }];
    Ranked& side = info.failureDomain == aFailureDomain ? pool.near : pool.far;
    side.emplace_back(caraway::HashOf(id, aSelf), id);
  }
  std::set<std::string> chosen;
  for (auto& [key, pool] : pools) {
    const std::size_t size = pool.near.size() + pool.far.size();
    const bool isSmall = size <= aOptions.smallPool;
    const std::size_t near =
      std::min(pool.near.size(), isSmall ? size : aOptions.contacts - aOptions.farContacts);
    TakeFirst(pool.near, near, chosen);
    TakeFirst(pool.far, (isSmall ? size : aOptions.contacts) - near, chosen);
  }
  return chosen;
}

} // namespace caraway::direct
