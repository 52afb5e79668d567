// carawayctl: finds the command on the command line and runs it.
#pragma once

#include "tools/command.h"

#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace caraway {

// Options in front of the command.
struct CtlOptions
{
  std::string platform; // ip:port
  std::string nodes;    // file with admin addresses by VM name; may be empty
  std::uint16_t adminPort = 0;
  bool json = false;
  Duration timeout{};
  std::string command;                // with its second word
  std::vector<std::string> arguments; // behind the command
};

// Reads the command line. Prints help, version or an error and returns nothing if there is nothing
// to run; aExitCode is the exit code then.
std::optional<CtlOptions> ReadCtlOptions(const std::vector<std::string>& aArguments,
                                         const std::string& aVersion, std::ostream& aOut,
                                         std::ostream& aErr, int& aExitCode);

// Text of --help.
std::string CtlHelp();

// Runs the command named in aOptions.
int RunCommand(const CtlOptions& aOptions, CommandContext& aContext);

} // namespace caraway
