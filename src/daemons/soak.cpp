// caraway-soak: runs seeded fault-injection simulations of the decision library, one after the
// other.
#include "bench/fault_plan.h"

#include <boost/program_options.hpp>

#include <chrono>
#include <iostream>

namespace {

namespace options = boost::program_options;
using caraway::bench::FaultResult;
using caraway::bench::FaultRun;

// Runs with findings that are printed in full.
constexpr std::uint64_t kMaxPrintedRuns = 5;

struct Totals
{
  std::uint64_t runs = 0;
  std::uint64_t badRuns = 0;
  std::uint64_t violations = 0;
  std::uint64_t answered = 0;
  std::uint64_t notRun = 0;
  std::uint64_t cut = 0;
  std::uint64_t unknown = 0;
};

void RunOne(std::uint64_t aSeed, Totals& aTotals)
{
  const FaultRun run = caraway::bench::DrawRun(aSeed);
  const FaultResult result = caraway::bench::Execute(run);
  ++aTotals.runs;
  aTotals.answered += result.answered;
  aTotals.notRun += result.notRun;
  aTotals.cut += result.cut;
  aTotals.unknown += result.unknown;
  aTotals.violations += result.findings.size();
  if (!result.findings.empty() && ++aTotals.badRuns <= kMaxPrintedRuns) {
    std::cout << run << "\n" << DescribeFindings(result) << std::flush;
  }
}

} // namespace

int main(int argc, char** argv)
{
  options::options_description description("caraway-soak");
  auto add = description.add_options();
  add("help", "prints this text");
  add("seed", options::value<std::uint64_t>()->default_value(1), "seed of the first run");
  add("runs", options::value<std::uint64_t>()->default_value(10000), "minimum number of runs");
  add("minutes", options::value<double>()->default_value(0), "minimum duration in minutes");
  options::variables_map map;
  try {
    options::store(options::parse_command_line(argc, argv, description), map);
  } catch (const options::error& error) {
    std::cerr << "caraway-soak: " << error.what() << "\n" << description;
    return 2;
  }
  if (map.count("help") > 0) {
    std::cout << description;
    return 0;
  }
  const auto firstSeed = map["seed"].as<std::uint64_t>();
  const auto minRuns = map["runs"].as<std::uint64_t>();
  const std::chrono::duration<double, std::ratio<60>> minTime(map["minutes"].as<double>());
  const auto start = std::chrono::steady_clock::now();
  Totals totals;
  while (totals.runs < minRuns || std::chrono::steady_clock::now() - start < minTime) {
    RunOne(firstSeed + totals.runs, totals);
  }
  const std::chrono::duration<double> elapsed = std::chrono::steady_clock::now() - start;
  std::cout << "runs=" << totals.runs << " seeds=" << firstSeed << ".."
            << firstSeed + totals.runs - 1 << " bad_runs=" << totals.badRuns
            << " violations=" << totals.violations << " answered=" << totals.answered
            << " not_run=" << totals.notRun << " cut=" << totals.cut
            << " unknown=" << totals.unknown << " seconds=" << elapsed.count() << "\n";
  return totals.violations == 0 ? 0 : 1;
}
