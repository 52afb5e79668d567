#include "direct/call.h"

namespace caraway::direct {

std::string_view ToString(CallKind aKind)
{
  switch (aKind) {
    case CallKind::kSafe:
      return "safe";
    case CallKind::kOnce:
      return "once";
    case CallKind::kStream:
      return "stream";
  }
  return "invalid";
}

std::string_view ToString(AttemptEnd aEnd)
{
  switch (aEnd) {
    case AttemptEnd::kAnswered:
      return "answered";
    case AttemptEnd::kFailed:
      return "failed";
    case AttemptEnd::kBroken:
      return "broken";
    case AttemptEnd::kUnsent:
      return "unsent";
    case AttemptEnd::kRefused:
      return "refused";
    case AttemptEnd::kMisdirected:
      return "misdirected";
    case AttemptEnd::kStalled:
      return "stalled";
  }
  return "invalid";
}

std::string_view ToString(GiveUpReason aReason)
{
  switch (aReason) {
    case GiveUpReason::kNoEndpoint:
      return "no_endpoint";
    case GiveUpReason::kOverload:
      return "overload";
    case GiveUpReason::kDeadline:
      return "deadline";
    case GiveUpReason::kRefused:
      return "refused";
    case GiveUpReason::kFailed:
      return "failed";
    case GiveUpReason::kSuspect:
      return "suspect";
  }
  return "invalid";
}

} // namespace caraway::direct
