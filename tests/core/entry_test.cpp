#include "entry_fixture.h"

#include <boost/test/unit_test.hpp>

namespace caraway {

BOOST_FIXTURE_TEST_SUITE(entry, EntryFixture)

BOOST_AUTO_TEST_CASE(first_offer_gets_the_body_and_the_others_are_withdrawn)
{
  const Peer first = AddAgent("agent-1");
  const Peer second = AddAgent("agent-2");
  const RequestId id = Submit(1);
  BOOST_TEST(port.SentTo<Reserve>(first.node).size() == 1U);
  BOOST_TEST(port.SentTo<Reserve>(second.node).size() == 1U);
  Offer(second, id);
  Offer(first, id);
  BOOST_TEST(port.SentTo<Grant>(second.node).size() == 1U);
  BOOST_TEST(port.SentTo<Grant>(first.node).empty());
  BOOST_TEST(!port.SentTo<Withdraw>(first.node).empty());
}

BOOST_AUTO_TEST_CASE(a_complete_answer_is_delivered_once)
{
  const Peer agent = AddAgent("agent-1");
  const RequestId id = Submit(1);
  Offer(agent, id);
  Chunks(agent, id, 0, 2);
  Chunks(agent, id, 1, 3);
  entry.OnMessage(now, agent, End(id, 3));
  entry.OnMessage(now, agent, End(id, 3));
  BOOST_REQUIRE(port.finals.size() == 1U);
  BOOST_TEST((port.finals[0].second.outcome == Outcome::kAnswered));
  BOOST_TEST(port.passed[id] == "0 1 2 ");
  BOOST_TEST(entry.Idle());
}

BOOST_AUTO_TEST_CASE(chunks_of_another_agent_are_ignored)
{
  const Peer agent = AddAgent("agent-1");
  const Peer other = AddAgent("agent-2");
  const RequestId id = Submit(1);
  Offer(agent, id);
  Chunks(other, id, 0, 1);
  BOOST_TEST(port.passed[id].empty());
}

BOOST_AUTO_TEST_CASE(a_missing_chunk_is_requested_before_the_final_answer)
{
  const Peer agent = AddAgent("agent-1");
  const RequestId id = Submit(1);
  Offer(agent, id);
  Chunks(agent, id, 0, 1);
  entry.OnMessage(now, agent, End(id, 3));
  BOOST_TEST(port.finals.empty());
  BOOST_REQUIRE(port.SentTo<Query>(agent.node).size() == 1U);
  BOOST_TEST(port.SentTo<Query>(agent.node)[0].nextChunk == 1U);
  Chunks(agent, id, 1, 3);
  entry.OnMessage(now, agent, End(id, 3));
  BOOST_REQUIRE(port.finals.size() == 1U);
  BOOST_TEST(port.passed[id] == "0 1 2 ");
}

BOOST_AUTO_TEST_CASE(a_wrong_checksum_is_a_violation_and_not_an_answer)
{
  const Peer agent = AddAgent("agent-1");
  const RequestId id = Submit(1);
  Offer(agent, id);
  Chunks(agent, id, 0, 3);
  Finish finish = End(id, 3);
  finish.checksum ^= 1;
  entry.OnMessage(now, agent, finish);
  BOOST_REQUIRE(port.finals.size() == 1U);
  BOOST_TEST((port.finals[0].second.outcome == Outcome::kCut));
  BOOST_TEST(port.Count(EventKind::kViolation) == 1U);
}

BOOST_AUTO_TEST_CASE(when_all_refuse_the_caller_gets_the_shortest_retry_delay)
{
  const Peer first = AddAgent("agent-1");
  const Peer second = AddAgent("agent-2");
  const RequestId id = Submit(1);
  entry.OnMessage(now, first, Refuse{ id, Reason::kOverload, seconds(5), false });
  BOOST_TEST(port.finals.empty());
  entry.OnMessage(now, second, Refuse{ id, Reason::kOverload, seconds(3), false });
  BOOST_REQUIRE(port.finals.size() == 1U);
  BOOST_TEST((port.finals[0].second.outcome == Outcome::kNotRun));
  BOOST_TEST((port.finals[0].second.reason == Reason::kOverload));
  BOOST_TEST((port.finals[0].second.retryAfter == seconds(3)));
}

BOOST_AUTO_TEST_CASE(a_refusal_while_lower_tier_work_is_left_is_a_violation)
{
  const Peer agent = AddAgent("agent-1");
  const RequestId id = Submit(1);
  entry.OnMessage(now, agent, Refuse{ id, Reason::kOverload, seconds(5), true });
  BOOST_TEST(port.finals.size() == 1U);
  BOOST_TEST(port.Count(EventKind::kViolation) == 1U);
}

BOOST_AUTO_TEST_CASE(without_an_offer_the_request_ends_at_its_deadline)
{
  const Peer agent = AddAgent("agent-1");
  const RequestId id = Submit(1);
  Advance(seconds(2));
  BOOST_REQUIRE(port.finals.size() == 1U);
  BOOST_TEST((port.finals[0].second.outcome == Outcome::kNotRun));
  BOOST_TEST(port.SentTo<Withdraw>(agent.node).size() == 1U);
  Offer(agent, id);
  BOOST_TEST(port.SentTo<Grant>(agent.node).empty());
}

BOOST_AUTO_TEST_CASE(without_an_agent_the_request_is_refused_at_once)
{
  Submit(1);
  BOOST_REQUIRE(port.finals.size() == 1U);
  BOOST_TEST((port.finals[0].second.reason == Reason::kNoEndpoint));
  BOOST_TEST((port.finals[0].second.retryAfter > Duration::zero()));
}

BOOST_AUTO_TEST_CASE(a_lost_link_is_resolved_by_a_query)
{
  const Peer agent = AddAgent("agent-1");
  const RequestId id = Submit(1);
  Offer(agent, id);
  Chunks(agent, id, 0, 1);
  entry.OnPeerDown(now, agent.node);
  AddAgent("agent-1");
  BOOST_REQUIRE(port.SentTo<Query>(agent.node).size() == 1U);
  BOOST_TEST(port.SentTo<Query>(agent.node)[0].nextChunk == 1U);
  BOOST_TEST(port.SentTo<Query>(agent.node)[0].needsTombstone);
  entry.OnMessage(now, agent, QueryReply{ id, RunState::kRunning });
  Chunks(agent, id, 1, 3);
  entry.OnMessage(now, agent, End(id, 3));
  BOOST_REQUIRE(port.finals.size() == 1U);
  BOOST_TEST((port.finals[0].second.outcome == Outcome::kAnswered));
}

BOOST_AUTO_TEST_CASE(the_request_moves_to_another_agent_only_after_a_tombstone)
{
  const Peer agent = AddAgent("agent-1");
  const RequestId id = Submit(1);
  Offer(agent, id);
  const Peer other = AddAgent("agent-2");
  entry.OnPeerDown(now, agent.node);
  BOOST_TEST(port.SentTo<Reserve>(other.node).empty());
  AddAgent("agent-1");
  entry.OnMessage(now, agent, QueryReply{ id, RunState::kNeverRan });
  BOOST_TEST(port.SentTo<Reserve>(other.node).size() == 1U);
  BOOST_TEST(port.finals.empty());
}

BOOST_AUTO_TEST_CASE(a_restarted_agent_makes_the_outcome_unknown)
{
  const Peer agent = AddAgent("agent-1");
  const RequestId id = Submit(1);
  Offer(agent, id);
  AddAgent("agent-1", 2);
  BOOST_REQUIRE(port.finals.size() == 1U);
  BOOST_TEST((port.finals[0].second.outcome == Outcome::kUnknown));
}

BOOST_AUTO_TEST_CASE(an_agent_that_does_not_reconnect_cuts_the_answer)
{
  const Peer agent = AddAgent("agent-1");
  const RequestId id = Submit(1);
  Offer(agent, id);
  Chunks(agent, id, 0, 1);
  entry.OnPeerDown(now, agent.node);
  Advance(seconds(3));
  BOOST_REQUIRE(port.finals.size() == 1U);
  BOOST_TEST((port.finals[0].second.outcome == Outcome::kCut));
}

BOOST_AUTO_TEST_CASE(messages_of_an_earlier_incarnation_are_dropped)
{
  const Peer old = AddAgent("agent-1");
  AddAgent("agent-1", 2);
  const RequestId id = Submit(1);
  Offer(old, id);
  BOOST_TEST(port.SentTo<Grant>(old.node).empty());
}

BOOST_AUTO_TEST_CASE(a_disconnected_caller_cancels_its_request)
{
  const Peer agent = AddAgent("agent-1");
  const RequestId id = Submit(1);
  Offer(agent, id);
  entry.OnCallerGone(now, id, false);
  BOOST_TEST(port.SentTo<Cancel>(agent.node).size() == 1U);
  BOOST_TEST(entry.Idle());
}

BOOST_AUTO_TEST_CASE(a_caller_resumes_through_another_entry)
{
  const Peer agent = AddAgent("agent-1");
  const RequestId id{ 7, 9 };
  entry.OnResume(now, id, "shop", 2, agent.node);
  BOOST_REQUIRE(port.SentTo<Query>(agent.node).size() == 1U);
  BOOST_TEST(port.SentTo<Query>(agent.node)[0].nextChunk == 2U);
  entry.OnMessage(now, agent, QueryReply{ id, RunState::kFinished });
  Chunks(agent, id, 2, 3);
  entry.OnMessage(now, agent, End(id, 3));
  BOOST_REQUIRE(port.finals.size() == 1U);
  BOOST_TEST((port.finals[0].second.outcome == Outcome::kAnswered));
  BOOST_TEST(port.passed[id] == "2 ");
}

BOOST_AUTO_TEST_CASE(a_leaving_entry_refuses_new_requests_and_finishes_open_ones)
{
  const Peer agent = AddAgent("agent-1");
  const RequestId id = Submit(1);
  Offer(agent, id);
  entry.BeginLeaving(now);
  Submit(2);
  BOOST_REQUIRE(port.finals.size() == 1U);
  BOOST_TEST((port.finals[0].second.reason == Reason::kDraining));
  Chunks(agent, id, 0, 1);
  entry.OnMessage(now, agent, End(id, 1));
  BOOST_REQUIRE(port.finals.size() == 2U);
  BOOST_TEST((port.finals[1].second.outcome == Outcome::kAnswered));
  BOOST_TEST(entry.Idle());
}

BOOST_AUTO_TEST_CASE(a_suspect_gets_exactly_one_reservation)
{
  const Peer first = AddAgent("agent-1");
  const Peer second = AddAgent("agent-2");
  entry.OnMessage(now, first, Suspicion{ 0, { { 1, false } }, seconds(60) });
  Submit(1);
  const std::size_t reservations =
    port.SentTo<Reserve>(first.node).size() + port.SentTo<Reserve>(second.node).size();
  BOOST_TEST(reservations == 1U);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace caraway
