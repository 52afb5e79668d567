// Stand-in for the platform: log service and VM list.
#include "standins/platform_server.h"
#include "standins/program.h"

int main(int aCount, char** aValues)
{
  caraway::StandinProgram program("fake-platform", CARAWAY_VERSION);
  if (const std::optional<int> status = program.Parse(aCount, aValues)) {
    return *status;
  }
  const caraway::SystemClock clock;
  caraway::PlatformServer server(clock);
  caraway::HttpService service([&server](const auto& aExchange) { server.Handle(aExchange); });
  return program.Run(service);
}
