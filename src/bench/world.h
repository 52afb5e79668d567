// A small site in virtual time: entries, agents with their endpoints, callers, one log. Faults are
// calls; each takes effect at once and some end by themselves.
#pragma once

#include "bench/callers.h"
#include "bench/engine_model.h"
#include "bench/host.h"
#include "bench/service_model.h"

#include <memory>
#include <string>
#include <vector>

namespace caraway::bench {

struct EndpointSpec
{
  std::string pool = "model";
  std::string version = "v1";
  WorkKind kind = WorkKind::kCompletion; // kOnce: a plain service
  EngineProfile profile;
};

struct WorldOptions
{
  std::uint64_t seed = 1;
  std::size_t entries = 3;
  std::vector<EndpointSpec> endpoints;
  EntryOptions entry;
  AgentOptions agent;
  NetworkOptions network;
  LogOptions log;
};

// Engines of four speeds that differ fourfold, in equal numbers as far as aCount allows.
std::vector<EndpointSpec> UnlikeEngines(std::size_t aCount);

constexpr Duration kSettle = seconds(2); // from the start until links and configuration stand

class World
{
public:
  explicit World(const WorldOptions& aOptions);

  Site& TheSite() { return this->site; }
  Callers& TheCallers() { return this->callers; }
  std::size_t EntryCount() const { return this->entries.size(); }
  std::size_t AgentCount() const { return this->agents.size(); }
  EntryHost& EntryAt(std::size_t aIndex) { return *this->entries.at(aIndex); }
  AgentHost& AgentAt(std::size_t aIndex) { return *this->agents.at(aIndex); }

  void RunFor(Duration aTime);

  // The process dies and is started again after aRestart.
  void KillEntry(std::size_t aIndex, Duration aRestart);
  void KillAgent(std::size_t aIndex, Duration aRestart);
  void PauseEntry(std::size_t aIndex, Duration aTime);
  void PauseAgent(std::size_t aIndex, Duration aTime);
  void CutLink(std::size_t aEntry, std::size_t aAgent, Duration aTime);
  void CrashEndpoint(std::size_t aIndex, Duration aRestart);
  void SetFault(std::size_t aIndex, const EndpointFault& aFault, Duration aTime);
  void LogOutage(Duration aTime);
  void LeaveEntry(std::size_t aIndex, Duration aRestart);
  void LeaveAgent(std::size_t aIndex, Duration aRestart);

private:
  void SeedConfig(const WorldOptions& aOptions);
  void AddAgent(std::size_t aIndex, const EndpointSpec& aSpec, const AgentOptions& aOptions);
  void Connect(Host& aHost);
  void Restart(Host& aHost, Duration aDelay);
  void LeaveHost(Host& aHost, Duration aRestart);
  void PauseHost(Host& aHost, Duration aTime);
  void ReportLeft(const Host& aHost);
  // Kills a leaving process when it is idle.
  void AwaitIdle(Host& aHost, Duration aRestart);

  Site site;
  Callers callers;
  std::vector<std::unique_ptr<EntryHost>> entries;
  std::vector<std::unique_ptr<AgentHost>> agents;
};

} // namespace caraway::bench
