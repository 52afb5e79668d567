// Interface of carawayctl's commands and the context that they run in.
#pragma once

#include "core/random.h"
#include "core/record.h"
#include "tools/exit_codes.h"
#include "tools/platform.h"

#include <boost/program_options.hpp>

#include <memory>
#include <ostream>
#include <string>
#include <vector>

namespace caraway {

struct CommandContext
{
  Platform& platform;
  Fleet& fleet;
  Waiter& waiter;
  Random& random;
  std::ostream& out;
  std::ostream& err;
  bool json = false;
  Duration timeout{}; // for the log and for the nodes, each
};

class ConfigReader;

class Command
{
public:
  virtual ~Command() = default;
  // Name on the command line, for example "move start".
  virtual std::string Name() const = 0;
  // Arguments after the name, as shown by the help.
  virtual std::string Usage() const = 0;
  virtual std::string Summary() const = 0;
  virtual std::vector<std::string> Examples() const = 0;
  // Returns the exit code. Malformed arguments throw boost::program_options::error.
  virtual int Run(CommandContext& aContext, const std::vector<std::string>& aArguments) = 0;
};

// All commands, in the order in which the help lists them.
std::vector<std::unique_ptr<Command>> AllCommands();

std::unique_ptr<Command> MakeApplyCommand();
std::unique_ptr<Command> MakeDiffCommand();
std::unique_ptr<Command> MakeGetCommand();
std::unique_ptr<Command> MakeCheckCommand();
std::unique_ptr<Command> MakeMoveStartCommand();
std::unique_ptr<Command> MakeMoveStatusCommand();
std::unique_ptr<Command> MakeMoveRollbackCommand();
std::unique_ptr<Command> MakeDrainCommand();
std::unique_ptr<Command> MakeStatusCommand();
std::unique_ptr<Command> MakeWatchCommand();
std::unique_ptr<Command> MakeEventsCommand();

// Parses the arguments of a command. Positional arguments set the options named in aPositional, in
// order; with aIsLastRepeated the last option takes all remaining arguments.
boost::program_options::variables_map ParseArguments(
  const boost::program_options::options_description& aOptions,
  const std::vector<std::string>& aPositional, bool aIsLastRepeated,
  const std::vector<std::string>& aArguments);

// Prints that the log or the VM list could not be read; returns the exit code.
int ReportUnreachable(CommandContext& aContext, const char* aWhat, const std::error_code& aError);

// Reads the state for a command that only shows it. If the log cannot be read, uses the snapshots
// of the processes and prints a warning. Returns kExitOk if there is a state to show, otherwise the
// exit code.
int CatchUpForDisplay(CommandContext& aContext, ConfigReader& aReader);

// Prints one finding per line: source, place and text, separated by colons.
void PrintFindings(std::ostream& aOut, const std::string& aSource,
                   const std::vector<Finding>& aFindings);

// Findings as JSON.
nlohmann::json FindingsJson(const std::vector<Finding>& aFindings);

} // namespace caraway
