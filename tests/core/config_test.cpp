#include "core/config.h"
#include "core/config_feed.h"
#include "core/snapshot.h"
#include "property.h"
#include "records.h"

#include <boost/test/unit_test.hpp>

namespace caraway {

using test::AccountBody;
using test::MakeRecord;
using test::MoveBody;
using test::VerdictBody;

namespace {

using Log = std::vector<std::string>;

Applied ApplyRecord(ConfigState& aState, const Record& aRecord)
{
  return aState.Apply({ aState.Next(), EncodeRecord(aRecord) });
}

Applied ApplyAccount(ConfigState& aState, const char* aChange, std::optional<LogOffset> aBase,
                     char aDigit, const char* aName = "shop")
{
  return ApplyRecord(aState,
                     MakeRecord(RecordKind::kAccount, aName, aChange, aBase, AccountBody(aDigit)));
}

ConfigState Replay(const Log& aLog, LogOffset aFrom = 0, ConfigState aState = {})
{
  for (LogOffset offset = aFrom; offset < aLog.size(); ++offset) {
    aState.Apply({ offset, aLog[offset] });
  }
  return aState;
}

void ReadFrom(ConfigFeed& aFeed, const Log& aLog, LogOffset aFrom)
{
  for (LogOffset offset = aFrom; offset < aLog.size(); ++offset) {
    aFeed.ApplyRecords({ { offset, aLog[offset] } });
  }
}

// State after the first aCount records.
ConfigState ReplayHead(const Log& aLog, std::size_t aCount)
{
  Log head = aLog;
  head.resize(aCount);
  return Replay(head);
}

Record ArbitraryRecord()
{
  const auto kind = *rc::gen::element(RecordKind::kAccount, RecordKind::kPool, RecordKind::kMove,
                                      RecordKind::kVerdict, RecordKind::kDrain);
  const auto name = *rc::gen::element<std::string>("a", "b");
  const auto change = "c" + std::to_string(*rc::gen::inRange(0, 60));
  const auto drawn = *rc::gen::inRange<LogOffset>(0, 31);
  const auto base = drawn == 30 ? std::nullopt : std::optional(drawn);
  nlohmann::json body;
  if (kind == RecordKind::kAccount) {
    body = AccountBody(*rc::gen::element('a', 'b', 'c'));
  } else if (kind == RecordKind::kPool) {
    body = { { "kind", "service" }, { "start_within_ms", 1 }, { "end_within_ms", 5 } };
  } else if (kind == RecordKind::kMove) {
    body = MoveBody(name);
  } else if (kind == RecordKind::kVerdict) {
    body = VerdictBody(name, "done");
  } else {
    body = { { "drained", *rc::gen::arbitrary<bool>() } };
  }
  Record record = MakeRecord(kind, name, change, base, body);
  record.schemaVersion = *rc::gen::element(2U, 2U, 2U, 3U);
  record.body = *rc::gen::weightedElement<nlohmann::json>({ { 9, body }, { 1, nullptr } });
  return record;
}

// A log of arbitrary records. Most base revisions are corrected, so that many records are applied.
Log ArbitraryLog()
{
  Log log;
  ConfigState state;
  const auto length = *rc::gen::inRange(0, 40);
  for (int index = 0; index < length; ++index) {
    Record record = ArbitraryRecord();
    if (*rc::gen::inRange(0, 4) != 0) {
      const auto kind = record.kind == RecordKind::kVerdict ? RecordKind::kMove : record.kind;
      const auto* current = state.Find(kind, record.name);
      record.baseRevision = current ? std::optional(current->revision) : std::nullopt;
    }
    log.push_back(*rc::gen::weightedElement<std::string>(
      { { 12, EncodeRecord(record) }, { 1, "{" }, { 1, "" } }));
    state.Apply({ state.Next(), log.back() });
  }
  return log;
}

} // namespace

BOOST_AUTO_TEST_SUITE(config)

BOOST_AUTO_TEST_CASE(an_outdated_base_is_rejected_with_its_place)
{
  ConfigState state;
  BOOST_TEST((ApplyAccount(state, "c1", std::nullopt, 'a').result == ApplyResult::kApplied));
  BOOST_TEST((ApplyAccount(state, "c2", 0, 'b').result == ApplyResult::kApplied));
  const Applied late = ApplyAccount(state, "c3", 0, 'c');
  BOOST_TEST((late.result == ApplyResult::kOutdated));
  BOOST_REQUIRE(late.findings.size() == 1U);
  BOOST_TEST(late.findings[0].place == "/base_revision");
  BOOST_TEST(state.FindAccountByKey(test::HashText('b')) != nullptr);
  BOOST_TEST(state.FindAccountByKey(test::HashText('a')) == nullptr);
  BOOST_TEST(state.FindAccountByKey(test::HashText('c')) == nullptr);
}

BOOST_AUTO_TEST_CASE(a_repeated_change_is_ignored)
{
  ConfigState state;
  ApplyAccount(state, "c1", std::nullopt, 'a');
  ApplyAccount(state, "c2", 0, 'b');
  BOOST_TEST((ApplyAccount(state, "c1", std::nullopt, 'a').result == ApplyResult::kRepeated));
  BOOST_TEST(state.FindAccountByKey(test::HashText('b')) != nullptr);
  BOOST_TEST((state.ResultOf("c1")->result == ApplyResult::kApplied));
  BOOST_TEST(state.ResultOf("c1")->offset == 0U);
}

BOOST_AUTO_TEST_CASE(two_accounts_cannot_have_the_same_key)
{
  ConfigState state;
  ApplyAccount(state, "c1", std::nullopt, 'a');
  const Applied second = ApplyAccount(state, "c2", std::nullopt, 'a', "other");
  BOOST_TEST((second.result == ApplyResult::kInvalid));
  BOOST_TEST(second.findings.at(0).place == "/body/key_hashes/0");
}

BOOST_AUTO_TEST_CASE(a_newer_schema_is_kept_and_the_last_readable_record_stays_in_force)
{
  ConfigState state;
  ApplyAccount(state, "c1", std::nullopt, 'a');
  Record newer = MakeRecord(RecordKind::kAccount, "shop", "c2", 0, { { "secrets", 3 } });
  newer.schemaVersion = 3;
  BOOST_TEST((ApplyRecord(state, newer).result == ApplyResult::kUnknown));
  BOOST_TEST(state.Find(RecordKind::kAccount, "shop")->revision == 1U);
  BOOST_TEST(state.FindAccountByKey(test::HashText('a')) != nullptr);
  ConfigState restored;
  BOOST_TEST(restored.Restore(state.Snapshot()));
  BOOST_TEST(restored.FindAccountByKey(test::HashText('a')) != nullptr);
  BOOST_TEST((ApplyAccount(state, "c3", 0, 'b').result == ApplyResult::kOutdated));
  BOOST_TEST((ApplyAccount(state, "c4", 1, 'b').result == ApplyResult::kApplied));
  BOOST_TEST(state.FindAccountByKey(test::HashText('b')) != nullptr);
}

BOOST_AUTO_TEST_CASE(the_first_verdict_wins)
{
  ConfigState state;
  ApplyRecord(state, MakeRecord(RecordKind::kMove, "m", "c1", std::nullopt, MoveBody("chat")));
  const auto verdict = [&](const char* aChange, const char* aStage, LogOffset aBase) {
    return ApplyRecord(
      state, MakeRecord(RecordKind::kVerdict, "m", aChange, aBase, VerdictBody("m", aStage)));
  };
  BOOST_TEST((verdict("c2", "taken_back", 0).result == ApplyResult::kApplied));
  BOOST_TEST((verdict("c3", "done", 0).result == ApplyResult::kOutdated));
  BOOST_TEST((state.FindMove("m")->stage == MoveStage::kRolledBack));
  ApplyRecord(state, MakeRecord(RecordKind::kMove, "m", "c4", 0, MoveBody("chat")));
  BOOST_TEST((state.FindMove("m")->stage == MoveStage::kRunning));
  BOOST_TEST((verdict("c5", "done", 0).result == ApplyResult::kOutdated));
  BOOST_TEST((state.FindMove("m")->stage == MoveStage::kRunning));
}

BOOST_AUTO_TEST_CASE(one_move_runs_per_pool_and_finished_moves_are_bounded)
{
  ConfigState state;
  for (int index = 0; index < 20; ++index) {
    const std::string name = "m" + std::to_string(index);
    const LogOffset offset = state.Next();
    ApplyRecord(state, MakeRecord(RecordKind::kMove, name, name, std::nullopt, MoveBody("chat")));
    const auto racing =
      MakeRecord(RecordKind::kMove, "other", "o" + name, std::nullopt, MoveBody("chat"));
    BOOST_TEST((ApplyRecord(state, racing).result == ApplyResult::kInvalid));
    ApplyRecord(
      state, MakeRecord(RecordKind::kVerdict, name, "v" + name, offset, VerdictBody(name, "done")));
  }
  BOOST_TEST(state.Moves().size() == 8U);
  BOOST_TEST(state.FindMoveOfPool("chat")->name == "m19");
  BOOST_TEST(state.List(RecordKind::kVerdict).size() == 8U);
}

BOOST_AUTO_TEST_CASE(a_null_body_removes_a_record)
{
  ConfigState state;
  ApplyAccount(state, "c1", std::nullopt, 'a');
  ApplyRecord(state, MakeRecord(RecordKind::kAccount, "shop", "c2", 0, nullptr));
  BOOST_TEST(state.FindAccount("shop") == nullptr);
  BOOST_TEST(state.FindAccountByKey(test::HashText('a')) == nullptr);
  BOOST_TEST((ApplyAccount(state, "c3", std::nullopt, 'a').result == ApplyResult::kApplied));
}

BOOST_AUTO_TEST_CASE(a_reader_behind_retention_restores_from_the_newest_snapshot)
{
  ConfigState full;
  Log log;
  const auto append = [&](const std::string& aText) {
    full.Apply({ full.Next(), aText });
    log.push_back(aText);
  };
  append(
    EncodeRecord(MakeRecord(RecordKind::kAccount, "shop", "c1", std::nullopt, AccountBody('a'))));
  append(EncodeRecord(
    MakeRecord(RecordKind::kDrain, "n1", "c2", std::nullopt, { { "drained", true } })));
  const std::string snapshot = EncodeRecord(MakeSnapshotRecord(full, "s1"));
  append(EncodeRecord(MakeRecord(RecordKind::kAccount, "shop", "c3", 0, AccountBody('b'))));
  append(snapshot);
  append(
    EncodeRecord(MakeRecord(RecordKind::kAccount, "late", "c4", std::nullopt, AccountBody('c'))));
  ConfigFeed late(100);
  ReadFrom(late, log, 2);
  BOOST_TEST(late.Next() == 5U);
  BOOST_TEST(late.State().Snapshot() == full.Snapshot());
  ConfigFeed unrecoverable(100);
  ReadFrom(unrecoverable, log, 4);
  BOOST_TEST(unrecoverable.Next() == 0U);
  BOOST_TEST(unrecoverable.NextRead() == 5U);
}

BOOST_AUTO_TEST_CASE(restoring_never_moves_the_state_backwards)
{
  ConfigState state;
  ApplyAccount(state, "c1", std::nullopt, 'a');
  const std::string old = state.Snapshot();
  ApplyAccount(state, "c2", 0, 'b');
  BOOST_TEST(!state.Restore(old));
  BOOST_TEST(!state.Restore("{"));
  BOOST_TEST(!state.Restore(R"({"schema_version":2,"next":99})"));
  BOOST_TEST(state.FindAccountByKey(test::HashText('b')) != nullptr);
}

BOOST_AUTO_TEST_CASE(malformed_snapshot_records_change_nothing)
{
  ConfigState state;
  const auto covers = nlohmann::json::parse(R"([{"covers":"x","state":{}},{"covers":900,"state":{}},
    {"covers":0,"state":3},{},null])");
  for (const auto& body : covers) {
    const auto record = MakeRecord(RecordKind::kSnapshot, "config", "s", std::nullopt, body);
    BOOST_TEST((ApplyRecord(state, record).result == ApplyResult::kNotConfig));
    state.Apply({ state.Next() + 7, EncodeRecord(record) });
  }
  BOOST_TEST(state.SnapshotCovers() == 0U);
}

BOOST_AUTO_TEST_CASE(results_of_changes_are_bounded)
{
  ConfigState state;
  for (int index = 0; index < 5000; ++index) {
    const std::string change = "c" + std::to_string(index);
    const std::optional<LogOffset> base =
      index == 0 ? std::nullopt : std::optional<LogOffset>(index - 1);
    ApplyAccount(state, change.c_str(), base, 'a');
  }
  BOOST_TEST(!state.ResultOf("c0").has_value());
  BOOST_TEST(state.ResultOf("c4999").has_value());
  BOOST_TEST((ApplyAccount(state, "c0", std::nullopt, 'b').result == ApplyResult::kOutdated));
}

BOOST_AUTO_TEST_CASE(one_of_two_entries_writes_the_snapshot)
{
  Random random(7);
  SnapshotOptions options;
  options.records = 3;
  SnapshotController first(options, random);
  SnapshotController second(options, random);
  ConfigState state;
  for (const char* change : { "c1", "c2", "c3" }) {
    BOOST_TEST(!first.Poll({}, state).has_value());
    ApplyAccount(state, change, std::nullopt, 'a');
  }
  int written = 0;
  for (int second100 = 0; second100 < 200; ++second100) {
    const Now now{ TimePoint(std::chrono::milliseconds(100 * second100)), {} };
    for (SnapshotController* controller : { &first, &second }) {
      if (const auto record = controller->Poll(now, state)) {
        state.Apply({ state.Next(), *record });
        ++written;
      }
    }
  }
  BOOST_TEST(written == 1);
  BOOST_TEST(state.SnapshotCovers() == 3U);
}

BOOST_AUTO_TEST_CASE(state_is_a_pure_function_of_the_log)
{
  test::CheckProperty("snapshot and tail equal the full replay", [] {
    const Log log = ArbitraryLog();
    const ConfigState full = Replay(log);
    RC_ASSERT(full.Next() == log.size());
    const auto cut = *rc::gen::inRange<std::size_t>(0, log.size() + 1);
    const ConfigState head = ReplayHead(log, cut);
    ConfigState restored;
    RC_ASSERT(restored.Restore(head.Snapshot()) == (cut > 0));
    const ConfigState joined = Replay(log, cut, restored);
    RC_ASSERT(joined.Snapshot() == full.Snapshot());
  });
}

BOOST_AUTO_TEST_CASE(every_reader_of_a_truncated_log_reaches_the_same_state)
{
  test::CheckProperty("a snapshot in the log fills the gap", [] {
    Log log = ArbitraryLog();
    const auto covers = *rc::gen::inRange<std::size_t>(0, log.size() + 1);
    const ConfigState head = ReplayHead(log, covers);
    const auto place = *rc::gen::inRange<std::size_t>(covers, log.size() + 1);
    log.insert(std::next(log.begin(), static_cast<std::ptrdiff_t>(place)),
               EncodeRecord(MakeSnapshotRecord(head, "s")));
    const ConfigState full = Replay(log);
    const auto oldest = *rc::gen::inRange<std::size_t>(0, covers + 1);
    ConfigFeed reader(3);
    LogOffset seen = 0;
    for (LogOffset offset = oldest; offset < log.size(); ++offset) {
      const auto back = *rc::gen::inRange<std::size_t>(0, 3);
      const auto from = std::max<LogOffset>(oldest, offset > back ? offset - back : 0);
      for (LogOffset again = from; again <= offset; ++again) {
        reader.ApplyRecords({ { again, log[again] } });
        RC_ASSERT(reader.Next() >= seen);
        seen = reader.Next();
      }
    }
    RC_ASSERT(reader.State().Snapshot() == full.Snapshot());
  });
}

BOOST_AUTO_TEST_CASE(repeated_and_outdated_changes_do_not_change_the_state)
{
  test::CheckProperty("only applied and unknown records change what is stored", [] {
    const Log log = ArbitraryLog();
    ConfigState state;
    for (const std::string& text : log) {
      const auto before = nlohmann::json::parse(state.Snapshot());
      const Applied applied = state.Apply({ state.Next(), text });
      const auto after = nlohmann::json::parse(state.Snapshot());
      const bool changed =
        before["stored"] != after["stored"] || before["understood"] != after["understood"];
      const bool mayChange =
        applied.result == ApplyResult::kApplied || applied.result == ApplyResult::kUnknown;
      RC_ASSERT(changed == mayChange);
    }
  });
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace caraway
