// The stored outcomes of earlier version moves.
#include "../gateway/fixture.h"
#include "fake_store.h"
#include "platform/move_history_topic.h"
#include "platform/wire_names.h"

#include <boost/test/unit_test.hpp>

namespace caraway::platform {

namespace {

using direct::MoveStage;
using direct::PastMove;
using Histories = direct::MoveHistoryStore::Histories;

const PastMove kSecond{ "v2", 1, 10, 7, MoveStage::kRolledBack };
const PastMove kThird{ "v3", 1, 20, 8, MoveStage::kRolledBack };

struct Fixture : gateway::GatewayFixture
{
  Histories Read()
  {
    Histories result;
    this->topic.ReadHistories([&](const Histories& aHistories) { result = aHistories; });
    this->AnswerAll();
    return result;
  }
  void AnswerAll()
  {
    while (this->store.HasCall()) {
      this->store.Answer();
    }
  }

  FakeStore store{ this->clock };
  MoveHistoryTopic topic{ this->store };
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(move_history_topic, Fixture)

BOOST_AUTO_TEST_CASE(saved_moves_are_read_by_another_process)
{
  this->topic.SaveHistory("pool", { kSecond });
  this->topic.SaveHistory("desk", { kThird });
  this->AnswerAll();
  MoveHistoryTopic other(this->store);
  Histories read;
  other.ReadHistories([&](const Histories& aHistories) { read = aHistories; });
  this->AnswerAll();
  BOOST_REQUIRE(read.size() == 2U);
  BOOST_TEST((read.at("pool") == std::vector{ kSecond }));
  BOOST_TEST((read.at("desk") == std::vector{ kThird }));
}

BOOST_AUTO_TEST_CASE(two_processes_that_save_at_once_lose_nothing)
{
  MoveHistoryTopic other(this->store);
  this->topic.SaveHistory("pool", { kSecond });
  other.SaveHistory("pool", { kThird });
  this->AnswerAll();
  BOOST_TEST(RunUntil([&] { return this->store.HasCall(); }));
  this->AnswerAll();
  BOOST_TEST((this->Read().at("pool") == std::vector{ kSecond, kThird }));
}

BOOST_AUTO_TEST_CASE(moves_that_are_stored_already_are_not_written_again)
{
  this->topic.SaveHistory("pool", { kSecond });
  this->AnswerAll();
  this->topic.SaveHistory("pool", { kSecond });
  this->AnswerAll();
  BOOST_TEST(this->store.topics[wire::kMovesTopic].size() == 1U);
}

BOOST_AUTO_TEST_CASE(histories_of_many_services_are_read_in_pages)
{
  for (const char* service : { "a", "b", "c", "d", "e" }) {
    this->topic.SaveHistory(service, { kSecond });
  }
  this->AnswerAll();
  this->store.pageSize = 2;
  BOOST_TEST(this->Read().size() == 5U);
}

BOOST_AUTO_TEST_CASE(an_unreadable_history_leaves_the_others)
{
  this->topic.SaveHistory("pool", { kSecond });
  this->AnswerAll();
  this->store.Write(wire::kMovesTopic, "desk", "x");
  const Histories read = this->Read();
  BOOST_TEST(read.size() == 1U);
  BOOST_TEST(read.contains("pool"));
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace caraway::platform
