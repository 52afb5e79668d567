// caraway-history: checks invariants over the event logs of concurrent processes. Exits with 1 if
// one is violated.
#include "tools/history.h"

#include <boost/program_options.hpp>

#include <fstream>
#include <iostream>

namespace {

namespace options = boost::program_options;

options::variables_map ReadCommandLine(int aCount, char** aArguments,
                                       const options::options_description& aDescription)
{
  options::positional_options_description positional;
  positional.add("log", -1);
  options::variables_map map;
  options::store(options::command_line_parser(aCount, aArguments)
                   .options(aDescription)
                   .positional(positional)
                   .run(),
                 map);
  return map;
}

// Prints every finding with the merged history of its request.
int Report(caraway::HistoryChecker& aChecker)
{
  const std::vector<caraway::HistoryFinding> findings = aChecker.Check();
  for (const caraway::HistoryFinding& finding : findings) {
    std::cout << "violation=" << ToString(finding.invariant) << " place=" << finding.place
              << " request=" << finding.request << " detail=\"" << finding.text << "\"\n"
              << aChecker.FormatHistory(finding.request);
  }
  std::cout << "events=" << aChecker.EventCount() << " requests=" << aChecker.RequestCount()
            << " violations=" << findings.size() << "\n";
  return findings.empty() ? 0 : 1;
}

} // namespace

int main(int argc, char** argv)
{
  options::options_description description("caraway-history LOG...");
  auto add = description.add_options();
  add("help", "prints this text");
  add("log", options::value<std::vector<std::string>>(), "log files of all processes");
  try {
    const options::variables_map map = ReadCommandLine(argc, argv, description);
    if (map.count("help") > 0 || map.count("log") == 0) {
      std::cout << description;
      return map.count("help") > 0 ? 0 : 2;
    }
    caraway::HistoryChecker checker;
    for (const std::string& name : map["log"].as<std::vector<std::string>>()) {
      std::ifstream file(name);
      if (!file) {
        std::cerr << "caraway-history: cannot read " << name << "\n";
        return 2;
      }
      checker.Read(file, name);
    }
    return Report(checker);
  } catch (const options::error& error) {
    std::cerr << "caraway-history: " << error.what() << "\n" << description;
    return 2;
  }
}
