// caraway-entry: accepts callers' requests and owns each one until its final answer.
#include "core/place.h"
#include "runtime/admin_server.h"
#include "runtime/caller_server.h"
#include "runtime/command_line.h"
#include "runtime/entry_host.h"
#include "runtime/log.h"
#include "runtime/process.h"

#include <iostream>

namespace {

using namespace caraway;

int ReportStartError(const char* aWhat, const Address& aAddress, const std::error_code& aError)
{
  std::cerr << "caraway-entry: " << aWhat << " " << FormatAddress(aAddress) << ": "
            << aError.message() << "\n";
  return 1;
}

int Run(const EntrySettings& aSettings)
{
  StartLog(ParseLogLevel(aSettings.logLevel), aSettings.name);
  ProcessContext context(aSettings);
  LateBindingPlacement placement;
  LogClient log(FormatAddress(aSettings.platform));
  EntryHost host(aSettings, context.self, context.clock, context.random, context.poller, placement,
                 log, context.observer);
  CallerServer callers(aSettings, host, context);
  AdminServer admin(aSettings.name, host, context.clock, context.observer, context.metrics,
                    context.poller, context.memory);
  if (const auto error = host.Start()) {
    return ReportStartError("peer_listen", aSettings.peerListen, error);
  }
  if (const auto error = callers.Start()) {
    return ReportStartError("listen", aSettings.listen, error);
  }
  if (const auto error = admin.Start(aSettings.admin)) {
    return ReportStartError("admin", aSettings.admin, error);
  }
  LogEvent(LogLevel::kInfo, "started",
           { { "listen", FormatAddress({ aSettings.listen.host, callers.Port() }) },
             { "peer_listen", FormatAddress({ aSettings.peerListen.host, host.PeerPort() }) },
             { "admin", FormatAddress({ aSettings.admin.host, admin.Port() }) } });
  MainLoop loop(
    host, [&] { return callers.IsIdle(); },
    [&] {
      if (host.IsClosed()) {
        callers.StopListening();
      }
    });
  return loop.Run();
}

} // namespace

int main(int aCount, char** aArguments)
{
  const CommandLine line =
    ReadCommandLine(aCount, aArguments, "caraway-entry", CARAWAY_VERSION,
                    [](const std::string& aText, std::vector<Finding>& aFindings) {
                      ReadEntrySettings(aText, aFindings);
                    });
  if (line.exitCode) {
    return *line.exitCode;
  }
  std::vector<Finding> findings;
  return Run(*ReadEntrySettings(line.settingsText, findings));
}
