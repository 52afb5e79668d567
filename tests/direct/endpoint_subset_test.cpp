#include "direct/endpoint_subset.h"

#include <boost/test/unit_test.hpp>

namespace caraway::direct {

namespace {

std::map<std::string, EndpointInfo> Pool(int aCount, int aDomains)
{
  std::map<std::string, EndpointInfo> all;
  for (int index = 0; index < aCount; index++) {
    EndpointInfo info;
    info.id = "i" + std::to_string(index);
    info.service = "pool";
    info.failureDomain = "d" + std::to_string(index % aDomains);
    all[info.id] = info;
  }
  return all;
}

} // namespace

BOOST_AUTO_TEST_SUITE(endpoint_subset)

BOOST_AUTO_TEST_CASE(a_small_pool_is_used_completely)
{
  BOOST_TEST(ChooseEndpointSubset(EndpointSubsetOptions(), 1, "d0", Pool(60, 3)).size() == 60U);
}

// With 100 entries and either 180 or 12,000 endpoints, the subset size is constant and includes
// other failure domains. With 180, each endpoint is in some entry's subset.
BOOST_AUTO_TEST_CASE(subset_size_does_not_grow_with_the_pool)
{
  const EndpointSubsetOptions options;
  for (const int count : { 180, 12000 }) {
    const auto all = Pool(count, 5);
    std::map<std::string, int> entriesOf;
    for (std::uint64_t entry = 0; entry < 100; entry++) {
      const std::string own = "d" + std::to_string(entry % 5);
      const auto chosen = ChooseEndpointSubset(options, entry * 7919, own, all);
      BOOST_TEST(chosen.size() == options.subsetSize);
      std::size_t otherDomain = 0;
      for (const std::string& id : chosen) {
        otherDomain += all.at(id).failureDomain == own ? 0U : 1U;
        entriesOf[id]++;
      }
      BOOST_TEST(otherDomain >= options.minOtherDomain);
    }
    if (count == 180) {
      BOOST_TEST(entriesOf.size() == all.size());
      for (const auto& [id, entries] : entriesOf) {
        BOOST_TEST(entries >= 10);
        BOOST_TEST(entries <= 50);
      }
    }
  }
}

BOOST_AUTO_TEST_CASE(a_removed_endpoint_changes_one_subset_member)
{
  auto all = Pool(500, 5);
  const auto before = ChooseEndpointSubset(EndpointSubsetOptions(), 42, "d0", all);
  all.erase(*before.begin());
  const auto after = ChooseEndpointSubset(EndpointSubsetOptions(), 42, "d0", all);
  std::size_t kept = 0;
  for (const std::string& id : after) {
    kept += before.count(id);
  }
  BOOST_TEST(kept == before.size() - 1);
}

BOOST_AUTO_TEST_CASE(each_version_of_a_service_has_a_subset)
{
  auto all = Pool(200, 2);
  all["new"] = all.at("i0");
  all["new"].id = "new";
  all["new"].version = "2";
  BOOST_TEST(ChooseEndpointSubset(EndpointSubsetOptions(), 1, "d1", all).contains("new"));
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace caraway::direct
