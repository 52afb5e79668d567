// Command line of carawayctl: parses the options and runs the command.
#pragma once

#include "tools/command.h"

#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace caraway {

// Options before the command, the command and its arguments.
struct CtlOptions
{
  std::string platform; // ip:port
  std::string nodes;    // file with admin addresses by VM name; may be empty
  std::uint16_t adminPort = 0;
  bool json = false;
  Duration timeout{};
  std::string command;                // one or two words, for example "move start"
  std::vector<std::string> arguments; // after the command
};

// Reads the command line. Returns nothing if there is no command to run: help, version or an error
// has been printed then, and aExitCode is the exit code.
std::optional<CtlOptions> ReadCtlOptions(const std::vector<std::string>& aArguments,
                                         const std::string& aVersion, std::ostream& aOut,
                                         std::ostream& aErr, int& aExitCode);

// Text of --help.
std::string CtlHelp();

// Runs the command named in aOptions.
int RunCommand(const CtlOptions& aOptions, CommandContext& aContext);

} // namespace caraway
