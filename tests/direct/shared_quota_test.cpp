#include "core/random.h"
#include "direct/shared_quota.h"

#include <boost/test/unit_test.hpp>

#include <algorithm>

namespace caraway::direct {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::uint64_t kAccount = 7;
const QuotaLimit kLimit{ 1000, 1000 }; // 9,000 in a window of 8 s

struct Fixture
{
  SharedQuotaOptions options;
  TimePoint now{ seconds(1000) };

  Fixture() { this->options.overage = 0; }

  // Takes units of 100 until the quota refuses; the sum that was taken.
  double TakeAll(SharedQuota& aQuota)
  {
    double taken = 0;
    while (aQuota.Take(this->now, kAccount, kLimit, 100) == Duration::zero()) {
      taken += 100;
    }
    return taken;
  }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(shared_quota, Fixture)

BOOST_AUTO_TEST_CASE(bounds_every_window)
{
  SharedQuota quota(this->options, this->now - seconds(20));
  std::vector<std::pair<TimePoint, double>> log;
  for (int step = 0; step < 200; step++) {
    log.emplace_back(this->now, this->TakeAll(quota));
    this->now += milliseconds(130);
  }
  for (const auto& [from, unused] : log) {
    double sum = 0;
    for (const auto& [at, units] : log) {
      sum += at >= from && at - from < this->options.window ? units : 0;
    }
    BOOST_TEST(sum <= 9000 + 9000 / 32.0);
  }
}

BOOST_AUTO_TEST_CASE(a_refusal_says_when_there_is_room)
{
  SharedQuota quota(this->options, this->now - seconds(20));
  this->TakeAll(quota);
  const Duration wait = quota.Take(this->now, kAccount, kLimit, 100);
  BOOST_TEST((wait > Duration::zero()));
  this->now += wait;
  BOOST_TEST((quota.Take(this->now, kAccount, kLimit, 100) == Duration::zero()));
}

// Units of a request that was refused late open no room in a window that it never was in.
BOOST_AUTO_TEST_CASE(returned_units_count_where_they_were_taken)
{
  SharedQuota quota(this->options, this->now - seconds(20));
  const TimePoint takenAt = this->now;
  BOOST_TEST((quota.Take(this->now, kAccount, kLimit, 5000) == Duration::zero()));
  this->now += seconds(7);
  quota.Return(this->now, takenAt, kAccount, 5000);
  BOOST_TEST(this->TakeAll(quota) == 9000);
  this->now += milliseconds(1500);
  BOOST_TEST(this->TakeAll(quota) == 0);
}

// Load: a burst of one account over sixty entries, nine times its rate. Each entry tells the first
// one of its use in every round of 200 ms and the others in every eighth; the first one tells all.
// Found by the soak of processes, seed 500 with 60 entries: 342 of 306.
BOOST_AUTO_TEST_CASE(bounds_a_burst_over_many_entries)
{
  constexpr std::size_t kEntries = 60;
  constexpr std::size_t kRounds = 8;
  const QuotaLimit limit{ 29, 10 };
  this->options.overage = 0.05;
  this->options.slackUnits = 20;
  constexpr double kTolerated = (29 * 8 + 10) * 1.1 + 40;
  std::vector<SharedQuota> entries;
  for (std::size_t i = 0; i < kEntries; i++) {
    entries.emplace_back(this->options, this->now - seconds(20));
  }
  const auto peerOf = [](std::size_t aIndex) {
    return Peer{ NodeId{ aIndex + 1 }, Incarnation{ 1 } };
  };
  Random random(1);
  std::vector<TimePoint> taken;
  for (int step = 0; step < 2000; step++) {
    this->now += milliseconds(10);
    for (std::size_t from = 0; from < kEntries && step % 20 == 0; from++) {
      const bool isFirst = from == 0;
      const auto told = isFirst ? entries[0].WindowUse(this->now) : std::vector<AccountUse>{};
      for (std::size_t to = 0; to < kEntries; to++) {
        const bool isTurn = (from + to + static_cast<std::size_t>(step) / 20) % kRounds == 0;
        if (to != from && (isFirst || to == 0 || isTurn)) {
          entries[to].OnPeerUse(this->now, peerOf(from), entries[from].OwnUse());
          entries[to].OnWindowUse(this->now, told);
        }
      }
    }
    for (int call = 0; call < (step % 3 == 0 ? 2 : 3); call++) {
      SharedQuota& entry = entries[random.Below(kEntries)];
      if (entry.Take(this->now, kAccount, limit, 1) == Duration::zero()) {
        taken.push_back(this->now);
      }
    }
  }
  std::size_t worst = 0;
  for (std::size_t first = 0, last = 0; last < taken.size(); last++) {
    first += taken[first] <= taken[last] - this->options.window ? 1U : 0U;
    worst = std::max(worst, last - first + 1);
  }
  BOOST_TEST(static_cast<double>(worst) <= kTolerated);
  // Most of what the account may use in 20 s is served.
  BOOST_TEST(taken.size() >= 29U * 20U * 8 / 10);
}

BOOST_AUTO_TEST_CASE(counts_what_other_entries_use)
{
  SharedQuota quota(this->options, this->now - seconds(20));
  const Peer peer{ NodeId{ 2 }, Incarnation{ 1 } };
  quota.OnPeerUse(this->now, peer, { { kAccount, 0 } });
  quota.OnPeerUse(this->now, peer, { { kAccount, 6000 } });
  BOOST_TEST(this->TakeAll(quota) == 3000);
}

// Many entries hear each other late: what they use meanwhile is counted at their last rate.
BOOST_AUTO_TEST_CASE(counts_what_was_probably_used_since_the_last_report)
{
  SharedQuota quota(this->options, this->now - seconds(20));
  const Peer peer{ NodeId{ 2 }, Incarnation{ 1 } };
  for (int report = 0; report <= 8; report++) {
    quota.OnPeerUse(this->now, peer, { { kAccount, static_cast<std::uint64_t>(report) * 600 } });
    this->now += milliseconds(600);
  }
  // 4,800 reported, and about 600 of the time since; a bound of 9,000.
  const double taken = this->TakeAll(quota);
  BOOST_TEST(taken <= 9000 - 4800 - 500);
  BOOST_TEST(taken >= 9000 - 4800 - 700);
}

// Two entries that cannot hear each other: each assumes that the other uses its part.
BOOST_AUTO_TEST_CASE(bounds_the_sum_while_links_are_cut)
{
  SharedQuota left(this->options, this->now - seconds(20));
  SharedQuota right(this->options, this->now - seconds(20));
  const Peer leftPeer{ NodeId{ 1 }, Incarnation{ 1 } };
  const Peer rightPeer{ NodeId{ 2 }, Incarnation{ 1 } };
  left.OnPeerUse(this->now, rightPeer, {});
  right.OnPeerUse(this->now, leftPeer, {});
  this->now += seconds(10); // silent since; each quiet so far
  std::vector<std::pair<TimePoint, double>> log;
  for (int step = 0; step < 40; step++) {
    log.emplace_back(this->now, this->TakeAll(left) + this->TakeAll(right));
    this->now += milliseconds(100);
  }
  double sum = 0;
  for (const auto& [at, units] : log) {
    sum += units;
  }
  // Twice what is left beside the other's half; the platform tolerates a tenth and more beyond it.
  BOOST_TEST(sum <= 2 * (9000 - 500 * 8) + 2 * 500 * 4 + 400);
}

// All entries die and start at once: the window before the restart still counts.
BOOST_AUTO_TEST_CASE(a_restart_opens_no_second_window)
{
  SharedQuota before(this->options, this->now - seconds(20));
  this->TakeAll(before);
  const std::vector<SavedUse> saved = before.HotUse(this->now);
  BOOST_TEST(saved.size() == 1U);
  this->now += seconds(1);
  SharedQuota after(this->options, this->now);
  after.SetUseBefore(DecodeSavedUses(EncodeSavedUses({ 5, saved }))->accounts, milliseconds(0));
  BOOST_TEST(this->TakeAll(after) == 0);
  this->now += seconds(9);
  BOOST_TEST(this->TakeAll(after) == 9000);
}

// The entry that saves for all may restart without a request of the account before the next end.
BOOST_AUTO_TEST_CASE(two_restarts_open_no_second_window)
{
  SharedQuota first(this->options, this->now - seconds(20));
  const double taken = this->TakeAll(first);
  SharedQuota second(this->options, this->now);
  second.SetUseBefore(first.HotUse(this->now), milliseconds(0));
  this->now += milliseconds(500);
  SharedQuota third(this->options, this->now);
  third.SetUseBefore(second.HotUse(this->now), milliseconds(0));
  BOOST_TEST(this->TakeAll(third) <= 9000 - taken);
}

BOOST_AUTO_TEST_CASE(use_at_other_entries_is_saved)
{
  SharedQuota used(this->options, this->now - seconds(20));
  SharedQuota saver(this->options, this->now - seconds(20));
  const Peer peer{ NodeId{ 2 }, Incarnation{ 1 } };
  saver.OnPeerUse(this->now, peer, used.OwnUse());
  const double taken = this->TakeAll(used);
  this->now += milliseconds(200);
  saver.OnPeerUse(this->now, peer, used.OwnUse());
  SharedQuota next(this->options, this->now);
  next.SetUseBefore(saver.HotUse(this->now), milliseconds(0));
  BOOST_TEST(this->TakeAll(next) <= 9000 - taken);
}

// Bursts of callers use much in the time between two saves.
BOOST_AUTO_TEST_CASE(a_burst_after_the_last_save_is_counted)
{
  SharedQuota first(this->options, this->now - seconds(20));
  const auto burst = [&] {
    for (int i = 0; i < 20; i++) {
      first.Take(this->now, kAccount, kLimit, 100);
    }
  };
  for (int i = 0; i < 3; i++) {
    burst();
    this->now += seconds(1);
  }
  const std::vector<SavedUse> saved = first.HotUse(this->now);
  burst();
  SharedQuota next(this->options, this->now);
  next.SetUseBefore(saved, milliseconds(0));
  BOOST_TEST(this->TakeAll(next) <= 1000);
}

// Found by the soak of processes, seed 140: the entry that saves for all had lost the store before
// all entries were killed.
BOOST_AUTO_TEST_CASE(use_since_an_old_save_is_counted)
{
  SharedQuota first(this->options, this->now - seconds(20));
  double late = 0;
  std::vector<SavedUse> saved;
  for (int step = 0; step < 80; step++) {
    first.Take(this->now, kAccount, kLimit, 100);
    late += step >= 60 ? 100 : 0;
    saved = step == 59 ? first.HotUse(this->now) : saved;
    this->now += milliseconds(100);
  }
  BOOST_REQUIRE(saved.size() == 1U);
  SharedQuota next(this->options, this->now);
  next.SetUseBefore(saved, seconds(2));
  BOOST_TEST(this->TakeAll(next) <= 9000 - 6000 - late * 3 / 4);
}

// Found by a hunt (morant-liguanea, herd_after_ack.toml --vary --seed 97648869736): entries are
// killed while a hot account uses its whole quota.
BOOST_AUTO_TEST_CASE(use_between_the_last_report_and_a_kill_is_counted)
{
  const Peer peer{ NodeId{ 2 }, Incarnation{ 1 } };
  const Peer reborn{ NodeId{ 2 }, Incarnation{ 2 } };
  SharedQuota quota(this->options, this->now - seconds(20));
  std::uint64_t used = 0;
  for (int report = 0; report <= 20; report++) {
    quota.OnPeerUse(this->now, peer, { { kAccount, used } });
    this->now += milliseconds(200);
    used += 200;
  }
  // The last 200 units were not reported when it was killed.
  this->now += milliseconds(300);
  quota.OnPeerUse(this->now, reborn, { { kAccount, 0 } });
  BOOST_TEST(this->TakeAll(quota) <= 9000.0 - static_cast<double>(used));
}

// Found by a hunt (morant-liguanea, herd_after_ack.toml --vary --seed 466977726220): the entry that
// saves for all is killed just before the first burst of a hot account leaves the window, and the
// others take a second one.
BOOST_AUTO_TEST_CASE(a_burst_since_an_old_save_is_counted)
{
  SharedQuota first(this->options, this->now - seconds(20));
  this->TakeAll(first); // the first burst
  this->now += milliseconds(7500);
  const std::vector<SavedUse> saved = first.HotUse(this->now);
  this->now += milliseconds(1000);
  const double second = this->TakeAll(first);
  BOOST_REQUIRE(second > 8000);
  this->now += milliseconds(1000);
  SharedQuota next(this->options, this->now);
  next.SetUseBefore(saved, milliseconds(2000));
  double taken = 0;
  for (int step = 0; step < 24; step++) { // six seconds: the second burst is in the window
    taken += this->TakeAll(next);
    this->now += milliseconds(250);
  }
  BOOST_TEST(taken + second <= 9000);
}

// Found by the soak of processes, seed 140: the store refuses saves, a burst follows, and then all
// entries are killed.
BOOST_AUTO_TEST_CASE(while_saves_fail_a_restart_opens_no_second_window)
{
  SharedQuota first(this->options, this->now - seconds(20));
  first.SetUseBefore({}, milliseconds(0));
  first.OnUseSaved(this->now, this->now);
  this->now += seconds(2);
  const double taken = this->TakeAll(first);
  SharedQuota next(this->options, this->now);
  next.SetUseBefore({}, seconds(2));
  BOOST_TEST(taken + this->TakeAll(next) <= 9000);
  // Once a save gets through, the whole bound is there again.
  first.OnUseSaved(this->now, this->now);
  BOOST_TEST(taken + this->TakeAll(first) == 9000);
}

// Entries that know of each other and have not met yet take an equal part each.
BOOST_AUTO_TEST_CASE(entries_that_have_not_met_share_the_bound)
{
  double taken = 0;
  for (int entry = 0; entry < 4; entry++) {
    SharedQuota quota(this->options, this->now - seconds(20));
    quota.SetUseBefore({}, milliseconds(0));
    quota.SetEntries(this->now, 4);
    taken += this->TakeAll(quota);
  }
  BOOST_TEST(taken <= 9000);
  SharedQuota alone(this->options, this->now - seconds(20));
  alone.SetUseBefore({}, milliseconds(0));
  alone.SetEntries(this->now, 4);
  this->now += this->options.meetTime;
  BOOST_TEST(this->TakeAll(alone) == 9000); // the others do not live any more
}

BOOST_AUTO_TEST_CASE(a_start_without_what_was_saved_counts_the_whole_bound)
{
  SharedQuota quota(this->options, this->now);
  BOOST_TEST(this->TakeAll(quota) == 0);
  this->now += seconds(2);
  const double early = this->TakeAll(quota);
  BOOST_TEST(early <= 9000 / 4 + 300);
  BOOST_TEST(early > 0);
}

BOOST_AUTO_TEST_CASE(no_rate_means_no_bound)
{
  SharedQuota quota(this->options, this->now);
  BOOST_TEST((quota.Take(this->now, kAccount, QuotaLimit{}, 1e9) == Duration::zero()));
}

BOOST_AUTO_TEST_CASE(unreadable_saved_use_is_refused)
{
  BOOST_TEST(!DecodeSavedUses("\x05garbage").has_value());
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace caraway::direct
