#include "core/invariant.h"

#include <algorithm>

namespace caraway {

namespace {

constexpr std::array<std::string_view, kInvariantCount> kNames = {
  "dispatch_once", "tier_order",      "version_share",     "whole_answer",   "not_run_is_true",
  "once_only",     "leaving_is_idle", "no_cut_on_leaving", "config_forward",
};

// Formats an event of a history.
std::string Describe(const Event& aEvent)
{
  std::string text = std::to_string(aEvent.time.time_since_epoch().count());
  text += "us ";
  text += ToString(aEvent.kind);
  if (!aEvent.subject.empty()) {
    text += " subject=" + aEvent.subject;
  }
  for (const EventField& field : aEvent.fields) {
    text += " " + field.key + "=" + field.value;
  }
  return text;
}

} // namespace

std::string_view ToString(Invariant aInvariant)
{
  return kNames.at(static_cast<std::size_t>(aInvariant));
}

RecentIds::RecentIds()
  : buckets(kBuckets)
{
}

std::size_t RecentIds::IndexOf(const RequestId& aId)
{
  return std::hash<RequestId>{}(aId) % kBuckets;
}

bool RecentIds::Insert(const RequestId& aId)
{
  if (this->Contains(aId)) {
    return false;
  }
  Bucket& bucket = this->buckets[IndexOf(aId)];
  bucket.ids[bucket.oldest] = aId;
  bucket.oldest = static_cast<std::uint8_t>((bucket.oldest + 1) % kWays);
  return true;
}

bool RecentIds::Contains(const RequestId& aId) const
{
  const Bucket& bucket = this->buckets[IndexOf(aId)];
  return std::find(bucket.ids.begin(), bucket.ids.end(), aId) != bucket.ids.end();
}

void RecentIds::Erase(const RequestId& aId)
{
  Bucket& bucket = this->buckets[IndexOf(aId)];
  std::replace(bucket.ids.begin(), bucket.ids.end(), aId, RequestId{});
}

InvariantChecker::InvariantChecker(EventSink& aEvents)
  : events(aEvents)
  , history(kHistorySize)
{
}

void InvariantChecker::Note(const Event& aEvent)
{
  this->history[this->nextEvent] = aEvent;
  this->nextEvent = (this->nextEvent + 1) % kHistorySize;
  this->events.Note(aEvent);
}

bool InvariantChecker::OnDispatch(Now aNow, const RequestId& aId, WorkKind aKind, LogOffset aClaim)
{
  bool holds = this->Check(this->dispatched.Insert(aId), aNow, Invariant::kDispatchOnce, aId,
                           "request dispatched a second time");
  if (aKind == WorkKind::kOnce) {
    // Claims are stored in a set of request ids: the offset is the low half, the high half is all
    // ones.
    const RequestId claim{ ~std::uint64_t{ 0 }, aClaim };
    const bool isFirst = aClaim != kNoOffset && this->claims.Insert(claim);
    holds &= this->Check(isFirst, aNow, Invariant::kOnceOnly, aId,
                         "non-idempotent call without a claim, or with a claim already used");
  }
  const bool isPastGrace = this->leavingSince && aNow.steady > *this->leavingSince + kLeavingGrace;
  holds &= this->Check(!isPastGrace, aNow, Invariant::kLeavingIsIdle, aId,
                       "dispatch after the grace period of a graceful shutdown");
  return holds;
}

bool InvariantChecker::OnGrant(Now aNow, const RequestId& aId,
                               std::optional<TimePoint> aAgentLeaving)
{
  bool holds = this->Check(this->granted.Insert(aId), aNow, Invariant::kDispatchOnce, aId,
                           "request granted a second time");
  const bool isLate = aAgentLeaving && aNow.steady > *aAgentLeaving + kLeavingGrace;
  holds &= this->Check(!isLate, aNow, Invariant::kLeavingIsIdle, aId,
                       "grant after the grace period of the agent's leaving notice");
  return holds;
}

void InvariantChecker::OnGrantRevoked(const RequestId& aId)
{
  this->granted.Erase(aId);
}

bool InvariantChecker::OnShed(Now aNow, const RequestId& aId, Tier aTier, bool aLowerTierLeft)
{
  const bool holds = !aLowerTierLeft || aTier >= kLowestTier;
  return this->Check(holds, aNow, Invariant::kTierOrder, aId,
                     "refused while lower-tier work is queued or running");
}

bool InvariantChecker::OnShare(Now aNow, std::string_view aMove, std::uint64_t aSent,
                               std::uint64_t aTotal, double aBound)
{
  // One request is always allowed: without outcomes the share could never be raised.
  const double allowed = aBound <= 0 ? 0 : 1 + aBound * static_cast<double>(aTotal);
  if (static_cast<double>(aSent) <= allowed) {
    return true;
  }
  const std::string detail = "move " + std::string(aMove) + " sent " + std::to_string(aSent) +
                             " of " + std::to_string(aTotal);
  return this->Check(false, aNow, Invariant::kVersionShare, RequestId{}, detail);
}

bool InvariantChecker::OnBraked(Now aNow, const RequestId& aId, std::string_view aVersion)
{
  const std::string detail = "grant to the braked version " + std::string(aVersion);
  return this->Check(false, aNow, Invariant::kVersionShare, aId, detail);
}

bool InvariantChecker::OnChunk(Now aNow, const RequestId& aId, std::uint32_t aExpected,
                               std::uint32_t aNumber)
{
  return this->Check(aExpected == aNumber, aNow, Invariant::kWholeAnswer, aId,
                     "chunk missing or out of order");
}

bool InvariantChecker::OnAnswerComplete(Now aNow, const Finish& aFinish, std::uint32_t aChunks,
                                        std::uint64_t aBytes, std::uint64_t aChecksum)
{
  const bool isComplete =
    aFinish.chunks == aChunks && aFinish.bytes == aBytes && aFinish.checksum == aChecksum;
  return this->Check(
    isComplete, aNow, Invariant::kWholeAnswer, aFinish.id,
    "chunk count, length or checksum of the answer differs from the announced one");
}

bool InvariantChecker::OnNotRun(Now aNow, const RequestId& aId)
{
  const bool hasRun = this->dispatched.Contains(aId) || this->granted.Contains(aId);
  return this->Check(!hasRun, aNow, Invariant::kNotRunIsTrue, aId,
                     "reported not_run for a request that was granted or dispatched");
}

void InvariantChecker::OnLeaving(Now aNow)
{
  if (!this->leavingSince) {
    this->leavingSince = aNow.steady;
  }
}

bool InvariantChecker::OnAbort(Now aNow, const RequestId& aId, Reason aReason)
{
  return this->Check(aReason != Reason::kDraining, aNow, Invariant::kNoCutOnLeaving, aId,
                     "running request aborted by a graceful shutdown");
}

bool InvariantChecker::OnConfigOffset(Now aNow, LogOffset aNextOffset)
{
  const bool holds = aNextOffset >= this->nextConfigOffset;
  this->nextConfigOffset = std::max(this->nextConfigOffset, aNextOffset);
  return this->Check(holds, aNow, Invariant::kConfigForward, RequestId{},
                     "offset of the applied configuration decreased");
}

std::uint64_t InvariantChecker::Violations(Invariant aInvariant) const
{
  return this->violationsByInvariant.at(static_cast<std::size_t>(aInvariant));
}

// Unless aHolds, counts a violation and emits it with the history of the request.
bool InvariantChecker::Check(bool aHolds, Now aNow, Invariant aInvariant, const RequestId& aId,
                             std::string_view aDetail)
{
  if (aHolds) {
    return true;
  }
  ++this->violations;
  ++this->violationsByInvariant.at(static_cast<std::size_t>(aInvariant));
  Event event;
  event.time = aNow.steady;
  event.kind = EventKind::kViolation;
  event.request = aId;
  event.subject = ToString(aInvariant);
  event.fields.push_back({ "detail", std::string(aDetail) });
  event.fields.push_back({ "history", this->HistoryOf(aId) });
  this->events.Note(event);
  return false;
}

// Events of the request that are still in the ring buffer, oldest first.
std::string InvariantChecker::HistoryOf(const RequestId& aId) const
{
  std::string text;
  for (std::size_t i = 0; i < kHistorySize; ++i) {
    const Event& event = this->history[(this->nextEvent + i) % kHistorySize];
    if (event.request == aId && event.time != TimePoint{}) {
      text += text.empty() ? "" : "; ";
      text += Describe(event);
    }
  }
  return text;
}

} // namespace caraway
