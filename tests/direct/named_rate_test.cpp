#include "direct/named_rate.h"

#include <boost/test/unit_test.hpp>

namespace caraway::direct {

namespace {

using std::chrono::milliseconds;

RateObservation Observed(std::optional<double> aRate, int aSentMs, int aArrivedMs)
{
  return { aRate, TimePoint(milliseconds(aSentMs)), TimePoint(milliseconds(aArrivedMs)) };
}

} // namespace

BOOST_AUTO_TEST_SUITE(named_rate)

BOOST_AUTO_TEST_CASE(answers_without_a_rate_change_nothing_before_one_is_named)
{
  NamedRate rate;
  BOOST_TEST(!rate.Add(Observed(std::nullopt, 0, 10)));
  BOOST_TEST(rate.Current() == nullptr);
  BOOST_TEST(rate.Add(Observed(3.3, 5, 20)));
  BOOST_TEST(rate.PerSecond().value() == 3.3);
}

BOOST_AUTO_TEST_CASE(a_lower_rate_holds_at_once)
{
  NamedRate rate;
  rate.Add(Observed(6, 0, 100));
  BOOST_TEST(rate.Add(Observed(3, 50, 110)));
  BOOST_TEST(!rate.Add(Observed(6, 50, 120)));
  BOOST_TEST(rate.PerSecond().value() == 3);
}

// Answers to requests that were under way when the rate was named may have been written before.
BOOST_AUTO_TEST_CASE(only_an_answer_to_a_later_request_raises_or_ends_a_limit)
{
  NamedRate rate;
  rate.Add(Observed(3, 0, 100));
  BOOST_TEST(!rate.Add(Observed(std::nullopt, 90, 200)));
  BOOST_TEST(!rate.Add(Observed(8, 100, 200)));
  BOOST_TEST(rate.Add(Observed(8, 101, 200)));
  BOOST_TEST(rate.PerSecond().value() == 8);
  BOOST_TEST(rate.Add(Observed(std::nullopt, 201, 300)));
  BOOST_TEST(!rate.PerSecond().has_value());
}

BOOST_AUTO_TEST_CASE(an_old_answer_that_arrives_late_is_ignored)
{
  NamedRate rate;
  rate.Add(Observed(3, 0, 100));
  rate.Add(Observed(std::nullopt, 150, 200));
  BOOST_TEST(!rate.Add(Observed(2, 20, 140)));
  BOOST_TEST(!rate.PerSecond().has_value());
  BOOST_TEST(rate.Add(Observed(2, 20, 160)));
}

// The same rate named again postpones the time from which an answer may end it.
BOOST_AUTO_TEST_CASE(a_rate_named_again_stays_in_force)
{
  NamedRate rate;
  rate.Add(Observed(3, 0, 100));
  BOOST_TEST(!rate.Add(Observed(3, 200, 300)));
  BOOST_TEST(!rate.Add(Observed(std::nullopt, 250, 400)));
  BOOST_TEST(rate.PerSecond().value() == 3);
}

BOOST_AUTO_TEST_CASE(at_a_rate_of_zero_a_request_now_and_then_shows_its_end)
{
  NamedRate rate;
  BOOST_TEST(!rate.EnforcedRate().has_value());
  rate.Add(Observed(0, 0, 100));
  BOOST_TEST(rate.EnforcedRate().value() > 0);
  BOOST_TEST(4 * rate.EnforcedRate().value() <= 1); // five in 4 s are allowed
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace caraway::direct
