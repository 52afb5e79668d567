// The entry on the direct path: accepts callers' requests, lets the dispatcher choose an endpoint
// for each, sends them to the endpoints and returns the answers. Owns each request until its final
// answer.
#pragma once

#include "direct/dispatcher.h"
#include "direct/evacuation.h"
#include "direct/move_table.h"
#include "direct/service_config.h"
#include "direct/shared_quota.h"
#include "gateway/config_freshness.h"
#include "gateway/gateway_metrics.h"
#include "gateway/owned_queues.h"
#include "gateway/peer_net.h"
#include "gateway/protocol_adapter.h"
#include "runtime/connect_probe.h"
#include "runtime/endpoint_pool.h"
#include "runtime/ingress_server.h"
#include "runtime/timer.h"

#include <map>
#include <memory>
#include <set>
#include <string>
#include <system_error>
#include <unordered_map>

namespace caraway::gateway {

struct GatewaySettings
{
  Address listen;              // for callers
  Address peerListen;          // for datagrams from agents and other entries
  std::uint16_t agentPort = 0; // of the agents on engine VMs
  std::string failureDomain;
  // Requests with keys are refused if the configuration was last confirmed this long ago.
  Duration maxKeyConfigAge = std::chrono::milliseconds(4400);
  // The entry reports not ready if the configuration was last confirmed this long ago.
  Duration maxReadyConfigAge = std::chrono::milliseconds(3000);
  // A definite denial (401, 404) requires a configuration confirmed more recently than this.
  Duration maxDenialConfigAge = std::chrono::milliseconds(2500);
  // Time in which the writers of a restored store usually write again what it lacks. Until then it
  // confirms no configuration.
  Duration storeRewriteTime = std::chrono::milliseconds(500);
  // There is no definite denial for this time after the platform's store was restored or first
  // reached, when its configuration may be an older one.
  Duration denialDelay = std::chrono::seconds(3);
  // Period of EntryState messages. Each period addresses up to statesPerPeriod entries in turn, so
  // that the traffic of one entry does not grow with the number of entries.
  Duration statePeriod = std::chrono::milliseconds(200);
  std::uint32_t statesPerPeriod = 10;
  Duration entryTimeout = std::chrono::seconds(3);      // without a state, another entry is dropped
  Duration savePeriod = std::chrono::milliseconds(250); // for quota usage
  Duration retryWhenNotReady = std::chrono::milliseconds(500);
  Duration retryWhenLeaving = std::chrono::milliseconds(50); // other entries accept it at once
  // Time between reporting not ready and closing the listener. The load balancer probes every
  // second and removes an entry after two failed probes; requests accepted later than three seconds
  // after the shutdown signal must not be interrupted.
  Duration leaveNotice = std::chrono::milliseconds(2800);
  // Time from the shutdown signal until all requests have their final answers.
  Duration shutdownTime = std::chrono::milliseconds(7750);
  Duration probeTimeout = std::chrono::milliseconds(500); // for endpoints that broke a connection
  direct::DispatchOptions dispatch;
  std::uint64_t memoryBytes = 0;    // of this process; 0: unknown, that of the smallest VM
  std::uint32_t maxDescriptors = 0; // of this process; 0: unknown
  QueueServerOptions ownedQueues;
  direct::RetryBudgetOptions budget;
  direct::SharedQuotaOptions quota;
  // Tolerated excess over the rate of a cold endpoint in any second, as a factor and in requests.
  double coldOverage = 1;
  double coldSlack = 0;
};

// Persistent storage of quota usage, to survive a restart of all entries.
class QuotaStore
{
public:
  virtual ~QuotaStore() = default;
  // Replaces the saved usage; empty if there is none to keep. Calls aOnSaved on success.
  virtual void SaveUsage(const std::string& aBytes, const std::function<void()>& aOnSaved) = 0;
};

// Persistent storage of requests that crash endpoints, to survive a restart of all entries.
class SuspectStore
{
public:
  virtual ~SuspectStore() = default;
  // Replaces the record saved for the same fingerprint.
  virtual void SaveSuspicion(const direct::SavedSuspicion& aSaved) = 0;
};

class Gateway final
  : private IngressHandler
  , private direct::DispatchPort
  , private PeerMessageHandler
  , private OwnedQueuesPort
{
public:
  Gateway(const GatewaySettings& aSettings, const Peer& aSelf, Poller& aPoller, const Clock& aClock,
          Random& aRandom, const ProtocolAdapter& aProtocol);
  ~Gateway() override;

  std::error_code Start();
  std::uint16_t Port() const { return this->server.Port(); }
  // What the connections of this process hold.
  const std::shared_ptr<MemoryAccount>& Memory() const { return this->memory; }
  std::uint16_t PeerPort() const { return this->net.Port(); }

  // Activates the configuration at aOffset of the platform's log; ignored if its version is not
  // higher than that of the active one.
  void SetConfig(std::uint64_t aOffset, std::shared_ptr<const direct::ServiceConfig> aConfig);
  // A read of the platform's store that began at aAskedAt returned nothing newer than aVersion.
  void ConfirmConfig(std::uint64_t aVersion, TimePoint aAskedAt);
  void SetEndpoints(const std::map<std::string, direct::EndpointInfo>& aAll);
  // A complete read of the list of endpoints began at aAskedAt.
  void ConfirmEndpoints(TimePoint aAskedAt);
  void SetStoreReachable(bool aIsReachable) { this->readsStore = aIsReachable; }
  // Rises each time the store was restored; 0 if unknown. The first era known may be a new one.
  void SetStoreEra(std::uint64_t aEra);
  // The platform's store came back from an older copy: what was written to it last may be missing.
  void OnStoreRestored();
  // The hooks are called when another entry has a newer configuration or move order, or a different
  // list of endpoints.
  void SetHooks(std::function<void()> aOnNewerConfig, std::function<void()> aOnOtherEndpoints);

  // Adds the IP address of a possible other entry; this entry will send its state there.
  void AddEntry(const std::string& aHost);
  // All entries of the initial list were added.
  void SetEntriesKnown();

  // True if this entry reads the store on behalf of the others: it has the lowest address of those
  // that reach the store.
  bool IsStoreReader() const;
  // Time since the store confirmed the configuration, to this entry or to one that reported it.
  Duration ConfigAge() const { return this->freshness.Age(this->Now()); }
  Duration EndpointsAge() const { return this->Now() - this->endpointsReadAt; }

  // Quota usage that was saved before the start; empty if there was none.
  void RestoreUsage(const std::string& aBytes);
  void SetQuotaStore(QuotaStore& aStore);
  // True if the quota usage of the last window is known, by own counting or from another entry.
  bool KnowsQuotaUsage() const { return this->quota.KnowsWindow(this->Now()); }

  // Restores the saved suspects: requests during which endpoints crashed before the start.
  void RestoreSuspects(const std::vector<direct::SavedSuspicion>& aSaved);
  void SetSuspectStore(SuspectStore& aStore) { this->suspectStore = &aStore; }

  // An order to move a service to another version (see direct::MoveTable::SetOrder).
  void SetMoveOrder(const direct::MoveOrder& aOrder, bool aIsFresh);
  void SetMoveLog(direct::MoveLog& aLog) { this->moves.SetLog(aLog); }
  void SetMoveHistoryStore(direct::MoveHistoryStore& aStore)
  {
    this->moves.SetHistoryStore(aStore);
  }

  // Orders of the operator to evacuate a failure domain (see direct::Evacuations).
  void OnEvacuationRecord(const direct::EvacuationRecord& aRecord);
  void OnEvacuationSnapshot(std::uint64_t aEra, std::uint64_t aEnd,
                            const std::vector<direct::EvacuationRecord>& aListed);

  // True if new requests can be served.
  bool IsReady() const;
  void BeginLeaving();
  bool IsLeaving() const { return this->isLeaving; }
  // True if the listener is closed and all requests have ended.
  bool IsDone() const { return this->isClosed && this->flows.empty(); }
  // Current metrics in the Prometheus text format.
  std::string MetricsText();
  std::string Summary() const { return this->dispatcher.Summary(this->Now()); }

private:
  class Flow;
  struct PeerEntry
  {
    Address address;
    TimePoint heardAt{};
    std::int64_t sentAtUs =
      0; // timestamp of its last state, by its own clock; 0 if none was received
    bool readsStore = false;
    bool isContacted = false; // a state was sent to it before
    std::uint64_t configVersion = 0;
  };

  void OnNoRoom(IngressExchange& aExchange, const RequestHead& aHead) override;
  void OnRequest(const std::shared_ptr<IngressExchange>& aExchange,
                 IngressRequest aRequest) override;
  void OnCallerGone(IngressExchange& aExchange) override;

  void StartAttempt(direct::CallNumber aCall, const direct::EndpointInfo& aEndpoint) override;
  void GiveUp(direct::CallNumber aCall, direct::GiveUpReason aReason,
              Duration aRetryAfter) override;
  void SendToAgent(const std::string& aHost, const direct::DirectMessage& aMessage) override;
  void SendToOwner(const std::string& aHost, const direct::QueueEnvelope& aMessage) override;
  void OnQueueChange(const direct::EndpointInfo& aEndpoint, std::string_view aKind, bool aIsLive,
                     Duration aSilence) override;
  void ProbeEndpoint(const direct::EndpointInfo& aEndpoint) override;
  void OnEndpointDied(const direct::EndpointInfo& aEndpoint, std::string_view aEvidence,
                      std::size_t aLost) override;
  void OnSuspect(const direct::SuspectUpdate& aNews) override;
  void OnNamedRate(const direct::EndpointInfo& aEndpoint, std::optional<double> aPerSecond,
                   std::string_view aSource) override;
  void OnColdPhase(const direct::EndpointInfo& aEndpoint, Duration aRemaining,
                   std::string_view aSource) override;
  void SendFromOwnedQueue(const Address& aEntry, const direct::QueueEnvelope& aMessage) override;

  void OnPeerMessage(const Address& aFrom, const Peer& aPeer,
                     const direct::DirectMessage& aMessage) override;
  void OnPeerMessagesDone() override;

  // Admission steps of a request; a step that returns false has answered it.
  bool CheckReady(Flow& aFlow);
  bool ReadHead(Flow& aFlow, const RequestHead& aHead);
  bool FindRoute(Flow& aFlow);
  bool Authenticate(Flow& aFlow);
  bool TakeQuota(Flow& aFlow);
  void Submit(Flow& aFlow);

  // True if a request that the active configuration does not allow may be denied definitely.
  bool MayDeny() const;
  // True if another entry has a newer configuration.
  bool IsConfigOutdated() const;
  // True if nothing may be served by the active configuration.
  bool IsConfigSuperseded() const;
  void Refuse(Flow& aFlow, std::uint16_t aStatus, std::string_view aCause, Duration aRetryAfter);
  void Remove(Flow& aFlow);
  void ReturnQuota(Flow& aFlow);
  void ApplyNotice(direct::CallNumber aCall, const direct::EndpointNotice& aNotice,
                   TimePoint aSentAt);
  void SendStates();
  void UpdateOwners();
  Address AddressOf(const std::string& aHost) const;
  Duration EntryTimeout() const;
  std::size_t StateRounds() const;
  void ApplyEntryState(const Address& aFrom, const Peer& aPeer, const direct::EntryState& aState);
  void SetQuotaLimits();
  // Sets what the endpoints bear while they are cold, by the configuration.
  void SetColdLimits();
  void ApplyUsageWindow(const Address& aFrom, const direct::UsageWindow& aWindow);
  void SaveQuotaUsage();
  void RewriteLostState();
  void SaveLostSuspicions();
  // Reports the end of a run at an endpoint of aVersion.
  void OnRunEnd(const Flow& aFlow, const std::string& aVersion, bool aIsBad, Duration aTime);
  void ApplyEvacuations();
  void StepMoves();
  // Logs the stages that moves have entered, with the evidence.
  void LogMoveStages();
  void ApplyExcludedVersions();
  void AfterInput();
  TimePoint Now() const { return this->clock.Read().steady; }

  GatewaySettings settings;
  Peer self;
  Poller& poller;
  const Clock& clock;
  TimePoint startedAt;
  Random& random;
  const ProtocolAdapter& protocol;
  direct::RetryBudget budget;
  direct::SharedQuota quota;
  direct::Dispatcher dispatcher;
  direct::MoveTable moves;
  std::map<std::string, std::set<std::string>> excludedVersions; // in force, by service
  direct::Evacuations evacuations;
  EndpointPool pool;
  PeerNet net;
  std::shared_ptr<MemoryAccount> memory;
  IngressServer server;
  std::shared_ptr<const direct::ServiceConfig> config;
  ConfigFreshness freshness;
  std::map<std::string, direct::EndpointInfo> endpoints;
  std::unordered_map<direct::CallNumber, std::unique_ptr<Flow>> flows;
  std::unordered_map<IngressExchange*, direct::CallNumber> flowByExchange;
  std::vector<std::unique_ptr<Flow>> endedFlows; // destroyed after the current event loop turn
  std::map<std::string, PeerEntry> peerEntries;  // by IP address
  std::set<std::string> knownEntries;            // IP addresses where an entry has run before
  std::size_t nextKnownEntry = 0;                // index of the known entry to contact next
  OwnedQueues ownedQueues;
  std::string ownersBasis; // entries and endpoints that the queue owners were computed from
  direct::CallNumber lastCall = 0;
  std::size_t heldBytes = 0; // of buffered answers
  std::function<void()> onNewerConfig;
  std::function<void()> onOtherEndpoints;
  bool readsStore = false;
  std::uint64_t storeEra = 0;
  TimePoint denialsHeldUntil{};
  bool isConfigUnannounced = false;
  std::uint64_t endpointsHash = 0;
  TimePoint endpointsReadAt{};
  std::size_t stateRound = 0;
  std::map<std::string, std::unique_ptr<ConnectProbe>> probes; // by endpoint id
  SuspectStore* suspectStore = nullptr;
  bool hasUrgentState = false; // the next state is due now and goes to all entries
  QuotaStore* quotaStore = nullptr;
  bool hasSavedUsage = false;
  bool areSuspicionsLost = false; // in the store, and not saved again yet
  GatewayMetrics metrics;
  bool isLeaving = false;
  bool isClosed = false;
  TimePoint armedFor = kNever;
  Timer timer;
  Timer stateTimer;
  Timer leaveTimer;
  Timer saveTimer;
};

} // namespace caraway::gateway
