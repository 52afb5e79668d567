// The entry on the direct path: takes callers' requests, decides with the dispatcher where they
// run, sends them to endpoints itself and passes the answers back. Owns each request to its final
// answer.
#pragma once

#include "direct/dispatcher.h"
#include "direct/move_table.h"
#include "direct/service_config.h"
#include "direct/shared_quota.h"
#include "gateway/config_freshness.h"
#include "gateway/dialect.h"
#include "gateway/gateway_metrics.h"
#include "gateway/owned_queues.h"
#include "gateway/peer_net.h"
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
  Address peerListen;          // for datagrams of agents and other entries
  std::uint16_t agentPort = 0; // of the agents beside engines
  std::string failureDomain;
  // Requests with keys are refused when nobody has confirmed the configuration for this long.
  Duration keyFreshness = std::chrono::milliseconds(4400);
  // Without a confirmation for this long new connections better go to other entries.
  Duration readyFreshness = std::chrono::milliseconds(3000);
  // Refusals that depend on the newest configuration need a confirmation this young.
  Duration denyFreshness = std::chrono::milliseconds(2500);
  // Of EntryState, among up to stateEntries; every so many rounds among more, so that the messages
  // of one entry do not grow with their number.
  Duration statePeriod = std::chrono::milliseconds(200);
  std::uint32_t stateEntries = 10;
  Duration entrySilence = std::chrono::seconds(3);      // after which another entry gets no state
  Duration savePeriod = std::chrono::milliseconds(250); // of hot accounts' use
  Duration retryWhenNotReady = std::chrono::milliseconds(500);
  Duration retryWhenLeaving = std::chrono::milliseconds(50); // other entries take it at once
  // Unready before the listener closes: the balancer asks each second and takes an entry out after
  // two misses. What is taken later than three seconds after the signal must not be cut.
  Duration leaveNotice = std::chrono::milliseconds(2800);
  Duration probeTimeout = std::chrono::milliseconds(500); // of an endpoint that broke off
  direct::DispatchOptions dispatch;
  QueueServerOptions ownedQueues;
  direct::RetryBudgetOptions budget;
  direct::SharedQuotaOptions quota;
};

// Where a gateway keeps what must outlive all entries.
class QuotaStore
{
public:
  virtual ~QuotaStore() = default;
  // Replaces what was saved before; empty: nothing needs to be kept. aOnSaved follows a success.
  virtual void SaveUse(const std::string& aBytes, const std::function<void()>& aOnSaved) = 0;
};

// Where a gateway keeps which requests crash endpoints, beyond the life of all entries.
class SuspectStore
{
public:
  virtual ~SuspectStore() = default;
  // Replaces what was saved of the same fingerprint.
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
          Random& aRandom, const Dialect& aDialect);
  ~Gateway() override;

  std::error_code Start();
  std::uint16_t Port() const { return this->server.Port(); }
  std::uint16_t PeerPort() const { return this->net.Port(); }

  // A configuration at aOffset of the platform's log; one older than that in force is ignored.
  void SetConfig(std::uint64_t aOffset, std::shared_ptr<const direct::ServiceConfig> aConfig);
  // The platform's store was asked at aAskedAt and had nothing newer than aOffset.
  void ConfirmConfig(std::uint64_t aOffset, TimePoint aAskedAt);
  void SetEndpoints(const std::map<std::string, direct::EndpointInfo>& aAll);
  // The list of endpoints was read at aAskedAt and is complete.
  void ConfirmEndpoints(TimePoint aAskedAt);
  void SetStoreReachable(bool aIsReachable) { this->readsStore = aIsReachable; }
  // Called when another entry has a newer configuration or order, or another list of endpoints.
  void SetHooks(std::function<void()> aOnNewerConfig, std::function<void()> aOnOtherEndpoints);

  // Another entry may live at this IP number; it is told of this one.
  void AddEntry(const std::string& aHost);
  // The list of entries that were added is complete.
  void SetEntriesKnown();

  // This entry follows the store for all that hear it: the first one by address that can.
  bool IsReader() const;
  // Since the store confirmed the configuration, to this entry or to one that told it.
  Duration ConfigAge() const { return this->freshness.Age(this->Now()); }
  Duration EndpointsAge() const { return this->Now() - this->endpointsReadAt; }

  // Use of quotas that was saved before the start; empty: there was none.
  void RestoreUsage(const std::string& aBytes);
  void SetQuotaStore(QuotaStore& aStore) { this->quotaStore = &aStore; }

  // Requests under which endpoints died before the start, as they were saved.
  void SetSuspectsBefore(const std::vector<direct::SavedSuspicion>& aSaved);
  void SetSuspectStore(SuspectStore& aStore) { this->suspectStore = &aStore; }

  // An order to move a service to another version (see direct::MoveTable::SetOrder).
  void SetMoveOrder(const direct::MoveOrder& aOrder, bool aIsFresh);
  void SetMoveLog(direct::MoveLog& aLog) { this->moves.SetLog(aLog); }

  // New requests can be served.
  bool IsReady() const;
  void BeginLeaving();
  bool IsLeaving() const { return this->leaving; }
  // Nothing is under way any more.
  bool IsDone() const { return this->closed && this->flows.empty(); }
  // Text of the metrics, with the state as of now.
  std::string MetricsText();
  std::string Summary() const { return this->dispatcher.Summary(this->Now()); }

private:
  class Flow;
  struct PeerEntry
  {
    Address address;
    TimePoint heardAt{};
    std::int64_t sentAtUs = 0; // of its last state, by its own clock
    bool readsStore = false;
    bool isGreeted = false; // a state was sent to it
  };

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
  void SendFromOwned(const Address& aEntry, const direct::QueueEnvelope& aMessage) override;

  void OnPeerMessage(const Address& aFrom, const Peer& aPeer,
                     const direct::DirectMessage& aMessage) override;
  void OnPeerMessagesDone() override;

  // The steps that a request passes before it is submitted; each answers it if it ends there.
  bool CheckReady(Flow& aFlow);
  bool ReadHead(Flow& aFlow, const RequestHead& aHead);
  bool FindRoute(Flow& aFlow);
  bool Authenticate(Flow& aFlow);
  bool TakeQuota(Flow& aFlow);
  void Submit(Flow& aFlow);

  void Refuse(Flow& aFlow, std::uint16_t aStatus, std::string_view aCause, Duration aRetryAfter);
  void Remove(Flow& aFlow);
  void ReturnQuota(Flow& aFlow);
  void TakeNotice(direct::CallNumber aCall, const direct::EndpointNotice& aNotice);
  void SendStates();
  void UpdateOwners();
  Address AddressOf(const std::string& aHost) const;
  Duration EntrySilence() const;
  std::size_t StateRounds() const;
  void TakeEntryState(const Address& aFrom, const Peer& aPeer, const direct::EntryState& aState);
  void SaveHotUse();
  // A run at an endpoint of aVersion ended.
  void OnRunEnd(const Flow& aFlow, const std::string& aVersion, bool aIsBad, Duration aTime);
  void StepMoves();
  void AfterInput();
  TimePoint Now() const { return this->clock.Read().steady; }

  GatewaySettings settings;
  Peer self;
  Poller& poller;
  const Clock& clock;
  Random& random;
  const Dialect& dialect;
  direct::RetryBudget budget;
  direct::SharedQuota quota;
  direct::Dispatcher dispatcher;
  direct::MoveTable moves;
  EndpointPool pool;
  PeerNet net;
  IngressServer server;
  std::shared_ptr<const direct::ServiceConfig> config;
  ConfigFreshness freshness;
  std::map<std::string, direct::EndpointInfo> endpoints;
  std::unordered_map<direct::CallNumber, std::unique_ptr<Flow>> flows;
  std::unordered_map<IngressExchange*, direct::CallNumber> flowOf;
  std::vector<std::unique_ptr<Flow>> ended;     // destroyed when no call into them is on the stack
  std::map<std::string, PeerEntry> peerEntries; // by IP number
  std::set<std::string> knownEntries;           // IP numbers where an entry lived once
  std::size_t nextKnown = 0;                    // of them, to be asked whether it lives again
  OwnedQueues owned;
  std::string ownersOf; // what the owners of queues were last worked out from
  direct::CallNumber lastCall = 0;
  std::size_t heldBytes = 0; // of answers that are not passed on yet
  std::function<void()> onNewerConfig;
  std::function<void()> onOtherEndpoints;
  bool readsStore = false;
  std::uint64_t endpointsHash = 0;
  TimePoint endpointsReadAt{};
  std::size_t stateRound = 0;
  std::map<std::string, std::unique_ptr<ConnectProbe>> probes; // by endpoint id
  SuspectStore* suspectStore = nullptr;
  bool hasUrgentState = false; // all entries must hear the next state at once
  QuotaStore* quotaStore = nullptr;
  bool hasSavedUse = false;
  GatewayMetrics metrics;
  bool leaving = false;
  bool closed = false;
  TimePoint armedFor = kNever;
  Timer timer;
  Timer stateTimer;
  Timer leaveTimer;
  Timer saveTimer;
};

} // namespace caraway::gateway
