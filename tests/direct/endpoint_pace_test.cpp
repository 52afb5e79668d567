// The pace of an endpoint that has started or recovered, played against an endpoint whose capacity
// is unknown: calls that it refuses or answers late, and slots that idle while calls wait.
#include "direct/endpoint_pace.h"

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <deque>
#include <vector>

namespace caraway::direct {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::uint32_t kSlots = 8;
constexpr Duration kUsual = milliseconds(100); // to the first event of an endpoint at its capacity
constexpr Duration kStep = milliseconds(5);

// Baselines that the additive rule is weighed against.
class Immediate final : public PaceRule
{
public:
  double Grow(double, bool, Duration) const override { return kSlots; }
};

class TimedRamp final : public PaceRule
{
public:
  explicit TimedRamp(Duration aTime)
    : time(aTime)
  {
  }
  double Grow(double, bool, Duration aAge) const override
  {
    return 1 + kSlots * SecondsOf(aAge) / SecondsOf(this->time);
  }

private:
  Duration time;
};

// The capacity grows from one to all slots within warmUp; beyond it answers take longer in
// proportion, and beyond twice of it the endpoint refuses.
struct WarmingEndpoint
{
  double Capacity(Duration aAge) const
  {
    const double share = std::min(SecondsOf(aAge) / SecondsOf(this->warmUp), 1.0);
    return 1 + (kSlots - 1) * share;
  }

  Duration warmUp;
};

struct Outcome
{
  unsigned refused = 0;
  unsigned late = 0; // first events after more than three times the usual time
  unsigned onTime = 0;
  Duration untilFull = kNever - TimePoint{};
};

// Plays calls that wait without end for aTime after the start of a process.
Outcome Play(const PaceRule& aRule, std::uint32_t aInitialLimit, Duration aWarmUp, Duration aTime)
{
  struct Run
  {
    TimePoint sentAt;
    TimePoint answerAt;
  };
  const TimePoint start = TimePoint{} + seconds(100);
  EndpointPace pace({ .initialLimit = aInitialLimit }, aRule);
  pace.SetSlots(kSlots);
  pace.SetProcess(start, 1, true);
  const WarmingEndpoint endpoint{ aWarmUp };
  std::deque<Run> running;
  Outcome outcome;
  for (TimePoint now = start; now < start + aTime; now += kStep) {
    pace.OnTime(now);
    while (!running.empty() && running.front().answerAt <= now) {
      const Run run = running.front();
      running.pop_front();
      (now - run.sentAt > 3 * kUsual ? outcome.late : outcome.onTime)++;
      pace.OnFirstEvent(run.sentAt, now, kUsual);
      pace.OnAttemptEnd(run.sentAt, now, AttemptEnd::kAnswered);
    }
    const double capacity = endpoint.Capacity(now - start);
    for (std::uint32_t sent = 0; running.size() < pace.Limit() && sent < kSlots; sent++) {
      const double load = static_cast<double>(running.size() + 1) / capacity;
      if (load > 2) {
        outcome.refused++;
        pace.OnAttemptEnd(now, now, AttemptEnd::kRefused);
        break;
      }
      const auto wait = std::chrono::duration_cast<Duration>(kUsual * std::max(load, 1.0));
      const TimePoint answerAt =
        running.empty() ? now + wait : std::max(now + wait, running.back().answerAt);
      running.push_back({ now, answerAt });
    }
    if (pace.Limit() == kSlots) {
      outcome.untilFull = std::min(outcome.untilFull, now - start);
    }
  }
  return outcome;
}

const AdditiveIncrease kAdditive;

} // namespace

BOOST_AUTO_TEST_SUITE(endpoint_pace)

BOOST_AUTO_TEST_CASE(an_endpoint_that_is_ready_at_once_gets_all_slots_within_a_few_rounds)
{
  const Outcome outcome = Play(kAdditive, 1, milliseconds(1), seconds(3));
  BOOST_TEST(outcome.refused == 0U);
  BOOST_TEST(outcome.late == 0U);
  BOOST_TEST((outcome.untilFull <= 5 * kUsual));
}

BOOST_AUTO_TEST_CASE(an_endpoint_that_warms_up_is_not_flooded)
{
  const Immediate immediate;
  for (const Duration warmUp : { seconds(1), seconds(3), seconds(6) }) {
    const Outcome flooded = Play(immediate, kSlots, warmUp, seconds(8));
    const Outcome paced = Play(kAdditive, 1, warmUp, seconds(8));
    BOOST_TEST(paced.refused + paced.late <= (flooded.refused + flooded.late) / 4,
               paced.refused << "+" << paced.late << " of " << flooded.refused << "+"
                             << flooded.late);
    // At most one round of calls waits longer than with all slots at once.
    BOOST_TEST(paced.onTime + kSlots >= flooded.onTime);
  }
}

// A ramp by time is too fast for one endpoint and too slow for another.
BOOST_AUTO_TEST_CASE(a_ramp_by_time_loses_or_idles_where_answers_show_the_pace)
{
  const TimedRamp ramp{ seconds(3) };
  BOOST_TEST(Play(ramp, 1, milliseconds(1), seconds(3)).onTime <
             Play(kAdditive, 1, milliseconds(1), seconds(3)).onTime);
  const Outcome fast = Play(ramp, 1, seconds(8), seconds(8));
  const Outcome paced = Play(kAdditive, 1, seconds(8), seconds(8));
  BOOST_TEST(paced.refused + paced.late <= fast.refused + fast.late);
}

BOOST_AUTO_TEST_CASE(a_new_process_begins_anew_and_a_known_one_keeps_its_slots)
{
  EndpointPace pace({}, kAdditive);
  pace.SetSlots(kSlots);
  const TimePoint start = TimePoint{} + seconds(100);
  pace.SetProcess(start, 1, false);
  BOOST_TEST(pace.Limit() == kSlots);
  pace.SetProcess(start, 1, true);
  BOOST_TEST(pace.Limit() == kSlots);
  pace.SetProcess(start + seconds(1), 2, true);
  BOOST_TEST(pace.Limit() == 1U);
  BOOST_TEST((pace.Reason() == PaceReason::kNewProcess));
}

BOOST_AUTO_TEST_CASE(an_endpoint_that_was_out_of_reach_for_long_begins_anew)
{
  EndpointPace pace({}, kAdditive);
  pace.SetSlots(kSlots);
  const TimePoint start = TimePoint{} + seconds(100);
  pace.SetProcess(start, 1, false);
  pace.SetReachable(start, false);
  pace.SetReachable(start + milliseconds(200), true);
  BOOST_TEST(pace.Limit() == kSlots);
  pace.SetReachable(start + seconds(1), false);
  pace.SetReachable(start + seconds(2), true);
  BOOST_TEST(pace.Limit() == 1U);
  BOOST_TEST((pace.Reason() == PaceReason::kRecovered));
}

// An endpoint that fails part of its requests, or flaps, is cut once for each round, not for each
// request of it, and is never left without one that measures it.
BOOST_AUTO_TEST_CASE(failures_of_one_round_cut_once)
{
  EndpointPace pace({}, kAdditive);
  pace.SetSlots(kSlots);
  const TimePoint start = TimePoint{} + seconds(100);
  pace.SetProcess(start, 1, true);
  TimePoint now = start;
  for (int answer = 0; answer < 5; answer++) {
    now += kUsual;
    pace.OnFirstEvent(now - kUsual, now, kUsual);
  }
  BOOST_TEST(pace.Limit() == 6U);
  const TimePoint sentAt = now;
  for (int failure = 0; failure < 6; failure++) {
    now += milliseconds(10);
    pace.OnAttemptEnd(sentAt, now, AttemptEnd::kFailed);
  }
  BOOST_TEST(pace.Limit() == 3U);
  for (int round = 0; round < 10; round++) {
    now += kUsual;
    pace.OnAttemptEnd(now - milliseconds(1), now, AttemptEnd::kBroken);
  }
  BOOST_TEST(pace.Limit() == 1U);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace caraway::direct
