// State of an entry and the handling of requests, implemented in entry.cpp (acceptance, timers),
// entry_claim.cpp (idempotency keys), entry_place.cpp (reservation, offer, grant), entry_answer.cpp
// (chunks, lost agents, final answers) and entry_state.cpp (peers, configuration, version moves,
// suspects).
#pragma once

#include "core/affinity.h"
#include "core/claim.h"
#include "core/config_feed.h"
#include "core/entry.h"
#include "core/invariant.h"
#include "core/length.h"
#include "core/move.h"
#include "core/peers.h"
#include "core/pending.h"
#include "core/quota.h"
#include "core/snapshot.h"
#include "core/suspect.h"

#include <queue>
#include <unordered_map>
#include <unordered_set>

namespace caraway {

// Retry delay for refused callers when no agent suggested one.
constexpr Duration kDefaultRetryDelay = std::chrono::seconds(1);

class Entry::Impl
{
public:
  Impl(const EntryOptions& aOptions, const std::string& aName, Placement& aPlacement,
       Random& aRandom, EntryPort& aPort);

  void Submit(Now aNow, Submission aSubmission);
  void Resume(Now aNow, const RequestId& aId, const std::string& aAccount, std::uint32_t aNextChunk,
              std::optional<NodeId> aAgent);
  void OnCallerGone(Now aNow, const RequestId& aId, bool aMayResume);
  void OnPeerUp(Now aNow, Peer aPeer, const Hello& aHello);
  void OnPeerDown(Now aNow, NodeId aNode);
  void OnMessage(Now aNow, Peer aFrom, const Message& aMessage);
  void OnLogRecords(Now aNow, const std::vector<LogRecord>& aRecords);
  void OnLogOldest(Now aNow, LogOffset aOldest);
  void OnAppended(Now aNow, std::uint64_t aToken, AppendResult aResult, LogOffset aFirst);
  void OnTimer(Now aNow);
  TimePoint NextTimer() const;
  void BeginLeaving(Now aNow);
  std::string StatusJson(Now aNow) const;

  EntryOptions options;
  std::string name;
  Placement& placement;
  Random& random;
  EntryPort& port;
  InvariantChecker checker; // also forwards events to the port
  ConfigFeed feed;
  ClaimController claims;
  MoveController moves;
  PeerTable peers;
  QuotaTable quotas;
  LengthEstimator lengths;
  PrefixAffinity affinity;
  SuspectTable suspects;
  SnapshotController snapshots;
  std::unordered_map<RequestId, Pending> pending;
  // Holder of a key -> request that waits for its outcome.
  std::unordered_map<RequestId, RequestId> holderAliases;
  bool leaving = false;

private:
  struct DueTimer
  {
    TimePoint time;
    RequestId id;
    friend bool operator>(const DueTimer& aLeft, const DueTimer& aRight)
    {
      return aLeft.time > aRight.time;
    }
  };

  void On(Now aNow, Peer aFrom, const Hello& aHello) { this->OnPeerUp(aNow, aFrom, aHello); }
  void On(Now aNow, Peer aFrom, const Offer& aOffer);
  void On(Now aNow, Peer aFrom, const Refuse& aRefuse);
  void On(Now aNow, Peer aFrom, const Chunk& aChunk);
  void On(Now aNow, Peer aFrom, const Finish& aFinish);
  void On(Now aNow, Peer aFrom, const QueryReply& aReply);
  void On(Now aNow, Peer aFrom, const ConfigRequest& aAsk);
  void On(Now aNow, Peer aFrom, const ConfigTail& aTail);
  void On(Now aNow, Peer aFrom, const EvidenceReport& aReport);
  void On(Now aNow, Peer aFrom, const Brake& aBrake);
  void On(Now aNow, Peer aFrom, const Suspicion& aSuspicion);
  // Messages that only agents handle are ignored.
  template<class Other>
  void On(Now /*aNow*/, Peer /*aFrom*/, const Other& /*aOther*/)
  {
  }

  void Note(Now aNow, EventKind aKind, const Pending& aPending, NodeId aPeer,
            std::vector<EventField> aFields = {});
  void RefuseNew(Now aNow, const Submission& aSubmission, Reason aReason, Duration aRetryAfter);
  Duration Jitter(Duration aBase);

  void BeginClaim(Now aNow, Pending& aPending);
  void ProcessClaimDecisions(Now aNow);
  void ApplyClaimDecision(Now aNow, Pending& aPending, const ClaimDecision& aDecision);
  void QueryHolder(Now aNow, Pending& aPending, const ClaimDecision& aDecision);
  void OnHolderReply(Now aNow, Pending& aPending, const QueryReply& aReply);

  void FindCandidates(Now aNow, Pending& aPending);
  void FilterCandidates(const Pending& aPending);
  void Place(Now aNow, Pending& aPending);
  void Reserve(Now aNow, Pending& aPending, NodeId aNode);
  bool IsEligible(const Pending& aPending, NodeId aNode) const;
  void WithdrawReservations(Pending& aPending, NodeId aExcept);
  void Grant(Now aNow, Pending& aPending, Peer aAgent, std::uint64_t aOffer);
  void OnGrantNotRun(Now aNow, Pending& aPending, Reason aReason, Duration aRetryAfter);
  void OnAgentLinkLost(Now aNow, Pending& aPending);
  void TryFinish(Now aNow, Pending& aPending);
  void SendQuery(Now aNow, Pending& aPending, bool aBury);
  void OnResumeReply(Now aNow, Pending& aPending, Peer aFrom, const QueryReply& aReply);
  void FinalizeUnresolved(Now aNow, Pending& aPending, Reason aReason);
  void Finalize(Now aNow, Pending& aPending, FinalAnswer aAnswer);
  void RecordQuality(Now aNow, const Pending& aPending, const FinalAnswer& aAnswer);

  Pending* FindPending(const RequestId& aId);
  Pending* FindGranted(const RequestId& aId, const Peer& aFrom);
  void ScheduleTimer(Pending& aPending);
  void OnDeadline(Now aNow, Pending& aPending);
  void OnGrantedDeadline(Now aNow, Pending& aPending);
  void ApplyMoveActions(Now aNow);
  void WithdrawFromBraked(Now aNow);
  void OnConfigChanged(Now aNow, const std::vector<Applied>& aResults);
  void SendTails(Now aNow);
  void WriteSnapshot(Now aNow);
  void FlushClaims(Now aNow);

  std::priority_queue<DueTimer, std::vector<DueTimer>, std::greater<>> timers;
  std::unordered_map<NodeId, LogOffset> tailSentUntil;
  TimePoint tailDueAt = kNever;
  std::unordered_set<std::uint64_t> claimTokens;
  std::uint64_t nextToken = 1;
  std::vector<Candidate> candidates;
  std::vector<NodeId> chosen;
};

inline EventField Field(std::string aKey, std::string aValue)
{
  return EventField{ std::move(aKey), std::move(aValue) };
}

} // namespace caraway
