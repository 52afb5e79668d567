// One account asks for seven times its usual over several entries, in three ranks. Its quota has to
// go to the top rank first, wholly, and none of the others may starve.
#include "core/random.h"
#include "direct/quota_reserve.h"
#include "direct/shared_quota.h"

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <memory>
#include <queue>

namespace caraway::direct {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::uint64_t kAccount = 7;
const QuotaLimit kLimit{ 1000, 0 }; // 8,000 in a window of 8 s
constexpr double kBound = 8000;
constexpr double kUnits = 10; // of a call
constexpr double kUsual = 700;
constexpr Duration kStep = milliseconds(5);
constexpr Duration kReportPeriod = milliseconds(200);
constexpr Duration kTimeLimit = seconds(3); // of a call; callers wait for up to a third of it

struct Counts
{
  double asked = 0;
  double served = 0;
  double returned = 0; // calls that were told to come back and did
  double servedThen = 0;
  double Share() const { return this->served / std::max(this->asked, 1.0); }
};

class Account
{
public:
  Account(std::size_t aEntries, std::uint64_t aSeed)
    : random(aSeed)
  {
    SharedQuotaOptions options;
    options.overage = 0.05;
    for (std::size_t i = 0; i < aEntries; i++) {
      this->quotas.push_back(std::make_unique<SharedQuota>(options, this->now - seconds(20)));
      this->reserves.push_back(std::make_unique<QuotaReserve>(this->random));
    }
  }

  // Calls at random entries, aUnitsPerSecond over all ranks, split by aShares.
  void Play(Duration aTime, double aUnitsPerSecond, const std::array<double, 3>& aShares)
  {
    for (const TimePoint end = this->now + aTime; this->now < end; this->now += kStep) {
      if (this->now.time_since_epoch() % kReportPeriod < kStep) {
        this->Report();
      }
      while (!this->returns.empty() && this->returns.top().first <= this->now) {
        const Tier rank = this->returns.top().second;
        this->returns.pop();
        this->Call(rank, true);
      }
      for (this->due += aUnitsPerSecond * SecondsOf(kStep); this->due >= kUnits;
           this->due -= kUnits) {
        const double drawn = this->random.Unit();
        const bool isTop = drawn < aShares[0];
        this->Call(isTop ? 0 : drawn < aShares[0] + aShares[1] ? 1 : 2, false);
      }
    }
  }

  double WorstWindow() const
  {
    std::size_t worst = 0;
    for (std::size_t first = 0, last = 0; last < this->taken.size(); last++) {
      while (this->taken[first] <= this->taken[last] - seconds(8)) {
        first++;
      }
      worst = std::max(worst, last - first + 1);
    }
    return static_cast<double>(worst) * kUnits;
  }
  double TakenIn(Duration aTime) const
  {
    return kUnits * static_cast<double>(
                      std::count_if(this->taken.begin(), this->taken.end(),
                                    [&](TimePoint aAt) { return aAt >= this->now - aTime; }));
  }

  std::array<Counts, 3> counts;
  std::vector<Duration> delays; // told to callers, in the order of their refusals

private:
  using Return = std::pair<TimePoint, Tier>;

  void Call(Tier aRank, bool aIsReturn)
  {
    const std::size_t at = this->random.Below(this->quotas.size());
    SharedQuota& quota = *this->quotas[at];
    QuotaReserve& reserve = *this->reserves[at];
    Counts& count = this->counts.at(aRank);
    (aIsReturn ? count.returned : count.asked)++;
    const Duration wait = TakeByRank(quota, reserve, this->now, kAccount, kLimit, aRank, kUnits);
    if (wait == Duration::zero()) {
      this->taken.push_back(this->now);
      count.served++;
      count.servedThen += aIsReturn ? 1 : 0;
    } else if (!aIsReturn) {
      this->delays.push_back(wait);
      this->returns.emplace(this->now + std::min(wait, kTimeLimit / 3), aRank);
    }
  }

  void Report()
  {
    for (std::size_t from = 0; from < this->quotas.size(); from++) {
      const Peer peer{ NodeId{ from + 1 }, Incarnation{ 1 } };
      for (std::size_t to = 0; to < this->quotas.size(); to++) {
        if (to != from) {
          this->quotas[to]->OnPeerUsage(this->now, peer, this->quotas[from]->LocalUsage());
        }
      }
    }
  }

  Random random;
  TimePoint now{ seconds(1000) };
  std::vector<std::unique_ptr<SharedQuota>> quotas;
  std::vector<std::unique_ptr<QuotaReserve>> reserves;
  std::priority_queue<Return, std::vector<Return>, std::greater<>> returns;
  double due = 0;
  std::vector<TimePoint> taken;
};

} // namespace

BOOST_AUTO_TEST_SUITE(quota_reserve)

// The top rank asks for half of the quota, all for five times it.
BOOST_DATA_TEST_CASE(the_top_rank_is_served_first, boost::unit_test::data::xrange(1, 11))
{
  Account account(1 + static_cast<std::size_t>(sample) % 8, static_cast<std::uint64_t>(sample));
  account.Play(seconds(10), kUsual, { 0.1, 0.5, 0.4 });
  account.counts = {};
  account.Play(seconds(24), kUsual * 7, { 0.1, 0.5, 0.4 });
  const auto& [top, middle, low] = account.counts;
  BOOST_TEST_MESSAGE("served " << top.Share() << " " << middle.Share() << " " << low.Share()
                               << ", window " << account.WorstWindow() << ", last window "
                               << account.TakenIn(seconds(8)));
  BOOST_TEST(top.Share() >= 0.85);
  BOOST_TEST(account.WorstWindow() <= kBound * 1.1);
  BOOST_TEST(account.TakenIn(seconds(8)) >= kBound * 0.93); // nothing is lost
  const double all =
    (top.served + middle.served + low.served) / (top.asked + middle.asked + low.asked);
  BOOST_TEST(middle.Share() >= all / 4);
  BOOST_TEST(low.Share() >= all / 4);
}

// The top rank alone asks for more than the quota.
BOOST_DATA_TEST_CASE(lower_ranks_do_not_starve, boost::unit_test::data::xrange(1, 6))
{
  Account account(6, static_cast<std::uint64_t>(sample));
  account.Play(seconds(10), kUsual, { 0.4, 0.4, 0.2 });
  account.counts = {};
  account.Play(seconds(24), kUsual * 7, { 0.4, 0.4, 0.2 });
  const auto& [top, middle, low] = account.counts;
  const double all =
    (top.served + middle.served + low.served) / (top.asked + middle.asked + low.asked);
  BOOST_TEST_MESSAGE("served " << top.Share() << " " << middle.Share() << " " << low.Share());
  BOOST_TEST(top.Share() >= 1.4 * all);
  BOOST_TEST(middle.Share() >= all / 4);
  BOOST_TEST(low.Share() >= all / 4);
  BOOST_TEST(account.WorstWindow() <= kBound * 1.1);
}

// What is kept back is used again at once when only a lower rank asks, and an account within its
// quota isn't refused at all.
BOOST_AUTO_TEST_CASE(nothing_is_kept_from_an_account_within_its_quota)
{
  Account account(6, 1);
  account.Play(seconds(20), kLimit.ratePerSecond * 0.98, { 0.3, 0.4, 0.3 });
  BOOST_TEST(account.delays.empty());
  account.Play(seconds(16), kUsual * 7, { 0.1, 0.5, 0.4 });
  account.Play(seconds(24), kUsual * 7, { 0, 0, 1 });
  BOOST_TEST(account.TakenIn(seconds(8)) >= kBound * 0.97);
}

// Callers who return when they are told to don't come all together, and find room more often than
// those who return at once.
BOOST_AUTO_TEST_CASE(retry_delays_are_spread)
{
  Account account(6, 1);
  account.Play(seconds(10), kUsual, { 0.1, 0.5, 0.4 });
  account.counts = {};
  account.Play(seconds(16), kUsual * 7, { 0.1, 0.5, 0.4 });
  std::vector<Duration>& delays = account.delays;
  std::sort(delays.begin(), delays.end());
  BOOST_TEST_MESSAGE("delays " << SecondsOf(delays[delays.size() / 10]) << " "
                               << SecondsOf(delays[delays.size() / 2]) << " "
                               << SecondsOf(delays[delays.size() * 9 / 10]));
  for (const auto& count : account.counts) {
    BOOST_TEST_MESSAGE("returned " << count.returned << " served " << count.servedThen);
  }
  const auto equal =
    std::adjacent_find(delays.begin(), delays.end(),
                       [](Duration aLeft, Duration aRight) { return aRight - aLeft > seconds(1); });
  BOOST_TEST((equal == delays.end()));
  BOOST_TEST((delays.front() > Duration::zero() && delays.back() < seconds(9)));
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace caraway::direct
