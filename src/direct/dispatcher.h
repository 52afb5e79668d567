// Decisions of an entry on the direct path: at which endpoints a call queues, where it is sent,
// when it is sent again and when it is given up. Queues stand in the agents beside the endpoints.
// Where an agent is silent or there is none, one of the entries owns the endpoint's queue; while
// that one is silent too, the entry queues by itself for its part of the endpoint's slots.
#pragma once

#include "core/random.h"
#include "direct/admission.h"
#include "direct/contacts.h"
#include "direct/crash_watch.h"
#include "direct/endpoint_health.h"
#include "direct/endpoint_table.h"
#include "direct/leaving_table.h"
#include "direct/wait_policy.h"
#include "direct/retry_budget.h"
#include "direct/slot_queue.h"

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
  // Endpoints that get a reservation at once, best first, and together after widenAfter: each in a
  // small pool, some in a larger one, so that the messages of a call do not grow with the pool.
  std::uint32_t firstReservations = 2;
  std::uint32_t smallPool = 16;
  std::uint32_t reservations = 6;
  Duration widenAfter = std::chrono::milliseconds(10);
  // Silence of a queue's process after which entries turn to the next one; some periods of
  // AgentState. An agent that was never heard gets as long before the owner is asked.
  Duration agentSilence = std::chrono::milliseconds(900);
  Duration busyAgentSilence = std::chrono::milliseconds(500); // while something is held there
  Duration holdPeriod = std::chrono::milliseconds(200); // of HoldState where something is held
  std::uint32_t idleHoldPeriods = 3;                    // of HoldState where nothing is held
  // Part of an endpoint's slots that an entry uses without an agent, in multiples of an equal part:
  // traffic is uneven, and an endpoint queues a little itself.
  double ownShare = 1.7;
  Duration initialRunTime = std::chrono::milliseconds(400); // assumed before a run was seen
  ContactOptions contacts;
  SlotQueueOptions queue;
  WaitPolicyOptions patience;
  AdmissionOptions admission;
  CrashWatchOptions crashes;
};

// What the dispatcher asks of its host. Calls must not call back into the dispatcher.
class DispatchPort
{
public:
  virtual ~DispatchPort() = default;
  // Sends the call to the endpoint.
  virtual void StartAttempt(CallNumber aCall, const EndpointInfo& aEndpoint) = 0;
  // The call ends without an attempt under way. aRetryAfter zero: coming back does not help.
  virtual void GiveUp(CallNumber aCall, GiveUpReason aReason, Duration aRetryAfter) = 0;
  // Queues a message for the agent beside the endpoint.
  virtual void SendToAgent(const std::string& aHost, const DirectMessage& aMessage) = 0;
  // Queues a message for the entry that owns the endpoint's queue.
  virtual void SendToOwner(const std::string& aHost, const QueueEnvelope& aMessage) = 0;
  // The agent beside the endpoint, or the owner of its queue, answers again or has fallen silent
  // for aSilence.
  virtual void OnQueueChange(const EndpointInfo& aEndpoint, std::string_view aKind, bool aIsLive,
                             Duration aSilence) = 0;
  // Asks whether the endpoint's process still listens; OnProbe follows.
  virtual void ProbeEndpoint(const EndpointInfo& aEndpoint) = 0;
  // The endpoint's process ended, and aLost attempts that it had not answered with it.
  virtual void OnEndpointDied(const EndpointInfo& aEndpoint, std::string_view aEvidence,
                              std::size_t aLost) = 0;
  virtual void OnSuspect(const SuspectUpdate& aNews) = 0;
};

class Dispatcher
{
public:
  Dispatcher(const DispatchOptions& aOptions, const Peer& aSelf, const std::string& aFailureDomain,
             Random& aRandom, RetryBudget& aBudget, DispatchPort& aPort);
  ~Dispatcher();
  Dispatcher(const Dispatcher&) = delete;
  Dispatcher& operator=(const Dispatcher&) = delete;

  // aHasAgents: whether endpoints of a service have agents beside them.
  void SetEndpoints(TimePoint aNow, const std::map<std::string, EndpointInfo>& aAll,
                    const std::function<bool(const std::string&)>& aHasAgents);
  void SetEntryCount(std::uint32_t aCount);
  // Versions of services that get nothing any more, also none of the calls that wait for them.
  void SetBannedVersions(TimePoint aNow, const std::map<std::string, std::string>& aByService);
  // Own calls at the service's endpoints of other versions than aVersion.
  std::uint32_t RunningElsewhere(const std::string& aService, const std::string& aVersion) const;

  // May give the call up before it returns.
  void Submit(TimePoint aNow, const CallSpec& aSpec);
  // Ends a call at once, whatever it does; the host closes its attempt.
  void Cancel(TimePoint aNow, CallNumber aCall);
  // The first event of the answer arrived.
  void OnFirstEvent(TimePoint aNow, CallNumber aCall);
  // An attempt ended. True: the call goes on, the next attempt follows. False: the call is over and
  // the host answers with what it has.
  bool OnAttemptEnd(TimePoint aNow, CallNumber aCall, AttemptEnd aEnd);

  // An answer of the endpoint came with a notice. True if it says something new.
  bool OnNotice(TimePoint aNow, const std::string& aEndpoint, const EndpointNotice& aNotice);
  // The endpoint's process that started at aBornMs was probed.
  void OnProbe(TimePoint aNow, const std::string& aEndpoint, std::int64_t aBornMs,
               bool aIsListening);
  // Other entries, or the platform's store, know of requests under which endpoints died.
  void OnSuspicions(TimePoint aNow, const std::vector<Suspicion>& aSuspicions);
  std::vector<Suspicion> SuspicionsToTell(TimePoint aNow) const
  {
    return this->crashes.ToShare(aNow);
  }
  std::size_t SuspectCount() const { return this->crashes.Size(); }

  // Another entry was told that these endpoints leave.
  void OnLeaving(TimePoint aNow, const std::vector<EndpointIncarnation>& aLives);
  // What endpoints said of their leaving, for the other entries.
  std::vector<EndpointIncarnation> RecentlyLeaving(TimePoint aNow) const
  {
    return this->leaving.Recent(aNow);
  }

  void OnAgentState(TimePoint aNow, const std::string& aHost, const AgentState& aState);
  void OnOffer(TimePoint aNow, const std::string& aHost, CallNumber aCall);
  // Entries that own the queues of endpoints, by endpoint id.
  void SetOwners(TimePoint aNow, const std::map<std::string, std::string>& aHosts);
  // What the owner of an endpoint's queue says; other entries are not believed.
  void OnOwnerMessage(TimePoint aNow, const std::string& aHost, const QueueEnvelope& aMessage);

  void OnTimer(TimePoint aNow);
  TimePoint NextTimer() const;

  // When a refused caller of this service and rank should come back.
  Duration RetryAfter(TimePoint aNow, const std::string& aService, Tier aRank) const;
  // Endpoint that runs the call; nullptr if none does.
  const EndpointInfo* EndpointOf(CallNumber aCall) const;
  // Times that the call was sent to an endpoint.
  std::uint32_t AttemptsOf(CallNumber aCall) const;
  std::size_t CallCount() const { return this->calls.size(); }
  // What placed a call at an endpoint: who queues, places taken and their limit, prompt tokens
  // ahead, part of the attempts that failed, and the age of the agent's word in milliseconds.
  std::string StateOf(TimePoint aNow, const std::string& aEndpoint) const;
  // One line on the state of all endpoints, for logs.
  std::string Summary(TimePoint aNow) const;

private:
  // Port of an entry's own queue: collects its offers until they can be taken.
  struct LocalPort final : SlotQueuePort
  {
    void OfferSlotTo(const Peer& aHolder, CallNumber aCall) override;
    Dispatcher* owner = nullptr;
    std::string endpoint;
  };
  // A queue of the endpoint in another process.
  struct Remote
  {
    bool isLive = false;
    TimePoint heardAt{};
    TimePoint busySince = kNever; // something is held there since
    AgentState state;
    std::uint32_t sentPrefill = 0; // own prompt tokens sent since its last state
  };
  struct Target
  {
    EndpointInfo info;
    bool hasAgent = false;
    bool isListed = true;     // false: only finishes what it runs
    bool isContact = true;    // calls queue here while any contact is usable
    bool saysLeaving = false; // in an answer, to this entry or to another one
    TimePoint restsUntil{};   // it asked this process for a rest
    TimePoint listedAt{};
    Remote agent;
    Remote owner;
    std::string ownerHost; // empty: not known
    std::unique_ptr<LocalPort> localPort;
    std::unique_ptr<SlotQueue> local;
    EndpointHealth health;
    std::uint32_t running = 0; // own calls there

    // The queue in use; nullptr: the entry's own.
    const Remote* InUse() const
    {
      return this->agent.isLive ? &this->agent : this->owner.isLive ? &this->owner : nullptr;
    }
    Remote* InUse() { return const_cast<Remote*>(std::as_const(*this).InUse()); }
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
    std::vector<std::string> reserved; // ids of endpoints
    std::string endpoint;              // while it runs
    std::set<std::string> tried;       // endpoints that had an attempt
    std::uint32_t runs = 0;            // attempts that may have run
    std::uint32_t attempts = 0;
    bool hasBegun = false; // the first event of this attempt arrived
    bool isWide = false;
    TimePoint sentAt{};
    std::uint32_t sentTokens = 0; // to be read until the first event, with prompts before it
    TimePoint widenAt = kNever;
    TimePoint giveUpAt = kNever;
    GiveUpReason reason = GiveUpReason::kOverload; // while it queues without an attempt
  };
  struct Due
  {
    TimePoint time;
    CallNumber call;
    friend bool operator>(const Due& aLeft, const Due& aRight) { return aLeft.time > aRight.time; }
  };
  struct Warm
  {
    std::string endpoint;
    TimePoint at;
  };

  Duration RunTime(const std::string& aService) const;
  void DropUnusable(TimePoint aNow, Call& aCall);
  void Place(TimePoint aNow, Call& aCall);
  std::vector<Target*> Candidates(TimePoint aNow, const Call& aCall);
  double CostOf(TimePoint aNow, const Target& aTarget, const Call& aCall);
  std::uint32_t PromptAt(TimePoint aNow, const Target& aTarget, const CallSpec& aSpec) const;
  static std::uint32_t PendingAt(const Target& aTarget);
  static Duration FirstEventTime(const Target& aTarget, std::uint32_t aTokens);
  TimePoint StartBy(TimePoint aNow, const Target& aTarget, const CallSpec& aSpec) const;
  void ReserveAt(TimePoint aNow, Target& aTarget, Call& aCall);
  void WithdrawAll(TimePoint aNow, Call& aCall, const std::string& aExcept);
  ReserveSlot ReservationOf(TimePoint aNow, const Target& aTarget, const Call& aCall) const;
  void Start(TimePoint aNow, Target& aTarget, Call& aCall);
  void LeaveEndpoint(TimePoint aNow, Call& aCall);
  bool MayGoOn(TimePoint aNow, const Call& aCall, AttemptEnd aEnd) const;
  void NoteEnd(TimePoint aNow, const Call& aCall, AttemptEnd aEnd);
  void NoteLost(TimePoint aNow, const Call& aCall);
  void NoteDied(TimePoint aNow, const EndpointInfo& aEndpoint, std::string_view aEvidence);
  void TakeSuspectNews(TimePoint aNow);
  void GiveUp(TimePoint aNow, CallNumber aCall, GiveUpReason aReason);
  void TakeOffer(TimePoint aNow, Target& aTarget, CallNumber aCall);
  void DrainLocalOffers(TimePoint aNow);
  static std::string_view KindOf(const Target& aTarget);
  bool IsSilent(TimePoint aNow, const Remote& aRemote) const;
  void TakeState(TimePoint aNow, Target& aTarget, Remote& aRemote, const AgentState& aState);
  void SetLive(TimePoint aNow, Target& aTarget, Remote& aRemote, bool aIsLive);
  bool NeedsOwner(TimePoint aNow, const Target& aTarget) const;
  void SendTo(const Target& aTarget, const Remote* aRemote, const QueueMessage& aMessage);
  // Tells the queue in use, unless it is the entry's own.
  void Tell(const Target& aTarget, const QueueMessage& aMessage)
  {
    this->SendTo(aTarget, aTarget.InUse(), aMessage);
  }
  std::uint32_t LocalLimit(const Target& aTarget) const;
  void SendHolds(TimePoint aNow);
  void Schedule(Call& aCall);
  void LiftProbe(Call& aCall);
  bool MayUse(TimePoint aNow, const Target& aTarget, const CallSpec& aSpec) const;
  void DropUnusableCalls(TimePoint aNow);
  void NoteReplaced(TimePoint aNow, const std::map<std::string, EndpointInfo>& aAll);
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
  std::unordered_map<std::string, std::string> idOfHost; // of endpoints with agents
  std::unordered_map<std::uint64_t, std::string> idOfHash;
  std::unordered_map<CallNumber, Call> calls;
  std::unordered_map<std::uint64_t, Warm> warm; // subject -> endpoint that read it last
  std::priority_queue<Due, std::vector<Due>, std::greater<>> due;
  TimePoint nextHold{};
  std::uint32_t holdRound = 0;
  std::map<std::string, std::string> bannedVersions; // by service
  LeavingTable leaving;
  CrashWatch crashes;
  std::map<std::string, Duration, std::less<>> runTimes; // usual time of a run by service
  std::vector<std::pair<std::string, CallNumber>> localOffers;
};

} // namespace caraway::direct
