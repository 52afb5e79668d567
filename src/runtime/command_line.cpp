#include "runtime/command_line.h"

#include "runtime/settings.h"

#include <boost/program_options.hpp>

#include <fstream>
#include <iostream>
#include <iterator>

namespace caraway {

namespace {

namespace options = boost::program_options;

CommandLine Exit(int aCode)
{
  return CommandLine{ aCode, {} };
}

options::options_description DescribeOptions()
{
  options::options_description description("Options");
  auto add = description.add_options();
  add("help", "prints this help");
  add("version", "prints the version");
  add("check", options::value<std::string>()->value_name("FILE"),
      "checks a settings file and starts nothing");
  add("settings", options::value<std::string>()->value_name("FILE"), "settings to run with");
  add("settings-reference", "prints the reference of all settings");
  return description;
}

// Reads and validates one settings file; prints all findings.
CommandLine ReadFile(const std::string& aName, const SettingsCheck& aCheck)
{
  std::ifstream file(aName, std::ios::binary);
  if (!file) {
    std::cerr << aName << ": cannot open the settings file\n";
    return Exit(kExitFindings);
  }
  CommandLine line;
  line.settingsText.assign(std::istreambuf_iterator<char>(file), {});
  std::vector<Finding> findings;
  aCheck(line.settingsText, findings);
  for (const Finding& finding : findings) {
    std::cerr << aName << ":" << finding.place << ": " << finding.text << "\n";
  }
  return findings.empty() ? line : Exit(kExitFindings);
}

} // namespace

CommandLine ReadCommandLine(int aCount, const char* const* aArguments, const std::string& aProgram,
                            const std::string& aVersion, const SettingsCheck& aCheck)
{
  const options::options_description description = DescribeOptions();
  options::positional_options_description positions;
  positions.add("settings", 1);
  options::variables_map values;
  try {
    options::store(options::command_line_parser(aCount, aArguments)
                     .options(description)
                     .positional(positions)
                     .run(),
                   values);
  } catch (const options::error& error) {
    std::cerr << aProgram << ": " << error.what() << "\n";
    return Exit(kExitFindings);
  }
  if (values.contains("help")) {
    std::cout << "Usage: " << aProgram << " [options] [FILE]\n" << description;
    return Exit(0);
  }
  if (values.contains("version")) {
    std::cout << aProgram << " " << aVersion << "\n";
    return Exit(0);
  }
  if (values.contains("settings-reference")) {
    std::cout << SettingsReference();
    return Exit(0);
  }
  if (values.contains("check")) {
    return Exit(ReadFile(values["check"].as<std::string>(), aCheck).exitCode.value_or(0));
  }
  if (!values.contains("settings")) {
    std::cerr << aProgram << ": no settings file given; see --help\n";
    return Exit(kExitFindings);
  }
  return ReadFile(values["settings"].as<std::string>(), aCheck);
}

} // namespace caraway
