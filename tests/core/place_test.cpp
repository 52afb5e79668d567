#include "core/affinity.h"
#include "core/length.h"
#include "core/options.h"
#include "core/place.h"
#include "core/quota.h"

#include <boost/test/unit_test.hpp>

#include <set>

namespace caraway {

namespace {

std::vector<Candidate> MakeCandidates(std::size_t aCount)
{
  std::vector<Candidate> candidates(aCount);
  for (std::size_t index = 0; index < aCount; ++index) {
    candidates[index].node = NodeId{ index + 1 };
    candidates[index].tokensPerSecond = 10.0 * static_cast<double>(index + 1);
  }
  return candidates;
}

} // namespace

BOOST_AUTO_TEST_SUITE(place)

BOOST_AUTO_TEST_CASE(every_policy_picks_distinct_candidates)
{
  Random random(3);
  const auto candidates = MakeCandidates(20);
  LateBindingPlacement lateBinding;
  RandomPlacement uniform;
  RoundRobinPlacement roundRobin;
  LeastLoadPlacement leastLoad;
  TwoChoicesPlacement twoChoices;
  for (Placement* policy : std::initializer_list<Placement*>{ &lateBinding, &uniform, &roundRobin,
                                                              &leastLoad, &twoChoices }) {
    std::vector<NodeId> chosen;
    policy->Pick(candidates, PlacementRequest{}, 5, random, chosen);
    BOOST_TEST(!chosen.empty());
    BOOST_TEST(chosen.size() <= 5U);
    BOOST_TEST(std::set<NodeId>(chosen.begin(), chosen.end()).size() == chosen.size());
  }
}

BOOST_AUTO_TEST_CASE(affinity_precedes_free_slots_and_free_slots_precede_speed)
{
  Random random(3);
  auto candidates = MakeCandidates(4);
  candidates[1].freeSlots = 1;
  PlacementRequest request;
  request.affinity = NodeId{ 1 };
  LateBindingPlacement policy;
  std::vector<NodeId> chosen;
  policy.Pick(candidates, request, 3, random, chosen);
  BOOST_REQUIRE(chosen.size() == 3U);
  BOOST_TEST((chosen[0] == NodeId{ 1 }));
  BOOST_TEST((chosen[1] == NodeId{ 2 }));
  BOOST_TEST((chosen[2] == NodeId{ 4 }));
}

BOOST_AUTO_TEST_CASE(length_estimate_follows_the_account_history)
{
  LengthEstimator lengths;
  BOOST_TEST(lengths.Estimate("shop", "/r", 100, 64) == 32U);
  for (int answer = 0; answer < 50; ++answer) {
    lengths.Learn("shop", "/r", 100, 900);
  }
  BOOST_TEST(lengths.Estimate("shop", "/r", 100, 0) == 1024U);
  BOOST_TEST(lengths.Estimate("shop", "/r", 100, 500) == 500U);
}

BOOST_AUTO_TEST_CASE(affinity_expires_by_age_and_is_erased_by_node)
{
  PrefixAffinity affinity(16, seconds(10));
  const TimePoint start{ seconds(1) };
  affinity.Learn(start, 42, NodeId{ 5 });
  BOOST_TEST((affinity.Find(start, 42) == NodeId{ 5 }));
  BOOST_TEST(!affinity.Find(start + seconds(11), 42).has_value());
  affinity.EraseNode(NodeId{ 5 });
  BOOST_TEST(!affinity.Find(start, 42).has_value());
}

BOOST_AUTO_TEST_CASE(a_quota_returns_the_wait_until_capacity_is_available)
{
  QuotaTable quotas;
  Account account;
  account.name = "shop";
  account.requestsPerSecond = 2;
  account.burst = 2;
  const TimePoint start{ seconds(1) };
  BOOST_TEST((quotas.Take(start, account, 1, 10) == Duration::zero()));
  BOOST_TEST((quotas.Take(start, account, 1, 10) == Duration::zero()));
  const Duration wait = quotas.Take(start, account, 1, 10);
  BOOST_TEST((wait > milliseconds(499)));
  BOOST_TEST((wait < milliseconds(501)));
  BOOST_TEST((quotas.Take(start + wait, account, 1, 10) == Duration::zero()));
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace caraway
