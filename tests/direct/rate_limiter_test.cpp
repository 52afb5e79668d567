#include "direct/rate_limiter.h"

#include <boost/test/unit_test.hpp>

namespace caraway::direct {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

struct Fixture
{
  // Sends whenever it is allowed for aTime; returns how often.
  int SendFor(Duration aTime)
  {
    int sent = 0;
    for (const TimePoint end = this->now + aTime; this->now < end; this->now += milliseconds(1)) {
      if (this->limiter.Allows(this->now, 0)) {
        this->limiter.Charge(this->now);
        sent++;
      }
    }
    return sent;
  }

  TimePoint now{ seconds(100) };
  RateLimiter limiter;
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(rate_limiter, Fixture)

BOOST_AUTO_TEST_CASE(without_a_rate_everything_is_allowed)
{
  BOOST_TEST(this->SendFor(seconds(1)) == 1000);
  BOOST_TEST((this->limiter.NextAllowed(this->now, 5) == this->now));
}

BOOST_AUTO_TEST_CASE(the_whole_rate_is_used_and_no_more)
{
  for (const double rate : { 0.5, 1.5, 3.3, 6.0, 40.0, 200.0 }) {
    this->limiter = {};
    this->limiter.SetRate(this->now, rate);
    const int sent = this->SendFor(seconds(20));
    BOOST_TEST(sent <= 20 * rate + 1, rate);
    BOOST_TEST(sent >= 20 * rate * 0.95 - 1, rate);
  }
}

BOOST_AUTO_TEST_CASE(an_idle_time_gives_a_short_burst_only)
{
  this->limiter.SetRate(this->now, 10);
  this->now += seconds(60);
  BOOST_TEST(this->SendFor(milliseconds(10)) == 5);
}

BOOST_AUTO_TEST_CASE(offers_that_may_be_used_count)
{
  this->limiter.SetRate(this->now, 10);
  this->now += seconds(1);
  BOOST_TEST(this->limiter.Allows(this->now, 4));
  BOOST_TEST(!this->limiter.Allows(this->now, 5));
}

// Requests that were sent through another queue must not add up to more than the rate.
BOOST_AUTO_TEST_CASE(requests_sent_without_asking_are_made_up_for)
{
  this->limiter.SetRate(this->now, 5);
  for (int count = 0; count < 10; count++) {
    this->limiter.Charge(this->now);
  }
  BOOST_TEST(this->SendFor(seconds(2)) == 0);
  BOOST_TEST(this->SendFor(seconds(4)) >= 18);
}

BOOST_AUTO_TEST_CASE(a_debt_is_bounded)
{
  this->limiter.SetRate(this->now, 1);
  for (int count = 0; count < 1000; count++) {
    this->limiter.Charge(this->now);
  }
  BOOST_TEST(this->SendFor(seconds(6)) >= 1);
  this->limiter.SetRate(this->now, 0.1);
  this->limiter.Charge(this->now);
  this->limiter.Charge(this->now);
  BOOST_TEST(this->SendFor(seconds(25)) == 1);
}

BOOST_AUTO_TEST_CASE(a_rate_of_zero_allows_nothing_for_minutes)
{
  this->limiter.SetRate(this->now, 0);
  BOOST_TEST(this->SendFor(seconds(60)) == 0);
  BOOST_TEST((this->limiter.NextAllowed(this->now, 0) < this->now + std::chrono::hours(1)));
}

BOOST_AUTO_TEST_CASE(a_changed_rate_gives_no_tokens)
{
  this->limiter.SetRate(this->now, 40);
  this->now += seconds(10);
  this->limiter.SetRate(this->now, 2);
  BOOST_TEST(this->SendFor(milliseconds(10)) == 1);
  this->limiter.SetRate(this->now, std::nullopt);
  this->limiter.SetRate(this->now, 2);
  BOOST_TEST(this->SendFor(milliseconds(10)) == 0);
}

BOOST_AUTO_TEST_CASE(the_time_of_the_next_request_is_exact)
{
  this->limiter.SetRate(this->now, 3.3);
  for (int count = 0; count < 20; count++) {
    const TimePoint next = this->limiter.NextAllowed(this->now, 0);
    BOOST_TEST(!this->limiter.Allows(next - milliseconds(5), 0));
    BOOST_TEST(this->limiter.Allows(next, 0));
    this->now = next;
    this->limiter.Charge(this->now);
  }
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace caraway::direct
