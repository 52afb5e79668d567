// Command line of the daemons: --help, --version, --check FILE, --settings-reference, or the
// settings file to run with.
#pragma once

#include "core/record.h"

#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace caraway {

constexpr int kExitFindings = 2; // the settings file or the command line is invalid

// Result of parsing the command line.
struct CommandLine
{
  std::optional<int> exitCode; // if set, the daemon exits immediately with this code
  std::string settingsText;    // otherwise, the content of the settings file
};

// Validates the text of a settings file and appends findings.
using SettingsCheck = std::function<void(const std::string&, std::vector<Finding>&)>;

// Parses the command line and reads the settings file. Prints requested output and all findings.
CommandLine ReadCommandLine(int aCount, const char* const* aArguments, const std::string& aProgram,
                            const std::string& aVersion, const SettingsCheck& aCheck);

} // namespace caraway
