// carawayctl apply: writes records and prints their results.
#include "tools/change_report.h"
#include "tools/command.h"
#include "tools/record_file.h"

namespace caraway {

namespace {

namespace po = boost::program_options;

class ApplyCommand final : public Command
{
public:
  std::string Name() const override { return "apply"; }
  std::string Usage() const override { return "[--dry-run] [--wait] FILE..."; }
  std::string Summary() const override
  {
    return "writes the records in the files and reads them back; prints accepted or rejected";
  }
  std::vector<std::string> Examples() const override
  {
    return { "apply accounts.json", "apply --dry-run pools.json", "apply --wait - <move.json" };
  }

  int Run(CommandContext& aContext, const std::vector<std::string>& aArguments) override
  {
    po::options_description options;
    options.add_options()("dry-run", po::bool_switch())("wait", po::bool_switch())(
      "file", po::value<std::vector<std::string>>()->required());
    const auto values = ParseArguments(options, { "file" }, true, aArguments);
    std::vector<FileRecord> records;
    for (const auto& file : values["file"].as<std::vector<std::string>>()) {
      if (!this->Read(aContext, file, records)) {
        return kExitUsage;
      }
    }
    ConfigReader reader(aContext.platform, aContext.fleet);
    if (const std::error_code error = reader.CatchUp()) {
      return ReportUnreachable(aContext, "log", error);
    }
    ChangeWriter writer(aContext.platform, reader, aContext.waiter);
    int code = kExitOk;
    for (FileRecord& item : records) {
      if (!item.hasBase) {
        writer.SetBaseRevision(item.record);
      }
      const int result = values["dry-run"].as<bool>()
                           ? ShowDryRun(aContext, item.record, writer.DryRun(item.record))
                           : ApplyAndShow(aContext, writer, item.record, values["wait"].as<bool>());
      code = std::max(code, result);
    }
    return code;
  }

private:
  static bool Read(CommandContext& aContext, const std::string& aFile,
                   std::vector<FileRecord>& aRecords)
  {
    const std::optional<std::string> text = ReadTextFile(aFile);
    if (!text) {
      aContext.err << aFile << ": cannot be read\n";
      return false;
    }
    std::vector<Finding> findings;
    const Now now = aContext.waiter.Read();
    auto records = ReadRecords(*text, now.wall, aContext.random, findings);
    PrintFindings(aContext.err, aFile, findings);
    std::move(records.begin(), records.end(), std::back_inserter(aRecords));
    return findings.empty();
  }
};

} // namespace

std::unique_ptr<Command> MakeApplyCommand()
{
  return std::make_unique<ApplyCommand>();
}

} // namespace caraway
