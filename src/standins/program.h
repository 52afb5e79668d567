// Command line and main loop shared by the stand-ins' programs.
#pragma once

#include "standins/http_service.h"

#include <boost/program_options.hpp>

#include <string>

namespace caraway {

// Command line of a program that listens for HTTP.
class StandinProgram
{
public:
  // aName and aVersion are printed by --help and --version.
  StandinProgram(std::string aName, std::string aVersion);

  // The program's own options are added here before Parse.
  boost::program_options::options_description& Options() { return this->options; }

  // Reads the command line. Returns an exit status if the program has nothing more to do.
  std::optional<int> Parse(int aCount, char** aValues);

  // Listens, writes the port file, and serves until SIGTERM or SIGINT. Returns the exit status.
  int Run(HttpService& aService);

private:
  std::string name;
  std::string version;
  std::string listen;
  std::string portFile;
  boost::program_options::options_description options;
};

} // namespace caraway
