// Settings of the daemons: one JSON file for each process, checked whole before anything starts.
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

// What every daemon needs.
struct CommonSettings
{
  std::string name;
  std::string region;
  std::string failureDomain;
  Address platform; // log service and VM list
  Address admin;    // listener for operators
  ClusterKey clusterKey{};
  std::string logLevel = "info";
  std::optional<std::uint64_t> seed; // of the random source; none: from the system
  std::uint32_t timelineEvents = 16384;
  LinkOptions links;
};

// Files of the callers' TLS listener, in PEM.
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
  std::uint32_t requestReadMs = 10000; // longest time between a request's first and last byte
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

// Read the text of a settings file. Every finding is added with its JSON pointer; nothing is
// returned if there are any.
std::optional<EntrySettings> ReadEntrySettings(std::string_view aText,
                                               std::vector<Finding>& aFindings);
std::optional<AgentSettings> ReadAgentSettings(std::string_view aText,
                                               std::vector<Finding>& aFindings);

// The generated page docs/SETTINGS.md.
std::string SettingsReference();

} // namespace caraway
