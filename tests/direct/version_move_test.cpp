#include "direct/move_table.h"
#include "direct/version_move.h"

#include <boost/test/unit_test.hpp>

namespace caraway::direct {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::uint64_t kRoute = 5;
constexpr Duration kRunTime = milliseconds(100);
constexpr std::uint32_t kCallsPerStep = 30; // in each 100 ms

// Simulates entries that serve calls and share the state of the move every 100 ms.
struct Fixture
{
  explicit Fixture(std::size_t aEntries = 4)
  {
    for (std::size_t i = 0; i < aEntries; i++) {
      this->entries.emplace_back(VersionMoveOptions{}, MoveOrder{ "pool", "v2", seconds(12), 1 },
                                 this->now);
    }
  }

  // Quality of the new version: share of bad runs, and run time relative to the old version.
  struct Quality
  {
    double bad = 0;
    double timeFactor = 1;
    std::uint64_t badRoute = 0; // 0: on all routes
  };

  bool IsBadRun(const Quality& aQuality, std::uint64_t aRoute, double aDraw) const
  {
    return (aQuality.badRoute == 0 || aQuality.badRoute == aRoute) && aDraw < aQuality.bad;
  }

  void Play(Duration aTime, const Quality& aQuality)
  {
    for (const TimePoint end = this->now + aTime; this->now < end; this->now += milliseconds(100)) {
      for (std::uint32_t call = 0; call < kCallsPerStep; call++) {
        VersionMove& entry = this->entries[call % this->entries.size()];
        const bool isNew = entry.ChooseVersions(true, true, 4).required == "v2";
        const std::uint64_t route = kRoute + call % 3;
        this->all++;
        this->exposed += isNew ? 1 : 0;
        this->draw = this->draw * 1103515245 + 12345;
        const double draw = static_cast<double>((this->draw >> 16) % 1000) / 1000;
        const bool isBad = isNew && this->IsBadRun(aQuality, route, draw);
        this->bad += isBad ? 1 : 0;
        this->afterBad += isNew && this->bad > 50 ? 1 : 0;
        entry.OnRunEnd(route, isNew, isBad,
                       isNew ? std::chrono::duration_cast<Duration>(kRunTime * aQuality.timeFactor)
                             : kRunTime);
      }
      this->ShareStates();
    }
  }

  void ShareStates()
  {
    for (std::size_t to = 0; to < this->entries.size(); to++) {
      for (std::size_t from = 0; from < this->entries.size(); from++) {
        if (from != to) {
          const MoveState state = this->entries[from].State(0);
          this->entries[to].OnPeerState(this->now, { NodeId{ from }, Incarnation{ 1 } }, state);
          this->entries[to].Adopt(state.stage);
        }
      }
      this->entries[to].Step(this->now, to == 0, 0);
    }
  }

  void CheckAll(MoveStage aStage)
  {
    for (const VersionMove& entry : this->entries) {
      BOOST_TEST((entry.Stage() == aStage), ToString(entry.Stage()));
    }
  }

  TimePoint now{ seconds(1000) };
  std::vector<VersionMove> entries;
  std::uint32_t draw = 1;
  int all = 0;
  int exposed = 0;
  int bad = 0;
  int afterBad = 0;
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(version_move, Fixture)

BOOST_AUTO_TEST_CASE(a_good_version_takes_over_in_time)
{
  this->Play(seconds(6), {});
  this->CheckAll(MoveStage::kCanary);
  BOOST_TEST(this->exposed <= this->all * 0.05 + 20);
  this->Play(seconds(5), {});
  this->CheckAll(MoveStage::kCompleted);
}

BOOST_AUTO_TEST_CASE(failing_version_is_rolled_back_with_limited_exposure)
{
  this->Play(seconds(12), { 0.4, 1, 0 });
  this->CheckAll(MoveStage::kRolledBack);
  BOOST_TEST(this->exposed <= this->all * 0.1 + 50);
  BOOST_TEST(this->afterBad == 0);
}

BOOST_AUTO_TEST_CASE(version_that_fails_on_one_route_is_rolled_back)
{
  this->Play(seconds(12), { 0.6, 1, kRoute });
  this->CheckAll(MoveStage::kRolledBack);
  BOOST_TEST(this->exposed <= this->all * 0.1 + 50);
  BOOST_TEST(this->afterBad == 0);
}

BOOST_AUTO_TEST_CASE(slow_version_is_rolled_back)
{
  this->Play(seconds(12), { 0, 4, 0 });
  this->CheckAll(MoveStage::kRolledBack);
  BOOST_TEST(this->exposed <= this->all * 0.1 + 50);
}

BOOST_AUTO_TEST_CASE(version_that_fails_later_is_rolled_back)
{
  this->Play(seconds(5), {});
  this->Play(seconds(7), { 0.4, 1, 0 });
  this->CheckAll(MoveStage::kRolledBack);
  BOOST_TEST(this->afterBad == 0);
}

// A fault that affects both versions alike, such as a hanging endpoint, must not cause a rollback.
BOOST_AUTO_TEST_CASE(failures_of_both_versions_cause_no_rollback)
{
  for (VersionMove& entry : this->entries) {
    for (int i = 0; i < 200; i++) {
      entry.OnRunEnd(kRoute, false, i % 5 == 0, kRunTime);
    }
    for (int i = 0; i < 20; i++) {
      entry.OnRunEnd(kRoute, true, i % 5 == 0, kRunTime);
    }
  }
  this->ShareStates();
  this->CheckAll(MoveStage::kCanary);
}

BOOST_AUTO_TEST_CASE(move_completes_after_old_version_is_idle)
{
  this->Play(milliseconds(7300), {});
  VersionMove& coordinator = this->entries[0];
  BOOST_TEST((coordinator.Stage() == MoveStage::kShift));
  for (std::size_t i = 2; i < this->entries.size(); i++) {
    this->entries[i].Adopt(MoveStage::kShift);
    coordinator.OnPeerState(this->now, { NodeId{ i }, Incarnation{ 1 } },
                            this->entries[i].State(0));
  }
  this->entries[1].Adopt(MoveStage::kShift);
  MoveState busy = this->entries[1].State(3);
  coordinator.OnPeerState(this->now, { NodeId{ 1 }, Incarnation{ 1 } }, busy);
  BOOST_TEST(!coordinator.Step(this->now, true, 0));
  BOOST_TEST((coordinator.ChooseVersions(true, true, 4).required == "v2"));
  busy.oldRunning = 0;
  coordinator.OnPeerState(this->now, { NodeId{ 1 }, Incarnation{ 1 } }, busy);
  BOOST_TEST(!coordinator.Step(this->now, true, 1));
  BOOST_TEST(coordinator.Step(this->now, true, 0));
  BOOST_TEST((coordinator.Stage() == MoveStage::kCompleted));
}

BOOST_AUTO_TEST_CASE(unobserved_version_is_rolled_back)
{
  VersionMove& coordinator = this->entries[0];
  BOOST_TEST((coordinator.ChooseVersions(false, true, 4).excluded == "v2"));
  BOOST_TEST(!coordinator.Step(this->now + seconds(11), true, 0));
  BOOST_TEST(coordinator.Step(this->now + seconds(12), true, 0));
  BOOST_TEST((coordinator.Stage() == MoveStage::kRolledBack));
}

// A restarted entry starts with no evidence; its peers must keep its earlier evidence.
BOOST_AUTO_TEST_CASE(evidence_of_an_entry_outlives_its_restart)
{
  VersionMove& other = this->entries[1];
  for (int i = 0; i < 5; i++) {
    other.OnRunEnd(kRoute, true, true, kRunTime);
  }
  VersionMove& coordinator = this->entries[0];
  coordinator.OnPeerState(this->now, { NodeId{ 1 }, Incarnation{ 1 } }, other.State(0));
  BOOST_TEST(!coordinator.Step(this->now, false, 0));
  VersionMove again(VersionMoveOptions{}, other.Order(), this->now);
  again.OnRunEnd(kRoute, true, true, kRunTime);
  coordinator.OnPeerState(this->now, { NodeId{ 1 }, Incarnation{ 2 } }, again.State(0));
  BOOST_TEST(coordinator.Step(this->now, false, 0));
  BOOST_TEST((coordinator.Stage() == MoveStage::kRolledBack));
}

BOOST_AUTO_TEST_CASE(a_stage_change_is_reported_with_its_evidence)
{
  constexpr std::uint32_t kRuns = 24;
  constexpr std::uint32_t kBadRuns = 6;
  MoveTable table;
  const auto noneRunning = [](const auto&, const auto&) { return 0U; };
  table.SetOrder(this->now, { "pool", "v2", seconds(12), 1 }, true);
  for (std::uint32_t run = 0; run < kRuns; run++) {
    const bool isBad = run < kBadRuns;
    table.OnRunEnd("pool", kRoute, "v1", isBad, kRunTime);
    table.OnRunEnd("pool", kRoute + run % 2, "v2", isBad, kRunTime);
  }
  table.Step(this->now + seconds(1), true, noneRunning);
  BOOST_TEST(table.TakeChanges().empty());
  table.Step(this->now + seconds(11), true, noneRunning);
  const std::vector<StageChange> changes = table.TakeChanges();
  BOOST_REQUIRE(changes.size() == 1U);
  BOOST_TEST((changes[0].stage == MoveStage::kShift));
  BOOST_TEST(changes[0].isOwn);
  BOOST_TEST(changes[0].evidence.newRuns.ended == kRuns);
  BOOST_TEST(changes[0].evidence.newRuns.bad == kBadRuns);
  BOOST_TEST(changes[0].evidence.oldRuns.ended == kRuns);
  BOOST_TEST(table.TakeChanges().empty());
}

// The old version itself fails a part, so six failures in 24 runs are not enough to call the new
// one bad.
struct ThinEvidence
{
  ThinEvidence()
  {
    this->AddRuns(false, 200, 24);
    this->AddRuns(true, 24, 6);
    this->now += seconds(10);
    this->move.Step(this->now, true, 0);
    BOOST_REQUIRE((this->move.Stage() == MoveStage::kShift));
    this->move.Step(this->now, true, 0);
  }

  void AddRuns(bool aIsNew, int aCount, int aBad)
  {
    for (int run = 0; run < aCount; run++) {
      this->move.OnRunEnd(kRoute, aIsNew, run < aBad, kRunTime);
    }
  }

  TimePoint now{ seconds(100) };
  VersionMove move{ {}, MoveOrder{ "pool", "v2", seconds(12), 1 }, this->now };
};

BOOST_FIXTURE_TEST_CASE(a_move_does_not_complete_on_few_runs_that_fail_often, ThinEvidence)
{
  BOOST_TEST((this->move.Stage() == MoveStage::kShift));
  this->AddRuns(true, 40, 14);
  this->move.Step(this->now, true, 0);
  BOOST_TEST((this->move.Stage() == MoveStage::kShift));
  this->AddRuns(true, 40, 14);
  this->move.Step(this->now, true, 0);
  BOOST_TEST((this->move.Stage() == MoveStage::kRolledBack));
}

BOOST_FIXTURE_TEST_CASE(a_move_completes_when_further_runs_clear_the_version, ThinEvidence)
{
  this->AddRuns(true, 40, 0);
  this->move.Step(this->now, true, 0);
  BOOST_TEST((this->move.Stage() == MoveStage::kCompleted));
}

BOOST_FIXTURE_TEST_CASE(a_move_that_stays_in_doubt_is_rolled_back_at_its_end, ThinEvidence)
{
  this->now += seconds(2);
  this->move.Step(this->now, true, 0);
  BOOST_TEST((this->move.Stage() == MoveStage::kRolledBack));
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace caraway::direct
