// Scheduling decisions of an entry on the direct path: at which endpoints a call queues, where it
// is sent, when it is retried and when it is given up. The queue of an endpoint is kept by the
// agent on its VM. If there is no agent or it has timed out, one of the entries owns the endpoint's
// queue; if the owner has timed out too, the entry uses a local queue for its share of the
// endpoint's slots.
#pragma once

#include "core/random.h"
#include "direct/admission.h"
#include "direct/cold_rate.h"
#include "direct/crash_watch.h"
#include "direct/endpoint_health.h"
#include "direct/endpoint_subset.h"
#include "direct/endpoint_table.h"
#include "direct/leaving_table.h"
#include "direct/named_rate.h"
#include "direct/retry_budget.h"
#include "direct/slot_queue.h"
#include "direct/wait_policy.h"

#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <set>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

namespace caraway::direct {

struct DispatchOptions
{
  // A call first reserves at the best initialReservations endpoints. After widenAfter it reserves
  // at all endpoints of a small pool, or at maxReservations of a larger one, so that the number of
  // messages per call does not grow with the pool.
  std::uint32_t initialReservations = 2;
  std::uint32_t smallPoolSize = 16;
  std::uint32_t maxReservations = 6;
  Duration widenAfter = std::chrono::milliseconds(10);
  // Time without a message from the process that keeps a queue after which the entry fails over to
  // the next queue; several periods of AgentState. An agent that has never been heard from is given
  // the same time before the entry uses the queue's owner.
  Duration agentTimeout = std::chrono::milliseconds(900);
  // The same while this entry holds slots or reservations there.
  Duration activeAgentTimeout = std::chrono::milliseconds(500);
  // Period of HoldState while slots or reservations are held there.
  Duration holdPeriod = std::chrono::milliseconds(200);
  std::uint32_t idleHoldPeriods = 3; // hold periods per HoldState while nothing is held
  // Share of an endpoint's slots that an entry uses through its local queue, as a multiple of an
  // equal share per entry. Above 1 because traffic is uneven and an endpoint has a short queue of
  // its own.
  double localSlotShare = 1.7;
  Duration initialRunTime = std::chrono::milliseconds(400); // assumed until a run is measured
  EndpointSubsetOptions subset;
  SlotQueueOptions queue;
  WaitPolicyOptions patience;
  AdmissionOptions admission;
  CrashWatchOptions crashes;
};

// Interface to the dispatcher's host. Implementations must not call back into the dispatcher.
class DispatchPort
{
public:
  virtual ~DispatchPort() = default;
  // Sends the call to the endpoint.
  virtual void StartAttempt(CallNumber aCall, const EndpointInfo& aEndpoint) = 0;
  // The dispatcher drops the call without an answer. Zero aRetryAfter means that a retry does not
  // help.
  virtual void GiveUp(CallNumber aCall, GiveUpReason aReason, Duration aRetryAfter) = 0;
  // Queues a message for the agent at aHost.
  virtual void SendToAgent(const std::string& aHost, const DirectMessage& aMessage) = 0;
  // Queues a message for the entry at aHost, which owns the endpoint's queue.
  virtual void SendToOwner(const std::string& aHost, const QueueEnvelope& aMessage) = 0;
  // The endpoint's agent or the owner of its queue (aKind) is reachable again, or has timed out
  // after aSilence without a message.
  virtual void OnQueueChange(const EndpointInfo& aEndpoint, std::string_view aKind, bool aIsLive,
                             Duration aSilence) = 0;
  // Starts a check whether the endpoint's process still listens; OnProbe gets the result.
  virtual void ProbeEndpoint(const EndpointInfo& aEndpoint) = 0;
  // The endpoint's process ended; aLost attempts that it had not answered were lost.
  virtual void OnEndpointDied(const EndpointInfo& aEndpoint, std::string_view aEvidence,
                              std::size_t aLost) = 0;
  virtual void OnSuspect(const SuspectUpdate& aNews) = 0;
  // The request rate that the endpoint names has changed; aSource: "answer" or the kind of queue.
  virtual void OnNamedRate(const EndpointInfo& aEndpoint, std::optional<double> aPerSecond,
                           std::string_view aSource) = 0;
  // The endpoint turned cold for aRemaining, or warm if that is zero; aSource: who said so.
  virtual void OnColdPhase(const EndpointInfo& aEndpoint, Duration aRemaining,
                           std::string_view aSource)
  {
    (void)aEndpoint, (void)aRemaining, (void)aSource;
  }
};

class Dispatcher
{
public:
  Dispatcher(const DispatchOptions& aOptions, const Peer& aSelf, const std::string& aFailureDomain,
             Random& aRandom, RetryBudget& aBudget, DispatchPort& aPort);
  ~Dispatcher();
  Dispatcher(const Dispatcher&) = delete;
  Dispatcher& operator=(const Dispatcher&) = delete;

  // aHasAgents returns whether the endpoints of a service have agents.
  void SetEndpoints(TimePoint aNow, const std::map<std::string, EndpointInfo>& aAll,
                    const std::function<bool(const std::string&)>& aHasAgents);
  void SetEntryCount(std::uint32_t aCount);
  // Sets the versions of services that get no more calls; queued calls are moved off them.
  void SetBannedVersions(TimePoint aNow,
                         const std::map<std::string, std::set<std::string>>& aByService);
  // Sets the failure domains whose endpoints get no more calls; queued calls are moved off them.
  void SetEvacuatedDomains(TimePoint aNow, const std::set<std::string>& aDomains);
  // Returns how many of this entry's calls run at the service's endpoints of versions other than
  // aVersion.
  std::uint32_t RunningElsewhere(const std::string& aService, const std::string& aVersion) const;

  // May call DispatchPort::GiveUp for the call before it returns.
  void Submit(TimePoint aNow, const CallSpec& aSpec);
  // The process ends at aEnd: no call lasts longer, and a call that could not end by then is not
  // sent.
  void SetEnd(TimePoint aNow, TimePoint aEnd);
  // Ends a call in any stage; the host closes its attempt.
  void Cancel(TimePoint aNow, CallNumber aCall);
  // The first event of the answer arrived.
  void OnFirstEvent(TimePoint aNow, CallNumber aCall);
  // An attempt ended. Returns true if the call is queued for another attempt, and false if it is
  // over and the host answers with the result of this attempt.
  bool OnAttemptEnd(TimePoint aNow, CallNumber aCall, AttemptEnd aEnd);

  // An answer of the endpoint to a request sent at aSentAt carried a notice. Returns whether the
  // endpoint leaves or asks for a pause that was not known.
  bool OnNotice(TimePoint aNow, const std::string& aEndpoint, const EndpointNotice& aNotice,
                TimePoint aSentAt);
  // Result of a probe of the endpoint's process that started at aBornMs.
  void OnProbe(TimePoint aNow, const std::string& aEndpoint, std::int64_t aBornMs,
               bool aIsListening);
  // Suspicions that other entries or the platform's store have of what crashes endpoints.
  void OnSuspicions(TimePoint aNow, const std::vector<Suspicion>& aSuspicions,
                    SuspectKind aKind = SuspectKind::kRequest);
  std::vector<Suspicion> SuspicionsToShare(TimePoint aNow, SuspectKind aKind) const
  {
    return this->crashes.ToShare(aNow, aKind);
  }
  std::size_t SuspectCount() const { return this->crashes.Size(); }

  // Another entry reports that these endpoints have announced that they leave.
  void OnLeaving(TimePoint aNow, const std::vector<EndpointIncarnation>& aLives);
  // Endpoints that have recently announced that they leave, to be shared with other entries.
  std::vector<EndpointIncarnation> RecentlyLeaving(TimePoint aNow) const
  {
    return this->leaving.Recent(aNow);
  }

  void OnAgentState(TimePoint aNow, const std::string& aHost, const AgentState& aState);
  void OnAgentRate(TimePoint aNow, const std::string& aHost, const RateNews& aNews);
  void OnAgentCold(TimePoint aNow, const std::string& aHost, const ColdNews& aNews);
  void OnOffer(TimePoint aNow, const std::string& aHost, CallNumber aCall);
  // Sets the hosts of the entries that own the endpoints' queues, by endpoint id.
  void SetOwners(TimePoint aNow, const std::map<std::string, std::string>& aHosts);
  // A message about an endpoint's queue; ignored unless aHost owns that queue.
  void OnOwnerMessage(TimePoint aNow, const std::string& aHost, const QueueEnvelope& aMessage);

  void OnTimer(TimePoint aNow);
  TimePoint NextTimer() const;

  // Returns the time after which a refused caller of this service and rank should retry.
  Duration RetryAfter(TimePoint aNow, const std::string& aService, Tier aRank) const;
  // Returns the endpoint that runs the call, or nullptr if none does.
  const EndpointInfo* EndpointOf(CallNumber aCall) const;
  // Returns how often the call was sent to an endpoint.
  std::uint32_t AttemptsOf(CallNumber aCall) const;
  // Returns whether the call is a trial of a refused request or part of its prompt.
  bool IsTrial(CallNumber aCall) const;
  std::size_t CallCount() const { return this->calls.size(); }
  // Returns the inputs of a placement decision for logs: the queue in use, slots taken and their
  // limit, pending prefill tokens, the failure rate of attempts, and the age of the queue's last
  // AgentState in milliseconds.
  std::string StateOf(TimePoint aNow, const std::string& aEndpoint) const;
  // Returns how many endpoints name a request rate.
  std::size_t LimitedEndpointCount() const;
  // Returns how many endpoints are cold or suspected of it.
  std::size_t ColdEndpointCount() const;
  // Returns the state of all endpoints in one line for logs.
  std::string Summary(TimePoint aNow) const;

private:
  // Port of a local queue. Collects offers until the dispatcher can handle them, because the queue
  // must not be called back.
  struct LocalPort final : SlotQueuePort
  {
    void OfferSlotTo(const Peer& aHolder, CallNumber aCall) override;
    Dispatcher* dispatcher = nullptr;
    std::string endpoint;
  };
  // State of an endpoint's queue in another process.
  struct RemoteQueue
  {
    bool isLive = false;
    TimePoint heardAt{};
    TimePoint activeSince = kNever; // start of holding slots or reservations there
    AgentState state;
    std::uint32_t sentPrefill = 0; // prompt tokens sent by this entry since its last state
    TimePoint coldUntil{};         // of the endpoint, as the keeper of the queue says
  };
  struct Target
  {
    EndpointInfo info;
    bool hasAgent = false;
    bool isListed = true;             // an unlisted endpoint only finishes its running calls
    bool isInSubset = true;           // preferred to endpoints outside the entry's subset
    bool hasAnnouncedLeaving = false; // in an answer to this entry or to another one
    TimePoint pausedUntil{};          // the endpoint asked this process to pause
    NamedRate namedRate;
    ColdState cold;      // from its registrations and answers to this entry
    bool isCold = false; // by all that is known
    TimePoint listedAt{};
    RemoteQueue agent;
    RemoteQueue owner;
    std::string ownerHost; // empty if not known
    std::unique_ptr<LocalPort> localPort;
    std::unique_ptr<SlotQueue> localQueue;
    EndpointHealth health;
    std::uint32_t running = 0; // calls of this entry there

    // Returns the queue in use, or nullptr for the local one.
    const RemoteQueue* ActiveQueue() const
    {
      return this->agent.isLive ? &this->agent : this->owner.isLive ? &this->owner : nullptr;
    }
    RemoteQueue* ActiveQueue()
    {
      return const_cast<RemoteQueue*>(std::as_const(*this).ActiveQueue());
    }
  };
  enum class Stage : std::uint8_t
  {
    kQueued,
    kRunning,
  };
  struct Call
  {
    CallSpec spec;
    Stage stage = Stage::kQueued;
    std::vector<std::string> reserved; // ids of endpoints with a reservation
    std::string endpoint;              // empty unless the call runs
    std::set<std::string> tried;       // ids of endpoints that had an attempt
    std::uint32_t runs = 0;            // attempts that may have run
    std::uint32_t attempts = 0;
    bool hasFirstEvent = false; // of the current attempt
    bool isWidened = false;
    bool isTrial = false;      // of what is refused of it
    SentVerdicts sentVerdicts; // of the current attempt
    TimePoint sentAt{};
    std::uint32_t sentTokens = 0; // to prefill before the first event, including earlier prompts
    TimePoint widenAt = kNever;
    TimePoint giveUpAt = kNever;
    GiveUpReason reason = GiveUpReason::kOverload; // reported if the call is given up while queued
  };
  struct CallTimer
  {
    TimePoint time;
    CallNumber call;
    friend bool operator>(const CallTimer& aLeft, const CallTimer& aRight)
    {
      return aLeft.time > aRight.time;
    }
  };
  struct PromptAffinity
  {
    std::string endpoint;
    TimePoint at;
  };

  Duration RunTime(const std::string& aService) const;
  void DropUnusable(TimePoint aNow, Call& aCall);
  void Place(TimePoint aNow, Call& aCall);
  std::vector<Target*> Candidates(TimePoint aNow, const Call& aCall);
  double CostOf(TimePoint aNow, const Target& aTarget, const Call& aCall);
  std::uint32_t PromptTokensAt(TimePoint aNow, const Target& aTarget, const CallSpec& aSpec) const;
  static std::uint32_t PendingPrefillAt(const Target& aTarget);
  static Duration FirstEventTime(const Target& aTarget, std::uint32_t aTokens);
  TimePoint StartDeadline(TimePoint aNow, const Target& aTarget, const CallSpec& aSpec) const;
  void ReserveAt(TimePoint aNow, Target& aTarget, Call& aCall);
  void WithdrawAll(TimePoint aNow, Call& aCall, const std::string& aExcept);
  ReserveSlot ReservationOf(TimePoint aNow, const Target& aTarget, const Call& aCall) const;
  void Start(TimePoint aNow, Target& aTarget, Call& aCall);
  void ReleaseEndpoint(TimePoint aNow, Call& aCall);
  bool MayRetry(TimePoint aNow, const Call& aCall, AttemptEnd aEnd) const;
  void RecordAttemptEnd(TimePoint aNow, const Call& aCall, AttemptEnd aEnd);
  void RecordLostAttempt(TimePoint aNow, const Call& aCall);
  bool HasTrialOf(const CallSpec& aSpec) const;
  void RecordEndpointDeath(TimePoint aNow, const EndpointInfo& aEndpoint,
                           std::string_view aEvidence);
  void ApplyVerdicts(TimePoint aNow);
  void GiveUp(TimePoint aNow, CallNumber aCall, GiveUpReason aReason);
  void HandleOffer(TimePoint aNow, Target& aTarget, CallNumber aCall);
  void DrainLocalOffers(TimePoint aNow);
  static std::string_view QueueKindOf(const Target& aTarget);
  bool HasTimedOut(TimePoint aNow, const RemoteQueue& aRemote) const;
  void ApplyQueueState(TimePoint aNow, Target& aTarget, RemoteQueue& aRemote,
                       const AgentState& aState);
  void SetLive(TimePoint aNow, Target& aTarget, RemoteQueue& aRemote, bool aIsLive);
  bool NeedsOwner(TimePoint aNow, const Target& aTarget) const;
  void SendTo(const Target& aTarget, const RemoteQueue* aRemote, const QueueMessage& aMessage);
  // Sends the message to the queue in use; does nothing if that is the local one.
  void SendToActiveQueue(const Target& aTarget, const QueueMessage& aMessage)
  {
    this->SendTo(aTarget, aTarget.ActiveQueue(), aMessage);
  }
  std::uint32_t LocalLimit(const Target& aTarget) const;
  // Applies a rate that the endpoint named; aSource: who received the answer.
  void AddRate(TimePoint aNow, Target& aTarget, const RateObservation& aObservation,
               std::string_view aSource);
  void AddRateNews(TimePoint aNow, Target& aTarget, const RateNews& aNews,
                   std::string_view aSource);
  void ReadColdRegistration(TimePoint aNow, Target& aTarget, const EndpointInfo& aInfo,
                            bool aIsNew);
  void AddColdNotice(TimePoint aNow, Target& aTarget, Duration aRemaining, TimePoint aSentAt);
  void AddColdNews(TimePoint aNow, Target& aTarget, RemoteQueue& aRemote, const ColdNews& aNews);
  void UpdateColdPhase(TimePoint aNow, Target& aTarget, std::string_view aSource);
  void TellCold(TimePoint aNow, const Target& aTarget, const RemoteQueue* aRemote);
  static TimePoint ColdUntil(const Target& aTarget);
  // Calls per second that the queue may start by the cold limits; nullopt: no limit.
  static std::optional<double> ColdRate(const Target& aTarget, const RemoteQueue* aRemote);
  // Sets the share of the rate that the local queue may use.
  void UpdateLocalRate(TimePoint aNow, Target& aTarget);
  void TellRate(TimePoint aNow, const Target& aTarget, const RemoteQueue* aRemote);
  // Calls per second that the queue in use starts; infinite if the endpoint names no rate.
  static double CallRate(const Target& aTarget);
  void SendHoldStates(TimePoint aNow);
  void Schedule(Call& aCall);
  void LimitToEnd(Call& aCall) const;
  void CancelCanary(Call& aCall);
  bool MayUse(TimePoint aNow, const Target& aTarget, const CallSpec& aSpec) const;
  std::set<std::string> ChooseSubset(const std::map<std::string, EndpointInfo>& aAll) const;
  bool IsPlaceAllowed(const EndpointInfo& aInfo, const CallSpec& aSpec) const;
  bool IsShutOut(const CallSpec& aSpec) const;
  void DropUnusableCalls(TimePoint aNow);
  void DetectReplacedEndpoints(TimePoint aNow, const std::map<std::string, EndpointInfo>& aAll);
  Target* FindByHost(const std::string& aHost);

  DispatchOptions options;
  Peer self;
  std::string failureDomain;
  Random& random;
  RetryBudget& budget;
  Admission admission;
  DispatchPort& port;
  std::uint32_t entryCount = 1;
  std::map<std::string, Target> targets;                 // by endpoint id
  std::unordered_map<std::string, std::string> idOfHost; // endpoints with agents
  std::unordered_map<std::uint64_t, std::string> idOfHash;
  std::unordered_map<CallNumber, Call> calls;
  // By prompt subject: the endpoint that last prefilled the prompt.
  std::unordered_map<std::uint64_t, PromptAffinity> promptAffinities;
  std::priority_queue<CallTimer, std::vector<CallTimer>, std::greater<>> callTimers;
  TimePoint nextHoldAt{};
  TimePoint endsAt = kNever; // end of the process
  std::uint32_t holdRound = 0;
  std::map<std::string, std::set<std::string>> bannedVersions; // by service
  std::set<std::string> evacuatedDomains;
  LeavingTable leaving;
  CrashWatch crashes;
  std::map<std::string, Duration, std::less<>> runTimes; // moving average of run times by service
  std::vector<std::pair<std::string, CallNumber>> localOffers;
};

} // namespace caraway::direct
