// Version moves while the operator's log is restored from an older copy: offsets go back and are
// given out again, and lost orders are written again.
#include "direct/move_table.h"

#include <boost/test/unit_test.hpp>

#include <set>

namespace caraway::direct {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

std::uint32_t CountNone(const std::string&, const std::string&)
{
  return 0;
}

struct StageLog final : MoveLog
{
  void ReadStage(const MoveOrder&,
                 const std::function<void(std::optional<MoveStage>)>& aDone) override
  {
    this->reads.push_back(aDone);
  }
  void WriteStage(const MoveOrder&, MoveStage aStage) override { this->written.push_back(aStage); }

  std::vector<std::function<void(std::optional<MoveStage>)>> reads;
  std::vector<MoveStage> written;
};

struct RestoredLog
{
  RestoredLog()
  {
    this->table.SetLog(this->log);
    EndpointInfo info;
    info.service = "pool";
    for (const char* version : { "v1", "v2", "v3" }) {
      info.id = info.version = version;
      this->endpoints[info.id] = info;
    }
    this->table.SetEndpoints(this->endpoints);
  }

  static MoveOrder Order(const std::string& aVersion, std::uint64_t aOffset, std::uint64_t aEra = 1)
  {
    return { "pool", aVersion, seconds(12), aOffset, aEra };
  }

  void Step(Duration aTime)
  {
    this->now += aTime;
    this->table.Step(this->now, true, CountNone);
  }

  // Sends a state of another entry about the order, which adopted aStage.
  void AdoptFromPeer(const MoveOrder& aOrder, MoveStage aStage)
  {
    VersionMove peer({}, aOrder, this->now);
    peer.Adopt(aStage);
    this->table.OnPeerState(this->now, { NodeId{ 2 }, Incarnation{ 1 } }, { peer.State(0) });
  }

  MoveState Own() const
  {
    const std::vector<MoveState> states = this->table.States(this->now, CountNone);
    BOOST_REQUIRE(states.size() == 1U);
    return states[0];
  }

  // Versions that 200 calls may go to.
  std::set<std::string> UsedVersions()
  {
    std::set<std::string> used;
    for (int call = 0; call < 200; call++) {
      CallSpec spec;
      spec.service = "pool";
      this->table.ChooseVersions(this->now, spec);
      for (const auto& [id, info] : this->endpoints) {
        if ((spec.requiredVersion.empty() || spec.requiredVersion == info.version) &&
            spec.excludedVersion != info.version) {
          used.insert(info.version);
        }
      }
    }
    return used;
  }

  TimePoint now{ seconds(100) };
  StageLog log;
  MoveTable table;
  std::map<std::string, EndpointInfo> endpoints;
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(restored_move_log, RestoredLog)

BOOST_AUTO_TEST_CASE(a_rewritten_order_of_a_rolled_back_version_does_not_start_again)
{
  this->table.SetOrder(this->now, Order("v2", 100), true);
  this->AdoptFromPeer(Order("v2", 100), MoveStage::kRolledBack);
  this->Step(seconds(20));
  this->table.OnLogRestored(this->now);
  BOOST_TEST(!this->table.SetOrder(this->now, Order("v2", 120, 2), true));
  BOOST_TEST(!this->UsedVersions().contains("v2"));
}

BOOST_AUTO_TEST_CASE(a_rewritten_order_at_a_lower_offset_is_the_same_move)
{
  this->table.SetOrder(this->now, Order("v2", 100), true);
  this->table.OnRunEnd("pool", 1, "v2", false, milliseconds(100));
  this->table.OnLogRestored(this->now);
  BOOST_TEST(!this->table.SetOrder(this->now, Order("v2", 60, 2), true));
  BOOST_TEST(this->Own().offset == 60U);
  BOOST_TEST(this->Own().evidence.size() == 1U);
}

BOOST_AUTO_TEST_CASE(a_new_order_at_a_lower_offset_is_not_taken_for_an_older_one)
{
  this->table.SetOrder(this->now, Order("v2", 100), true);
  this->table.OnLogRestored(this->now);
  this->table.SetOrder(this->now, Order("v2", 60, 2), true);
  BOOST_TEST(this->table.SetOrder(this->now, Order("v3", 61, 2), true));
  BOOST_TEST(this->Own().offset == 61U);
}

BOOST_AUTO_TEST_CASE(an_older_order_of_the_copy_does_not_replace_one_that_is_written_again)
{
  this->table.SetOrder(this->now, Order("v3", 100), true);
  this->AdoptFromPeer(Order("v3", 100), MoveStage::kRolledBack);
  this->table.OnLogRestored(this->now);
  BOOST_TEST(!this->table.SetOrder(this->now, Order("v2", 50, 2), false));
  this->Step(seconds(1));
  BOOST_TEST(!this->UsedVersions().contains("v3"));
  BOOST_TEST(!this->table.SetOrder(this->now, Order("v3", 60, 2), true));
  this->Step(seconds(20));
  BOOST_TEST(!this->UsedVersions().contains("v3"));
  BOOST_TEST(this->log.reads.empty());
}

BOOST_AUTO_TEST_CASE(an_order_that_is_not_written_again_yields_to_the_one_of_the_log)
{
  this->table.SetOrder(this->now, Order("v3", 100), true);
  this->table.OnLogRestored(this->now);
  this->table.SetOrder(this->now, Order("v2", 50, 2), false);
  this->Step(seconds(4));
  BOOST_REQUIRE(this->log.reads.size() == 1U); // its stage is read before it is used
  this->log.reads[0](MoveStage::kRolledBack);
  BOOST_TEST(!this->UsedVersions().contains("v2"));
}

// The answer to the first read comes after the second order.
BOOST_AUTO_TEST_CASE(a_stage_that_is_read_late_is_not_taken_for_that_of_the_next_order)
{
  this->table.SetOrder(this->now, Order("v2", 100), false);
  this->table.SetOrder(this->now, Order("v2", 110), true);
  BOOST_REQUIRE(this->log.reads.size() == 1U);
  this->log.reads[0](MoveStage::kRolledBack);
  BOOST_TEST((this->Own().stage == MoveStage::kCanary));
}

BOOST_AUTO_TEST_CASE(entries_in_different_eras_share_the_stage_of_one_order)
{
  this->table.SetOrder(this->now, Order("v2", 100), true);
  this->AdoptFromPeer(Order("v2", 60, 2), MoveStage::kRolledBack);
  BOOST_TEST((this->Own().stage == MoveStage::kRolledBack));
}

BOOST_AUTO_TEST_CASE(an_offset_that_was_given_out_again_is_not_taken_for_the_same_order)
{
  this->table.SetOrder(this->now, Order("v2", 100), true);
  this->AdoptFromPeer(Order("v3", 100, 2), MoveStage::kRolledBack);
  BOOST_TEST((this->Own().stage == MoveStage::kCanary));
}

BOOST_AUTO_TEST_CASE(an_outcome_that_the_store_lost_is_persisted_again)
{
  this->table.SetOrder(this->now, Order("v2", 100), true);
  this->AdoptFromPeer(Order("v2", 100), MoveStage::kCompleted);
  this->Step(seconds(20));
  this->Step(seconds(1));
  BOOST_REQUIRE(this->log.written.size() == 1U);
  this->table.OnLogRestored(this->now);
  this->Step(milliseconds(100));
  BOOST_REQUIRE(this->log.written.size() == 2U);
  BOOST_TEST((this->log.written[1] == MoveStage::kCompleted));
  BOOST_TEST((this->Own().stage == MoveStage::kCompleted)); // shared with entries that start
}

// A write of an earlier stage may be performed some seconds after the store was restored.
BOOST_AUTO_TEST_CASE(an_outcome_replaced_by_a_late_write_is_persisted_again)
{
  this->table.SetOrder(this->now, Order("v2", 100), true);
  this->AdoptFromPeer(Order("v2", 100), MoveStage::kCompleted);
  this->table.OnLogRestored(this->now);
  this->Step(milliseconds(100));
  const std::size_t before = this->log.written.size();
  this->Step(seconds(3));
  BOOST_TEST(this->log.written.size() == before);
  this->Step(seconds(4));
  BOOST_REQUIRE(this->log.written.size() == before + 1);
  BOOST_TEST((this->log.written.back() == MoveStage::kCompleted));
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace caraway::direct
