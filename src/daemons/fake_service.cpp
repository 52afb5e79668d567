// Stand-in for a plain service.
#include "standins/program.h"
#include "standins/service_server.h"

int main(int aCount, char** aValues)
{
  namespace po = boost::program_options;
  caraway::StandinProgram program("fake-service", CARAWAY_VERSION);
  caraway::BadVersion bad;
  std::uint64_t seed = 1;
  program.Options().add_options()("seed", po::value(&seed)->default_value(seed), "random seed");
  caraway::AddBadVersionOptions(program.Options(), bad);
  if (const std::optional<int> status = program.Parse(aCount, aValues)) {
    return *status;
  }
  const caraway::SystemClock clock;
  caraway::FaultPlan plan(bad, clock.Read().steady, seed);
  caraway::ServiceServer server(plan, clock);
  caraway::HttpService service([&server](const auto& aExchange) { server.Handle(aExchange); });
  return program.Run(service);
}
