#include "core/move.h"
#include "core/uuid.h"
#include "entry_fixture.h"
#include "move_world.h"
#include "property.h"

#include <boost/test/unit_test.hpp>

namespace caraway {

using std::chrono::minutes;
using std::chrono::seconds;
using test::MoveReport;
using test::MoveScenario;
using test::MoveWorld;

namespace {

double Seconds(Duration aTime)
{
  return std::chrono::duration<double>(aTime).count();
}

// Worst results over several seeds.
struct Worst
{
  int runs = 0;
  int endedAsWanted = 0; // runs that ended with the expected stage
  double affectedShare = 0;
  double endedAt = 0;
  double failureToLastNew = 0;
  double brakeToLastNew = 0;
  double totalAffected = 0;
};

Worst RunSeeds(const char* aName, const MoveScenario& aScenario, MoveStage aWanted)
{
  Worst worst;
  worst.runs = static_cast<int>(test::EnvironmentOr("CARAWAY_RUNS", 10));
  const std::uint64_t first = test::EnvironmentOr("CARAWAY_SEED", 1);
  for (int run = 0; run < worst.runs; ++run) {
    MoveWorld world(aScenario, first + static_cast<std::uint64_t>(run));
    const MoveReport report = world.Run();
    worst.endedAsWanted += report.stage == aWanted ? 1 : 0;
    if (report.stage != aWanted) {
      BOOST_TEST_MESSAGE(aName << ", seed " << first + run << ": " << report.status);
    }
    worst.affectedShare = std::max(worst.affectedShare, report.AffectedShare());
    worst.totalAffected += report.AffectedShare();
    worst.endedAt = std::max(worst.endedAt, Seconds(report.endedAt));
    if (report.firstBrake != Duration::max()) {
      worst.failureToLastNew =
        std::max(worst.failureToLastNew, Seconds(report.lastNew - report.firstFailure));
      worst.brakeToLastNew =
        std::max(worst.brakeToLastNew, Seconds(report.lastNew - report.firstBrake));
    }
  }
  BOOST_TEST_MESSAGE(aName << ": " << worst.endedAsWanted << "/" << worst.runs
                           << " ended as expected, affected max " << 100 * worst.affectedShare
                           << "% mean " << 100 * worst.totalAffected / worst.runs
                           << "%, latest end " << worst.endedAt << " s, first failure to last new "
                           << worst.failureToLastNew << " s, first brake to last new "
                           << worst.brakeToLastNew << " s");
  return worst;
}

void CheckTakenBack(const char* aName, const MoveScenario& aScenario)
{
  const Worst worst = RunSeeds(aName, aScenario, MoveStage::kRolledBack);
  BOOST_TEST(worst.endedAsWanted == worst.runs, aName);
  BOOST_TEST(worst.affectedShare <= 0.02, aName);
  BOOST_TEST(worst.brakeToLastNew <= 2.0, aName);
}

MoveScenario FailingVersion(double aRatio)
{
  MoveScenario scenario;
  scenario.version.badRatio = aRatio;
  return scenario;
}

} // namespace

BOOST_AUTO_TEST_SUITE(move_window)

BOOST_AUTO_TEST_CASE(a_good_version_is_done_in_time)
{
  for (const int rate : { 2, 20, 200 }) {
    MoveScenario scenario;
    scenario.requestsPerSecond = rate;
    const std::string name = "good, " + std::to_string(rate) + " requests/s";
    const Worst worst = RunSeeds(name.c_str(), scenario, MoveStage::kDone);
    BOOST_TEST(worst.endedAsWanted == worst.runs, name);
    BOOST_TEST(worst.endedAt <= 600.0, name);
  }
}

BOOST_AUTO_TEST_CASE(a_version_that_fails_at_once_is_taken_back)
{
  CheckTakenBack("all fail at once", FailingVersion(1));
  CheckTakenBack("30% fail at once", FailingVersion(0.3));
  CheckTakenBack("10% fail at once", FailingVersion(0.1));
  MoveScenario lowTraffic = FailingVersion(1);
  lowTraffic.requestsPerSecond = 2;
  CheckTakenBack("all fail at once, 2 requests/s", lowTraffic);
  lowTraffic.version.badRatio = 0.3;
  CheckTakenBack("30% fail at once, 2 requests/s", lowTraffic);
}

BOOST_AUTO_TEST_CASE(a_version_that_fails_later_is_taken_back)
{
  MoveScenario scenario = FailingVersion(0.5);
  scenario.version.badFrom = minutes(4);
  CheckTakenBack("50% fail after 4 minutes", scenario);
}

BOOST_AUTO_TEST_CASE(a_version_that_fails_under_load_is_taken_back)
{
  MoveScenario scenario = FailingVersion(0.5);
  scenario.version.fromLoadLevel = 2;
  CheckTakenBack("50% fail under load", scenario);
}

BOOST_AUTO_TEST_CASE(a_version_that_fails_on_one_route_is_taken_back)
{
  MoveScenario scenario = FailingVersion(0.5);
  scenario.version.onlyRoute = "/status";
  CheckTakenBack("50% fail on the route with 10% of requests", scenario);
  MoveWorld world(scenario, 1);
  BOOST_TEST(world.Run().reason.find("/status") != std::string::npos);
}

BOOST_AUTO_TEST_CASE(a_slow_version_is_taken_back)
{
  MoveScenario scenario;
  scenario.version.slowRatio = 0.7;
  CheckTakenBack("70% slow", scenario);
}

BOOST_AUTO_TEST_CASE(the_brake_stays_applied_while_the_log_is_down)
{
  MoveScenario scenario = FailingVersion(0.5);
  scenario.version.badFrom = minutes(4);
  scenario.logDownFrom = minutes(4);
  scenario.logDownFor = minutes(3);
  CheckTakenBack("50% fail after 4 minutes, log down", scenario);
}

BOOST_AUTO_TEST_SUITE_END()

namespace {

// An entry with agents of several versions of a pool and a move from v1 to v2.
struct MovingEntry : EntryFixture
{
  Peer AddVersion(const std::string& aName, const std::string& aVersion)
  {
    const Peer peer{ NodeIdOf(aName), Incarnation{ 1 } };
    Hello hello;
    hello.role = Role::kAgent;
    hello.name = aName;
    hello.pool = "model";
    hello.version = aVersion;
    hello.freeSlots = 4;
    this->entry.OnPeerUp(this->now, peer, hello);
    return peer;
  }

  void StartMove()
  {
    nlohmann::json body = test::MoveBody("model");
    const auto start = this->now.wall.time_since_epoch().count();
    body["started_at_ms"] = start;
    body["finish_by_ms"] = start + 600000;
    this->AddRecord(test::MakeRecord(RecordKind::kMove, "m", "c1", std::nullopt, body));
  }

  void AddRecord(const Record& aRecord)
  {
    this->entry.OnLogRecords(this->now, { { this->next++, EncodeRecord(aRecord) } });
  }

  LogOffset next = 0;
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(move_entry, MovingEntry)

BOOST_AUTO_TEST_CASE(a_new_version_without_endpoints_causes_no_refusals)
{
  const Peer oldPeer = AddVersion("agent-1", "v1");
  StartMove();
  for (std::uint64_t number = 0; number < 200; ++number) {
    Submit(number);
  }
  BOOST_TEST(port.finals.empty());
  BOOST_TEST(port.SentTo<Reserve>(oldPeer.node).size() == 200U);
}

BOOST_AUTO_TEST_CASE(a_new_version_without_capacity_falls_back_to_the_old_one)
{
  const Peer oldPeer = AddVersion("agent-1", "v1");
  const Peer newPeer = AddVersion("agent-2", "v2");
  StartMove();
  for (std::uint64_t number = 0; number < 200; ++number) {
    Submit(number);
  }
  const auto reserved = port.SentTo<Reserve>(newPeer.node);
  BOOST_REQUIRE(!reserved.empty());
  BOOST_TEST(reserved.size() <= 5U);
  for (const Reserve& reserve : reserved) {
    entry.OnMessage(now, newPeer, Refuse{ reserve.id, Reason::kOverload, seconds(1), false });
  }
  BOOST_TEST(port.finals.empty());
  BOOST_TEST(port.SentTo<Reserve>(oldPeer.node).size() == 200U);
}

BOOST_AUTO_TEST_CASE(after_a_move_any_version_serves_if_the_new_one_has_no_endpoint)
{
  StartMove();
  AddRecord(test::MakeRecord(RecordKind::kVerdict, "m", "c2", 0, test::VerdictBody("m", "done")));
  const Peer third = AddVersion("agent-3", "v3");
  Submit(1);
  BOOST_TEST(port.finals.empty());
  BOOST_TEST(port.SentTo<Reserve>(third.node).size() == 1U);
}

BOOST_AUTO_TEST_CASE(a_claimed_call_goes_to_the_version_that_its_move_chose)
{
  const Peer oldPeer = AddVersion("agent-1", "v1");
  const Peer newPeer = AddVersion("agent-2", "v2");
  StartMove();
  for (std::uint64_t number = 0; number < 100; ++number) {
    Submission submission;
    submission.id = RequestId{ 8, number };
    submission.account = "shop";
    submission.pool = "model";
    submission.route = "/order";
    submission.kind = WorkKind::kOnce;
    submission.idempotencyKey = FormatUuid(MakeUuid7(now.wall, random));
    submission.startWithin = seconds(1);
    submission.endWithin = seconds(20);
    entry.OnSubmit(now, submission);
  }
  Advance(std::chrono::milliseconds(10));
  while (!port.appends.empty()) {
    const auto appends = std::exchange(port.appends, {});
    for (const auto& [token, records] : appends) {
      entry.OnAppended(now, token, AppendResult::kAppended, next);
      for (const std::string& record : records) {
        entry.OnLogRecords(now, { { next++, record } });
      }
    }
    Advance(std::chrono::milliseconds(10));
  }
  BOOST_TEST(port.finals.empty());
  BOOST_TEST(port.SentTo<Reserve>(newPeer.node).size() <= 3U);
  BOOST_TEST(
    port.SentTo<Reserve>(oldPeer.node).size() + port.SentTo<Reserve>(newPeer.node).size() == 100U);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace caraway
