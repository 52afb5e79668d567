#include "standins/program.h"

#include <glib-unix.h>

#include <cstdio>
#include <fstream>
#include <iostream>
#include <utility>

namespace caraway {

namespace {

gboolean Quit(gpointer aLoop)
{
  g_main_loop_quit(static_cast<GMainLoop*>(aLoop));
  return G_SOURCE_CONTINUE;
}

// Writes the port under a temporary name first, so that a reader never sees half a file.
bool WritePort(const std::string& aFile, std::uint16_t aPort)
{
  const std::string partial = aFile + ".part";
  {
    std::ofstream out(partial);
    out << aPort << "\n";
    if (!out.flush()) {
      return false;
    }
  }
  return std::rename(partial.c_str(), aFile.c_str()) == 0;
}

} // namespace

StandinProgram::StandinProgram(std::string aName, std::string aVersion)
  : name(std::move(aName))
  , version(std::move(aVersion))
  , options(this->name)
{
  namespace po = boost::program_options;
  this->options.add_options()("help", "print this help")("version", "print the version")(
    "listen", po::value(&this->listen)->default_value("127.0.0.1:0"),
    "ip:port to listen on; port 0 takes one from the kernel")(
    "port-file", po::value(&this->portFile), "file that gets the port once it listens");
}

std::optional<int> StandinProgram::Parse(int aCount, char** aValues)
{
  namespace po = boost::program_options;
  try {
    po::variables_map values;
    po::store(po::parse_command_line(aCount, aValues, this->options), values);
    if (values.contains("help")) {
      std::cout << this->options;
      return 0;
    }
    if (values.contains("version")) {
      std::cout << this->name << " " << this->version << "\n";
      return 0;
    }
    po::notify(values);
  } catch (const po::error& error) {
    std::cerr << this->name << ": " << error.what() << "\n";
    return 2;
  }
  return std::nullopt;
}

int StandinProgram::Run(HttpService& aService)
{
  const std::optional<std::uint16_t> port = aService.Listen(this->listen);
  if (!port) {
    std::cerr << this->name << ": cannot listen on " << this->listen << "\n";
    return 1;
  }
  if (!this->portFile.empty() && !WritePort(this->portFile, *port)) {
    std::cerr << this->name << ": cannot write " << this->portFile << "\n";
    return 1;
  }
  std::cout << "event=listening program=" << this->name << " port=" << *port << std::endl;
  GMainLoop* loop = g_main_loop_new(nullptr, FALSE);
  g_unix_signal_add(SIGTERM, &Quit, loop);
  g_unix_signal_add(SIGINT, &Quit, loop);
  g_main_loop_run(loop);
  g_main_loop_unref(loop);
  return 0;
}

} // namespace caraway
