// Run-time checks of invariants, always enabled in the daemons. A violation is counted and emitted
// as an event with the history of its request.
#pragma once

#include "core/event.h"
#include "core/messages.h"
#include "core/options.h"

#include <array>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace caraway {

enum class Invariant : std::uint8_t
{
  kDispatchOnce,   // a request is dispatched to an engine at most once
  kTierOrder,      // no refusal of a higher tier while lower-tier work could be preempted
  kVersionShare,   // a new version stays within its share, a braked one gets no requests
  kWholeAnswer,    // chunks without gaps; length and checksum as announced
  kNotRunIsTrue,   // "not run" is reported only for requests never dispatched
  kOnceOnly,       // a non-idempotent call runs at most once
  kLeavingIsIdle,  // a leaving endpoint gets no new work
  kNoCutOnLeaving, // a graceful shutdown aborts no running request
  kConfigForward,  // the offset of the applied configuration never decreases
};

constexpr std::size_t kInvariantCount = 9;

std::string_view ToString(Invariant aInvariant);

// Time after a leaving notice in which new work may still arrive.
constexpr Duration kLeavingGrace = seconds(2);

// Fixed-size set of the most recent request ids. A new id replaces the oldest one of its bucket.
class RecentIds
{
public:
  RecentIds();
  // False if aId was in the set already.
  bool Insert(const RequestId& aId);
  bool Contains(const RequestId& aId) const;
  void Erase(const RequestId& aId);

private:
  static constexpr std::size_t kBuckets = 2048;
  static constexpr std::size_t kWays = 8;
  struct Bucket
  {
    std::array<RequestId, kWays> ids;
    std::uint8_t oldest = 0;
  };
  static std::size_t IndexOf(const RequestId& aId);

  std::vector<Bucket> buckets;
};

// Event sink in front of the event sink of an entry or agent: keeps the most recent events,
// forwards them, and checks the steps that can violate an invariant. Each check returns whether the
// invariant holds, so that the caller can stop before it acts. Each entry or agent has its own
// checker.
class InvariantChecker final : public EventSink
{
public:
  explicit InvariantChecker(EventSink& aEvents);

  // Records the event for histories and forwards it.
  void Note(const Event& aEvent) override;

  // Agent, before it sends a request to its endpoint. aClaim: offset of the idempotency claim.
  bool OnDispatch(Now aNow, const RequestId& aId, WorkKind aKind, LogOffset aClaim);
  // Entry, before it sends a grant. aAgentLeaving: time of the agent's leaving notice, if any.
  bool OnGrant(Now aNow, const RequestId& aId, std::optional<TimePoint> aAgentLeaving);
  // Entry: the agent has confirmed that the granted request has not run and never will, or the
  // request has ended.
  void OnGrantRevoked(const RequestId& aId);

  // Agent or entry, before a refusal for lack of capacity. aLowerTierLeft: strictly lower-tier work
  // that may be preempted is queued or running where the request could have run.
  bool OnShed(Now aNow, const RequestId& aId, Tier aTier, bool aLowerTierLeft);

  // Entry, after a new request was assigned to the new version of a running move: aSent of aTotal
  // requests of the move went to it. aBound is zero for a braked version.
  bool OnShare(Now aNow, std::string_view aMove, std::uint64_t aSent, std::uint64_t aTotal,
               double aBound);
  // Entry, before a grant to an agent of a version that is braked or taken back.
  bool OnBraked(Now aNow, const RequestId& aId, std::string_view aVersion);

  // Entry, before it forwards a chunk. aExpected: the next chunk number.
  bool OnChunk(Now aNow, const RequestId& aId, std::uint32_t aExpected, std::uint32_t aNumber);
  // Entry, before it reports "answered": compares the forwarded answer with the agent's
  // announcement.
  bool OnAnswerComplete(Now aNow, const Finish& aFinish, std::uint32_t aChunks,
                        std::uint64_t aBytes, std::uint64_t aChecksum);

  // Agent or entry, before it reports "not run".
  bool OnNotRun(Now aNow, const RequestId& aId);

  // The process begins a graceful shutdown.
  void OnLeaving(Now aNow);
  // Agent or entry, before it aborts a running request on its own initiative.
  bool OnAbort(Now aNow, const RequestId& aId, Reason aReason);

  // Configuration has been applied; aNextOffset is the first offset not applied.
  bool OnConfigOffset(Now aNow, LogOffset aNextOffset);

  std::uint64_t Violations() const { return this->violations; }
  std::uint64_t Violations(Invariant aInvariant) const;

private:
  static constexpr std::size_t kHistorySize = 2048;

  bool Check(bool aHolds, Now aNow, Invariant aInvariant, const RequestId& aId,
             std::string_view aDetail);
  std::string HistoryOf(const RequestId& aId) const;

  EventSink& events;
  std::vector<Event> history; // ring buffer
  std::size_t nextEvent = 0;
  RecentIds dispatched;
  RecentIds granted;
  RecentIds claims; // offsets of the claims of dispatched calls
  std::optional<TimePoint> leavingSince;
  LogOffset nextConfigOffset = 0;
  std::uint64_t violations = 0;
  std::array<std::uint64_t, kInvariantCount> violationsByInvariant{};
};

} // namespace caraway
