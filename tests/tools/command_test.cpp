#include "fakes.h"

#include <boost/test/unit_test.hpp>

#include <cstdio>
#include <fstream>

namespace caraway {

namespace {

constexpr const char* kPool =
  R"({"kind":"pool","name":"chat","body":{"kind":"completion","start_within_ms":2000,"end_within_ms":20000}})";

// File that its destructor removes.
class TempFile
{
public:
  explicit TempFile(const std::string& aText)
    : name("carawayctl-test-" + std::to_string(++count) + ".json")
  {
    std::ofstream(this->name) << aText;
  }
  ~TempFile() { std::remove(this->name.c_str()); }
  TempFile(const TempFile&) = delete;
  TempFile& operator=(const TempFile&) = delete;

  std::string name;

private:
  static inline int count = 0;
};

Vm MakeVm(const char* aName, Role aRole)
{
  Vm vm;
  vm.name = aName;
  vm.role = aRole;
  vm.address = "127.0.0.1";
  vm.failureDomain = "fife-a";
  vm.pool = "chat";
  vm.version = "v1";
  return vm;
}

} // namespace

BOOST_FIXTURE_TEST_SUITE(command, test::CommandFixture)

BOOST_AUTO_TEST_CASE(apply_reports_accepted_after_reading_back)
{
  const TempFile file(kPool);
  BOOST_TEST(Run({ "apply", file.name }) == kExitOk);
  BOOST_TEST(OutputContains("pool chat: accepted at offset 0"));
  BOOST_TEST(Run({ "apply", file.name }) == kExitOk);
  BOOST_TEST(OutputContains("accepted at offset 1"));
  BOOST_TEST(Run({ "get", "pool", "chat" }) == kExitOk);
  BOOST_TEST(OutputContains("revision=1"));
}

BOOST_AUTO_TEST_CASE(apply_does_not_report_accepted_during_a_log_outage)
{
  const TempFile file(kPool);
  platform.appendResults.assign(1000, AppendResult::kFailed);
  BOOST_TEST(Run({ "apply", file.name }) == kExitUnreachable);
  BOOST_TEST(OutputContains("pool chat: failed"));
  BOOST_TEST(platform.log.empty());
}

BOOST_AUTO_TEST_CASE(a_lost_append_response_is_resolved_by_reading_the_log)
{
  const TempFile file(kPool);
  platform.appendResults = { AppendResult::kUnknown };
  BOOST_TEST(Run({ "apply", file.name }) == kExitOk);
  BOOST_TEST(OutputContains("accepted at offset 0"));
  BOOST_TEST(platform.log.size() == 1U);
}

BOOST_AUTO_TEST_CASE(a_lost_append_is_retried_with_the_same_change_id)
{
  const TempFile file(kPool);
  platform.appendResults = { AppendResult::kUnknown };
  platform.isUnknownAppended = false;
  BOOST_TEST(Run({ "apply", file.name }) == kExitOk);
  BOOST_TEST(OutputContains("accepted at offset 0"));
}

BOOST_AUTO_TEST_CASE(an_outdated_base_revision_is_rejected)
{
  const TempFile first(kPool);
  Run({ "apply", first.name });
  Run({ "apply", first.name });
  std::string text = kPool;
  text.insert(1, R"("base_revision":0,)");
  const TempFile outdated(text);
  BOOST_TEST(Run({ "apply", outdated.name }) == kExitRejected);
  BOOST_TEST(OutputContains("rejected at offset 2 (outdated)"));
  BOOST_TEST(OutputContains("/base_revision: the current revision is 1"));
}

BOOST_AUTO_TEST_CASE(a_dry_run_writes_nothing)
{
  const TempFile file(kPool);
  BOOST_TEST(Run({ "apply", "--dry-run", file.name }) == kExitOk);
  BOOST_TEST(OutputContains("would be accepted"));
  BOOST_TEST(platform.log.empty());
}

BOOST_AUTO_TEST_CASE(all_findings_of_a_file_are_shown_and_nothing_is_written)
{
  const TempFile file(R"([{"kind":"pool","name":"p","body":{"kind":"fast","end_within_ms":0}},
                          {"kind":"quota","name":"q","body":{}}, 3])");
  BOOST_TEST(Run({ "apply", file.name }) == kExitUsage);
  BOOST_TEST(ErrorsContain("/0/body/kind"));
  BOOST_TEST(ErrorsContain("/0/body/end_within_ms"));
  BOOST_TEST(ErrorsContain("/0/body/start_within_ms"));
  BOOST_TEST(ErrorsContain("/1/kind"));
  BOOST_TEST(ErrorsContain("/2"));
  BOOST_TEST(platform.log.empty());
  BOOST_TEST(Run({ "check", file.name }) == kExitUsage);
  BOOST_TEST(Run({ "check", "no-such-file" }) == kExitUsage);
}

BOOST_AUTO_TEST_CASE(wait_reports_nodes_that_are_behind)
{
  const TempFile file(kPool);
  platform.vms = { MakeVm("entry-1", Role::kEntry), MakeVm("engine-1", Role::kAgent) };
  fleet.answer = [](const Vm& aVm, const std::string& aPath) {
    const bool status = aPath == "/status";
    const int next = aVm.name == "entry-1" ? 9 : 0;
    return NodeAnswer{ {},
                       static_cast<std::uint16_t>(status ? 200 : 404),
                       R"({"config_offset":)" + std::to_string(next) + "}" };
  };
  BOOST_TEST(Run({ "--timeout-ms", "1000", "apply", "--wait", file.name }) == kExitTimeout);
  BOOST_TEST(OutputContains("accepted at offset 0"));
  BOOST_TEST(OutputContains("not yet in force at engine-1\n"));
  BOOST_TEST(Run({ "--json", "--timeout-ms=1000", "apply", "--wait", file.name }) == kExitTimeout);
  BOOST_TEST(OutputContains(R"("behind":["engine-1"])"));
}

BOOST_AUTO_TEST_CASE(a_process_snapshot_is_used_when_the_log_was_truncated)
{
  const TempFile file(kPool);
  Run({ "apply", file.name });
  ConfigState state;
  state.Apply({ 0, platform.log[0] });
  platform.vms = { MakeVm("entry-1", Role::kEntry) };
  fleet.answer = [&](const Vm&, const std::string& aPath) {
    return NodeAnswer{ {},
                       static_cast<std::uint16_t>(aPath == "/snapshot" ? 200 : 404),
                       state.Snapshot() };
  };
  platform.log.emplace_back("{");
  platform.oldest = 1;
  BOOST_TEST(Run({ "get" }) == kExitOk);
  BOOST_TEST(OutputContains("pool chat"));
  fleet.answer = nullptr;
  BOOST_TEST(Run({ "get" }) == kExitUnreachable);
}

BOOST_AUTO_TEST_CASE(process_snapshots_are_shown_during_a_log_outage)
{
  const TempFile file(kPool);
  Run({ "apply", file.name });
  ConfigState state;
  state.Apply({ 0, platform.log[0] });
  platform.vms = { MakeVm("entry-1", Role::kEntry) };
  platform.readError = std::make_error_code(std::errc::connection_refused);
  BOOST_TEST(Run({ "get" }) == kExitUnreachable);
  fleet.answer = [&](const Vm&, const std::string& aPath) {
    return NodeAnswer{ {},
                       static_cast<std::uint16_t>(aPath == "/snapshot" ? 200 : 404),
                       state.Snapshot() };
  };
  BOOST_TEST(Run({ "get" }) == kExitOk);
  BOOST_TEST(OutputContains("pool chat"));
  BOOST_TEST(ErrorsContain("state of the processes, before offset 1"));
  BOOST_TEST(Run({ "move", "status" }) == kExitOk);
  BOOST_TEST(Run({ "apply", file.name }) == kExitUnreachable);
}

BOOST_AUTO_TEST_CASE(diff_shows_what_apply_would_change)
{
  const TempFile file(kPool);
  BOOST_TEST(Run({ "diff", file.name }) == kExitDiffers);
  BOOST_TEST(OutputContains("pool chat (new)"));
  Run({ "apply", file.name });
  BOOST_TEST(Run({ "diff", file.name }) == kExitOk);
}

BOOST_AUTO_TEST_CASE(a_move_is_started_shown_and_rolled_back)
{
  const std::vector<std::string> start = {
    "move", "start", "--pool", "chat",   "--from",      "v1",
    "--to", "v2",    "--name", "chat-2", "--finish-by", "20m"
  };
  BOOST_TEST(Run(start) == kExitOk);
  std::vector<std::string> conflicting = start;
  conflicting[9] = "chat-3";
  BOOST_TEST(Run(conflicting) == kExitRejected);
  BOOST_TEST(OutputContains("/body/pool: move chat-2 of this pool is running"));
  BOOST_TEST(Run({ "move", "status" }) == kExitOk);
  BOOST_TEST(OutputContains("chat-2: pool chat, v1 to v2, running"));
  BOOST_TEST(Run({ "move", "take-back", "chat-2", "--reason", "wrong weights" }) == kExitOk);
  BOOST_TEST(Run({ "move", "status", "chat-2" }) == kExitOk);
  BOOST_TEST(OutputContains("taken back (wrong weights)"));
  BOOST_TEST(Run({ "move", "take-back", "chat-2" }) == kExitRejected);
  BOOST_TEST(Run({ "move", "status", "none" }) == kExitRejected);
}

BOOST_AUTO_TEST_CASE(a_node_is_drained_and_returned_to_service)
{
  BOOST_TEST(Run({ "drain", "engine-1" }) == kExitOk);
  BOOST_TEST(Run({ "get", "drain" }) == kExitOk);
  BOOST_TEST(OutputContains(R"({"drained":true})"));
  BOOST_TEST(Run({ "drain", "engine-1", "--undo" }) == kExitOk);
  Run({ "get", "drain" });
  BOOST_TEST(OutputContains(R"({"drained":false})"));
}

BOOST_AUTO_TEST_CASE(status_reports_unreachable_processes)
{
  platform.vms = { MakeVm("entry-1", Role::kEntry), MakeVm("engine-1", Role::kAgent) };
  fleet.answer = [](const Vm& aVm, const std::string&) {
    return aVm.name == "entry-1" ? NodeAnswer{ {}, 200, R"({"config_offset":7,"requests":3})" }
                                 : NodeAnswer{ std::make_error_code(std::errc::timed_out), 0, "" };
  };
  BOOST_TEST(Run({ "status" }) == kExitUnreachable);
  BOOST_TEST(OutputContains("config_offset=7 requests=3"));
  BOOST_TEST(OutputContains("engine-1 agent fife-a chat v1 live unreachable"));
}

BOOST_AUTO_TEST_CASE(malformed_command_lines_print_an_error_and_usage)
{
  BOOST_TEST(Run({}) == kExitUsage);
  BOOST_TEST(Run({ "--help" }) == kExitOk);
  BOOST_TEST(OutputContains("carawayctl move take-back"));
  BOOST_TEST(Run({ "--version" }) == kExitOk);
  BOOST_TEST(OutputContains("carawayctl 1.0"));
  BOOST_TEST(Run({ "fly" }) == kExitUsage);
  BOOST_TEST(Run({ "apply" }) == kExitUsage);
  BOOST_TEST(ErrorsContain("example: carawayctl apply"));
  BOOST_TEST(Run({ "move", "start", "--pool", "p" }) == kExitUsage);
  BOOST_TEST(Run({ "drain", "--help" }) == kExitOk);
  BOOST_TEST(Run({ "--timeout-ms", "x", "get" }) == kExitUsage);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace caraway
