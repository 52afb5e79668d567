#include "direct/crash_watch.h"

#include <boost/test/unit_test.hpp>

namespace caraway::direct {

namespace {

using std::chrono::minutes;
using std::chrono::seconds;

constexpr EndpointLife kFirst{ 1, 1000 };
constexpr EndpointLife kSecond{ 2, 1000 };
constexpr EndpointLife kSecondReborn{ 2, 2000 };

struct Fixture
{
  // The request was under way when the endpoint died.
  void Crash(CrashWatch& aWatch, const EndpointLife& aLife, std::uint64_t aFingerprint) const
  {
    aWatch.OnLost(this->now, aLife, aFingerprint);
    aWatch.OnDied(this->now, aLife);
  }

  CrashWatchOptions options;
  TimePoint now{ seconds(100) };
  CrashWatch watch{ options };
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(crash_watch, Fixture)

BOOST_AUTO_TEST_CASE(a_lost_answer_of_an_endpoint_that_lives_is_no_crash)
{
  this->watch.OnLost(this->now, kFirst, 7);
  this->watch.OnDied(this->now, kSecond);
  BOOST_TEST((this->watch.Judge(this->now, 7) == Verdict::kClear));
}

BOOST_AUTO_TEST_CASE(one_endpoint_that_dies_counts_once)
{
  this->Crash(this->watch, kFirst, 7);
  this->Crash(this->watch, kFirst, 7);
  BOOST_TEST((this->watch.Judge(this->now, 7) == Verdict::kExclusive));
}

BOOST_AUTO_TEST_CASE(an_endpoint_that_dies_again_under_its_id_counts_again)
{
  this->Crash(this->watch, kSecond, 7);
  this->Crash(this->watch, kSecondReborn, 7);
  BOOST_TEST((this->watch.Judge(this->now, 7) == Verdict::kRefused));
  BOOST_TEST((this->watch.ForgetAfter(this->now, 7) == this->options.suspectTime));
}

BOOST_AUTO_TEST_CASE(connections_that_break_after_the_death_is_known_count)
{
  this->watch.OnDied(this->now, kFirst);
  this->watch.OnLost(this->now + seconds(1), kFirst, 7);
  BOOST_TEST((this->watch.Judge(this->now + seconds(1), 7) == Verdict::kExclusive));
}

BOOST_AUTO_TEST_CASE(what_broke_off_long_before_the_death_is_not_blamed)
{
  this->watch.OnLost(this->now, kFirst, 7);
  this->watch.OnDied(this->now + seconds(6), kFirst);
  BOOST_TEST((this->watch.Judge(this->now + seconds(6), 7) == Verdict::kClear));
}

BOOST_AUTO_TEST_CASE(a_bystander_that_is_answered_later_is_cleared_everywhere)
{
  CrashWatch other{ this->options };
  this->Crash(this->watch, kFirst, 7);
  other.OnSuspicions(this->now, this->watch.ToTell(this->now));
  this->watch.OnAnswered(this->now, 7);
  other.OnSuspicions(this->now, this->watch.ToTell(this->now));
  this->Crash(other, kSecond, 7);
  BOOST_TEST((other.Judge(this->now, 7) == Verdict::kExclusive));
}

BOOST_AUTO_TEST_CASE(crashes_at_two_entries_add_up_at_both)
{
  CrashWatch other{ this->options };
  this->Crash(this->watch, kFirst, 7);
  this->Crash(other, kSecond, 7);
  other.OnSuspicions(this->now, this->watch.ToTell(this->now));
  this->watch.OnSuspicions(this->now, other.ToTell(this->now));
  BOOST_TEST((this->watch.Judge(this->now, 7) == Verdict::kRefused));
  BOOST_TEST((other.Judge(this->now, 7) == Verdict::kRefused));
}

// An entry that starts minutes later must know it too.
BOOST_AUTO_TEST_CASE(what_is_refused_is_told_for_as_long_as_it_is_refused)
{
  this->Crash(this->watch, kFirst, 7);
  this->Crash(this->watch, kSecond, 7);
  this->Crash(this->watch, kFirst, 8);
  const TimePoint later = this->now + minutes(9);
  const std::vector<Suspicion> told = this->watch.ToTell(later);
  BOOST_REQUIRE(told.size() == 1U);
  BOOST_TEST(told[0].fingerprint == 7U);
  BOOST_TEST((told[0].forgetAfter == minutes(1)));
  BOOST_TEST(this->watch.ToTell(this->now + minutes(11)).empty());
}

BOOST_AUTO_TEST_CASE(news_says_what_this_entry_saw_itself)
{
  this->Crash(this->watch, kFirst, 7);
  this->watch.OnSuspicions(this->now, { { 8, { { 1, false }, { 2, false } }, minutes(1) } });
  const std::vector<SuspectNews> news = this->watch.TakeNews();
  BOOST_REQUIRE(news.size() == 2U);
  BOOST_TEST(news[0].isOwn);
  BOOST_TEST(!news[1].isOwn);
  BOOST_TEST((news[1].verdict == Verdict::kRefused));
  BOOST_TEST(this->watch.TakeNews().empty());
}

// Otherwise nobody would save it: each entry saw one crash and was told of the other.
BOOST_AUTO_TEST_CASE(crashes_seen_at_the_same_moment_are_news_of_both_entries)
{
  this->Crash(this->watch, kFirst, 7);
  this->watch.TakeNews();
  this->watch.OnSuspicions(this->now, { { 7, { { 2, false } }, minutes(1) } });
  const std::vector<SuspectNews> news = this->watch.TakeNews();
  BOOST_REQUIRE(news.size() == 1U);
  BOOST_TEST((news[0].verdict == Verdict::kRefused));
  BOOST_TEST(news[0].isOwn);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace caraway::direct
