#include "direct/slot_queue.h"

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <utility>
#include <vector>

namespace caraway::direct {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const Peer kFirst{ NodeId{ 1 }, Incarnation{ 10 } };
const Peer kSecond{ NodeId{ 2 }, Incarnation{ 10 } };

struct RecordingPort : SlotQueuePort
{
  void OfferSlotTo(const Peer& aHolder, CallNumber aCall) override
  {
    this->offers.emplace_back(aHolder.node, aCall);
  }
  std::vector<std::pair<NodeId, CallNumber>> offers;
};

struct Fixture
{
  RecordingPort port;
  SlotQueueOptions options;
  TimePoint now{ seconds(100) };
  SlotQueue queue{ this->options, this->port };

  ReserveSlot Reservation(CallNumber aCall, Tier aRank, int aStartLeftMs,
                          std::uint32_t aPrompt = 100, Tier aTier = 1) const
  {
    ReserveSlot reserve;
    reserve.call = aCall;
    reserve.tier = aTier;
    reserve.rank = aRank;
    reserve.startWithinMs = aStartLeftMs;
    reserve.endWithinMs = 6000;
    reserve.promptTokens = aPrompt;
    return reserve;
  }

  CallNumber LastOffer() const
  {
    return this->port.offers.empty() ? 0 : this->port.offers.back().second;
  }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(slot_queue, Fixture)

BOOST_AUTO_TEST_CASE(offers_up_to_the_limit)
{
  this->queue.SetLimit(this->now, 2);
  for (CallNumber call = 1; call <= 3; call++) {
    this->queue.Reserve(this->now, kFirst, this->Reservation(call, 0, 500));
  }
  BOOST_TEST(this->port.offers.size() == 2U);
  this->queue.Use(this->now, kFirst, UseSlot{ 1, 100 });
  this->queue.Use(this->now, kFirst, UseSlot{ 2, 100 });
  BOOST_TEST(this->queue.Taken() == 2U);
  this->queue.Release(this->now, kFirst, 1);
  BOOST_TEST(this->LastOffer() == 3U);
}

// Under overload, calls that can still meet their objective go first; in order of arrival, all
// would be late.
BOOST_AUTO_TEST_CASE(calls_that_can_meet_their_objective_precede_late_ones)
{
  this->queue.Reserve(this->now, kFirst, this->Reservation(1, 0, 50));
  this->queue.Reserve(this->now, kFirst, this->Reservation(2, 2, 400));
  this->now += milliseconds(100);
  this->queue.SetLimit(this->now, 1);
  BOOST_TEST(this->LastOffer() == 2U);
}

BOOST_AUTO_TEST_CASE(tier_precedes_rank_and_rank_precedes_start_deadline)
{
  this->queue.Reserve(this->now, kFirst, this->Reservation(1, 2, 100));
  this->queue.Reserve(this->now, kFirst, this->Reservation(2, 0, 300));
  this->queue.Reserve(this->now, kSecond, this->Reservation(3, 3, 300, 100, 0));
  this->queue.SetLimit(this->now, 1);
  BOOST_TEST(this->LastOffer() == 3U);
  this->queue.Withdraw(this->now, kSecond, 3);
  BOOST_TEST(this->LastOffer() == 2U);
  this->queue.Withdraw(this->now, kFirst, 2);
  BOOST_TEST(this->LastOffer() == 1U);
}

BOOST_AUTO_TEST_CASE(prompts_wait_while_prefill_is_pending)
{
  this->queue.SetLimit(this->now, 6);
  this->queue.Reserve(this->now, kFirst, this->Reservation(1, 0, 500, 5000));
  this->queue.Reserve(this->now, kFirst, this->Reservation(2, 0, 500, 5000));
  BOOST_TEST(this->port.offers.size() == 1U);
  this->queue.Use(this->now, kFirst, UseSlot{ 1, 5000 });
  this->queue.BeginAnswer(this->now, kFirst, 1);
  BOOST_TEST(this->LastOffer() == 2U);
}

BOOST_AUTO_TEST_CASE(measures_the_prefill_rate)
{
  this->queue.SetLimit(this->now, 6);
  for (CallNumber call = 1; call <= 20; call++) {
    const std::uint32_t prompt = 500 * static_cast<std::uint32_t>(call);
    this->queue.Use(this->now, kFirst, UseSlot{ call, prompt });
    this->now += milliseconds(10) + Duration(25) * prompt; // 25 us per token
    this->queue.BeginAnswer(this->now, kFirst, call);
    this->queue.Release(this->now, kFirst, call);
  }
  const Duration slope = this->queue.FirstEventPace().FirstTokenLatency(2000) -
                         this->queue.FirstEventPace().FirstTokenLatency(1000);
  BOOST_TEST(slope.count() >= 24000);
  BOOST_TEST(slope.count() <= 26000);
}

// Engines whose prefill rates differ threefold each get as many concurrent prompts of equal length
// as they prefill in the same time.
BOOST_AUTO_TEST_CASE(a_faster_engine_gets_more_concurrent_prompts)
{
  const auto offersAt = [this](int aMicrosecondsPerToken) {
    RecordingPort recorded;
    SlotQueue engine(this->options, recorded);
    engine.SetLimit(this->now, 20);
    for (CallNumber call = 1; call <= 20; call++) {
      const std::uint32_t prompt = 500 * static_cast<std::uint32_t>(call);
      engine.Use(this->now, kFirst, UseSlot{ call, prompt });
      this->now += milliseconds(10) + Duration(aMicrosecondsPerToken) * prompt;
      engine.BeginAnswer(this->now, kFirst, call);
      engine.Release(this->now, kFirst, call);
    }
    for (CallNumber call = 100; call < 120; call++) {
      engine.Reserve(this->now, kFirst, this->Reservation(call, 0, 500, 2000));
    }
    return recorded.offers.size();
  };
  BOOST_TEST(offersAt(25) == 3U); // 150 ms are 6,000 tokens
  BOOST_TEST(offersAt(8) == 9U);  // 18,750 tokens
}

BOOST_AUTO_TEST_CASE(a_prompt_over_the_limit_is_sent_alone)
{
  this->queue.SetLimit(this->now, 6);
  this->queue.Reserve(this->now, kFirst, this->Reservation(1, 0, 500, 39000));
  BOOST_TEST(this->LastOffer() == 1U);
}

// An entry that is cut off without a connection reset must not keep unused slots.
BOOST_AUTO_TEST_CASE(a_timed_out_holder_loses_its_slots)
{
  this->queue.SetLimit(this->now, 1);
  this->queue.Reserve(this->now, kFirst, this->Reservation(1, 0, 500));
  this->queue.Use(this->now, kFirst, UseSlot{ 1, 100 });
  this->queue.Reserve(this->now, kSecond, this->Reservation(2, 0, 500));
  this->now += milliseconds(900);
  this->queue.KeepAlive(this->now, kSecond);
  this->queue.OnTimer(this->now);
  BOOST_TEST(this->LastOffer() == 1U);
  this->now += milliseconds(200);
  this->queue.OnTimer(this->now);
  BOOST_TEST(this->LastOffer() == 2U);
}

BOOST_AUTO_TEST_CASE(an_unanswered_offer_expires)
{
  this->queue.SetLimit(this->now, 1);
  this->queue.Reserve(this->now, kFirst, this->Reservation(1, 0, 500));
  this->queue.Reserve(this->now, kSecond, this->Reservation(2, 0, 500));
  this->now += this->options.offerTimeout;
  this->queue.OnTimer(this->now);
  BOOST_TEST(this->LastOffer() == 2U);
}

// The next HoldState compensates for a lost ReleaseSlot or ReserveSlot.
BOOST_AUTO_TEST_CASE(hold_state_repairs_lost_messages)
{
  this->queue.SetLimit(this->now, 1);
  this->queue.Reserve(this->now, kFirst, this->Reservation(1, 0, 500));
  this->queue.Use(this->now, kFirst, UseSlot{ 1, 100 });
  this->now += milliseconds(400);
  HoldState state;
  state.waiting.push_back(this->Reservation(2, 0, 500));
  this->queue.Reconcile(this->now, kFirst, state);
  BOOST_TEST(this->LastOffer() == 2U);
  BOOST_TEST(this->queue.Taken() == 1U);
}

BOOST_AUTO_TEST_CASE(a_recent_use_survives_an_older_hold_state)
{
  this->queue.SetLimit(this->now, 1);
  this->queue.Use(this->now, kFirst, UseSlot{ 1, 100 });
  this->now += milliseconds(50);
  this->queue.Reconcile(this->now, kFirst, HoldState{});
  BOOST_TEST(this->queue.Taken() == 1U);
}

BOOST_AUTO_TEST_CASE(a_restarted_holder_holds_nothing)
{
  this->queue.SetLimit(this->now, 2);
  this->queue.Use(this->now, kFirst, UseSlot{ 1, 100 });
  const Peer reborn{ kFirst.node, Incarnation{ 11 } };
  this->queue.Reserve(this->now, reborn, this->Reservation(1, 0, 500));
  BOOST_TEST(this->LastOffer() == 1U);
  // A late message of the previous incarnation is rejected.
  this->queue.Use(this->now, kFirst, UseSlot{ 7, 100 });
  BOOST_TEST(this->queue.Taken() == 1U);
}

BOOST_AUTO_TEST_CASE(no_offer_while_the_limit_is_zero)
{
  this->queue.SetLimit(this->now, 0);
  this->queue.Reserve(this->now, kFirst, this->Reservation(1, 0, 500));
  BOOST_TEST(this->port.offers.empty());
}

// Short calls, so that slots are always free: only the rate bounds them.
BOOST_AUTO_TEST_CASE(offers_follow_the_rate_and_use_all_of_it)
{
  this->queue.SetLimit(this->now, 6);
  this->queue.SetRate(this->now, 3.3);
  CallNumber last = 0;
  std::vector<TimePoint> starts;
  for (const TimePoint end = this->now + seconds(20); this->now < end;
       this->now += milliseconds(10)) {
    while (this->queue.WaitingCount() < 5) {
      this->queue.Reserve(this->now, kFirst, this->Reservation(++last, 0, 500, 0));
    }
    this->queue.OnTimer(this->now);
    for (const auto& [node, call] : std::exchange(this->port.offers, {})) {
      this->queue.Use(this->now, kFirst, UseSlot{ call, 0 });
      this->queue.Release(this->now, kFirst, call);
      starts.push_back(this->now);
    }
  }
  BOOST_TEST(starts.size() >= 62U); // 66 in 20 s
  for (const TimePoint from : starts) {
    const auto count = std::count_if(starts.begin(), starts.end(), [&](TimePoint aAt) {
      return aAt >= from && aAt < from + seconds(4);
    });
    BOOST_TEST(count <= 15);
  }
}

BOOST_AUTO_TEST_CASE(the_highest_tier_gets_the_rate)
{
  this->queue.SetLimit(this->now, 6);
  this->queue.SetRate(this->now, 2);
  this->queue.Reserve(this->now, kFirst, this->Reservation(1, 0, 500, 0, 2));
  this->queue.Reserve(this->now, kFirst, this->Reservation(2, 0, 500, 0, 0));
  BOOST_TEST(this->port.offers.empty());
  this->now = this->queue.NextTimer(this->now);
  this->queue.OnTimer(this->now);
  BOOST_TEST(this->port.offers.size() == 1U);
  BOOST_TEST(this->LastOffer() == 2U);
}

// Calls reserve at several endpoints, so most offers are declined.
BOOST_AUTO_TEST_CASE(a_declined_offer_costs_no_rate)
{
  this->queue.SetLimit(this->now, 6);
  this->queue.SetRate(this->now, 1);
  this->now += seconds(1);
  for (CallNumber call = 1; call <= 20; call++) {
    this->queue.Reserve(this->now, kFirst, this->Reservation(call, 0, 500, 0));
    BOOST_TEST(this->LastOffer() == call);
    this->queue.Withdraw(this->now, kFirst, call);
  }
}

// Messages may be lost: the first that shows the use of an offer charges it.
BOOST_AUTO_TEST_CASE(a_use_whose_message_was_lost_is_charged)
{
  this->queue.SetLimit(this->now, 6);
  this->queue.SetRate(this->now, 1);
  this->now += seconds(1);
  this->queue.Reserve(this->now, kFirst, this->Reservation(1, 0, 500, 0));
  this->queue.Release(this->now, kFirst, 1);
  this->queue.Reserve(this->now, kFirst, this->Reservation(2, 0, 500, 0));
  BOOST_TEST(this->LastOffer() == 1U);
  HoldState held;
  held.running.push_back(UseSlot{ 3, 0 });
  this->now += seconds(1);
  this->queue.Reconcile(this->now, kFirst, held);
  BOOST_TEST(this->port.offers.size() == 1U);
}

BOOST_AUTO_TEST_CASE(without_a_rate_offers_are_not_held_back)
{
  this->queue.SetLimit(this->now, 6);
  this->queue.SetRate(this->now, 1);
  this->queue.Reserve(this->now, kFirst, this->Reservation(1, 0, 500, 0));
  BOOST_TEST(this->port.offers.empty());
  this->queue.SetRate(this->now, std::nullopt);
  BOOST_TEST(this->LastOffer() == 1U);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace caraway::direct
