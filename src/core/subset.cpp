#include "core/subset.h"

#include <algorithm>
#include <map>
#include <set>

namespace caraway {

namespace {

// A member with its rendezvous rank for one entry.
struct Ranked
{
  std::uint64_t rank;
  const SubsetMember* member;

  friend bool operator<(const Ranked& aLeft, const Ranked& aRight)
  {
    return aLeft.rank != aRight.rank ? aLeft.rank < aRight.rank
                                     : aLeft.member->name < aRight.member->name;
  }
};

std::vector<Ranked> RankMembers(std::string_view aSelf,
                                const std::vector<const SubsetMember*>& aMembers)
{
  const std::uint64_t seed = HashOf(aSelf);
  std::vector<Ranked> ranked;
  ranked.reserve(aMembers.size());
  for (const SubsetMember* member : aMembers) {
    ranked.push_back({ HashOf(member->name, seed), member });
  }
  std::ranges::sort(ranked, std::less<>());
  return ranked;
}

// Selects the best-ranked members of each failure domain (minPerDomain), then the best-ranked of
// the rest until there are perPool.
void ChooseMembers(const std::vector<Ranked>& aRanked, const SubsetOptions& aOptions,
                   std::set<std::string>& aChosen)
{
  std::set<const SubsetMember*> selected;
  std::map<std::string_view, std::size_t> perDomain;
  for (const Ranked& item : aRanked) {
    std::size_t& count = perDomain[item.member->failureDomain];
    if (count < aOptions.minPerDomain) {
      ++count;
      selected.insert(item.member);
    }
  }
  for (const Ranked& item : aRanked) {
    if (selected.size() >= aOptions.perPool) {
      break;
    }
    selected.insert(item.member);
  }
  for (const SubsetMember* member : selected) {
    aChosen.insert(member->name);
  }
}

} // namespace

std::vector<std::string> ChooseSubset(std::string_view aSelf,
                                      std::span<const SubsetMember> aMembers,
                                      const SubsetOptions& aOptions)
{
  std::map<std::pair<std::string_view, std::string_view>, std::vector<const SubsetMember*>> pools;
  for (const SubsetMember& member : aMembers) {
    pools[{ member.pool, member.version }].push_back(&member);
  }
  std::set<std::string> chosen;
  for (const auto& [pool, members] : pools) {
    ChooseMembers(RankMembers(aSelf, members), aOptions, chosen);
  }
  return { chosen.begin(), chosen.end() };
}

} // namespace caraway
