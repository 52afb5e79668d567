#include "tools/ctl.h"

#include <algorithm>
#include <cstdlib>
#include <sstream>

namespace caraway {

namespace {

namespace po = boost::program_options;

constexpr std::uint16_t kDefaultAdminPort = 9400;
constexpr std::uint32_t kDefaultTimeoutMs = 10000;

po::options_description GlobalOptions()
{
  const char* platform = std::getenv("CARAWAY_PLATFORM");
  po::options_description options("Options before the command");
  auto add = options.add_options();
  add("help,h", "print this help; after a command: its help");
  add("version", "print the version");
  add("platform", po::value<std::string>()->default_value(platform == nullptr ? "" : platform, ""),
      "ip:port of the platform; default: CARAWAY_PLATFORM");
  add("admin-port", po::value<std::uint16_t>()->default_value(kDefaultAdminPort),
      "port of the admin listeners on the VMs' addresses");
  add("nodes", po::value<std::string>()->default_value(""),
      "JSON file {\"NAME\":\"ip:port\",...} of admin listeners at other addresses");
  add("json", po::bool_switch(), "print JSON, one object per line");
  add("timeout-ms", po::value<std::uint32_t>()->default_value(kDefaultTimeoutMs),
      "time limit for the log and for --wait");
  return options;
}

// Position of the command: the first word that is neither an option nor an option's value.
std::size_t FindCommandIndex(const std::vector<std::string>& aArguments)
{
  std::size_t index = 0;
  while (index < aArguments.size() && aArguments[index].starts_with("-")) {
    const std::string& word = aArguments[index];
    const bool isFlag = word == "--json" || word == "--help" || word == "-h" || word == "--version";
    const bool hasValue = word.find('=') != std::string::npos;
    index += isFlag || hasValue ? 1 : 2;
  }
  return std::min(index, aArguments.size());
}

Command* FindByName(const std::vector<std::unique_ptr<Command>>& aCommands,
                    const std::string& aName)
{
  const auto found = std::ranges::find_if(
    aCommands, [&](const auto& aCommand) { return aCommand->Name() == aName; });
  return found == aCommands.end() ? nullptr : found->get();
}

std::string CommandHelp(const Command& aCommand)
{
  std::string text =
    "carawayctl " + aCommand.Name() + " " + aCommand.Usage() + "\n  " + aCommand.Summary() + "\n";
  for (const std::string& example : aCommand.Examples()) {
    text += "  example: carawayctl " + example + "\n";
  }
  return text;
}

// Splits the words after the options into the command, of one or two words, and its arguments.
void SplitCommand(const std::vector<std::string>& aWords, CtlOptions& aOptions)
{
  const auto commands = AllCommands();
  std::size_t wordCount = std::min<std::size_t>(1, aWords.size());
  aOptions.command = aWords.empty() ? "" : aWords[0];
  if (aWords.size() > 1 && FindByName(commands, aWords[0] + " " + aWords[1]) != nullptr) {
    aOptions.command += " " + aWords[1];
    wordCount = 2;
  }
  aOptions.arguments.assign(aWords.begin() + static_cast<std::ptrdiff_t>(wordCount), aWords.end());
  // --json is also accepted after the command.
  aOptions.json = aOptions.json || std::ranges::count(aOptions.arguments, "--json") > 0;
  std::erase(aOptions.arguments, "--json");
}

} // namespace

std::string CtlHelp()
{
  std::ostringstream text;
  text << "carawayctl [options] COMMAND [arguments]\n\nCommands\n";
  for (const auto& command : AllCommands()) {
    text << CommandHelp(*command);
  }
  text << "\n" << GlobalOptions();
  text << "\nExit codes: 0 success; 1 platform or process unreachable; 2 invalid command line, "
          "settings or\nrecord files; 3 rejected, or no such record; 4 not decided or not in force "
          "in time; 5 diff\nfound a difference\n";
  return text.str();
}

std::optional<CtlOptions> ReadCtlOptions(const std::vector<std::string>& aArguments,
                                         const std::string& aVersion, std::ostream& aOut,
                                         std::ostream& aErr, int& aExitCode)
{
  const auto split = static_cast<std::ptrdiff_t>(FindCommandIndex(aArguments));
  const std::vector<std::string> globalArguments(aArguments.begin(), aArguments.begin() + split);
  const std::vector<std::string> words(aArguments.begin() + split, aArguments.end());
  CtlOptions options;
  try {
    po::variables_map values;
    po::store(po::command_line_parser(globalArguments).options(GlobalOptions()).run(), values);
    po::notify(values);
    aExitCode = kExitOk;
    if (values.contains("help") || (words.empty() && !values.contains("version"))) {
      aOut << CtlHelp();
      aExitCode = values.contains("help") ? kExitOk : kExitUsage;
      return std::nullopt;
    }
    if (values.contains("version")) {
      aOut << "carawayctl " << aVersion << "\n";
      return std::nullopt;
    }
    options.platform = values["platform"].as<std::string>();
    options.nodes = values["nodes"].as<std::string>();
    options.adminPort = values["admin-port"].as<std::uint16_t>();
    options.json = values["json"].as<bool>();
    options.timeout = std::chrono::milliseconds(values["timeout-ms"].as<std::uint32_t>());
  } catch (const po::error& error) {
    aErr << "carawayctl: " << error.what() << "\n";
    aExitCode = kExitUsage;
    return std::nullopt;
  }
  SplitCommand(words, options);
  return options;
}

int RunCommand(const CtlOptions& aOptions, CommandContext& aContext)
{
  const auto commands = AllCommands();
  Command* command = FindByName(commands, aOptions.command);
  if (command == nullptr) {
    aContext.err << "carawayctl: unknown command " << aOptions.command
                 << "; see carawayctl --help\n";
    return kExitUsage;
  }
  const bool wantsHelp = std::ranges::any_of(aOptions.arguments, [](const std::string& aWord) {
    return aWord == "--help" || aWord == "-h";
  });
  if (wantsHelp) {
    aContext.out << CommandHelp(*command);
    return kExitOk;
  }
  try {
    return command->Run(aContext, aOptions.arguments);
  } catch (const po::error& error) {
    aContext.err << "carawayctl " << command->Name() << ": " << error.what() << "\n"
                 << CommandHelp(*command);
    return kExitUsage;
  }
}

} // namespace caraway
