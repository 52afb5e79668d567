// Moves of versions that follow each other: versions of earlier moves that must get no calls.
#include "direct/move_table.h"

#include <boost/test/unit_test.hpp>

#include <deque>
#include <memory>
#include <set>

namespace caraway::direct {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

using Versions = std::set<std::string>;

std::uint32_t CountNone(const std::string&, const std::string&)
{
  return 0;
}

MoveOrder Order(const std::string& aVersion, std::uint64_t aOffset, std::uint64_t aEra = 1)
{
  return { "pool", aVersion, seconds(12), aOffset, aEra };
}

// The store's histories, which all entries share. Reads wait until the test answers them.
struct HistoryStore final : MoveHistoryStore
{
  void ReadHistories(const std::function<void(const Histories&)>& aDone) override
  {
    this->reads.push_back(aDone);
  }
  void SaveHistory(const std::string& aService, const std::vector<PastMove>& aMoves) override
  {
    this->saveCount++;
    MoveHistory merged;
    for (const auto& moves : { this->histories[aService], aMoves }) {
      for (const PastMove& move : moves) {
        merged.Add(move);
      }
    }
    this->histories[aService] = merged.All();
  }
  void Answer()
  {
    while (!this->reads.empty()) {
      const auto done = this->reads.front();
      this->reads.pop_front();
      done(this->histories);
    }
  }

  Histories histories;
  std::deque<std::function<void(const Histories&)>> reads;
  int saveCount = 0;
};

struct Fixture
{
  Fixture()
  {
    this->List({ "v1", "v2", "v3", "v4" });
    this->table = this->Start();
  }

  // An entry that knows nothing but the list of endpoints.
  std::unique_ptr<MoveTable> Start()
  {
    auto entry = std::make_unique<MoveTable>();
    entry->SetHistoryStore(this->store);
    entry->SetEndpoints(this->endpoints);
    return entry;
  }

  // The process is killed and starts again.
  void Restart()
  {
    this->store.reads.clear();
    this->table = this->Start();
  }

  void List(const Versions& aVersions)
  {
    this->endpoints.clear();
    for (const std::string& version : aVersions) {
      EndpointInfo info;
      info.service = "pool";
      info.id = info.version = version;
      this->endpoints[version] = info;
    }
    if (this->table != nullptr) {
      this->table->SetEndpoints(this->endpoints);
    }
  }

  // The order comes and ends with aStage; kCanary: it does not end.
  void Move(const std::string& aVersion, std::uint64_t aOffset, MoveStage aStage)
  {
    this->table->SetOrder(this->now, Order(aVersion, aOffset), true);
    this->Tell(*this->table, Order(aVersion, aOffset), aStage);
    this->Step();
  }

  void Step() { this->table->Step(this->now, true, CountNone); }

  // Another entry, which has only aOrder, sends its state.
  void Tell(MoveTable& aTable, const MoveOrder& aOrder, MoveStage aStage) const
  {
    VersionMove peer({}, aOrder, this->now);
    peer.Adopt(aStage);
    aTable.OnPeerState(this->now, { NodeId{ 2 }, Incarnation{ 1 } }, { peer.State(0) });
  }

  // Versions that 400 calls may go to, by all constraints.
  Versions Used(MoveTable& aTable) const
  {
    Versions used;
    const auto excluded = aTable.ExcludedVersions();
    for (int call = 0; call < 400; call++) {
      CallSpec spec;
      spec.service = "pool";
      aTable.ChooseVersions(this->now, spec);
      for (const auto& [id, info] : this->endpoints) {
        const bool isExcluded =
          excluded.contains("pool") && excluded.at("pool").contains(info.version);
        if ((spec.requiredVersion.empty() || spec.requiredVersion == info.version) &&
            spec.excludedVersion != info.version && !isExcluded) {
          used.insert(info.version);
        }
      }
    }
    return used;
  }
  Versions Used() const { return this->Used(*this->table); }

  TimePoint now{ seconds(100) };
  HistoryStore store;
  std::map<std::string, EndpointInfo> endpoints;
  std::unique_ptr<MoveTable> table;
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(move_history, Fixture)

// Regression: the next order replaced the row that named the version, which got calls again.
BOOST_AUTO_TEST_CASE(a_rolled_back_version_gets_no_calls_after_the_next_order)
{
  this->List({ "v1", "v2", "v3" });
  this->Move("v2", 1, MoveStage::kRolledBack);
  this->Move("v3", 2, MoveStage::kCanary);
  BOOST_TEST(this->Used() == Versions({ "v1", "v3" }), boost::test_tools::per_element());
  this->Tell(*this->table, Order("v3", 2), MoveStage::kCompleted);
  this->now += seconds(60);
  BOOST_TEST(this->Used() == Versions({ "v1", "v3" }), boost::test_tools::per_element());
}

BOOST_AUTO_TEST_CASE(two_versions_rolled_back_in_a_row_get_no_calls)
{
  this->Move("v2", 1, MoveStage::kRolledBack);
  this->Move("v3", 2, MoveStage::kRolledBack);
  BOOST_TEST(this->Used() == Versions({ "v1", "v4" }), boost::test_tools::per_element());
  this->Move("v4", 3, MoveStage::kCanary);
  BOOST_TEST(this->Used() == Versions({ "v1", "v4" }), boost::test_tools::per_element());
}

// The only endpoints left besides those of a rolled-back version are the new ones.
BOOST_AUTO_TEST_CASE(a_rolled_back_version_is_no_old_version)
{
  this->Move("v2", 1, MoveStage::kRolledBack);
  this->List({ "v2", "v3" });
  this->Move("v3", 2, MoveStage::kCanary);
  BOOST_TEST(this->Used() == Versions({ "v3" }), boost::test_tools::per_element());
}

BOOST_AUTO_TEST_CASE(a_version_that_is_ordered_again_gets_its_share_and_then_all_calls)
{
  this->List({ "v1", "v2" });
  this->Move("v2", 1, MoveStage::kRolledBack);
  BOOST_TEST(this->Used() == Versions({ "v1" }), boost::test_tools::per_element());
  this->Move("v2", 2, MoveStage::kCanary);
  BOOST_TEST(this->Used() == Versions({ "v1", "v2" }), boost::test_tools::per_element());
  this->Tell(*this->table, Order("v2", 2), MoveStage::kCompleted);
  this->List({ "v2", "v3" });
  this->Move("v3", 3, MoveStage::kCanary);
  BOOST_TEST(this->Used() == Versions({ "v2", "v3" }), boost::test_tools::per_element());
}

// A later order is no evidence for a version that was found bad before.
BOOST_AUTO_TEST_CASE(a_second_order_that_does_not_end_does_not_lift_the_first_outcome)
{
  this->Move("v2", 1, MoveStage::kRolledBack);
  this->Move("v2", 2, MoveStage::kCanary);
  this->Move("v3", 3, MoveStage::kCanary);
  this->List({ "v2", "v3" });
  BOOST_TEST(this->Used() == Versions({ "v3" }), boost::test_tools::per_element());
}

// An entry that was stopped meanwhile has seen neither the outcome nor the messages about it.
BOOST_AUTO_TEST_CASE(a_version_whose_move_was_replaced_gets_no_calls_beside_a_proven_one)
{
  this->List({ "v1", "v2", "v3" });
  this->Move("v2", 1, MoveStage::kCanary);
  this->Move("v3", 2, MoveStage::kCanary);
  BOOST_TEST(this->Used() == Versions({ "v1", "v3" }), boost::test_tools::per_element());
  // The old endpoints are gone, so that the missed outcome was that the move had completed.
  this->List({ "v2", "v3" });
  BOOST_TEST(this->Used() == Versions({ "v2", "v3" }), boost::test_tools::per_element());
}

BOOST_AUTO_TEST_CASE(an_outcome_is_shared_after_the_next_order)
{
  this->Move("v2", 1, MoveStage::kRolledBack);
  this->Move("v3", 2, MoveStage::kCanary);
  const auto late = this->Start();
  late->SetOrder(this->now, Order("v2", 1), true);
  late->SetOrder(this->now, Order("v3", 2), true);
  this->endpoints.erase("v1");
  this->endpoints.erase("v4");
  late->SetEndpoints(this->endpoints);
  BOOST_TEST(this->Used(*late) == Versions({ "v2", "v3" }), boost::test_tools::per_element());
  late->OnPeerState(this->now, { NodeId{ 3 }, Incarnation{ 1 } },
                    this->table->States(this->now, CountNone));
  BOOST_TEST(this->Used(*late) == Versions({ "v3" }), boost::test_tools::per_element());
  // Shared for a while only.
  this->now += seconds(11);
  BOOST_TEST(this->table->States(this->now, CountNone).size() == 1U);
}

BOOST_AUTO_TEST_CASE(an_entry_that_starts_after_the_next_order_reads_the_outcome)
{
  this->Move("v2", 1, MoveStage::kRolledBack);
  this->Move("v3", 2, MoveStage::kCanary);
  this->Restart();
  this->table->SetOrder(this->now, Order("v3", 2), false);
  this->store.Answer();
  BOOST_TEST(this->Used() == Versions({ "v1", "v3", "v4" }), boost::test_tools::per_element());
}

// Only entries that saw the outcome know how long to tell it.
BOOST_AUTO_TEST_CASE(an_entry_that_missed_the_outcome_reads_it_and_does_not_tell_it)
{
  this->Move("v2", 1, MoveStage::kCanary);
  this->store.SaveHistory("pool",
                          { { "v2", 1, 1, HashOf(Order("v2", 1)), MoveStage::kRolledBack } });
  this->Move("v3", 2, MoveStage::kCanary);
  this->store.Answer();
  this->List({ "v2", "v3" });
  BOOST_TEST(this->Used() == Versions({ "v3" }), boost::test_tools::per_element());
  BOOST_TEST(this->table->States(this->now, CountNone).size() == 1U);
}

// The outcome was not stored yet when the entry read.
BOOST_AUTO_TEST_CASE(an_unknown_outcome_of_another_entry_has_the_histories_read_again)
{
  this->table->SetOrder(this->now, Order("v3", 2), false);
  this->store.Answer();
  this->store.SaveHistory("pool",
                          { { "v2", 1, 1, HashOf(Order("v2", 1)), MoveStage::kRolledBack } });
  this->now += seconds(3);
  this->Tell(*this->table, Order("v2", 1), MoveStage::kRolledBack);
  this->store.Answer();
  BOOST_TEST(!this->Used().contains("v2"));
  this->now += seconds(3);
  this->Tell(*this->table, Order("v2", 1), MoveStage::kRolledBack);
  BOOST_TEST(this->store.reads.empty());
}

BOOST_AUTO_TEST_CASE(a_completed_second_move_replaces_the_stored_outcome)
{
  this->Move("v2", 1, MoveStage::kRolledBack);
  BOOST_TEST(this->store.saveCount == 1);
  this->Move("v2", 2, MoveStage::kCompleted);
  BOOST_TEST(this->store.saveCount == 2);
  this->Restart();
  this->List({ "v2", "v3" });
  this->table->SetOrder(this->now, Order("v3", 3), false);
  this->store.Answer();
  BOOST_TEST(this->Used() == Versions({ "v2", "v3" }), boost::test_tools::per_element());
}

BOOST_AUTO_TEST_CASE(moves_that_complete_write_nothing)
{
  this->Move("v2", 1, MoveStage::kCompleted);
  this->Move("v3", 2, MoveStage::kCompleted);
  this->Move("v4", 3, MoveStage::kCanary);
  BOOST_TEST(this->store.saveCount == 0);
}

BOOST_AUTO_TEST_CASE(an_outcome_that_the_store_lost_is_saved_again)
{
  this->Move("v2", 1, MoveStage::kRolledBack);
  this->Move("v3", 2, MoveStage::kCanary);
  this->store.histories.clear();
  this->table->OnLogRestored(this->now);
  this->store.Answer();
  this->Step();
  BOOST_REQUIRE(this->store.histories["pool"].size() == 1U);
  BOOST_TEST(this->store.histories["pool"][0].version == "v2");
}

// The copy ends before the outcome was replaced, and its last order is that of the bad version.
BOOST_AUTO_TEST_CASE(an_order_held_by_a_restored_log_keeps_its_outcome)
{
  this->Move("v2", 10, MoveStage::kRolledBack);
  this->Move("v3", 20, MoveStage::kCanary);
  this->table->OnLogRestored(this->now);
  this->table->SetOrder(this->now, Order("v2", 10, 2), false);
  this->now += seconds(4);
  this->Step();
  BOOST_TEST(!this->Used().contains("v2"));
}

BOOST_AUTO_TEST_CASE(a_history_keeps_the_latest_versions)
{
  MoveHistory history;
  for (std::uint64_t offset = 1; offset <= 40; offset++) {
    history.Add({ "v" + std::to_string(offset), 1, offset, offset, MoveStage::kRolledBack });
  }
  BOOST_TEST(history.All().size() == MoveHistory::kMaxVersions);
  BOOST_TEST(history.Find("v40") != nullptr);
  BOOST_TEST(history.Find("v1") == nullptr);
  const std::string bytes = EncodeMoveHistory(history.All());
  BOOST_TEST((DecodeMoveHistory(bytes) == history.All()));
  for (std::size_t size = 0; size < bytes.size(); size++) {
    BOOST_TEST(!DecodeMoveHistory(std::string_view(bytes).substr(0, size)).has_value());
  }
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace caraway::direct
