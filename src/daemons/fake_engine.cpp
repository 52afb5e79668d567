// Stand-in for a model engine with continuous batching and a prefix cache.
#include "standins/engine_server.h"
#include "standins/program.h"

namespace {

namespace po = boost::program_options;
using std::chrono::milliseconds;

// Command line options that are not options of the engine model.
struct Flags
{
  std::uint64_t seed = 1;
  std::uint32_t loadLagMs = 2000;
  std::uint32_t cacheLagMs = 2000;
};

void AddOptions(po::options_description& aOptions, caraway::EngineOptions& aEngine,
                caraway::EngineServerOptions& aServer, Flags& aFlags)
{
  aOptions.add_options()("seed", po::value(&aFlags.seed)->default_value(aFlags.seed),
                         "random seed")("speed",
                                        po::value(&aEngine.speed)->default_value(aEngine.speed),
                                        "factor that divides all durations")(
    "prefill-tokens-per-second",
    po::value(&aEngine.prefillTokensPerSecond)->default_value(aEngine.prefillTokensPerSecond),
    "speed of prefill")("kv-tokens", po::value(&aEngine.kvTokens)->default_value(aEngine.kvTokens),
                        "KV cache: most tokens of running prompts and answers")(
    "cache-tokens", po::value(&aEngine.cacheTokens)->default_value(aEngine.cacheTokens),
    "prefix cache, in tokens")("load-lag-ms",
                               po::value(&aFlags.loadLagMs)->default_value(aFlags.loadLagMs),
                               "maximum age of the load report")(
    "cache-lag-ms", po::value(&aFlags.cacheLagMs)->default_value(aFlags.cacheLagMs),
    "delay of cache events")(
    "cache-gap-percent",
    po::value(&aServer.cacheGapPercent)->default_value(aServer.cacheGapPercent),
    "percentage of cache events that are lost")("checks-fencing",
                                                po::bool_switch(&aServer.checksFencing),
                                                "refuse orders with an older fencing number");
}

} // namespace

int main(int aCount, char** aValues)
{
  caraway::StandinProgram program("fake-engine", CARAWAY_VERSION);
  caraway::EngineOptions engine;
  caraway::EngineServerOptions options;
  caraway::BadVersion bad;
  Flags flags;
  AddOptions(program.Options(), engine, options, flags);
  caraway::AddBadVersionOptions(program.Options(), bad);
  if (const std::optional<int> status = program.Parse(aCount, aValues)) {
    return *status;
  }
  options.loadLag = milliseconds(flags.loadLagMs);
  options.cacheLag = milliseconds(flags.cacheLagMs);
  const caraway::SystemClock clock;
  caraway::FaultPlan plan(bad, clock.Read().steady, flags.seed);
  caraway::EngineServer server(engine, options, plan, clock);
  caraway::HttpService service([&server](const auto& aExchange) { server.Handle(aExchange); });
  return program.Run(service);
}
