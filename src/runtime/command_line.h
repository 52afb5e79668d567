// Command line of the daemons: --help, --version, --check FILE, --settings-reference, or a settings
// file to run with.
#pragma once

#include "core/record.h"

#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace caraway {

constexpr int kExitFindings = 2; // the settings or the command line have findings

// What a daemon does after its command line.
struct CommandLine
{
  std::optional<int> exitCode; // set: the daemon ends at once
  std::string settingsText;    // else: text of the settings file
};

// Checks the text of a settings file and adds its findings.
using SettingsCheck = std::function<void(const std::string&, std::vector<Finding>&)>;

// Reads the command line and the settings file. Output and findings are printed here.
CommandLine ReadCommandLine(int aCount, const char* const* aArguments, const std::string& aProgram,
                            const std::string& aVersion, const SettingsCheck& aCheck);

} // namespace caraway
