// Options of the decision library and the tables that name them. The settings check, --help and the
// settings reference are all generated from the tables.
#pragma once

#include "core/types.h"

#include <span>
#include <variant>

namespace caraway {

using std::chrono::hours;
using std::chrono::milliseconds;
using std::chrono::minutes;
using std::chrono::seconds;

struct EntryOptions
{
  std::uint32_t smallPool = 10;           // pools up to this size get a reservation at every agent
  std::uint32_t reservations = 5;         // reservations of one request in a larger pool
  Duration grantReplyWithin = seconds(2); // a granted request silent for this long is queried
  Duration resumeGrace = seconds(30);     // work of a disconnected caller is kept this long
  Duration leaveNotice = seconds(2);      // unready for this long before the listener closes
  Duration evidencePeriod = seconds(1);
  Duration claimBatchDelay = milliseconds(5);
  Duration claimTimeout = seconds(5);
  Duration keyWindow = hours(1);   // idempotency keys older than this are refused
  Duration moveSoak = seconds(30); // the old version stays running this long after cut-over
  double maxBadShare = 0.02;       // traffic share of a version until its evidence suffices
  Duration firstTokenTarget = milliseconds(410);
  Duration interTokenTarget = milliseconds(49);
  std::uint32_t maxRequests = 20000; // accepted and not yet answered
};

struct AgentOptions
{
  Duration interTokenTarget = milliseconds(49);
  Duration firstTokenTarget = milliseconds(410);
  std::uint32_t initialLimit = 4; // concurrency limit until latencies have been measured
  std::uint32_t minLimit = 1;
  std::uint32_t maxLimit = 256;
  std::uint32_t maxQueue = 4096; // queued reservations
  Duration offerTimeout = milliseconds(200);
  Duration stallFloor = milliseconds(500); // minimum stall timeout
  double stallFactor = 10;                 // stall timeout as a multiple of the inter-token latency
  Duration breakerDelay = seconds(1);
  Duration keepAnswer = seconds(30); // answers are kept this long after their entry disconnects
  Duration tombstoneTime = minutes(10);
  std::uint32_t maxTombstones = 100000;
  std::uint32_t maxKeptBytes = 16 << 20;
  Duration suspectTime = minutes(10);
  std::uint32_t maxSuspects = 4096;
};

// One row of an option table.
template<class Owner>
struct OptionRow
{
  using Member = std::variant<Duration Owner::*, std::uint32_t Owner::*, double Owner::*>;
  const char* name; // key in the settings file; durations are given in milliseconds
  Member member;
  double low;  // smallest valid value
  double high; // greatest valid value
  const char* help;
};

std::span<const OptionRow<EntryOptions>> EntryOptionTable();
std::span<const OptionRow<AgentOptions>> AgentOptionTable();

} // namespace caraway
