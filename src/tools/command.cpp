#include "tools/command.h"

#include "tools/config_reader.h"

namespace caraway {

namespace po = boost::program_options;

std::vector<std::unique_ptr<Command>> AllCommands()
{
  std::vector<std::unique_ptr<Command>> commands;
  commands.push_back(MakeApplyCommand());
  commands.push_back(MakeDiffCommand());
  commands.push_back(MakeGetCommand());
  commands.push_back(MakeCheckCommand());
  commands.push_back(MakeMoveStartCommand());
  commands.push_back(MakeMoveStatusCommand());
  commands.push_back(MakeMoveRollbackCommand());
  commands.push_back(MakeDrainCommand());
  commands.push_back(MakeStatusCommand());
  commands.push_back(MakeWatchCommand());
  commands.push_back(MakeEventsCommand());
  return commands;
}

po::variables_map ParseArguments(const po::options_description& aOptions,
                                 const std::vector<std::string>& aPositional, bool aIsLastRepeated,
                                 const std::vector<std::string>& aArguments)
{
  po::positional_options_description positional;
  for (std::size_t index = 0; index < aPositional.size(); ++index) {
    const bool isRepeated = aIsLastRepeated && index + 1 == aPositional.size();
    positional.add(aPositional[index].c_str(), isRepeated ? -1 : 1);
  }
  po::variables_map values;
  po::store(po::command_line_parser(aArguments).options(aOptions).positional(positional).run(),
            values);
  po::notify(values);
  return values;
}

int ReportUnreachable(CommandContext& aContext, const char* aWhat, const std::error_code& aError)
{
  aContext.err << "carawayctl: " << aWhat << ": " << aError.message() << "\n";
  return kExitUnreachable;
}

int CatchUpForDisplay(CommandContext& aContext, ConfigReader& aReader)
{
  const std::error_code error = aReader.CatchUp();
  if (!error) {
    return kExitOk;
  }
  if (aReader.State().Next() == 0) {
    return ReportUnreachable(aContext, "log", error);
  }
  aContext.err << "carawayctl: log: " << error.message() << "; showing the state of the processes, "
               << "before offset " << aReader.State().Next() << "\n";
  return kExitOk;
}

void PrintFindings(std::ostream& aOut, const std::string& aSource,
                   const std::vector<Finding>& aFindings)
{
  for (const Finding& finding : aFindings) {
    aOut << aSource << ": " << (finding.place.empty() ? "/" : finding.place) << ": " << finding.text
         << "\n";
  }
}

nlohmann::json FindingsJson(const std::vector<Finding>& aFindings)
{
  nlohmann::json list = nlohmann::json::array();
  for (const Finding& finding : aFindings) {
    list.push_back({ { "place", finding.place }, { "text", finding.text } });
  }
  return list;
}

} // namespace caraway
