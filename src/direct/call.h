// Vocabulary of the direct path, on which an entry sends a request to an endpoint itself once it
// holds an offer for one of the endpoint's slots.
#pragma once

#include "core/messages.h"
#include "core/types.h"

#include <string>

namespace caraway::direct {

// A caller's request at one entry. Numbers are not used again in one life of the entry.
using CallNumber = std::uint64_t;

// What may be repeated.
enum class CallKind : std::uint8_t
{
  kSafe,   // may run more than once
  kOnce,   // must run at most once
  kStream, // events; runs once, unless it can be resumed
};

std::string_view ToString(CallKind aKind);

struct CallSpec
{
  CallNumber number = 0;
  CallKind kind = CallKind::kOnce;
  bool isResumable = false; // a stream that another endpoint can go on with
  Tier tier = kLowestTier;  // of the client account, or of the route where the account has none
  Tier rank = kLowestTier;  // of the route, among calls of one tier
  std::string service;
  // Versions of endpoints while the service moves to another one (see VersionMove); empty: any.
  std::string onlyVersion;
  std::string neverVersion;
  bool isProbe = false;        // where onlyVersion has no slot at once, any other version takes it
  std::uint32_t maxRuns = 1;   // endpoints that may run it
  Duration objective{};        // until the first event, or the answer
  TimePoint arrived{};         // when it was read
  TimePoint deadline = kNever; // of the caller or the route, whichever is earlier
  std::uint32_t promptTokens = 0;
  std::uint32_t outputTokens = 0; // estimate
  std::uint64_t subject = 0;      // hash of the longest shared prompt; 0: none
  // Hash of account, path and body: the same when a caller sends the request again under a new id.
  // 0: not known.
  std::uint64_t fingerprint = 0;

  bool MayRepeat() const
  {
    return this->kind == CallKind::kSafe || (this->kind == CallKind::kStream && this->isResumable);
  }
};

// How one attempt at an endpoint ended.
enum class AttemptEnd : std::uint8_t
{
  kAnswered,    // the answer came whole
  kFailed,      // the endpoint ran it and answered with a failure
  kBroken,      // the answer did not come whole; it may have run
  kUnsent,      // it did not leave this process
  kRefused,     // the endpoint says that it did not run it
  kMisdirected, // another endpoint has this address now; it did not run
  kStalled,     // given up here, because the endpoint made no progress; it may have run
};

std::string_view ToString(AttemptEnd aEnd);

// True where the attempt is known not to have run.
inline bool HasNotRun(AttemptEnd aEnd)
{
  return aEnd == AttemptEnd::kUnsent || aEnd == AttemptEnd::kRefused ||
         aEnd == AttemptEnd::kMisdirected;
}

// Why a call ended without an answer of an endpoint.
enum class GiveUpReason : std::uint8_t
{
  kNoEndpoint, // no usable endpoint of the service is known
  kOverload,   // no slot in time
  kDeadline,   // its time is over
  kRefused,    // endpoints did not run it, and no further attempt is allowed
  kFailed,     // an attempt failed, and no further attempt is allowed
  kSuspect,    // endpoints died while they ran the same request
};

std::string_view ToString(GiveUpReason aReason);

} // namespace caraway::direct
