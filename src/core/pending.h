// A request that an entry has accepted and not yet answered.
#pragma once

#include "core/assembly.h"
#include "core/entry.h"

#include <optional>
#include <string>
#include <vector>

namespace caraway {

enum class Phase : std::uint8_t
{
  kClaiming, // waits for its idempotency key to be claimed in the log
  kAsking,   // asks the agent of an earlier claim what became of the call
  kWaiting,  // reservations are placed; nothing has run
  kGranted,  // the body went to one agent
  kResuming, // looks for the agent that runs or ran the request
};

// A reservation of the request at one agent.
struct Reservation
{
  Peer agent;
  bool open = true; // neither refused nor lost
};

struct Pending
{
  Submission submission;
  Phase phase = Phase::kWaiting;
  TimePoint acceptedAt{};
  TimePoint startBy{};
  TimePoint endBy{};
  std::uint32_t estimate = 0;         // output tokens
  std::optional<std::string> version; // chosen by a running move

  std::vector<Reservation> reservations;
  std::vector<NodeId> asked;         // every agent that got a reservation, a query or a grant
  Reason refusedFor = Reason::kNone; // most telling reason of the refusals
  Duration retryAfter{};             // shortest of the refusals
  bool lowerTierLeft = false;        // an agent refused although lower-tier work was left

  std::optional<Peer> agent; // granted to
  std::string agentVersion;
  bool agentLinked = true;
  std::uint32_t grants = 0; // each further one only after the agent confirmed that it never ran
  TimePoint grantedAt{};
  TimePoint firstChunkAt = kNever;
  TimePoint lastHeard{};  // anything from the agent
  TimePoint progressAt{}; // the last chunk, or when a resumed answer was found
  Assembly assembly;
  std::optional<Finish> finish; // arrived before all chunks

  NodeId claimAgent{}; // the only agent that may run the call
  LogOffset claim = kNoOffset;
  std::string answer; // of a claimed call, kept for the log
  RequestId holder;   // request whose claim stands before this one's
  LogOffset holderClaim = kNoOffset;

  bool callerGone = false;
  TimePoint keepUntil = kNever;
  TimePoint nextTimer = kNever;
};

// Whether a reservation at some agent is still open.
inline bool HasOpenReservation(const Pending& aPending)
{
  for (const Reservation& reservation : aPending.reservations) {
    if (reservation.open) {
      return true;
    }
  }
  return false;
}

} // namespace caraway
