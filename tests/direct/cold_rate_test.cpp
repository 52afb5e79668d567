#include "direct/cold_rate.h"

#include "../core/property.h"
#include "direct/cold_news.h"
#include "direct/rate_limiter.h"

#include <boost/test/unit_test.hpp>

#include <vector>

namespace caraway::direct {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const ColdLimits kLimits{ seconds(3), 10, 20 };
const TimePoint kStart{ seconds(100) };

// A statement at aAtMs after kStart, in answer to a request sent 10 ms before.
ColdObservation Stated(int aAtMs, int aRemainingMs)
{
  const TimePoint at = kStart + milliseconds(aAtMs);
  return { at + milliseconds(aRemainingMs), at - milliseconds(10), at };
}

bool IsColdAt(const ColdState& aState, int aAtMs)
{
  return aState.IsCold(kStart + milliseconds(aAtMs), kLimits);
}

} // namespace

BOOST_AUTO_TEST_SUITE(cold_rate)

BOOST_AUTO_TEST_CASE(the_newest_statement_holds)
{
  ColdState state;
  BOOST_TEST(!IsColdAt(state, 0));
  BOOST_TEST(state.Add(Stated(0, 2000)));
  BOOST_TEST(IsColdAt(state, 1999));
  BOOST_TEST(!IsColdAt(state, 2000));
  BOOST_TEST(state.Add(Stated(500, 0)));
  BOOST_TEST(!IsColdAt(state, 500));
  BOOST_TEST(!state.Add(Stated(200, 2000))); // an old one that arrives late
  BOOST_TEST(state.Add(Stated(5000, 1000))); // cold again
  BOOST_TEST(IsColdAt(state, 5500));
}

// The platform does not tell when a registration was written.
BOOST_AUTO_TEST_CASE(of_statements_in_unknown_order_the_longer_holds)
{
  ColdState state;
  state.Add(Stated(0, 2000));
  BOOST_TEST(!state.Add({ kStart, TimePoint{}, kStart + milliseconds(100) }));
  BOOST_TEST(IsColdAt(state, 1000));
  BOOST_TEST(state.Add({ kStart + seconds(4), TimePoint{}, kStart + milliseconds(100) }));
  BOOST_TEST(IsColdAt(state, 3000));
}

BOOST_AUTO_TEST_CASE(a_suspicion_lasts_for_the_cold_time_or_until_the_endpoint_says_otherwise)
{
  ColdState state;
  state.Suspect(kStart);
  BOOST_TEST(IsColdAt(state, 2999));
  BOOST_TEST(!IsColdAt(state, 3000));
  state.Add({ kStart, TimePoint{}, kStart + milliseconds(100) }); // written before, perhaps
  BOOST_TEST(IsColdAt(state, 200));
  state.Add(Stated(300, 0));
  BOOST_TEST(!IsColdAt(state, 300));
  BOOST_TEST(!state.IsCold(kStart, ColdLimits{}));
}

// The agent, a fallback owner and the entries for themselves may all act at the same moment.
BOOST_AUTO_TEST_CASE(the_parts_of_all_holders_stay_below_the_bound)
{
  test::CheckProperty("parts of all holders", [] {
    const double rate = *rc::gen::inRange(1, 500) / 5.0;
    const double slack = *rc::gen::inRange(4, 20);
    const ColdLimits limits{ seconds(3), rate, rate * 1.5 + slack };
    const auto inSecond = [&](RateHolder aHolder, bool aIsCold) {
      return BoundsOf(limits, aIsCold, aHolder).maxInSecond.value_or(0);
    };
    const double entries = *BoundsOf(limits, true, RateHolder::kFallbackEntry).perSecond;
    RC_ASSERT(inSecond(RateHolder::kAgent, true) + inSecond(RateHolder::kFallbackOwner, true) +
                entries <=
              limits.maxInSecond);
    RC_ASSERT(inSecond(RateHolder::kOwner, true) * 2 + entries <= limits.maxInSecond);
    RC_ASSERT(inSecond(RateHolder::kAgent, false) <= limits.maxInSecond);
  });
  BOOST_TEST(!BoundsOf(ColdLimits{}, true, RateHolder::kAgent).maxInSecond.has_value());
  BOOST_TEST(!BoundsOf(kLimits, false, RateHolder::kOwner).maxInSecond.has_value());
}

BOOST_AUTO_TEST_CASE(no_second_exceeds_its_bound_while_the_rate_changes)
{
  test::CheckProperty("requests in any second", [] {
    RateLimiter limiter;
    const auto most = *rc::gen::inRange<std::uint32_t>(1, 12);
    limiter.SetMaxInSecond(most);
    std::vector<TimePoint> sent;
    TimePoint now = kStart;
    for (const int step : *rc::gen::container<std::vector<int>>(200, rc::gen::inRange(0, 300))) {
      now += milliseconds(step % 60);
      if (step > 290) {
        limiter.SetRate(now, step % 2 == 0 ? std::optional<double>(10) : std::nullopt);
      }
      if (limiter.Allows(now, 0)) {
        limiter.Charge(now);
        sent.push_back(now);
        RC_ASSERT(sent.size() <= most || now - sent[sent.size() - 1 - most] >= seconds(1));
      } else {
        const TimePoint next = limiter.NextAllowed(now, 0);
        RC_ASSERT(next > now);
        RC_ASSERT(limiter.Allows(next, 0));
      }
    }
  });
}

BOOST_AUTO_TEST_CASE(news_carry_limits_and_the_order_of_statements)
{
  const TimePoint now = kStart + seconds(1);
  ColdState state;
  ColdNews news = NewsOf(now, state, kLimits, 7);
  BOOST_TEST((LimitsIn(news) == kLimits));
  BOOST_TEST(!StatementIn(now, news, 7).has_value());
  state.Add(Stated(500, 2000));
  news = NewsOf(now, state, kLimits, 7);
  BOOST_TEST(!StatementIn(now, news, 8).has_value());
  ColdState other;
  BOOST_TEST(other.Add(*StatementIn(now, news, 7)));
  BOOST_TEST((other.Until(kLimits) == kStart + milliseconds(2500)));
  state.Add(Stated(950, 0));
  BOOST_TEST(other.Add(*StatementIn(now, NewsOf(now, state, kLimits, 7), 7)));
  BOOST_TEST(!other.IsCold(now, kLimits));
  BOOST_TEST(!other.Add(*StatementIn(now, news, 7)));
  // A queue's suspicion counts as its statement.
  state.Suspect(now);
  BOOST_TEST(QueueColdNewsOf(now, state, kLimits, 7).remainingMs == 3000U);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace caraway::direct
