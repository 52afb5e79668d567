// caraway-load: open-loop load generator. Sends seeded requests, checks every answer and reports
// goodput by tier.
#include "standins/load_run.h"
#include "standins/overhead.h"

#include <boost/program_options.hpp>

#include <glib.h>

#include <fstream>
#include <iostream>
#include <sstream>

namespace {

namespace po = boost::program_options;
using std::chrono::milliseconds;

// Command line options that are converted after parsing.
struct Flags
{
  std::string tierShares = "1,1,1,1";
  std::uint32_t startWithinMs = 2000;
  std::uint32_t endWithinMs = 30000;
  std::string jsonFile;
  std::string outcomesFile;
  bool direct = false;
  caraway::OverheadOptions overhead;
};

void AddPlanOptions(po::options_description& aAll, caraway::LoadOptions& aLoad)
{
  auto add = aAll.add_options();
  const auto option = [&add](const char* aName, auto& aValue, const char* aHelp) {
    add(aName, po::value(&aValue)->default_value(aValue), aHelp);
  };
  option("seed", aLoad.seed, "random seed");
  option("rate", aLoad.rate, "requests per second, Poisson arrivals");
  option("seconds", aLoad.seconds, "length of the run");
  option("burst-size", aLoad.burstSize, "requests that arrive together");
  option("burst-every", aLoad.burstEverySeconds, "seconds between bursts");
  option("min-tokens", aLoad.minTokens, "shortest answer");
  option("max-tokens", aLoad.maxTokens, "longest answer");
  option("min-prompt", aLoad.minPrompt, "shortest prompt in bytes");
  option("max-prompt", aLoad.maxPrompt, "longest prompt in bytes");
  option("shared-prefix", aLoad.sharedPrefix, "bytes shared by an account's prompts");
  option("whole-share", aLoad.wholeShare, "share of completions that are not streamed");
  option("service-share", aLoad.serviceShare, "share of calls to the plain service");
  option("once-share", aLoad.onceShare, "share of calls that must run once");
  option("model", aLoad.model, "pool of the completions");
  option("service-route", aLoad.serviceRoute, "path of calls that may be retried");
  option("once-route", aLoad.onceRoute, "path of calls that must run once");
}

void AddTargetOptions(po::options_description& aAll, caraway::LoadOptions& aLoad,
                      caraway::LoadTarget& aTarget, Flags& aFlags)
{
  aAll.add_options()("help", "print this help")("version", "print the version")(
    "target", po::value(&aTarget.addresses)->required(), "ip:port, may be given several times")(
    "key", po::value(&aLoad.keys), "bearer key of an account, may be given several times")(
    "direct", po::bool_switch(&aFlags.direct), "the targets are engines, not entries")(
    "tier-shares", po::value(&aFlags.tierShares)->default_value(aFlags.tierShares),
    "share of each tier, highest first")(
    "start-within-ms", po::value(&aFlags.startWithinMs)->default_value(aFlags.startWithinMs),
    "deadline of the first token")(
    "end-within-ms", po::value(&aFlags.endWithinMs)->default_value(aFlags.endWithinMs),
    "deadline of the whole answer")("follow-retry-after",
                                    po::bool_switch(&aTarget.followRetryAfter),
                                    "retry refused requests once, after Retry-After")(
    "overhead", po::value(&aFlags.overhead.engine),
    "ip:port of an engine: compares first tokens directly and through the first target")(
    "pairs", po::value(&aFlags.overhead.pairs)->default_value(aFlags.overhead.pairs),
    "with --overhead: pairs of requests")("json", po::value(&aFlags.jsonFile),
                                          "file for the result")(
    "outcomes", po::value(&aFlags.outcomesFile), "file for one line per attempt");
}

// Parses shares such as "1,2,3,4"; false if they are malformed.
bool ParseShares(const std::string& aText, std::array<double, caraway::kTierCount>& aShares)
{
  std::istringstream in(aText);
  char comma = ',';
  for (double& share : aShares) {
    if (comma != ',' || !(in >> share) || share < 0) {
      return false;
    }
    in >> comma;
  }
  return in.eof();
}

// Measures the latency that the system adds to the first token. Returns 0 if every answer was
// complete.
int RunOverhead(const caraway::LoadOptions& aLoad, const caraway::OverheadOptions& aOverhead)
{
  const caraway::SystemClock clock;
  GMainLoop* loop = g_main_loop_new(nullptr, FALSE);
  caraway::OverheadRun run(aOverhead, aLoad, clock, [&] { g_main_loop_quit(loop); });
  run.Start();
  g_main_loop_run(loop);
  g_main_loop_unref(loop);
  std::cout << run.Summary() << " seed=" << aLoad.seed << "\n";
  return run.Failures() == 0 ? 0 : 1;
}

int Run(const caraway::LoadOptions& aLoad, const caraway::LoadTarget& aTarget, const Flags& aFlags)
{
  const caraway::SystemClock clock;
  caraway::LoadReport report;
  std::ofstream outcomes(aFlags.outcomesFile.empty() ? "/dev/null" : aFlags.outcomesFile);
  GMainLoop* loop = g_main_loop_new(nullptr, FALSE);
  bool isFinished = false;
  {
    caraway::LoadRun run(aLoad, aTarget, clock, report, outcomes, [&] {
      isFinished = true;
      g_main_loop_quit(loop);
    });
    run.Start();
    if (!isFinished) {
      g_main_loop_run(loop);
    }
  }
  g_main_loop_unref(loop);
  std::cout << report.Table();
  if (!aFlags.jsonFile.empty()) {
    std::ofstream(aFlags.jsonFile) << report.Json() << "\n";
  }
  const std::uint64_t failures =
    report.Count(caraway::LoadResult::kLost) + report.Count(caraway::LoadResult::kBroken);
  return failures == 0 ? 0 : 1;
}

} // namespace

int main(int aCount, char** aValues)
{
  caraway::LoadOptions load;
  caraway::LoadTarget target;
  Flags flags;
  po::options_description all("caraway-load");
  AddTargetOptions(all, load, target, flags);
  AddPlanOptions(all, load);
  try {
    po::variables_map values;
    po::store(po::parse_command_line(aCount, aValues, all), values);
    if (values.contains("help")) {
      std::cout << all;
      return 0;
    }
    if (values.contains("version")) {
      std::cout << "caraway-load " << CARAWAY_VERSION << "\n";
      return 0;
    }
    po::notify(values);
  } catch (const po::error& error) {
    std::cerr << "caraway-load: " << error.what() << "\n";
    return 2;
  }
  if (!ParseShares(flags.tierShares, load.tierShares)) {
    std::cerr << "caraway-load: --tier-shares must be four comma-separated numbers of at least 0\n";
    return 2;
  }
  if (!flags.overhead.engine.empty()) {
    flags.overhead.entry = target.addresses.front();
    return RunOverhead(load, flags.overhead);
  }
  target.isEntry = !flags.direct;
  target.deadlines = { milliseconds(flags.startWithinMs), milliseconds(flags.endWithinMs) };
  return Run(load, target, flags);
}
