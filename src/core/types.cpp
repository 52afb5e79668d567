#include "core/types.h"

#include <xxhash.h>

namespace caraway {

std::string_view ToString(Outcome aOutcome)
{
  switch (aOutcome) {
    case Outcome::kAnswered:
      return "answered";
    case Outcome::kNotRun:
      return "not_run";
    case Outcome::kCut:
      return "cut";
    case Outcome::kUnknown:
      return "unknown";
  }
  return "invalid";
}

std::string_view ToString(Reason aReason)
{
  switch (aReason) {
    case Reason::kNone:
      return "none";
    case Reason::kOverload:
      return "overload";
    case Reason::kQuota:
      return "quota";
    case Reason::kNoEndpoint:
      return "no_endpoint";
    case Reason::kDraining:
      return "draining";
    case Reason::kDeadline:
      return "deadline";
    case Reason::kCallerGone:
      return "caller_gone";
    case Reason::kSuspect:
      return "suspect";
    case Reason::kPreempted:
      return "preempted";
    case Reason::kStalled:
      return "stalled";
    case Reason::kEndpointFailed:
      return "endpoint_failed";
    case Reason::kEndpointLost:
      return "endpoint_lost";
    case Reason::kKeyExpired:
      return "key_expired";
    case Reason::kKeyInUse:
      return "key_in_use";
    case Reason::kLogDown:
      return "log_down";
    case Reason::kUnauthorized:
      return "unauthorized";
    case Reason::kStaleOrder:
      return "stale_order";
  }
  return "invalid";
}

std::string_view ToString(WorkKind aKind)
{
  switch (aKind) {
    case WorkKind::kCompletion:
      return "completion";
    case WorkKind::kService:
      return "service";
    case WorkKind::kOnce:
      return "once";
  }
  return "invalid";
}

NodeId NodeIdOf(std::string_view aName)
{
  return NodeId{ HashOf(aName) };
}

std::uint64_t HashOf(std::string_view aData, std::uint64_t aSeed)
{
  return XXH3_64bits_withSeed(aData.data(), aData.size(), aSeed);
}

} // namespace caraway
