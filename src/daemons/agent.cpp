// caraway-agent: sends requests to its endpoint, as the only process that does.
#include "runtime/admin_server.h"
#include "runtime/agent_host.h"
#include "runtime/command_line.h"
#include "runtime/log.h"
#include "runtime/process.h"

#include <iostream>

namespace {

using namespace caraway;

int ReportStartError(const char* aWhat, const Address& aAddress, const std::error_code& aError)
{
  std::cerr << "caraway-agent: " << aWhat << " " << FormatAddress(aAddress) << ": "
            << aError.message() << "\n";
  return 1;
}

int Run(const AgentSettings& aSettings)
{
  StartLog(ParseLogLevel(aSettings.logLevel), aSettings.name);
  ProcessContext context(aSettings);
  AgentHost host(aSettings, context.self, context.clock, context.random, context.poller,
                 context.observer);
  AdminServer admin(aSettings.name, host, context.clock, context.observer, context.metrics,
                    context.poller, context.memory);
  if (const auto error = host.Start()) {
    return ReportStartError("listen", aSettings.listen, error);
  }
  if (const auto error = admin.Start(aSettings.admin)) {
    return ReportStartError("admin", aSettings.admin, error);
  }
  LogEvent(LogLevel::kInfo, "started",
           { { "listen", FormatAddress({ aSettings.listen.host, host.Port() }) },
             { "admin", FormatAddress({ aSettings.admin.host, admin.Port() }) } });
  MainLoop loop(
    host, [] { return true; }, [] {});
  return loop.Run();
}

} // namespace

int main(int aCount, char** aArguments)
{
  const CommandLine line =
    ReadCommandLine(aCount, aArguments, "caraway-agent", CARAWAY_VERSION,
                    [](const std::string& aText, std::vector<Finding>& aFindings) {
                      ReadAgentSettings(aText, aFindings);
                    });
  if (line.exitCode) {
    return *line.exitCode;
  }
  std::vector<Finding> findings;
  return Run(*ReadAgentSettings(line.settingsText, findings));
}
