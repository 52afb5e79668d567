// carawayctl get and diff: print the records in force and the differences of files from them.
#include "tools/command.h"
#include "tools/config_reader.h"
#include "tools/record_file.h"

namespace caraway {

namespace {

namespace po = boost::program_options;
using Json = nlohmann::json;

Json ToJson(const ConfigState::Stored& aStored)
{
  return { { "schema_version", aStored.record.schemaVersion },
           { "kind", aStored.record.kindName },
           { "name", aStored.record.name },
           { "change_id", aStored.record.changeId },
           { "revision", aStored.revision },
           { "body", aStored.record.body } };
}

constexpr std::array kShownKinds = {
  RecordKind::kAccount, RecordKind::kTier,  RecordKind::kPool,  RecordKind::kMove,
  RecordKind::kVerdict, RecordKind::kDrain, RecordKind::kOrder, RecordKind::kUnknown,
};

class GetCommand final : public Command
{
public:
  std::string Name() const override { return "get"; }
  std::string Usage() const override { return "[KIND [NAME]]"; }
  std::string Summary() const override { return "shows records with their revisions"; }
  std::vector<std::string> Examples() const override
  {
    return { "get", "get account", "get --json pool chat" };
  }

  int Run(CommandContext& aContext, const std::vector<std::string>& aArguments) override
  {
    po::options_description options;
    options.add_options()("kind", po::value<std::string>()->default_value(""))(
      "name", po::value<std::string>()->default_value(""));
    const auto values = ParseArguments(options, { "kind", "name" }, false, aArguments);
    const auto kindName = values["kind"].as<std::string>();
    const auto name = values["name"].as<std::string>();
    if (!kindName.empty() && RecordKindOf(kindName) == RecordKind::kUnknown &&
        kindName != "unknown") {
      aContext.err << "carawayctl: unknown record kind " << kindName << "\n";
      return kExitUsage;
    }
    ConfigReader reader(aContext.platform, aContext.fleet);
    if (const int code = CatchUpForDisplay(aContext, reader); code != kExitOk) {
      return code;
    }
    Json list = Json::array();
    for (const RecordKind kind : kShownKinds) {
      if (!kindName.empty() && kind != RecordKindOf(kindName)) {
        continue;
      }
      for (const ConfigState::Stored* stored : reader.State().List(kind)) {
        if (name.empty() || stored->record.name == name) {
          list.push_back(ToJson(*stored));
        }
      }
    }
    this->Show(aContext, list, reader.State().Next());
    return list.empty() && !name.empty() ? kExitRejected : kExitOk;
  }

private:
  static void Show(CommandContext& aContext, const Json& aList, LogOffset aNext)
  {
    if (aContext.json) {
      aContext.out << Json{ { "next", aNext }, { "records", aList } }.dump() << "\n";
      return;
    }
    for (const Json& item : aList) {
      aContext.out << item["kind"].get<std::string>() << " " << item["name"].get<std::string>()
                   << " revision=" << item["revision"]
                   << " schema_version=" << item["schema_version"] << " " << item["body"].dump()
                   << "\n";
    }
  }
};

class DiffCommand final : public Command
{
public:
  std::string Name() const override { return "diff"; }
  std::string Usage() const override { return "FILE..."; }
  std::string Summary() const override
  {
    return "shows what apply would change, as JSON patches; exit code 5 if files and records "
           "differ";
  }
  std::vector<std::string> Examples() const override { return { "diff accounts.json" }; }

  int Run(CommandContext& aContext, const std::vector<std::string>& aArguments) override
  {
    po::options_description options;
    options.add_options()("file", po::value<std::vector<std::string>>()->required());
    const auto values = ParseArguments(options, { "file" }, true, aArguments);
    ConfigReader reader(aContext.platform, aContext.fleet);
    if (const std::error_code error = reader.CatchUp()) {
      return ReportUnreachable(aContext, "log", error);
    }
    int code = kExitOk;
    for (const auto& file : values["file"].as<std::vector<std::string>>()) {
      const std::optional<std::string> text = ReadTextFile(file);
      std::vector<Finding> findings;
      if (!text) {
        findings.push_back({ "", "cannot be read" });
      }
      const Now now = aContext.waiter.Read();
      const auto records = ReadRecords(text.value_or("[]"), now.wall, aContext.random, findings);
      PrintFindings(aContext.err, file, findings);
      if (!findings.empty()) {
        return kExitUsage;
      }
      for (const FileRecord& item : records) {
        code = std::max(code, this->Show(aContext, item.record, reader.State()));
      }
    }
    return code;
  }

private:
  static int Show(CommandContext& aContext, const Record& aRecord, const ConfigState& aState)
  {
    const auto* current = aState.Find(aRecord.kind, aRecord.name);
    const Json patch = Json::diff(current ? current->record.body : Json(nullptr), aRecord.body);
    if (aContext.json) {
      aContext.out << Json{
        { "kind", aRecord.kindName },
        { "name", aRecord.name },
        { "exists", current != nullptr },
        { "patch", patch }
      }.dump() << "\n";
    } else if (!patch.empty()) {
      aContext.out << aRecord.kindName << " " << aRecord.name << (current ? "" : " (new)") << "\n";
      for (const Json& step : patch) {
        aContext.out << "  " << step.dump() << "\n";
      }
    }
    return patch.empty() ? kExitOk : kExitDiffers;
  }
};

} // namespace

std::unique_ptr<Command> MakeGetCommand()
{
  return std::make_unique<GetCommand>();
}

std::unique_ptr<Command> MakeDiffCommand()
{
  return std::make_unique<DiffCommand>();
}

} // namespace caraway
