#include "bench/world.h"

#include "bench/records.h"

#include <array>
#include <set>

namespace caraway::bench {

namespace {

constexpr std::array kSpeeds = { 1.0, 1.6, 2.5, 4.0 };
constexpr Duration kIdlePoll = milliseconds(50);
constexpr Duration kServiceTime = milliseconds(80);

} // namespace

std::vector<EndpointSpec> UnlikeEngines(std::size_t aCount)
{
  std::vector<EndpointSpec> specs(aCount);
  for (std::size_t i = 0; i < aCount; ++i) {
    specs[i].profile.speed = kSpeeds.at(i % kSpeeds.size());
  }
  return specs;
}

World::World(const WorldOptions& aOptions)
  : site(aOptions.seed, aOptions.log)
  , callers(this->site)
{
  this->site.network.SetOptions(aOptions.network);
  this->SeedConfig(aOptions);
  std::vector<EntryHost*> pointers;
  for (std::size_t i = 0; i < aOptions.entries; ++i) {
    this->entries.push_back(std::make_unique<EntryHost>("entry-" + std::to_string(i),
                                                        aOptions.entry, this->site, this->callers));
    pointers.push_back(this->entries.back().get());
  }
  this->callers.SetEntries(std::move(pointers));
  for (std::size_t i = 0; i < aOptions.endpoints.size(); ++i) {
    this->AddAgent(i, aOptions.endpoints[i], aOptions.agent);
  }
  for (const auto& agent : this->agents) {
    agent->Start();
  }
  for (const auto& entry : this->entries) {
    entry->Start();
    this->Connect(*entry);
  }
}

// Accounts and pools, in the log before any process starts.
void World::SeedConfig(const WorldOptions& aOptions)
{
  for (std::size_t i = 0; i < kAccounts; ++i) {
    this->site.log.Seed(AccountRecord(AccountName(i), 0, "seed-" + AccountName(i), std::nullopt));
  }
  std::set<std::string> pools;
  for (const EndpointSpec& spec : aOptions.endpoints) {
    if (pools.insert(spec.pool).second) {
      this->site.log.Seed(PoolRecord(spec.pool, spec.kind, { "/book" }));
    }
  }
}

void World::AddAgent(std::size_t aIndex, const EndpointSpec& aSpec, const AgentOptions& aOptions)
{
  AgentIdentity identity;
  identity.name = "agent-" + std::to_string(aIndex);
  identity.region = "region";
  identity.failureDomain = "domain-" + std::to_string(aIndex % 3);
  identity.pool = aSpec.pool;
  identity.version = aSpec.version;
  auto agent = std::make_unique<AgentHost>(identity, aOptions, this->site);
  if (aSpec.kind == WorkKind::kCompletion) {
    agent->SetEndpoint(std::make_unique<EngineModel>(aSpec.profile, this->site.schedule,
                                                     this->site.random, agent->Events()));
  } else {
    agent->SetEndpoint(std::make_unique<ServiceModel>(kServiceTime, this->site.schedule,
                                                      this->site.random, agent->Events()));
  }
  this->agents.push_back(std::move(agent));
}

// Entries connect to agents and to other entries; agents do not connect to each other.
void World::Connect(Host& aHost)
{
  const bool isEntry = aHost.SelfHello().role == Role::kEntry;
  for (const auto& entry : this->entries) {
    if (entry.get() != &aHost && entry->Alive()) {
      this->site.network.Connect(entry->Node(), aHost.Node());
    }
  }
  for (const auto& agent : this->agents) {
    if (isEntry && agent->Alive()) {
      this->site.network.Connect(aHost.Node(), agent->Node());
    }
  }
}

void World::RunFor(Duration aTime)
{
  this->site.schedule.RunUntil(this->site.schedule.Time() + aTime);
}

void World::Restart(Host& aHost, Duration aDelay)
{
  this->site.schedule.After(aDelay, [this, &aHost] {
    if (!aHost.Alive()) {
      aHost.Start();
      this->Connect(aHost);
    }
  });
}

void World::KillEntry(std::size_t aIndex, Duration aRestart)
{
  EntryHost& entry = this->EntryAt(aIndex);
  if (!entry.Alive()) {
    return;
  }
  entry.Kill();
  this->callers.OnEntryLost(entry);
  this->Restart(entry, aRestart);
}

void World::KillAgent(std::size_t aIndex, Duration aRestart)
{
  AgentHost& agent = this->AgentAt(aIndex);
  if (agent.Alive()) {
    agent.Kill();
    this->Restart(agent, aRestart);
  }
}

void World::PauseHost(Host& aHost, Duration aTime)
{
  aHost.Pause();
  this->site.schedule.After(aTime, [&aHost] { aHost.Resume(); });
}

void World::PauseEntry(std::size_t aIndex, Duration aTime)
{
  this->PauseHost(this->EntryAt(aIndex), aTime);
}

void World::PauseAgent(std::size_t aIndex, Duration aTime)
{
  this->PauseHost(this->AgentAt(aIndex), aTime);
}

void World::CutLink(std::size_t aEntry, std::size_t aAgent, Duration aTime)
{
  const NodeId entry = this->EntryAt(aEntry).Node();
  const NodeId agent = this->AgentAt(aAgent).Node();
  this->site.network.Cut(entry, agent);
  this->site.schedule.After(aTime,
                            [this, entry, agent] { this->site.network.Connect(entry, agent); });
}

void World::CrashEndpoint(std::size_t aIndex, Duration aRestart)
{
  Endpoint& endpoint = this->AgentAt(aIndex).TheEndpoint();
  endpoint.Crash();
  this->site.schedule.After(aRestart, [&endpoint] { endpoint.Restart(); });
}

void World::SetFault(std::size_t aIndex, const EndpointFault& aFault, Duration aTime)
{
  Endpoint& endpoint = this->AgentAt(aIndex).TheEndpoint();
  endpoint.SetFault(aFault);
  this->site.schedule.After(aTime, [&endpoint] { endpoint.SetFault(EndpointFault{}); });
}

void World::LogOutage(Duration aTime)
{
  this->site.log.SetDown(true);
  this->site.schedule.After(aTime, [this] { this->site.log.SetDown(false); });
}

void World::LeaveHost(Host& aHost, Duration aRestart)
{
  if (aHost.Alive() && !aHost.Leaving()) {
    aHost.BeginLeaving();
    this->AwaitIdle(aHost, aRestart);
  }
}

void World::LeaveEntry(std::size_t aIndex, Duration aRestart)
{
  this->LeaveHost(this->EntryAt(aIndex), aRestart);
}

void World::LeaveAgent(std::size_t aIndex, Duration aRestart)
{
  this->LeaveHost(this->AgentAt(aIndex), aRestart);
}

// Tells the observers what a leaving process that calls itself idle still has in hand.
void World::ReportLeft(const Host& aHost)
{
  std::size_t open = 0;
  for (const auto& entry : this->entries) {
    open += entry.get() == &aHost ? this->callers.OpenAt(*entry) : 0;
  }
  for (const auto& agent : this->agents) {
    open += agent.get() == &aHost ? agent->OpenWork() : 0;
  }
  for (Observer* observer : this->site.observers) {
    observer->OnLeft(aHost.Node(), open);
  }
}

void World::AwaitIdle(Host& aHost, Duration aRestart)
{
  const Peer self = aHost.Self();
  this->site.schedule.After(kIdlePoll, [this, &aHost, aRestart, self] {
    if (!aHost.Alive() || !(aHost.Self() == self)) {
      return;
    }
    if (aHost.Paused() || !aHost.Idle()) {
      this->AwaitIdle(aHost, aRestart);
      return;
    }
    this->ReportLeft(aHost);
    aHost.Kill();
    this->Restart(aHost, aRestart);
  });
}

} // namespace caraway::bench
