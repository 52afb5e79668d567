#include "agent_fixture.h"

#include "core/answers.h"

#include <boost/test/unit_test.hpp>

namespace caraway {

namespace {

constexpr Peer kEntry{ NodeId{ 1 }, Incarnation{ 1 } };

Query MakeQuery(const RequestId& aId, std::uint32_t aNext, bool aBury = true)
{
  return Query{ aId, aNext, "shop", aBury };
}

} // namespace

BOOST_AUTO_TEST_SUITE(answers)

BOOST_AUTO_TEST_CASE(memory_is_bounded_and_confirmed_chunks_are_dropped_first)
{
  AnswerStore store(100, seconds(30));
  const RequestId running{ 0, 1 };
  const RequestId finished{ 0, 2 };
  store.Begin(running, "shop", kEntry);
  store.Begin(finished, "shop", kEntry);
  store.Append(finished, 1, std::string(40, 'f'));
  store.End(TimePoint{}, finished, Finish{});
  store.Append(running, 1, std::string(40, 'a'));
  store.Append(running, 1, std::string(40, 'b'));
  store.Ack(running, 1, false);
  store.Trim();
  BOOST_TEST(store.KeptBytes() == 80U);
  BOOST_TEST(store.Find(running)->first == 1U);
  store.Append(running, 1, std::string(40, 'c'));
  store.Trim();
  BOOST_TEST(store.Find(finished) == nullptr);
  store.Append(running, 1, std::string(40, 'd'));
  store.Trim();
  BOOST_TEST((store.FindOversized() == running));
}

BOOST_AUTO_TEST_CASE(forgotten_tombstones_are_not_reported_as_never_run)
{
  Random random(1);
  TombstoneTable table(2, minutes(10));
  Now now{ TimePoint{ seconds(1) }, WallTime{ seconds(1764816512) } };
  std::vector<RequestId> ids;
  for (int i = 0; i < 3; i++) {
    now.wall += seconds(1);
    ids.push_back(MakeUuid7(now.wall, random));
    table.Add(now, ids.back(), Tombstone::kDispatched);
  }
  BOOST_TEST((table.Find(ids[0]) == Tombstone::kForgotten));
  BOOST_TEST((table.Find(ids[2]) == Tombstone::kDispatched));
  const RequestId older = MakeUuid7(now.wall - seconds(5), random);
  BOOST_TEST((table.Find(older) == Tombstone::kForgotten));
  BOOST_TEST((table.Find(MakeUuid7(now.wall, random)) == Tombstone::kNone));
}

BOOST_AUTO_TEST_CASE(dispatched_or_never_run_state_is_final)
{
  TombstoneTable table(10, minutes(10));
  const Now now{ TimePoint{ seconds(1) }, WallTime{ seconds(1764816512) } };
  const RequestId id{ 0, 1 };
  table.Add(now, id, Tombstone::kRevoked);
  BOOST_TEST(MayRun(table.Find(id)));
  table.Add(now, id, Tombstone::kDispatched);
  table.Add(now, id, Tombstone::kNeverRan);
  BOOST_TEST((table.Find(id) == Tombstone::kDispatched));
}

BOOST_FIXTURE_TEST_CASE(another_entry_takes_over_a_running_answer, AgentFixture)
{
  const RequestId id = this->Run();
  this->Chunk(id, "a ");
  this->Chunk(id, "b ");
  this->agent.OnPeerDown(this->now, this->left.node);
  this->Chunk(id, "c ");
  this->port.sent.clear();
  this->From(this->right, MakeQuery(id, 1));
  BOOST_TEST((this->SentOf<QueryReply>(id).at(0).state == RunState::kRunning));
  this->Chunk(id, "d ");
  this->End(id);
  const auto chunks = this->SentOf<caraway::Chunk>(id);
  BOOST_REQUIRE(chunks.size() == 3U);
  BOOST_TEST(chunks[0].number == 1U);
  BOOST_TEST(chunks[2].data == "d ");
  BOOST_TEST(this->SentOf<Finish>(id).at(0).checksum == HashOf("a b c d "));
  BOOST_TEST(this->port.dispatched.size() == 1U);
}

BOOST_FIXTURE_TEST_CASE(finished_answer_is_replayed_to_its_account_only, AgentFixture)
{
  const RequestId id = this->Run();
  this->Chunk(id, "a ");
  this->agent.OnPeerDown(this->now, this->left.node);
  this->End(id);
  this->port.sent.clear();
  this->From(this->right, Query{ id, 0, "other", true });
  BOOST_TEST((this->SentOf<QueryReply>(id).at(0).state == RunState::kForgotten));
  BOOST_TEST(!this->HasSent<caraway::Chunk>(id));
  this->From(this->right, MakeQuery(id, 0));
  BOOST_TEST((this->SentOf<QueryReply>(id).at(1).state == RunState::kFinished));
  BOOST_TEST(this->HasSent<caraway::Chunk>(id));
  BOOST_TEST(this->HasSent<Finish>(id));
}

BOOST_FIXTURE_TEST_CASE(query_without_take_leaves_the_owner_unchanged, AgentFixture)
{
  const RequestId id = this->Run();
  Query query = MakeQuery(id, 0);
  query.takesOwnership = false;
  this->From(this->right, query);
  this->port.sent.clear();
  this->Chunk(id);
  BOOST_REQUIRE(this->port.sent.size() == 1U);
  BOOST_TEST((this->port.sent[0].first == this->left.node));
}

BOOST_FIXTURE_TEST_CASE(request_with_tombstone_never_runs, AgentFixture)
{
  const Reserve reserve = this->MakeReserve();
  this->From(this->left, reserve);
  this->From(this->right, MakeQuery(reserve.id, 0));
  BOOST_TEST((this->SentOf<QueryReply>(reserve.id).at(0).state == RunState::kNeverRan));
  this->GrantOffer(this->left, reserve.id);
  this->From(this->left, reserve);
  BOOST_TEST(this->HasSent<Refuse>(reserve.id));
  BOOST_TEST(this->port.dispatched.empty());
}

BOOST_FIXTURE_TEST_CASE(restarted_agent_reports_earlier_requests_as_forgotten, AgentFixture)
{
  const RequestId earlier = MakeUuid7(this->now.wall - milliseconds(100), this->random);
  this->From(this->left, MakeQuery(earlier, 0));
  BOOST_TEST((this->SentOf<QueryReply>(earlier).at(0).state == RunState::kForgotten));
  this->From(this->left, Cancel{ earlier });
  BOOST_TEST((this->SentOf<Finish>(earlier).at(0).outcome == Outcome::kUnknown));
  this->From(this->left, MakeQuery(earlier, 0));
  BOOST_TEST((this->SentOf<QueryReply>(earlier).at(1).state == RunState::kForgotten));
  Query owner = MakeQuery(this->NewId(), 0);
  owner.granted = true;
  this->From(this->left, owner);
  BOOST_TEST((this->SentOf<QueryReply>(owner.id).at(0).state == RunState::kNeverRan));
  this->Advance(minutes(2));
  const RequestId later = this->NewId();
  this->From(this->left, MakeQuery(later, 0));
  BOOST_TEST((this->SentOf<QueryReply>(later).at(0).state == RunState::kNeverRan));
}

BOOST_FIXTURE_TEST_CASE(work_without_an_entry_is_aborted_after_retention, AgentFixture)
{
  const RequestId id = this->Run();
  this->agent.OnPeerDown(this->now, this->left.node);
  for (int i = 0; i < 29 * 4; i++) {
    this->Advance(milliseconds(250));
    this->Chunk(id);
  }
  BOOST_TEST(this->port.aborted.empty());
  this->Advance(seconds(2));
  BOOST_TEST(this->port.aborted.size() == 1U);
}

BOOST_FIXTURE_TEST_CASE(idle_after_the_entry_confirms_the_finish, AgentFixture)
{
  const RequestId id = this->Run();
  this->agent.BeginLeaving(this->now);
  this->Chunk(id);
  BOOST_TEST(!this->agent.Idle());
  this->End(id);
  BOOST_TEST(!this->agent.Idle());
  this->From(this->left, Ack{ id, 1, true });
  BOOST_TEST(this->agent.Idle());
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace caraway
