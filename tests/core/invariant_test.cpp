#include "core/invariant.h"

#include <boost/test/unit_test.hpp>

namespace caraway {

namespace {

struct RecordingSink final : public EventSink
{
  void Note(const Event& aEvent) override { this->events.push_back(aEvent); }
  std::vector<Event> events;
};

struct CheckerFixture
{
  RecordingSink sink;
  InvariantChecker checker{ this->sink };
  Now now{ TimePoint(seconds(10)), WallTime(seconds(1000)) };
  RequestId id{ 7, 9 };

  Now Later(Duration aBy) const { return Now{ this->now.steady + aBy, this->now.wall }; }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(invariant, CheckerFixture)

BOOST_AUTO_TEST_CASE(second_dispatch_is_reported_with_its_history)
{
  Event accepted;
  accepted.time = this->now.steady;
  accepted.request = this->id;
  this->checker.Note(accepted);
  BOOST_TEST(this->checker.OnDispatch(this->now, this->id, WorkKind::kCompletion, kNoOffset));
  BOOST_TEST(!this->checker.OnDispatch(this->now, this->id, WorkKind::kCompletion, kNoOffset));
  BOOST_TEST(this->checker.Violations(Invariant::kDispatchOnce) == 1U);
  const Event& violation = this->sink.events.back();
  BOOST_TEST((violation.kind == EventKind::kViolation));
  BOOST_TEST(violation.subject == "dispatch_once");
  BOOST_TEST(violation.fields.back().value.find("accepted") != std::string::npos);
}

BOOST_AUTO_TEST_CASE(second_grant_is_reported_unless_the_first_is_void)
{
  BOOST_TEST(this->checker.OnGrant(this->now, this->id, std::nullopt));
  BOOST_TEST(!this->checker.OnGrant(this->now, this->id, std::nullopt));
  this->checker.OnGrantRevoked(this->id);
  BOOST_TEST(this->checker.OnNotRun(this->now, this->id));
  BOOST_TEST(this->checker.OnGrant(this->now, this->id, std::nullopt));
}

BOOST_AUTO_TEST_CASE(shedding_a_higher_tier_before_a_lower_one_is_reported)
{
  BOOST_TEST(this->checker.OnShed(this->now, this->id, 1, false));
  BOOST_TEST(!this->checker.OnShed(this->now, this->id, 1, true));
  BOOST_TEST(this->checker.Violations(Invariant::kTierOrder) == 1U);
}

BOOST_AUTO_TEST_CASE(share_above_its_bound_is_reported)
{
  BOOST_TEST(this->checker.OnShare(this->now, "move", 1, 1, 0.02));
  BOOST_TEST(this->checker.OnShare(this->now, "move", 3, 100, 0.02));
  BOOST_TEST(!this->checker.OnShare(this->now, "move", 4, 100, 0.02));
  BOOST_TEST(!this->checker.OnShare(this->now, "move", 1, 100, 0));
  BOOST_TEST(!this->checker.OnBraked(this->now, this->id, "v2"));
  BOOST_TEST(this->checker.Violations(Invariant::kVersionShare) == 3U);
}

BOOST_AUTO_TEST_CASE(chunk_gap_and_wrong_checksum_are_reported)
{
  BOOST_TEST(this->checker.OnChunk(this->now, this->id, 0, 0));
  BOOST_TEST(!this->checker.OnChunk(this->now, this->id, 1, 2));
  Finish finish;
  finish.id = this->id;
  finish.chunks = 1;
  finish.bytes = 5;
  finish.checksum = 77;
  BOOST_TEST(this->checker.OnAnswerComplete(this->now, finish, 1, 5, 77));
  BOOST_TEST(!this->checker.OnAnswerComplete(this->now, finish, 1, 5, 78));
}

BOOST_AUTO_TEST_CASE(not_run_after_dispatch_is_reported)
{
  BOOST_TEST(this->checker.OnNotRun(this->now, this->id));
  this->checker.OnDispatch(this->now, this->id, WorkKind::kCompletion, kNoOffset);
  BOOST_TEST(!this->checker.OnNotRun(this->now, this->id));
}

BOOST_AUTO_TEST_CASE(second_run_of_a_claim_is_reported)
{
  BOOST_TEST(this->checker.OnDispatch(this->now, this->id, WorkKind::kOnce, 5));
  BOOST_TEST(!this->checker.OnDispatch(this->now, RequestId{ 1, 1 }, WorkKind::kOnce, 5));
  BOOST_TEST(!this->checker.OnDispatch(this->now, RequestId{ 1, 2 }, WorkKind::kOnce, kNoOffset));
  BOOST_TEST(this->checker.Violations(Invariant::kOnceOnly) == 2U);
}

BOOST_AUTO_TEST_CASE(new_work_after_leaving_is_reported)
{
  this->checker.OnLeaving(this->now);
  const Now early = this->Later(seconds(1));
  const Now late = this->Later(seconds(3));
  BOOST_TEST(this->checker.OnDispatch(early, RequestId{ 1, 1 }, WorkKind::kService, kNoOffset));
  BOOST_TEST(!this->checker.OnDispatch(late, RequestId{ 1, 2 }, WorkKind::kService, kNoOffset));
  BOOST_TEST(!this->checker.OnGrant(late, RequestId{ 1, 3 }, this->now.steady));
}

BOOST_AUTO_TEST_CASE(abort_by_graceful_shutdown_is_reported)
{
  BOOST_TEST(this->checker.OnAbort(this->now, this->id, Reason::kPreempted));
  BOOST_TEST(!this->checker.OnAbort(this->now, this->id, Reason::kDraining));
}

BOOST_AUTO_TEST_CASE(decreasing_configuration_offset_is_reported)
{
  BOOST_TEST(this->checker.OnConfigOffset(this->now, 5));
  BOOST_TEST(this->checker.OnConfigOffset(this->now, 5));
  BOOST_TEST(!this->checker.OnConfigOffset(this->now, 4));
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace caraway
