// State of an agent and its transitions. agent.cpp implements peers, configuration and timers;
// agent_admission.cpp reservations, offers and load shedding; agent_work.cpp dispatched work and
// health.
#pragma once

#include "core/agent.h"
#include "core/agent_config.h"
#include "core/answers.h"
#include "core/drain_rate.h"
#include "core/evidence_totals.h"
#include "core/health.h"
#include "core/invariant.h"
#include "core/limit.h"
#include "core/queue.h"
#include "core/running.h"
#include "core/shed.h"
#include "core/suspect.h"

#include <map>

namespace caraway {

// A slot held for a reservation until it is granted, withdrawn or timed out.
struct OpenOffer
{
  Reservation reservation;
  std::uint64_t number = 0;
  TimePoint expires;
  bool isExclusive = false; // the request is a suspect and must run alone
};

// A connected entry.
struct PeerState
{
  Peer peer;
  bool isUnresponsive = false; // let an offer expire; gets no offers until its next message
};

// A request whose connection broke, kept until a probe shows whether the endpoint crashed.
struct BrokenRequest
{
  std::uint64_t fingerprint = 0;
  TimePoint at;
};

class Agent::Impl
{
public:
  Impl(const AgentOptions& aOptions, const AgentIdentity& aIdentity, Random& aRandom,
       AgentPort& aPort);

  void OnPeerUp(Now aNow, Peer aPeer, const Hello& aHello);
  void OnPeerDown(Now aNow, NodeId aNode);
  void OnMessage(Now aNow, Peer aFrom, const Message& aMessage);
  void OnWorkChunk(Now aNow, const RequestId& aId, std::uint32_t aTokens, const std::string& aData);
  void OnWorkEnd(Now aNow, const RequestId& aId, const WorkResult& aResult);
  void OnProbe(Now aNow, bool aReachable);
  void OnOrderDone(Now aNow, LogOffset aFencing, bool aAccepted);
  void OnTimer(Now aNow);
  TimePoint NextTimer() const;
  void BeginLeaving(Now aNow);
  bool Idle() const;
  Hello CurrentHello() const;
  const ConfigState& Config() const { return this->config.State(); }
  std::string StatusJson(Now aNow) const;

private:
  // Messages from entries.
  void On(Now aNow, Peer aFrom, const Hello& aHello);
  void On(Now aNow, Peer aFrom, const Reserve& aReserve);
  void On(Now aNow, Peer aFrom, const Withdraw& aWithdraw);
  void On(Now aNow, Peer aFrom, const Grant& aGrant);
  void On(Now aNow, Peer aFrom, const Cancel& aCancel);
  void On(Now aNow, Peer aFrom, const Ack& aAck);
  void On(Now aNow, Peer aFrom, const Query& aQuery);
  void On(Now aNow, Peer aFrom, const ConfigRequest& aAsk);
  void On(Now aNow, Peer aFrom, const ConfigTail& aTail);
  void On(Now aNow, Peer aFrom, const EvidenceReport& aReport);
  void On(Now aNow, Peer aFrom, const Brake& aBrake);
  void On(Now aNow, Peer aFrom, const Suspicion& aSuspicion);
  // Messages that only agents send.
  void On(Now aNow, Peer aFrom, const Offer&) { this->OnMisdirectedMessage(aNow, aFrom); }
  void On(Now aNow, Peer aFrom, const Refuse&) { this->OnMisdirectedMessage(aNow, aFrom); }
  void On(Now aNow, Peer aFrom, const Chunk&) { this->OnMisdirectedMessage(aNow, aFrom); }
  void On(Now aNow, Peer aFrom, const Finish&) { this->OnMisdirectedMessage(aNow, aFrom); }
  void On(Now aNow, Peer aFrom, const QueryReply&) { this->OnMisdirectedMessage(aNow, aFrom); }
  void OnMisdirectedMessage(Now aNow, Peer aFrom);

  // Reservations and offers.
  std::optional<Reason> ReasonToRefuse(Now aNow, const Reserve& aReserve) const;
  bool CannotStartInTime(Now aNow, const Reservation& aReservation) const;
  bool HasLowerTierWork(Tier aTier) const;
  bool IsLeaving() const { return this->isLeaving || this->config.IsDrained(); }
  std::uint32_t HeldSlots() const;
  std::uint64_t HeldTokens() const;
  std::uint32_t Allowance(Now aNow) const;
  InFlight CurrentInFlight() const;
  bool HasExclusiveWork() const;
  bool IsEligible(Now aNow, const Reservation& aReservation) const;
  bool IsSuspect(Now aNow, const Reservation& aReservation) const;
  bool IsBanned(Now aNow, std::uint64_t aFingerprint) const;
  bool HasRoomFor(Now aNow, const Reservation& aReservation) const;
  bool HasSlotFor(Now aNow, const Reservation& aReservation) const;
  bool IsPrefillFull(const Reservation& aReservation) const;
  std::uint32_t PendingPrefill() const;
  const RunningRequest* VictimFor(Now aNow, const Reservation& aReservation,
                                  bool aIsLastAttempt) const;
  void OfferSlots(Now aNow);
  void SendOffer(Now aNow, const RequestId& aId, bool aIsExclusive, std::uint32_t aAllowed);
  const OpenOffer* FindOffer(const RequestId& aId) const;
  bool IsReserved(const RequestId& aId) const;
  void DropReservation(const RequestId& aId);
  std::optional<OpenOffer> TakeOffer(const RequestId& aId);
  void ReleaseOffer(const OpenOffer& aOffer);
  void ExpireOffers(Now aNow);
  void DropReservationsOf(NodeId aNode);
  void SendRefuse(Now aNow, const Reservation& aReservation, Reason aReason);

  // Overload and preemption.
  bool CanRoomBeMade(Now aNow, const Reservation& aReservation) const;
  void SweepQueue(Now aNow);
  void ProcessDue(Now aNow, const RequestId& aId);
  Reason DelayReason(Now aNow, const Reservation& aReservation) const;
  bool PreemptFor(Now aNow, const RequestId& aId, bool aIsLastAttempt);
  bool MakeQueueRoom(Now aNow, const Reservation& aReservation);
  std::vector<RequestId> QueuedBelow(Tier aTier) const;
  void RefuseLowerTiers(Now aNow, Tier aTier);
  void PreemptOrRefuse(Now aNow, const RequestId& aId);

  // Dispatched work.
  void RefuseGrant(Now aNow, Peer aFrom, const Grant& aGrant);
  void Dispatch(Now aNow, const OpenOffer& aOffer, const Grant& aGrant);
  void Stop(Now aNow, const RequestId& aId, Reason aReason);
  void End(Now aNow, const RunningRequest& aRunning, Finish aFinish);
  Finish FinishOf(Now aNow, const RunningRequest& aRunning, const WorkResult& aResult);
  void OnWorkFailed(Now aNow, WorkEnd aEnd);
  void Replay(NodeId aTo, const Answer& aAnswer, std::uint32_t aFrom);
  void SendNotRun(Now aNow, NodeId aTo, const RequestId& aId, Reason aReason);
  void SendUnknown(NodeId aTo, const RequestId& aId, Reason aReason);
  bool MayHaveRun(const RequestId& aId, bool aGranted) const;
  RunState StateOf(const Query& aQuery, const Answer* aAnswer) const;

  // Health.
  Duration SilenceLimit(const RunningRequest& aRunning) const;
  bool IsEndpointSilent(Now aNow) const;
  void CheckProgress(Now aNow);
  void StartProbe(Now aNow);
  void OnEndpointLost(Now aNow);
  void AddSuspect(Now aNow, std::uint64_t aFingerprint);

  // Peers.
  void Broadcast(const Message& aMessage, NodeId aExcept = NodeId{});
  void RequestConfig(Now aNow, NodeId aPeer, LogOffset aTheirs);
  void ReturnReservations(Now aNow);
  void SendHello(Now aNow);
  void RefreshHello(Now aNow);
  void SendEvidence(Now aNow);

  void Note(Now aNow, EventKind aKind, const RequestId& aId, NodeId aPeer,
            const std::string& aAccount, std::vector<EventField> aFields = {});
  void ReportViolation(Now aNow, const RequestId& aId, const std::string& aText);

  AgentOptions options;
  AgentIdentity identity;
  Random& random;
  AgentPort& port;
  InvariantChecker checker;
  ReservationQueue queue;
  std::vector<OpenOffer> offers;
  RunningTable running;
  AnswerStore answers;
  TombstoneTable tombstones;
  SuspectTable suspects;
  LatencyModel latency;
  StallTimeouts stallTimeouts;
  Breaker breaker;
  std::unique_ptr<Limiter> limiter;
  DrainRate drainRate;
  AgentConfig config;
  EvidenceTotals evidence;
  std::map<NodeId, PeerState> peers;
  std::vector<BrokenRequest> brokenRequests;
  std::uint64_t lastOffer = 0;
  bool isLeaving = false;
  bool wasDrained = false;
  bool isProbing = false;
  TimePoint probedAt{};
  // Time since which a suspect has been waiting for an idle endpoint.
  TimePoint exclusiveWaitStart = kNever;
  TimePoint exclusiveNotBefore{}; // earliest next suspect; lets other requests run in between
  TimePoint nextSweep = kNever;
  TimePoint lastSweep{};
  TimePoint nextHealth = kNever;
  TimePoint nextExpiry = kNever;
  TimePoint nextHello = kNever;
  TimePoint lastHelloAt{};
  Hello lastHello;
  TimePoint nextEvidence = kNever;
  TimePoint lastConfigRequestAt{};
  LogOffset lastConfigRequestNext = kNoOffset;
};

} // namespace caraway
