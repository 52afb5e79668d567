#include "direct/fair_share.h"

#include "core/property.h"
#include "queue_load.h"

#include <boost/test/unit_test.hpp>

#include <array>
#include <numeric>
#include <set>

namespace caraway::direct {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr Duration kLong = seconds(2000);
constexpr std::uint16_t kMean = kMeanAccountWeight;

test::PlayedCall CallOf(std::uint32_t aAccount, std::uint32_t aPromptTokens, Duration aArrives = {},
                        std::uint16_t aWeight = kMean)
{
  test::PlayedCall call{ aArrives, kLong, kLong, milliseconds(10), {} };
  call.request.tier = 1;
  call.request.rank = 0;
  call.request.account = aAccount;
  call.request.accountWeight = aWeight;
  call.request.promptTokens = aPromptTokens;
  return call;
}

double CostOf(const test::PlayedCall& aCall)
{
  return EngineCost(aCall.request.promptTokens, aCall.request.outputTokens);
}

// Indices of the calls in the order of their starts.
std::vector<std::size_t> StartOrder(const std::vector<std::optional<Duration>>& aStarts)
{
  std::vector<std::size_t> order(aStarts.size());
  std::iota(order.begin(), order.end(), std::size_t{ 0 });
  std::stable_sort(order.begin(), order.end(), [&](std::size_t aLeft, std::size_t aRight) {
    return aStarts[aLeft].value_or(kLong) < aStarts[aRight].value_or(kLong);
  });
  return order;
}

// Calls that wait from the start, of few accounts with different weights.
std::vector<test::PlayedCall> DrawBacklog(Duration aLatest = {})
{
  std::vector<test::PlayedCall> calls;
  const auto count = *rc::gen::inRange<std::size_t>(2, 80);
  for (std::size_t index = 0; index < count; index++) {
    const auto account = *rc::gen::inRange<std::uint32_t>(1, 5);
    const auto arrives = aLatest == Duration::zero()
                           ? Duration::zero()
                           : Duration(*rc::gen::inRange<std::int64_t>(0, aLatest.count()));
    const auto weight = static_cast<std::uint16_t>(kMean / 2 * account);
    calls.push_back(CallOf(account, *rc::gen::inRange<std::uint32_t>(1, 40000), arrives, weight));
  }
  return calls;
}

} // namespace

BOOST_AUTO_TEST_SUITE(fair_share)

// hot_tenant of the two customers: of 16 accounts one sends seven times its usual for a while. A
// slot starts 10 calls a second; the others ask for 9, the hot account for 7 in place of 1.
BOOST_AUTO_TEST_CASE(a_hot_account_takes_the_room_of_none)
{
  const auto refusedOfOthers = [](double aAllowance) {
    std::vector<test::PlayedCall> calls;
    const auto add = [&](std::uint32_t aAccount, Duration aPeriod, Duration aFirst) {
      for (Duration at = aFirst; at < seconds(7); at += aPeriod) {
        test::PlayedCall call = CallOf(aAccount, 2900, at);
        call.objective = milliseconds(800);
        call.patience = milliseconds(1500);
        call.runs = milliseconds(100);
        calls.push_back(call);
      }
    };
    add(1, Duration(seconds(1)) / 7, Duration::zero());
    for (std::uint32_t account = 2; account <= 16; account++) {
      add(account, Duration(seconds(15)) / 9, milliseconds(100) * account);
    }
    SlotQueueOptions options;
    options.shares.allowance = aAllowance;
    const auto starts = test::PlayLoad(calls, 1, options);
    std::size_t refused = 0;
    for (std::size_t index = 0; index < calls.size(); index++) {
      refused += calls[index].request.account != 1 && !starts[index] ? 1U : 0U;
    }
    return refused;
  };
  const std::size_t before = refusedOfOthers(1e18);
  const std::size_t after = refusedOfOthers(FairShareOptions{}.allowance);
  BOOST_TEST_MESSAGE("refused of the other accounts " << before << " then " << after);
  BOOST_TEST(before >= 10U);
  BOOST_TEST(after <= 2U);
}

// No account that waits is behind another by more than the allowance and one call, by weight.
BOOST_AUTO_TEST_CASE(backlogged_accounts_get_their_shares)
{
  caraway::test::CheckProperty("shares", [] {
    const auto calls = DrawBacklog();
    std::map<std::uint32_t, double> had;
    std::map<std::uint32_t, std::size_t> waiting;
    double largest = 0;
    for (const test::PlayedCall& call : calls) {
      waiting[call.request.account]++;
      largest = std::max(largest, CostOf(call) * kMean / call.request.accountWeight);
    }
    for (const std::size_t index : StartOrder(test::PlayLoad(calls, 1))) {
      const ReserveSlot& request = calls[index].request;
      had[request.account] += CostOf(calls[index]) * kMean / request.accountWeight;
      waiting[request.account]--;
      for (const auto& [account, count] : waiting) {
        if (count > 0) {
          RC_ASSERT(had[request.account] - had[account] <=
                    FairShareOptions{}.allowance + 2 * largest);
        }
      }
    }
  });
}

// Shares reorder calls and hold none back: slots are as busy as without them.
BOOST_AUTO_TEST_CASE(shares_conserve_work)
{
  caraway::test::CheckProperty("work", [] {
    auto calls = DrawBacklog(milliseconds(300));
    const auto shared = test::PlayLoad(calls, 2);
    for (test::PlayedCall& call : calls) {
      call.request.account = 0;
    }
    const auto unshared = test::PlayLoad(calls, 2);
    const std::multiset<std::optional<Duration>> left(shared.begin(), shared.end());
    const std::multiset<std::optional<Duration>> right(unshared.begin(), unshared.end());
    RC_ASSERT(left == right);
    RC_ASSERT(!left.contains(std::nullopt));
  });
}

// Neither shares nor floors let a lower tier pass a higher one.
BOOST_AUTO_TEST_CASE(no_call_waits_while_a_lower_tier_starts)
{
  caraway::test::CheckProperty("tiers", [] {
    auto calls = DrawBacklog(milliseconds(200));
    for (test::PlayedCall& call : calls) {
      call.request.tier = *rc::gen::inRange<Tier>(0, kTierCount);
      call.request.rank = *rc::gen::inRange<Tier>(0, kTierCount);
      call.request.order = *rc::gen::element(QueueOrder::kOnTimeFirst, QueueOrder::kRankFirst);
    }
    const auto starts = test::PlayLoad(calls, 1);
    for (std::size_t low = 0; low < calls.size(); low++) {
      for (std::size_t high = 0; high < calls.size(); high++) {
        const bool hasWaited =
          calls[high].arrives + milliseconds(1) < *starts[low] && *starts[low] < *starts[high];
        RC_ASSERT(!hasWaited || calls[high].request.tier >= calls[low].request.tier);
      }
    }
  });
}

// A queue full of rank 0 still starts rank 2 for its floor, and no more than that.
BOOST_AUTO_TEST_CASE(a_low_rank_gets_its_floor)
{
  std::vector<test::PlayedCall> calls;
  for (int index = 0; index < 400; index++) {
    calls.push_back(CallOf(0, 3000));
    calls.back().request.order = QueueOrder::kRankFirst;
    calls.back().request.rank = index < 320 ? 0 : 2;
  }
  const auto order = StartOrder(test::PlayLoad(calls, 1));
  const auto lowAmong = std::count_if(order.begin(), order.begin() + 200,
                                      [](std::size_t aIndex) { return aIndex >= 320; });
  BOOST_TEST(lowAmong >= 5);
  BOOST_TEST(lowAmong <= 6);
}

// The largest calls of an account are not passed by the small ones of the others without end.
BOOST_AUTO_TEST_CASE(a_large_call_is_not_starved_by_small_ones)
{
  std::vector<test::PlayedCall> calls{ CallOf(1, 39000, milliseconds(50)) };
  for (int index = 0; index < 300; index++) {
    const auto account = 2 + static_cast<std::uint32_t>(index) % 15;
    calls.push_back(CallOf(account, 300, milliseconds(10) * index));
    calls.push_back(CallOf(account, 300, milliseconds(10) * index));
  }
  const auto starts = test::PlayLoad(calls, 1);
  BOOST_TEST((*starts[0] < milliseconds(200)));
}

BOOST_AUTO_TEST_CASE(the_accounts_tracked_are_bounded)
{
  FairShareOptions options;
  options.maxAccounts = 8;
  FairShare share(options);
  for (std::uint32_t account = 1; account <= 100; account++) {
    share.Charge(account, kMean, 50000);
  }
  BOOST_TEST(share.Size() == 8U);
  BOOST_TEST(share.IsOverShare(1));
  BOOST_TEST(!share.IsOverShare(100));
  share.Advance(100000);
  share.Charge(100, kMean, 50000);
  BOOST_TEST(share.Size() == 1U);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace caraway::direct
