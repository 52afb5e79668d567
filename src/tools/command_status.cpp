// carawayctl status and watch: print the state of every process and new records of the log.
#include "tools/command.h"
#include "tools/config_reader.h"

#include <sstream>

namespace caraway {

namespace {

namespace po = boost::program_options;
using Json = nlohmann::json;

constexpr Duration kWatchReadWait = std::chrono::seconds(1);

// Members of a process's status in its output line, in this order.
constexpr std::array kShownMembers = {
  "config_offset", "requests", "queued",  "running", "limit",      "allowance",
  "breaker",       "leaving",  "answers", "peers",   "violations",
};

std::string FormatMember(const Json& aValue)
{
  if (aValue.is_array()) {
    return std::to_string(aValue.size());
  }
  return aValue.is_string() ? aValue.get<std::string>() : aValue.dump();
}

class StatusCommand final : public Command
{
public:
  std::string Name() const override { return "status"; }
  std::string Usage() const override { return "[NODE]"; }
  std::string Summary() const override
  {
    return "shows every process: version, load, limit, health, configuration offset";
  }
  std::vector<std::string> Examples() const override
  {
    return { "status", "status --json entry-1" };
  }

  int Run(CommandContext& aContext, const std::vector<std::string>& aArguments) override
  {
    po::options_description options;
    options.add_options()("node", po::value<std::string>()->default_value(""));
    const auto values = ParseArguments(options, { "node" }, false, aArguments);
    const auto node = values["node"].as<std::string>();
    VmAnswer list = aContext.platform.ListVms();
    if (list.error) {
      return ReportUnreachable(aContext, "VM list", list.error);
    }
    std::erase_if(list.vms, [&](const Vm& aVm) { return !node.empty() && aVm.name != node; });
    const auto answers = aContext.fleet.Get(list.vms, "/status");
    int code = list.vms.empty() && !node.empty() ? kExitRejected : kExitOk;
    for (const Vm& vm : list.vms) {
      const NodeAnswer& answer = answers.at(vm.name);
      code = std::max(code, answer.IsOk() ? kExitOk : kExitUnreachable);
      this->ShowNode(aContext, vm, answer);
    }
    return code;
  }

private:
  static void ShowNode(CommandContext& aContext, const Vm& aVm, const NodeAnswer& aAnswer)
  {
    const Json status = Json::parse(aAnswer.IsOk() ? aAnswer.body : "{}", nullptr, false);
    const char* role = aVm.role == Role::kAgent ? "agent" : "entry";
    const char* listed = aVm.state == VmState::kLive ? "live" : "leaving";
    if (aContext.json) {
      aContext.out << Json{
        { "name", aVm.name },
        { "role", role },
        { "failure_domain", aVm.failureDomain },
        { "pool", aVm.pool },
        { "version", aVm.version },
        { "listed", listed },
        { "reachable", aAnswer.IsOk() },
        { "status", status }
      }.dump() << "\n";
      return;
    }
    aContext.out << aVm.name << " " << role << " " << aVm.failureDomain;
    if (aVm.role == Role::kAgent) {
      aContext.out << " " << aVm.pool << " " << aVm.version;
    }
    aContext.out << " " << listed;
    if (!aAnswer.IsOk()) {
      aContext.out << " unreachable\n";
      return;
    }
    for (const char* member : kShownMembers) {
      if (status.is_object() && status.contains(member)) {
        aContext.out << " " << member << "=" << caraway::FormatMember(status[member]);
      }
    }
    aContext.out << "\n";
  }
};

class WatchCommand final : public Command
{
public:
  std::string Name() const override { return "watch"; }
  std::string Usage() const override { return "[--for SECONDS]"; }
  std::string Summary() const override
  {
    return "follows the log and shows each configuration change with its result";
  }
  std::vector<std::string> Examples() const override
  {
    return { "watch", "watch --json --for 60" };
  }

  int Run(CommandContext& aContext, const std::vector<std::string>& aArguments) override
  {
    po::options_description options;
    options.add_options()("for", po::value<std::uint32_t>()->default_value(0));
    const auto values = ParseArguments(options, {}, false, aArguments);
    const auto seconds = values["for"].as<std::uint32_t>();
    const TimePoint end =
      seconds == 0 ? kNever : aContext.waiter.Read().steady + std::chrono::seconds(seconds);
    ConfigReader reader(aContext.platform, aContext.fleet);
    if (const std::error_code error = reader.CatchUp()) {
      return ReportUnreachable(aContext, "log", error);
    }
    aContext.err << "carawayctl: watching from offset " << reader.State().Next() << "\n";
    while (aContext.waiter.Read().steady < end) {
      std::vector<Applied> results;
      if (reader.ReadNext(kWatchReadWait, results)) {
        aContext.waiter.Sleep(std::chrono::seconds(1));
      }
      for (const Applied& applied : results) {
        this->ShowResult(aContext, applied);
      }
    }
    return kExitOk;
  }

private:
  static void ShowResult(CommandContext& aContext, const Applied& aApplied)
  {
    if (aContext.json) {
      aContext.out << Json{
        { "offset", aApplied.offset },
        { "kind", ToString(aApplied.kind) },
        { "name", aApplied.name },
        { "change_id", aApplied.changeId },
        { "result", ToString(aApplied.result) },
        { "findings", FindingsJson(aApplied.findings) }
      }.dump() << std::endl;
      return;
    }
    aContext.out << aApplied.offset << " " << ToString(aApplied.kind) << " " << aApplied.name << " "
                 << ToString(aApplied.result) << std::endl;
    PrintFindings(aContext.out, std::to_string(aApplied.offset), aApplied.findings);
  }
};

} // namespace

std::unique_ptr<Command> MakeStatusCommand()
{
  return std::make_unique<StatusCommand>();
}

std::unique_ptr<Command> MakeWatchCommand()
{
  return std::make_unique<WatchCommand>();
}

} // namespace caraway
