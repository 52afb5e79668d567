// State of a request that an entry has accepted and not yet answered.
#pragma once

#include "core/assembly.h"
#include "core/entry.h"

#include <optional>
#include <string>
#include <vector>

namespace caraway {

enum class Phase : std::uint8_t
{
  kClaiming,       // waiting for the claim of its idempotency key in the log
  kQueryingHolder, // waiting for the agent of an earlier claim to report the outcome
  kWaiting,        // reservations are placed; the request has not run
  kGranted,        // the body was sent to one agent
  kResuming,       // locating the agent that runs or ran the request
};

// A reservation of the request at one agent.
struct Reservation
{
  Peer agent;
  bool isOpen = true; // not refused, withdrawn or lost
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
  std::vector<NodeId> contactedAgents;  // sent a reservation, query or grant
  Reason refusalReason = Reason::kNone; // most informative reason of all refusals
  Duration retryAfter{};                // shortest retry delay of all refusals
  bool lowerTierLeft = false;           // an agent refused despite having lower-tier work

  std::optional<Peer> agent; // agent that the request is granted to
  std::string agentVersion;
  bool isAgentLinked = true;
  std::uint32_t grants = 0; // repeated only after the agent confirmed it never ran
  TimePoint grantedAt{};
  TimePoint firstChunkAt = kNever;
  TimePoint lastMessageAt{};  // of any kind, from the agent
  TimePoint lastProgressAt{}; // last chunk, or when a resumed answer was located
  Assembly assembly;
  std::optional<Finish> finish; // set when it arrived before all chunks

  NodeId claimAgent{}; // the only agent that may run a claimed call
  LogOffset claim = kNoOffset;
  std::string answer; // answer of a claimed call, stored in the log
  RequestId holder;   // request with an earlier claim on the same key
  LogOffset holderClaim = kNoOffset;

  bool isCallerGone = false;
  TimePoint resumableUntil = kNever;
  TimePoint nextTimerAt = kNever;
};

// Whether a reservation at some agent is still open.
inline bool HasOpenReservation(const Pending& aPending)
{
  for (const Reservation& reservation : aPending.reservations) {
    if (reservation.isOpen) {
      return true;
    }
  }
  return false;
}

} // namespace caraway
