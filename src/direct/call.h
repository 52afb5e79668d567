// Types shared by the direct path, on which an entry sends requests to endpoints itself: it first
// obtains an offer for one of the endpoint's slots.
#pragma once

#include "core/messages.h"
#include "core/types.h"
#include "direct/queue_order.h"
#include "direct/regions.h"

#include <string>
#include <vector>

namespace caraway::direct {

// Identifies a caller's request at one entry; unique for the lifetime of the entry process.
using CallNumber = std::uint64_t;

// Whether a call may be executed more than once.
enum class CallKind : std::uint8_t
{
  kSafe,   // idempotent; may run more than once
  kOnce,   // must run at most once
  kStream, // event stream; runs once unless it is resumable
};

std::string_view ToString(CallKind aKind);

struct CallSpec
{
  CallNumber number = 0;
  CallKind kind = CallKind::kOnce;
  bool isResumable = false;                    // a stream that another endpoint can resume
  Tier tier = kLowestTier;                     // of the client account, otherwise of the route
  Tier rank = kLowestTier;                     // of the route; orders calls within a tier
  QueueOrder order = QueueOrder::kOnTimeFirst; // of the service
  std::uint32_t account = 0;                   // as in ReserveSlot
  std::uint16_t accountWeight = 0;
  std::string service;
  // Endpoint version constraints during a version move (see VersionMove); empty: no constraint.
  std::string requiredVersion;
  std::string excludedVersion;
  AllowedRegions regions;      // in which it may run
  bool isCanary = false;       // falls back to other versions if requiredVersion has no free slot
  std::uint32_t maxRuns = 1;   // maximum number of endpoints that may run it
  Duration objective{};        // time to the first event, or to the response
  TimePoint arrived{};         // when the request was read
  TimePoint deadline = kNever; // the earlier of the caller's and the route's
  std::uint32_t promptTokens = 0;
  std::uint32_t outputTokens = 0; // estimate
  std::uint64_t subject = 0;      // hash of the longest shared prompt prefix; 0: none
  // Hash of account, path and body, so that a request repeated under a new id has the same value;
  // 0: unknown.
  std::uint64_t fingerprint = 0;
  std::vector<std::uint64_t> promptParts; // IDs of the prompt's parts, except its own last one

  bool MayRepeat() const
  {
    return this->kind == CallKind::kSafe || (this->kind == CallKind::kStream && this->isResumable);
  }
};

// How one attempt at an endpoint ended.
enum class AttemptEnd : std::uint8_t
{
  kAnswered,    // complete response received
  kFailed,      // the endpoint ran it and returned an error
  kBroken,      // incomplete response; it may have run
  kUnsent,      // not sent by this process
  kRefused,     // the endpoint reports that it did not run it
  kMisdirected, // the address now belongs to another endpoint; it did not run
  kStalled,     // cancelled here because the endpoint made no progress; it may have run
};

std::string_view ToString(AttemptEnd aEnd);

// True if the attempt is known not to have run.
inline bool HasNotRun(AttemptEnd aEnd)
{
  return aEnd == AttemptEnd::kUnsent || aEnd == AttemptEnd::kRefused ||
         aEnd == AttemptEnd::kMisdirected;
}

// Why a call ended without a response from an endpoint.
enum class GiveUpReason : std::uint8_t
{
  kNoEndpoint, // no usable endpoint of the service is known
  kOverload,   // no slot became available in time
  kDeadline,   // the deadline passed
  kRefused,    // endpoints refused it, and no further attempt is allowed
  kFailed,     // an attempt failed, and no further attempt is allowed
  kSuspect,    // endpoints crashed while running the same request
};

std::string_view ToString(GiveUpReason aReason);

} // namespace caraway::direct
