// caraway-bench: simulates the decision library with fake endpoints in virtual time and prints the
// results.
#include "bench/report.h"
#include "bench/runner.h"

#include <boost/program_options.hpp>

#include <algorithm>
#include <fstream>
#include <iostream>
#include <sstream>

namespace {

namespace options = boost::program_options;
using caraway::bench::BenchOptions;
using caraway::bench::RunResult;

constexpr const char* kAllPolicies = "all";

struct CommandLine
{
  BenchOptions bench;
  std::vector<std::string> policies;
  std::string report;
  bool json = false;
};

std::vector<double> ParseLoads(const std::string& aText)
{
  std::vector<double> loads;
  std::istringstream stream(aText);
  std::string part;
  while (std::getline(stream, part, ',')) {
    loads.push_back(std::stod(part));
  }
  return loads;
}

options::options_description DescribeOptions()
{
  options::options_description description("caraway-bench");
  auto add = description.add_options();
  add("help", "prints this text");
  add("policy", options::value<std::string>()->default_value("late-binding"),
      "late-binding, random, round-robin, least-stale-load, two-choices or all");
  add("load", options::value<std::string>()->default_value("0.5,1.0,1.5,3.0"),
      "loads in multiples of the capacity, separated by commas");
  add("endpoints", options::value<std::size_t>()->default_value(10), "number of engines");
  add("entries", options::value<std::size_t>()->default_value(3), "number of entries");
  add("reservations", options::value<std::uint32_t>()->default_value(0),
      "reservations of one request; 0: default of the entry");
  add("seconds", options::value<int>()->default_value(30), "length of the measured window");
  add("seed", options::value<std::uint64_t>()->default_value(1), "seed of all random numbers");
  add("report", options::value<std::string>()->default_value(""), "HTML file to write");
  add("json", "prints JSON instead of lines");
  return description;
}

CommandLine ReadOptions(const options::variables_map& aMap)
{
  CommandLine line;
  line.bench.loads = ParseLoads(aMap["load"].as<std::string>());
  line.bench.endpoints = aMap["endpoints"].as<std::size_t>();
  line.bench.entries = aMap["entries"].as<std::size_t>();
  line.bench.reservations = aMap["reservations"].as<std::uint32_t>();
  line.bench.length = std::chrono::seconds(aMap["seconds"].as<int>());
  line.bench.seed = aMap["seed"].as<std::uint64_t>();
  line.report = aMap["report"].as<std::string>();
  line.json = aMap.count("json") > 0;
  const std::string policy = aMap["policy"].as<std::string>();
  const std::vector<std::string>& allPolicies = caraway::bench::Policies();
  if (policy == kAllPolicies) {
    line.policies = allPolicies;
  } else if (std::find(allPolicies.begin(), allPolicies.end(), policy) != allPolicies.end()) {
    line.policies = { policy };
  } else {
    throw options::error("unknown policy " + policy);
  }
  return line;
}

void Run(CommandLine& aLine)
{
  const double capacity = MeasureCapacity(aLine.bench);
  std::vector<RunResult> results;
  for (const std::string& policy : aLine.policies) {
    aLine.bench.policy = policy;
    for (const double load : aLine.bench.loads) {
      results.push_back(RunPolicy(aLine.bench, load, capacity));
      if (!aLine.json) {
        PrintText(std::cout, results.back());
        std::cout.flush();
      }
    }
  }
  const std::uint64_t signature = caraway::bench::SignatureOf(results);
  if (aLine.json) {
    PrintJson(std::cout, results);
  } else {
    std::cout << "signature=" << std::hex << signature << std::dec << "\nBench: " << signature
              << "\n";
  }
  if (!aLine.report.empty()) {
    std::ofstream file(aLine.report);
    PrintHtml(file, results);
  }
}

} // namespace

int main(int argc, char** argv)
{
  const options::options_description description = DescribeOptions();
  try {
    options::variables_map map;
    options::store(options::parse_command_line(argc, argv, description), map);
    if (map.count("help") > 0) {
      std::cout << description;
      return 0;
    }
    CommandLine line = ReadOptions(map);
    Run(line);
  } catch (const std::exception& error) {
    std::cerr << "caraway-bench: " << error.what() << "\n" << description;
    return 2;
  }
  return 0;
}
