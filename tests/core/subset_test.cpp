#include "core/subset.h"
#include "property.h"

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <map>
#include <set>

namespace caraway {

namespace {

SubsetMember MakeMember(std::size_t aNumber, std::size_t aDomains)
{
  return { "engine-" + std::to_string(aNumber), "domain-" + std::to_string(aNumber % aDomains),
           "chat", "v1" };
}

std::vector<SubsetMember> MakeMembers(std::size_t aCount, std::size_t aDomains)
{
  std::vector<SubsetMember> members;
  for (std::size_t number = 0; number < aCount; ++number) {
    members.push_back(MakeMember(number, aDomains));
  }
  return members;
}

std::size_t Differences(const std::vector<std::string>& aLeft,
                        const std::vector<std::string>& aRight)
{
  std::vector<std::string> different;
  std::ranges::set_symmetric_difference(aLeft, aRight, std::back_inserter(different));
  return different.size();
}

} // namespace

BOOST_AUTO_TEST_SUITE(subset)

BOOST_AUTO_TEST_CASE(a_small_pool_is_used_completely_and_a_large_one_in_part)
{
  const SubsetOptions options;
  BOOST_TEST(ChooseSubset("entry", MakeMembers(20, 4), options).size() == 20U);
  BOOST_TEST(ChooseSubset("entry", MakeMembers(12000, 9), options).size() == 20U);
}

BOOST_AUTO_TEST_CASE(each_pool_and_version_has_a_subset_of_its_own)
{
  std::vector<SubsetMember> members = MakeMembers(100, 4);
  for (std::size_t number = 0; number < members.size(); ++number) {
    members[number].version = number < 3 ? "v2" : "v1";
  }
  const auto chosen = ChooseSubset("entry", members, SubsetOptions{});
  BOOST_TEST(chosen.size() == 23U);
}

BOOST_AUTO_TEST_CASE(entries_share_the_agents_evenly)
{
  const auto members = MakeMembers(1000, 9);
  std::map<std::string, int> entriesOf;
  for (int entry = 0; entry < 480; ++entry) {
    for (const std::string& name :
         ChooseSubset("entry-" + std::to_string(entry), members, SubsetOptions{})) {
      ++entriesOf[name];
    }
  }
  // The mean is 9.6; a Poisson count of 28 or more has a probability of about one in a million.
  BOOST_TEST(entriesOf.size() > 990U);
  const auto most =
    std::ranges::max_element(entriesOf, {}, [](const auto& aItem) { return aItem.second; });
  BOOST_TEST(most->second < 28);
}

BOOST_AUTO_TEST_CASE(one_removed_member_changes_few_others_and_domains_are_covered)
{
  test::CheckProperty("subset", [] {
    const auto domains = *rc::gen::inRange<std::size_t>(1, 10);
    const auto count = *rc::gen::inRange<std::size_t>(1, 200);
    auto members = MakeMembers(count, domains);
    const std::string self = "entry-" + std::to_string(*rc::gen::inRange(0, 1000));
    const SubsetOptions options;
    const auto before = ChooseSubset(self, members, options);
    std::set<std::string> chosenDomains;
    for (const SubsetMember& member : members) {
      if (std::ranges::binary_search(before, member.name)) {
        chosenDomains.insert(member.failureDomain);
      }
    }
    RC_ASSERT(before.size() == std::min(count, options.perPool));
    RC_ASSERT(chosenDomains.size() == std::min(count, domains));
    const auto removed = *rc::gen::inRange<std::size_t>(0, count);
    members.erase(members.begin() + static_cast<std::ptrdiff_t>(removed));
    const auto after = ChooseSubset(self, members, options);
    RC_ASSERT(Differences(before, after) <= 4U);
    std::ranges::reverse(members);
    RC_ASSERT(ChooseSubset(self, members, options) == after);
  });
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace caraway
