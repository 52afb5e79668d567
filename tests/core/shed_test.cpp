#include "agent_fixture.h"

#include "core/drain_rate.h"
#include "core/shed.h"

#include <boost/test/unit_test.hpp>

namespace caraway {

namespace {

AgentOptions LimitOf(std::uint32_t aLimit)
{
  AgentOptions options;
  options.initialLimit = aLimit;
  options.maxLimit = aLimit;
  return options;
}

struct TwoSlots : AgentFixture
{
  TwoSlots()
    : AgentFixture(LimitOf(2))
  {
  }
  ~TwoSlots() { BOOST_TEST(this->port.Count(EventKind::kViolation) == 0U); }

  // Starts long-running work, which Work() keeps making progress.
  RequestId RunLong(Tier aTier, std::uint32_t aPrompt, WorkKind aKind = WorkKind::kCompletion)
  {
    Reserve reserve = this->MakeReserve(aTier);
    reserve.promptTokens = aPrompt;
    reserve.outputTokens = 100000;
    reserve.kind = aKind;
    const RequestId id = this->Run(reserve, this->nextClaim++);
    this->working.push_back(id);
    return id;
  }

  // Advances the clock while the running work makes progress.
  void Work(Duration aTime)
  {
    const TimePoint end = this->now.steady + aTime;
    while (this->now.steady < end) {
      this->Advance(milliseconds(20));
      for (const RequestId& id : this->working) {
        this->Chunk(id);
      }
    }
  }

  std::vector<RequestId> working;
  LogOffset nextClaim = 1;
};

RunningRequest MakeRow(std::uint64_t aId, Tier aTier, std::uint32_t aPrompt,
                       WorkKind aKind = WorkKind::kCompletion)
{
  RunningRequest row;
  row.id = RequestId{ 0, aId };
  row.tier = aTier;
  row.promptTokens = aPrompt;
  row.kind = aKind;
  return row;
}

} // namespace

BOOST_FIXTURE_TEST_SUITE(shed, TwoSlots)

BOOST_AUTO_TEST_CASE(victim_is_lowest_tier_then_least_prefill_and_never_a_once_call)
{
  RunningTable table;
  table.Add(MakeRow(1, 3, 900));
  table.Add(MakeRow(2, 3, 10));
  table.Add(MakeRow(3, 2, 1));
  table.Add(MakeRow(4, 3, 0, WorkKind::kOnce));
  BOOST_TEST(ChooseVictim(table, 0)->id.low == 2U);
  table.Take(RequestId{ 0, 2 });
  BOOST_TEST(ChooseVictim(table, 0)->id.low == 1U);
  table.Take(RequestId{ 0, 1 });
  BOOST_TEST(ChooseVictim(table, 1)->id.low == 3U);
  BOOST_TEST((ChooseVictim(table, 2) == nullptr));
}

BOOST_AUTO_TEST_CASE(higher_tier_preempts_lower_running_work_in_time)
{
  const RequestId low = this->RunLong(3, 10);
  const RequestId lower = this->RunLong(2, 10);
  this->Work(milliseconds(100));
  const Reserve high = this->MakeReserve(0);
  this->From(this->right, high);
  BOOST_TEST(!this->HasSent<Offer>(high.id));
  this->Work(milliseconds(990));
  BOOST_TEST(this->HasSent<Offer>(high.id));
  const auto finish = this->SentOf<Finish>(low);
  BOOST_REQUIRE(finish.size() == 1U);
  BOOST_TEST((finish[0].outcome == Outcome::kCut));
  BOOST_TEST((finish[0].reason == Reason::kPreempted));
  BOOST_TEST((finish[0].retryAfter > Duration::zero()));
  BOOST_TEST(!this->HasSent<Finish>(lower));
}

BOOST_AUTO_TEST_CASE(no_preemption_for_equal_tier_or_slot_free_in_time)
{
  this->RunLong(1, 10);
  Reserve brief = this->MakeReserve(3);
  brief.outputTokens = 10;
  this->working.push_back(this->Run(brief));
  this->Work(milliseconds(100));
  const Reserve equal = this->MakeReserve(1);
  this->From(this->right, equal);
  this->Work(milliseconds(600));
  this->End(brief.id);
  this->working.pop_back();
  BOOST_TEST(this->HasSent<Offer>(equal.id));
  const Reserve second = this->MakeReserve(1);
  this->GrantOffer(this->right, equal.id);
  this->working.push_back(equal.id);
  this->From(this->right, second);
  this->Work(milliseconds(1100));
  BOOST_TEST((this->SentOf<Refuse>(second.id).at(0).reason == Reason::kOverload));
  BOOST_TEST(this->port.aborted.empty());
}

// Guards against preempting down to a lowered limit: with eight streams above it, one preemption
// must make room for one start.
BOOST_AUTO_TEST_CASE(one_preemption_per_start_above_the_limit)
{
  AgentOptions options;
  options.initialLimit = 8;
  AgentFixture other(options);
  std::vector<RequestId> ids;
  for (int i = 0; i < 8; i++) {
    Reserve reserve = other.MakeReserve(3);
    reserve.outputTokens = 100000;
    ids.push_back(other.Run(reserve));
  }
  const auto work = [&](int aSteps) {
    for (int i = 0; i < aSteps; i++) {
      other.Advance(milliseconds(100));
      for (const RequestId& id : ids) {
        other.Chunk(id);
      }
    }
  };
  work(20);
  const Reserve high = other.MakeReserve(0);
  other.From(other.right, high);
  work(11);
  BOOST_TEST(other.HasSent<Offer>(high.id));
  BOOST_TEST(other.port.aborted.size() == 1U);
  BOOST_TEST(other.port.Count(EventKind::kViolation) == 0U);
}

BOOST_AUTO_TEST_CASE(once_calls_are_never_preempted)
{
  this->RunLong(3, 10, WorkKind::kOnce);
  this->RunLong(3, 10, WorkKind::kOnce);
  const Reserve high = this->MakeReserve(0);
  this->From(this->right, high);
  this->Work(milliseconds(1100));
  const auto refused = this->SentOf<Refuse>(high.id);
  BOOST_REQUIRE(refused.size() == 1U);
  BOOST_TEST(!refused[0].lowerTierLeft);
  BOOST_TEST(this->port.aborted.empty());
}

BOOST_AUTO_TEST_CASE(lower_queued_work_is_refused_before_a_higher_tier)
{
  this->RunLong(0, 10);
  this->RunLong(0, 10);
  Reserve low = this->MakeReserve(3);
  low.startWithin = seconds(20);
  this->From(this->left, low);
  const Reserve high = this->MakeReserve(1);
  this->From(this->right, high);
  this->Work(milliseconds(1100));
  BOOST_TEST(this->HasSent<Refuse>(low.id));
  const auto refused = this->SentOf<Refuse>(high.id);
  BOOST_REQUIRE(refused.size() == 1U);
  BOOST_TEST(!refused[0].lowerTierLeft);
  BOOST_TEST((refused[0].retryAfter > Duration::zero()));
}

BOOST_AUTO_TEST_CASE(reservation_behind_long_backlog_is_refused_at_once)
{
  this->RunLong(0, 10);
  const Reserve kept = this->MakeReserve(1);
  RequestId running = this->Run(1);
  this->From(this->left, kept);
  RequestId next = kept.id;
  for (int i = 0; i < 20; i++) {
    this->Chunk(running);
    this->Advance(milliseconds(1));
    const Reserve waiting = this->MakeReserve(1);
    this->From(this->left, waiting);
    this->Work(milliseconds(200));
    this->End(running);
    running = next;
    this->GrantOffer(this->left, next);
    next = waiting.id;
  }
  std::vector<Reserve> waiting;
  for (int i = 0; i < 60; i++) {
    waiting.push_back(this->MakeReserve(1));
    waiting.back().startWithin = seconds(2);
    this->From(this->left, waiting.back());
  }
  BOOST_TEST(!this->HasSent<Refuse>(waiting.front().id));
  BOOST_TEST(this->HasSent<Refuse>(waiting.back().id));
}

// Guards against refusing a burst because of a rate measured without a backlog, which is the
// arrival rate and not the endpoint's capacity.
BOOST_AUTO_TEST_CASE(burst_after_idle_time_is_queued)
{
  this->RunLong(0, 10);
  for (int i = 0; i < 20; i++) {
    const RequestId id = this->Run(1);
    this->Work(milliseconds(200));
    this->End(id);
  }
  this->Run(1);
  std::vector<Reserve> burst;
  for (int i = 0; i < 60; i++) {
    burst.push_back(this->MakeReserve(1));
    burst.back().startWithin = seconds(2);
    this->From(this->left, burst.back());
  }
  for (const Reserve& reserve : burst) {
    BOOST_TEST(!this->HasSent<Refuse>(reserve.id));
  }
}

BOOST_AUTO_TEST_CASE(retry_after_follows_the_backlog_and_differs_between_callers)
{
  DrainRate drain;
  TimePoint now{ seconds(1) };
  for (int i = 0; i < 200; i++) {
    now += milliseconds(100);
    drain.OnServed(now);
  }
  BOOST_TEST(drain.ServedPerSecond(now) == 10.0, boost::test_tools::tolerance(0.1));
  const Duration near = drain.RetryAfter(now, 49, this->random);
  BOOST_TEST((near >= milliseconds(4500)));
  BOOST_TEST((near <= milliseconds(8000)));
  BOOST_TEST((near != drain.RetryAfter(now, 49, this->random)));
  BOOST_TEST((drain.RetryAfter(now, 1000000, this->random) <= seconds(45)));
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace caraway
