// carawayctl move and drain: start, show and roll back version moves; drain nodes.
#include "core/uuid.h"
#include "tools/change_report.h"
#include "tools/command.h"
#include "tools/time_text.h"

#include <set>

namespace caraway {

namespace {

namespace po = boost::program_options;
using Json = nlohmann::json;

Record NewRecord(CommandContext& aContext, RecordKind aKind, const std::string& aName)
{
  Record record;
  record.kind = aKind;
  record.kindName = ToString(aKind);
  record.name = aName;
  record.changeId = FormatUuid(MakeUuid7(aContext.waiter.Read().wall, aContext.random));
  return record;
}

const char* StageName(MoveStage aStage)
{
  switch (aStage) {
    case MoveStage::kRunning:
      return "running";
    case MoveStage::kDone:
      return "done";
    case MoveStage::kRolledBack:
      return "taken back";
  }
  return "invalid";
}

class MoveStartCommand final : public Command
{
public:
  std::string Name() const override { return "move start"; }
  std::string Usage() const override
  {
    return "--pool POOL --from VERSION --to VERSION --finish-by TIME [--name NAME] [--wait] "
           "[--dry-run]";
  }
  std::string Summary() const override
  {
    return "moves a pool's traffic to another version by a given time";
  }
  std::vector<std::string> Examples() const override
  {
    return { "move start --pool chat --from v1 --to v2 --finish-by 20m",
             "move start --pool chat --from v1 --to v2 --finish-by 2026-12-04T18:00:00Z --wait" };
  }

  int Run(CommandContext& aContext, const std::vector<std::string>& aArguments) override
  {
    po::options_description options;
    options.add_options()("pool", po::value<std::string>()->required())(
      "from", po::value<std::string>()->required())("to", po::value<std::string>()->required())(
      "finish-by",
      po::value<std::string>()->required())("name", po::value<std::string>()->default_value(""))(
      "wait", po::bool_switch())("dry-run", po::bool_switch());
    const auto values = ParseArguments(options, {}, false, aArguments);
    const WallTime now = aContext.waiter.Read().wall;
    const auto finish = ParseTime(values["finish-by"].as<std::string>(), now);
    if (!finish) {
      throw po::error("--finish-by must be a time such as 20m or 2026-12-04T18:00:00Z");
    }
    const auto pool = values["pool"].as<std::string>();
    const auto to = values["to"].as<std::string>();
    const auto requestedName = values["name"].as<std::string>();
    const std::string generatedName =
      pool + "-" + to + "-" + std::to_string(now.time_since_epoch().count());
    Record record =
      NewRecord(aContext, RecordKind::kMove, requestedName.empty() ? generatedName : requestedName);
    record.body = { { "pool", pool },
                    { "from", values["from"].as<std::string>() },
                    { "to", to },
                    { "started_at_ms", now.time_since_epoch().count() },
                    { "finish_by_ms", finish->time_since_epoch().count() } };
    std::vector<Finding> findings;
    CheckBody(record, findings);
    PrintFindings(aContext.err, "move " + record.name, findings);
    if (!findings.empty()) {
      return kExitUsage;
    }
    ConfigReader reader(aContext.platform, aContext.fleet);
    if (const std::error_code error = reader.CatchUp()) {
      return ReportUnreachable(aContext, "log", error);
    }
    ChangeWriter writer(aContext.platform, reader, aContext.waiter);
    writer.SetBaseRevision(record);
    if (values["dry-run"].as<bool>()) {
      return ShowDryRun(aContext, record, writer.DryRun(record));
    }
    return ApplyAndShow(aContext, writer, record, values["wait"].as<bool>());
  }
};

// Lowest and highest share of a route at any entry, and the request counts of all entries.
struct RouteShares
{
  double lowest = 1;
  double highest = 0;
  double sent = 0;
  double total = 0;
};

using SharesByRoute = std::map<std::string, RouteShares>;

// Adds one entry's shares of a move.
void AddShares(const Json& aMove, SharesByRoute& aShares)
{
  for (const Json& route : aMove.value("routes", Json::array())) {
    RouteShares& shares = aShares[route.value("route", "")];
    const double share = route.value("share", 0.0);
    shares.lowest = std::min(shares.lowest, share);
    shares.highest = std::max(shares.highest, share);
    shares.sent += route.value("sent", 0.0);
    shares.total += route.value("total", 0.0);
  }
}

class MoveStatusCommand final : public Command
{
public:
  std::string Name() const override { return "move status"; }
  std::string Usage() const override { return "[NAME]"; }
  std::string Summary() const override
  {
    return "shows moves (running, done or taken back) and the traffic shares at the entries";
  }
  std::vector<std::string> Examples() const override
  {
    return { "move status", "move status --json chat-v2" };
  }

  int Run(CommandContext& aContext, const std::vector<std::string>& aArguments) override
  {
    po::options_description options;
    options.add_options()("name", po::value<std::string>()->default_value(""));
    const auto values = ParseArguments(options, { "name" }, false, aArguments);
    const auto name = values["name"].as<std::string>();
    ConfigReader reader(aContext.platform, aContext.fleet);
    if (const int code = CatchUpForDisplay(aContext, reader); code != kExitOk) {
      return code;
    }
    const auto shares = this->FetchShares(aContext);
    bool isFound = name.empty();
    for (const auto& [moveName, move] : reader.State().Moves()) {
      if (name.empty() || moveName == name) {
        isFound = true;
        const auto entryShares = shares.find(moveName);
        this->Show(aContext, move,
                   entryShares == shares.end() ? SharesByRoute{} : entryShares->second);
      }
    }
    if (!isFound) {
      aContext.err << "carawayctl: unknown move " << name << "\n";
    }
    return isFound ? kExitOk : kExitRejected;
  }

private:
  static std::map<std::string, SharesByRoute> FetchShares(CommandContext& aContext)
  {
    std::vector<Vm> entries = aContext.platform.ListVms().vms;
    std::erase_if(entries, [](const Vm& aVm) { return aVm.role != Role::kEntry; });
    std::map<std::string, SharesByRoute> shares;
    for (const auto& [node, answer] : aContext.fleet.Get(entries, "/status")) {
      const Json status = Json::parse(answer.IsOk() ? answer.body : "{}", nullptr, false);
      if (!status.is_object()) {
        continue;
      }
      for (const Json& move : status.value("moves", Json::array())) {
        AddShares(move, shares[move.value("move", "")]);
      }
    }
    return shares;
  }

  static void Show(CommandContext& aContext, const Move& aMove, const SharesByRoute& aShares)
  {
    if (aContext.json) {
      Json routes = Json::array();
      for (const auto& [route, shares] : aShares) {
        routes.push_back({ { "route", route },
                           { "lowest_share", shares.lowest },
                           { "highest_share", shares.highest },
                           { "sent", shares.sent },
                           { "total", shares.total } });
      }
      aContext.out << Json{
        { "move", aMove.name },
        { "pool", aMove.pool },
        { "from", aMove.from },
        { "to", aMove.to },
        { "stage", StageName(aMove.stage) },
        { "reason", aMove.reason },
        { "finish_by", FormatTime(aMove.finishBy) },
        { "revision", aMove.revision },
        { "routes", std::move(routes) }
      }.dump() << "\n";
      return;
    }
    aContext.out << aMove.name << ": pool " << aMove.pool << ", " << aMove.from << " to "
                 << aMove.to << ", " << StageName(aMove.stage);
    if (!aMove.reason.empty()) {
      aContext.out << " (" << aMove.reason << ")";
    }
    aContext.out << ", finish by " << FormatTime(aMove.finishBy) << "\n";
    for (const auto& [route, shares] : aShares) {
      aContext.out << "  " << route << ": share " << shares.lowest << " to " << shares.highest
                   << ", " << shares.sent << " of " << shares.total << " requests\n";
    }
  }
};

class MoveRollbackCommand final : public Command
{
public:
  std::string Name() const override { return "move take-back"; }
  std::string Usage() const override { return "NAME [--reason TEXT] [--wait]"; }
  std::string Summary() const override
  {
    return "ends a running move and returns all traffic to the old version";
  }
  std::vector<std::string> Examples() const override
  {
    return { "move take-back chat-v2 --reason \"wrong weights\" --wait" };
  }

  int Run(CommandContext& aContext, const std::vector<std::string>& aArguments) override
  {
    po::options_description options;
    options.add_options()("name", po::value<std::string>()->required())(
      "reason", po::value<std::string>()->default_value("taken back by an operator"))(
      "wait", po::bool_switch());
    const auto values = ParseArguments(options, { "name" }, false, aArguments);
    const auto name = values["name"].as<std::string>();
    ConfigReader reader(aContext.platform, aContext.fleet);
    if (const std::error_code error = reader.CatchUp()) {
      return ReportUnreachable(aContext, "log", error);
    }
    const Move* move = reader.State().FindMove(name);
    if (move == nullptr || move->stage != MoveStage::kRunning) {
      aContext.err << "carawayctl: move " << name
                   << (move == nullptr ? " does not exist" : " is not running") << "\n";
      return kExitRejected;
    }
    Record record = NewRecord(aContext, RecordKind::kVerdict, name);
    record.baseRevision = move->revision;
    record.body = { { "move", name },
                    { "stage", "taken_back" },
                    { "reason", values["reason"].as<std::string>() } };
    ChangeWriter writer(aContext.platform, reader, aContext.waiter);
    return ApplyAndShow(aContext, writer, record, values["wait"].as<bool>());
  }
};

class DrainCommand final : public Command
{
public:
  std::string Name() const override { return "drain"; }
  std::string Usage() const override { return "NODE [--undo] [--wait]"; }
  std::string Summary() const override
  {
    return "stops sending new work to a node; running requests finish";
  }
  std::vector<std::string> Examples() const override
  {
    return { "drain engine-7 --wait", "drain engine-7 --undo" };
  }

  int Run(CommandContext& aContext, const std::vector<std::string>& aArguments) override
  {
    po::options_description options;
    options.add_options()("node", po::value<std::string>()->required())("undo", po::bool_switch())(
      "wait", po::bool_switch());
    const auto values = ParseArguments(options, { "node" }, false, aArguments);
    ConfigReader reader(aContext.platform, aContext.fleet);
    if (const std::error_code error = reader.CatchUp()) {
      return ReportUnreachable(aContext, "log", error);
    }
    Record record = NewRecord(aContext, RecordKind::kDrain, values["node"].as<std::string>());
    record.body = { { "drained", !values["undo"].as<bool>() } };
    ChangeWriter writer(aContext.platform, reader, aContext.waiter);
    writer.SetBaseRevision(record);
    return ApplyAndShow(aContext, writer, record, values["wait"].as<bool>());
  }
};

} // namespace

std::unique_ptr<Command> MakeMoveStartCommand()
{
  return std::make_unique<MoveStartCommand>();
}

std::unique_ptr<Command> MakeMoveStatusCommand()
{
  return std::make_unique<MoveStatusCommand>();
}

std::unique_ptr<Command> MakeMoveRollbackCommand()
{
  return std::make_unique<MoveRollbackCommand>();
}

std::unique_ptr<Command> MakeDrainCommand()
{
  return std::make_unique<DrainCommand>();
}

} // namespace caraway
