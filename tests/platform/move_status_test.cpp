// The status of version moves in the store, where the same version is ordered more than once.
#include "../gateway/fixture.h"
#include "fake_store.h"
#include "platform/documents.h"
#include "platform/entry_state.h"
#include "platform/wire_names.h"

#include <boost/test/unit_test.hpp>

namespace caraway::platform {

namespace {

using direct::MoveOrder;
using direct::MoveStage;

MoveOrder Order(std::uint64_t aOffset, std::uint64_t aEra = 1)
{
  return { "pool", "v2", std::chrono::seconds(12), aOffset, aEra };
}

struct Fixture : gateway::GatewayFixture
{
  void Write(const MoveOrder& aOrder, MoveStage aStage)
  {
    const std::size_t before = this->store.topics[wire::kStatusTopic].size();
    this->status.WriteStage(aOrder, aStage);
    this->AnswerAll();
    if (this->store.topics[wire::kStatusTopic].size() > before) { // it is read back
      RunUntil([&] { return this->store.HasCall(); });
      this->AnswerAll();
    }
  }
  std::optional<MoveStage> Read(const MoveOrder& aOrder)
  {
    std::optional<MoveStage> result;
    this->status.ReadStage(aOrder, [&](std::optional<MoveStage> aStage) { result = aStage; });
    this->AnswerAll();
    return result;
  }
  void AnswerAll()
  {
    while (this->store.HasCall()) {
      this->store.Answer();
    }
  }
  std::string Written()
  {
    const auto& records = this->store.topics[wire::kStatusTopic];
    return records.empty() ? "" : records.back().value.value_or("");
  }

  FakeStore store{ this->clock };
  StatusTopic status{ this->store };
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(move_status, Fixture)

// Regression: the outcome of the first order was taken for that of the second one, which got no
// status at all, or at a restart the first one's outcome.
BOOST_AUTO_TEST_CASE(a_version_that_is_ordered_again_gets_a_status)
{
  this->Write(Order(10), MoveStage::kRolledBack);
  BOOST_TEST(!this->Read(Order(20)).has_value());
  this->Write(Order(20), MoveStage::kCanary);
  BOOST_TEST(this->Written().find("running") != std::string::npos);
  BOOST_TEST((this->Read(Order(20)) == MoveStage::kCanary));
  this->Write(Order(20), MoveStage::kCompleted);
  BOOST_TEST(this->Written().find("completed") != std::string::npos);
}

BOOST_AUTO_TEST_CASE(a_late_entry_does_not_overwrite_the_outcome)
{
  this->Write(Order(10), MoveStage::kCompleted);
  this->Write(Order(10), MoveStage::kCanary);
  BOOST_TEST(this->Written().find("completed") != std::string::npos);
}

BOOST_AUTO_TEST_CASE(the_status_of_another_version_counts_for_nothing)
{
  this->Write(Order(10), MoveStage::kCompleted);
  for (const MoveOrder& other : { MoveOrder{ "pool", "v3", std::chrono::seconds(12), 10, 1 },
                                  MoveOrder{ "pool", "v3", std::chrono::seconds(12), 10, 2 } }) {
    BOOST_TEST(!this->Read(other).has_value());
  }
  this->Write({ "pool", "v3", std::chrono::seconds(12), 20, 1 }, MoveStage::kCanary);
  BOOST_TEST(this->Written().find("running") != std::string::npos);
}

// The restored log holds the order at another place.
BOOST_AUTO_TEST_CASE(an_outcome_of_an_earlier_era_is_read_and_rewritten)
{
  this->Write(Order(20, 1), MoveStage::kRolledBack);
  BOOST_TEST((this->Read(Order(10, 2)) == MoveStage::kRolledBack));
  this->Write(Order(10, 2), MoveStage::kRolledBack);
  BOOST_TEST(this->Written() == WriteMoveStatus(Order(10, 2), MoveStage::kRolledBack));
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace caraway::platform
