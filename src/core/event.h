// An event of the time line. Each process keeps its most recent events; carawayctl merges them.
#pragma once

#include "core/types.h"

#include <string>
#include <vector>

namespace caraway {

enum class EventKind : std::uint8_t
{
  kAccepted,   // entry: a caller's request was accepted
  kReserved,   // entry: reservations were sent
  kOffered,    // agent: a slot was offered
  kGranted,    // entry: the body was sent
  kDispatched, // agent: the request was handed to the endpoint
  kFirstToken, // agent or entry: the first chunk
  kFinished,   // entry: the caller got its final answer; agent: the endpoint's work ended
  kRefused,    // agent: the reservation was dropped
  kWithdrawn,  // entry: the reservation was withdrawn
  kCancelled,  // entry or agent: a running request was aborted
  kPeerUp,     // a connection to another process was established
  kPeerDown,   // a connection to another process was lost
  kConfig,     // configuration was applied up to an offset
  kMove,       // a version move changed its stage
  kClaim,      // an idempotency key was claimed, lost or refused
  kEndpoint,   // the endpoint came up, went down, stalled or was probed
  kLimit,      // the limit of the endpoint changed
  kSuspect,    // a request fingerprint became suspect
  kLeaving,    // the process began to shut down
  kSecurity,   // a message was refused: authentication, replay, fencing
  kViolation,  // an invariant does not hold
};

std::string_view ToString(EventKind aKind);

// A key=value pair in addition to the fixed fields.
struct EventField
{
  std::string key;
  std::string value;
};

struct Event
{
  TimePoint time;
  EventKind kind = EventKind::kAccepted;
  RequestId request; // zero if the event concerns no request
  NodeId peer{};     // zero if the event concerns no peer
  std::string account;
  std::string subject; // endpoint, move, pool or record concerned
  std::vector<EventField> fields;
};

// Receives events; the runtime logs, counts and keeps them for `carawayctl events`.
class EventSink
{
public:
  virtual ~EventSink() = default;
  virtual void Note(const Event& aEvent) = 0;
};

} // namespace caraway
