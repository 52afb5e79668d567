// State of an agent and the steps that change it. agent.cpp holds peers, configuration and timers;
// agent_admission.cpp reservations, offers and shedding; agent_work.cpp dispatched work and health.
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

// A slot held for a reservation until its grant, its withdrawal or its timeout.
struct OpenOffer
{
  Reservation reservation;
  std::uint64_t number = 0;
  TimePoint expires;
  bool isAlone = false; // for a suspect, which runs alone
};

// A connected entry.
struct PeerState
{
  Peer peer;
  bool isSilent = false; // let an offer expire; gets none until it says something
};

// A request whose connection broke, kept until a probe tells whether the endpoint died.
struct BrokenWork
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
  const ConfigState& Config() const { return this->feed.State(); }
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
  void On(Now aNow, Peer aFrom, const Offer&) { this->Misdirected(aNow, aFrom); }
  void On(Now aNow, Peer aFrom, const Refuse&) { this->Misdirected(aNow, aFrom); }
  void On(Now aNow, Peer aFrom, const Chunk&) { this->Misdirected(aNow, aFrom); }
  void On(Now aNow, Peer aFrom, const Finish&) { this->Misdirected(aNow, aFrom); }
  void On(Now aNow, Peer aFrom, const QueryReply&) { this->Misdirected(aNow, aFrom); }
  void Misdirected(Now aNow, Peer aFrom);

  // Reservations and offers.
  std::optional<Reason> ReasonToRefuse(Now aNow, const Reserve& aReserve) const;
  bool IsHopeless(Now aNow, const Reservation& aReservation) const;
  bool HasLowerTier(Tier aTier) const;
  bool IsLeaving() const { return this->isLeaving || this->feed.IsDrained(); }
  std::uint32_t Held() const;
  std::uint64_t HeldTokens() const;
  std::uint32_t Allowance(Now aNow) const;
  InFlight CurrentInFlight() const;
  bool IsAloneBusy() const;
  bool IsEligible(Now aNow, const Reservation& aReservation) const;
  bool IsSuspect(Now aNow, const Reservation& aReservation) const;
  bool IsBanned(Now aNow, std::uint64_t aFingerprint) const;
  bool HasRoomFor(Now aNow, const Reservation& aReservation) const;
  bool HasSlotFor(Now aNow, const Reservation& aReservation) const;
  bool IsPrefillFull(const Reservation& aReservation) const;
  std::uint32_t PendingPrefill() const;
  const Running* VictimFor(Now aNow, const Reservation& aReservation, bool aIsLast) const;
  void OfferSlots(Now aNow);
  void SendOffer(Now aNow, const RequestId& aId, bool aIsAlone, std::uint32_t aAllowed);
  const OpenOffer* FindOffer(const RequestId& aId) const;
  bool IsReserved(const RequestId& aId) const;
  void DropReservation(const RequestId& aId);
  std::optional<OpenOffer> TakeOffer(const RequestId& aId);
  void ReleaseOffer(const OpenOffer& aOffer);
  void ExpireOffers(Now aNow);
  void DropReservationsOf(NodeId aNode);
  void SendRefuse(Now aNow, const Reservation& aReservation, Reason aReason);

  // Overload.
  bool CanRoomBeMade(Now aNow, const Reservation& aReservation) const;
  void SweepQueue(Now aNow);
  void ServeDue(Now aNow, const RequestId& aId);
  Reason ReasonOfDelay(Now aNow, const Reservation& aReservation) const;
  bool CutFor(Now aNow, const RequestId& aId, bool aIsLast);
  bool MakeQueueRoom(Now aNow, const Reservation& aReservation);
  std::vector<RequestId> QueuedBelow(Tier aTier) const;
  void RefuseBelow(Now aNow, Tier aTier);
  void GiveUp(Now aNow, const RequestId& aId);

  // Dispatched work.
  void RefuseGrant(Now aNow, Peer aFrom, const Grant& aGrant);
  void Dispatch(Now aNow, const OpenOffer& aOffer, const Grant& aGrant);
  void Stop(Now aNow, const RequestId& aId, Reason aReason);
  void End(Now aNow, const Running& aRunning, Finish aFinish);
  Finish FinishOf(Now aNow, const Running& aRunning, const WorkResult& aResult);
  void OnWorkFailed(Now aNow, WorkEnd aEnd);
  void Replay(NodeId aTo, const Answer& aAnswer, std::uint32_t aFrom);
  void SayNotRun(Now aNow, NodeId aTo, const RequestId& aId, Reason aReason);
  void SayUnknown(NodeId aTo, const RequestId& aId, Reason aReason);
  bool MayHaveRun(const RequestId& aId, bool aGranted) const;
  RunState StateOf(const Query& aQuery, const Answer* aAnswer) const;

  // Health.
  Duration SilenceLimit(const Running& aRunning) const;
  bool IsSilent(Now aNow) const;
  void CheckProgress(Now aNow);
  void AskProbe(Now aNow);
  void OnEndpointDead(Now aNow);
  void AddSuspect(Now aNow, std::uint64_t aFingerprint);

  // Peers.
  void Broadcast(const Message& aMessage, NodeId aExcept = NodeId{});
  void AskConfig(Now aNow, NodeId aPeer, LogOffset aTheirs);
  void HandBack(Now aNow);
  void SendHello(Now aNow);
  void RefreshHello(Now aNow);
  void SendEvidence(Now aNow);

  void Note(Now aNow, EventKind aKind, const RequestId& aId, NodeId aPeer,
            const std::string& aAccount, std::vector<EventField> aFields = {});
  void Violate(Now aNow, const RequestId& aId, const std::string& aText);

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
  Pace pace;
  StallRule stallRule;
  Breaker breaker;
  std::unique_ptr<Limiter> limiter;
  DrainRate drain;
  AgentConfig feed;
  EvidenceTotals evidence;
  std::map<NodeId, PeerState> peers;
  std::vector<BrokenWork> broken;
  std::uint64_t lastOffer = 0;
  bool isLeaving = false;
  bool wasDrained = false;
  bool isProbing = false;
  TimePoint probedAt{};
  TimePoint aloneWaitStart = kNever; // a suspect waits for the endpoint to become empty since then
  TimePoint aloneAfter{};            // no suspect runs before, so that others get their turn
  TimePoint nextSweep = kNever;
  TimePoint lastSweep{};
  TimePoint nextHealth = kNever;
  TimePoint nextExpiry = kNever;
  TimePoint nextHello = kNever;
  TimePoint lastHelloAt{};
  Hello lastHello;
  TimePoint nextEvidence = kNever;
  TimePoint lastAsk{};
  LogOffset lastAskNext = kNoOffset;
};

} // namespace caraway
