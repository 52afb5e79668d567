// Checks inside the program of what must always hold. A daemon runs with them on: a violation is
// counted and emitted as an event together with the history of its request.
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
  kTierOrder,      // no refusal of a higher tier while lower-tier work could make room
  kVersionShare,   // an unproved version stays within its share, a braked one gets nothing
  kWholeAnswer,    // chunks without gaps, length and checksum as announced
  kNotRunIsTrue,   // "not run" is said only of what was never dispatched
  kOnceOnly,       // a non-idempotent call runs at most once
  kLeavingIsIdle,  // an endpoint that is leaving gets no new work
  kNoCutOnLeaving, // a graceful shutdown cuts nothing
  kConfigForward,  // applied configuration never goes back
};

constexpr std::size_t kInvariantCount = 9;

std::string_view ToString(Invariant aInvariant);

// How long after a leaving notice new work may still arrive.
constexpr Duration kLeavingBound = seconds(2);

// Set of the request ids seen last, of fixed size. The oldest of a bucket gives way to a new one.
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

// Stands between the decisions of one process and its event sink: remembers the last events, passes
// them on, and checks the steps that can break an invariant. Each check returns whether it holds,
// so that the caller can stop before the harm is done. One checker for each entry or agent.
class InvariantChecker final : public EventSink
{
public:
  explicit InvariantChecker(EventSink& aEvents);

  // Remembers the event for histories and passes it on.
  void Note(const Event& aEvent) override;

  // Agent, before it hands a request to its endpoint. aClaim: offset of the idempotency claim.
  bool OnDispatch(Now aNow, const RequestId& aId, WorkKind aKind, LogOffset aClaim);
  // Entry, before it sends a grant. aAgentLeaving: since when the agent has been leaving.
  bool OnGrant(Now aNow, const RequestId& aId, std::optional<TimePoint> aAgentLeaving);
  // Entry: the agent has confirmed that the grant never ran and never will, or the request is over.
  void OnGrantVoid(const RequestId& aId);

  // Agent or entry, before a refusal for want of capacity. aLowerTierLeft: strictly lower-tier work
  // that may be cut is queued or running where the request could have run.
  bool OnShed(Now aNow, const RequestId& aId, Tier aTier, bool aLowerTierLeft);

  // Entry, after a new request was bound to a version that has not proved itself: aSent of aTotal
  // requests of the move went to it. A braked version has a bound of zero.
  bool OnShare(Now aNow, std::string_view aMove, std::uint64_t aSent, std::uint64_t aTotal,
               double aBound);
  // Entry, before a grant to an agent of a version that is braked or taken back.
  bool OnBraked(Now aNow, const RequestId& aId, std::string_view aVersion);

  // Entry, before it passes a chunk on. aExpected: the number that must come next.
  bool OnChunk(Now aNow, const RequestId& aId, std::uint32_t aExpected, std::uint32_t aNumber);
  // Entry, before it says "answered": what was passed on against what the agent announced.
  bool OnWhole(Now aNow, const Finish& aFinish, std::uint32_t aChunks, std::uint64_t aBytes,
               std::uint64_t aChecksum);

  // Agent or entry, before it says "not run".
  bool OnNotRun(Now aNow, const RequestId& aId);

  // The process begins to shut down.
  void OnLeaving(Now aNow);
  // Agent or entry, before it stops a running request for a reason of its own.
  bool OnCut(Now aNow, const RequestId& aId, Reason aReason);

  // Configuration is applied up to aNext, the first offset not applied.
  bool OnConfigNext(Now aNow, LogOffset aNext);

  std::uint64_t Violations() const { return this->violations; }
  std::uint64_t Violations(Invariant aInvariant) const;

private:
  static constexpr std::size_t kHistory = 2048;

  bool Check(bool aHolds, Now aNow, Invariant aInvariant, const RequestId& aId,
             std::string_view aDetail);
  std::string HistoryOf(const RequestId& aId) const;

  EventSink& events;
  std::vector<Event> history; // ring
  std::size_t nextEvent = 0;
  RecentIds dispatched;
  RecentIds granted;
  RecentIds claims; // offsets of claims that were dispatched
  std::optional<TimePoint> leavingSince;
  LogOffset configNext = 0;
  std::uint64_t violations = 0;
  std::array<std::uint64_t, kInvariantCount> byInvariant{};
};

} // namespace caraway
