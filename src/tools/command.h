// A command of carawayctl and what it works with.
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
  Duration timeout{}; // of waiting for the log and for the nodes
};

class ConfigReader;

class Command
{
public:
  virtual ~Command() = default;
  // Words of the command line, for example "move start".
  virtual std::string Name() const = 0;
  // Arguments after the name, as shown by the help.
  virtual std::string Usage() const = 0;
  virtual std::string Summary() const = 0;
  virtual std::vector<std::string> Examples() const = 0;
  // Returns the exit code. Malformed arguments throw boost::program_options::error.
  virtual int Run(CommandContext& aContext, const std::vector<std::string>& aArguments) = 0;
};

// All commands in the order of the help.
std::vector<std::unique_ptr<Command>> AllCommands();

std::unique_ptr<Command> MakeApplyCommand();
std::unique_ptr<Command> MakeDiffCommand();
std::unique_ptr<Command> MakeGetCommand();
std::unique_ptr<Command> MakeCheckCommand();
std::unique_ptr<Command> MakeMoveStartCommand();
std::unique_ptr<Command> MakeMoveStatusCommand();
std::unique_ptr<Command> MakeMoveTakeBackCommand();
std::unique_ptr<Command> MakeDrainCommand();
std::unique_ptr<Command> MakeStatusCommand();
std::unique_ptr<Command> MakeWatchCommand();
std::unique_ptr<Command> MakeEventsCommand();

// Parses the arguments of a command. Positional arguments are the options named in aPositional, in
// order; the last of them takes all that remain if aManyLast.
boost::program_options::variables_map ParseArguments(
  const boost::program_options::options_description& aOptions,
  const std::vector<std::string>& aPositional, bool aManyLast,
  const std::vector<std::string>& aArguments);

// Tells that the log or the VM list could not be read.
int FailUnreachable(CommandContext& aContext, const char* aWhat, const std::error_code& aError);

// Brings the state up to date for a command that only shows it. While the log cannot be read the
// state of the processes does, with a warning. Returns the exit code, kExitOk to go on.
int CatchUpToShow(CommandContext& aContext, ConfigReader& aReader);

// Prints findings, one a line: place, colon, text.
void PrintFindings(std::ostream& aOut, const std::string& aSource,
                   const std::vector<Finding>& aFindings);

// Findings as JSON.
nlohmann::json FindingsJson(const std::vector<Finding>& aFindings);

} // namespace caraway
