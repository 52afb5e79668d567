// Settings of the daemons: one JSON file per process, fully validated before anything starts.
#pragma once

#include "core/options.h"
#include "core/record.h"
#include "runtime/address.h"
#include "runtime/link.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace caraway {

// Settings shared by all daemons.
struct CommonSettings
{
  std::string name;
  std::string region;
  std::string failureDomain;
  Address platform; // log service and VM list
  Address admin;    // listener for operators
  ClusterKey clusterKey{};
  std::string logLevel = "info";
  std::optional<std::uint64_t> seed; // of the random number generator; if unset, random
  std::uint32_t timelineEvents = 16384;
  std::uint32_t memoryMb = 0; // of the VM, for this process; 0: half of the VM's
  LinkOptions links;
};

// PEM files of the TLS listener for callers.
struct TlsFiles
{
  std::string certificateFile;
  std::string keyFile;
};

struct EntrySettings : CommonSettings
{
  Address listen; // for callers
  std::optional<TlsFiles> tls;
  std::uint32_t maxBodyBytes = 1 << 20;
  std::uint32_t maxHeadBytes = 64 << 10;
  std::uint32_t requestReadMs = 10000; // max. time from a request's first to its last byte
  std::uint32_t idleMs = 600000;       // max. time between two requests on a connection
  Address peerListen;                  // for other entries
  EntryOptions options;
};

struct AgentSettings : CommonSettings
{
  Address listen; // for entries
  Address endpoint;
  WorkKind endpointKind = WorkKind::kCompletion;
  std::string pool;
  std::string version;
  bool engineChecksFencing = false;
  AgentOptions options;
};

// Parse the text of a settings file. Each finding is added with its JSON pointer; if there are any,
// nullopt is returned.
std::optional<EntrySettings> ReadEntrySettings(std::string_view aText,
                                               std::vector<Finding>& aFindings);
std::optional<AgentSettings> ReadAgentSettings(std::string_view aText,
                                               std::vector<Finding>& aFindings);

// Content of the generated page docs/SETTINGS.md.
std::string SettingsReference();

} // namespace caraway
