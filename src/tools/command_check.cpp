// carawayctl check: validates files without contacting the platform.
#include "runtime/settings.h"
#include "tools/command.h"
#include "tools/record_file.h"

namespace caraway {

namespace {

namespace po = boost::program_options;

class CheckCommand final : public Command
{
public:
  std::string Name() const override { return "check"; }
  std::string Usage() const override { return "[--kind entry|agent|records] FILE..."; }
  std::string Summary() const override
  {
    return "checks settings and record files; prints every finding with its place";
  }
  std::vector<std::string> Examples() const override
  {
    return { "check accounts.json", "check --kind entry /etc/caraway/entry.json" };
  }

  int Run(CommandContext& aContext, const std::vector<std::string>& aArguments) override
  {
    po::options_description options;
    options.add_options()("kind", po::value<std::string>()->default_value("records"))(
      "file", po::value<std::vector<std::string>>()->required());
    const auto values = ParseArguments(options, { "file" }, true, aArguments);
    const auto kind = values["kind"].as<std::string>();
    if (kind != "entry" && kind != "agent" && kind != "records") {
      throw po::error("--kind must be entry, agent or records");
    }
    int code = kExitOk;
    for (const auto& file : values["file"].as<std::vector<std::string>>()) {
      const auto findings = this->Check(aContext, kind, file);
      code = findings.empty() ? code : kExitUsage;
      if (aContext.json) {
        aContext.out << nlohmann::json{
          { "file", file }, { "findings", FindingsJson(findings) }
        }.dump() << "\n";
      } else if (findings.empty()) {
        aContext.out << file << ": no findings\n";
      } else {
        PrintFindings(aContext.out, file, findings);
      }
    }
    return code;
  }

private:
  static std::vector<Finding> Check(CommandContext& aContext, const std::string& aKind,
                                    const std::string& aFile)
  {
    std::vector<Finding> findings;
    const std::optional<std::string> text = ReadTextFile(aFile);
    if (!text) {
      findings.push_back({ "", "cannot be read" });
    } else if (aKind == "entry") {
      ReadEntrySettings(*text, findings);
    } else if (aKind == "agent") {
      ReadAgentSettings(*text, findings);
    } else {
      ReadRecords(*text, aContext.waiter.Read().wall, aContext.random, findings);
    }
    return findings;
  }
};

} // namespace

std::unique_ptr<Command> MakeCheckCommand()
{
  return std::make_unique<CheckCommand>();
}

} // namespace caraway
