// Types shared by the whole decision library: identifiers, times, tiers and outcomes.
#pragma once

#include <chrono>
#include <cstdint>
#include <functional>
#include <string>
#include <string_view>

namespace caraway {

using Duration = std::chrono::microseconds;

// Clock tag for time points of the runtime's steady clock. The decision library never reads a
// clock: every call takes the current time as a parameter, so that a host can pause and advance it.
struct RuntimeClock
{
  using duration = Duration;
  using rep = duration::rep;
  using period = duration::period;
  using time_point = std::chrono::time_point<RuntimeClock, duration>;
  static constexpr bool is_steady = true;
};

using TimePoint = RuntimeClock::time_point;

inline double SecondsOf(Duration aTime)
{
  return std::chrono::duration<double>(aTime).count();
}

// Wall time, used only for the age of idempotency keys, the deadlines of version moves and the age
// of state that an earlier incarnation saved.
using WallTime = std::chrono::time_point<std::chrono::system_clock, std::chrono::milliseconds>;

constexpr TimePoint kNever = TimePoint::max();

// Steady and wall time, read once by the host for each call into the library.
struct Now
{
  TimePoint steady;
  WallTime wall;
};

// Identifies a process by the hash of the name in its settings (see NodeIdOf).
enum class NodeId : std::uint64_t
{
};

// Identifies one run of a process; a later start of the same name has a greater number.
enum class Incarnation : std::uint64_t
{
};

// Position of a record in the platform's log.
using LogOffset = std::uint64_t;
constexpr LogOffset kNoOffset = ~LogOffset{ 0 };

// 128-bit request identifier, a UUIDv7 (RFC 9562). Canonical text form in uuid.h.
struct RequestId
{
  std::uint64_t high = 0;
  std::uint64_t low = 0;

  friend bool operator==(const RequestId&, const RequestId&) = default;
  // NOLINTNEXTLINE(modernize-use-nullptr): reported inside the compiler-made operator
  friend auto operator<=>(const RequestId&, const RequestId&) = default;

  template<class Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(this->high, this->low);
  }
};

// Priority class of a request. Tier 0 is the highest and is shed last.
using Tier = std::uint8_t;
constexpr Tier kTierCount = 4;
constexpr Tier kLowestTier = kTierCount - 1;

// Kind of work that a request is for the endpoint.
enum class WorkKind : std::uint8_t
{
  kCompletion, // generation by a model engine; callers may retry it
  kService,    // idempotent call to a plain service
  kOnce,       // call to a plain service that must run at most once
};

// Final result of a request, as used on the wire, in logs and in metrics.
enum class Outcome : std::uint8_t
{
  kAnswered, // the whole answer was delivered
  kNotRun,   // the request never reached an endpoint
  kCut,      // the request ran only in part
  kUnknown,  // whether the request ran could not be determined
};

// Why a request was not answered in full.
enum class Reason : std::uint8_t
{
  kNone,
  kOverload,       // no capacity before the deadline
  kQuota,          // the client account is over its quota
  kNoEndpoint,     // no live endpoint serves the pool
  kDraining,       // the node is shutting down
  kDeadline,       // the caller's deadline passed
  kCallerGone,     // the caller disconnected
  kSuspect,        // the request has crashed endpoints before
  kPreempted,      // preempted for a request of a higher tier
  kStalled,        // the endpoint stopped making progress
  kEndpointFailed, // the endpoint answered with an error or closed the connection
  kEndpointLost,   // the agent or its endpoint crashed or became unreachable
  kKeyExpired,     // the idempotency key is too old
  kKeyInUse,       // another request with the same idempotency key is running
  kLogDown,        // the claim of the idempotency key could not be written
  kUnauthorized,   // the sender could not be authenticated
  kStaleOrder,     // the fencing token is older than one already seen
};

std::string_view ToString(Outcome aOutcome);
std::string_view ToString(Reason aReason);
std::string_view ToString(WorkKind aKind);

// Identifier of the process named aName; the same across restarts.
NodeId NodeIdOf(std::string_view aName);

// 64-bit content hash used for prefixes and request fingerprints.
std::uint64_t HashOf(std::string_view aData, std::uint64_t aSeed = 0);

} // namespace caraway

template<>
struct std::hash<caraway::RequestId>
{
  std::size_t operator()(const caraway::RequestId& aId) const noexcept
  {
    return static_cast<std::size_t>(aId.high ^ (aId.low * 0x9E3779B97F4A7C15ULL));
  }
};
