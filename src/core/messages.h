// Messages between an entry and an agent. The runtime encodes them with cereal. Times on the wire
// are relative to the time of sending, because the clocks of two processes are not comparable.
#pragma once

#include "core/types.h"

#include <cereal/cereal.hpp>
#include <cereal/types/chrono.hpp>
#include <cereal/types/string.hpp>
#include <cereal/types/variant.hpp>
#include <cereal/types/vector.hpp>

#include <string>
#include <variant>
#include <vector>

namespace caraway {

enum class Role : std::uint8_t
{
  kEntry,
  kAgent,
  kOperator,
};

// First message in both directions of a connection; sent again whenever a field changes.
struct Hello
{
  Role role = Role::kEntry;
  std::string name;
  std::string region;
  std::string failureDomain;
  std::string pool;    // agents: the model or plain service that the endpoint serves
  std::string version; // agents: version of the endpoint
  bool leaving = false;
  LogOffset configOffset = 0;  // first log offset that the sender has not applied
  std::uint32_t freeSlots = 0; // agents: estimated number of free slots
  double tokensPerSecond = 0;  // agents: estimated decode speed of one stream

  template<class Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(role, name, region, failureDomain, pool, version, leaving, configOffset, freeSlots,
             tokensPerSecond);
  }
};

// Entry to agent: requests a slot. The request body is sent with the grant.
struct Reserve
{
  RequestId id;
  std::string account;
  Tier tier = kLowestTier;
  WorkKind kind = WorkKind::kCompletion;
  std::string route;
  Duration startWithin{}; // time left until the first token is due
  Duration endWithin{};   // time left until the whole answer is due
  std::uint32_t promptTokens = 0;
  std::uint32_t outputTokens = 0; // estimate
  std::uint64_t prefixHash = 0;
  std::uint64_t fingerprint =
    0;               // hash of account and body; identifies requests that crash endpoints
  double weight = 1; // fair-share weight of the account inside its tier

  template<class Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(id, account, tier, kind, route, startWithin, endWithin, promptTokens, outputTokens,
             prefixHash, fingerprint, weight);
  }
};

// Entry to agent: the reservation is no longer wanted.
struct Withdraw
{
  RequestId id;

  template<class Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(id);
  }
};

// Agent to entry: a slot is held for the request for AgentOptions::offerTimeout.
struct Offer
{
  RequestId id;
  std::uint64_t offer = 0; // echoed in the grant; a newer offer invalidates older ones

  template<class Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(id, offer);
  }
};

// Agent to entry: the reservation is rejected; the request has not run.
struct Refuse
{
  RequestId id;
  Reason reason = Reason::kOverload;
  Duration retryAfter{};      // estimated from the drain rate of the queue
  bool lowerTierLeft = false; // preemptible lower-tier work is queued or running

  template<class Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(id, reason, retryAfter, lowerTierLeft);
  }
};

// Entry to agent: runs the request. Sent at most once for each request, to one agent.
struct Grant
{
  RequestId id;
  std::uint64_t offer = 0;
  std::string body;            // request body for the endpoint, as JSON
  LogOffset claim = kNoOffset; // offset of the idempotency claim, for WorkKind::kOnce

  template<class Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(id, offer, body, claim);
  }
};

// Agent to entry: part of an answer. Chunk numbers start at 0 and are consecutive.
struct Chunk
{
  RequestId id;
  std::uint32_t number = 0;
  std::uint32_t tokens = 0;
  std::string data;

  template<class Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(id, number, tokens, data);
  }
};

// Agent to entry: result of a granted request.
struct Finish
{
  RequestId id;
  Outcome outcome = Outcome::kUnknown;
  Reason reason = Reason::kNone;
  std::uint32_t chunks = 0;   // number of chunks in the whole answer
  std::uint64_t bytes = 0;    // total length of all chunks
  std::uint64_t checksum = 0; // HashOf of the concatenated chunks
  std::uint16_t status = 200; // HTTP status of the endpoint
  std::uint32_t promptTokens = 0;
  std::uint32_t outputTokens = 0;
  Duration retryAfter{};
  std::uint8_t loadLevel = 0; // quarter of the concurrency limit in use at dispatch: 0 to 3

  template<class Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(id, outcome, reason, chunks, bytes, checksum, status, promptTokens, outputTokens,
             retryAfter, loadLevel);
  }
};

// Entry to agent: stops a granted request; the agent answers with Finish.
struct Cancel
{
  RequestId id;
  Reason reason = Reason::kCallerGone;

  template<class Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(id, reason);
  }
};

// Entry to agent: all chunks below nextChunk were received; the agent may discard them.
struct Ack
{
  RequestId id;
  std::uint32_t nextChunk = 0;
  bool finished = false; // the Finish was received as well

  template<class Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(id, nextChunk, finished);
  }
};

// Entry to agent: queries the state of a request and takes over its answer from nextChunk.
struct Query
{
  RequestId id;
  std::uint32_t nextChunk = 0;
  std::string account;         // the answer is sent only to the account that owns it
  bool needsTombstone = false; // leave a tombstone if it has not run, to refuse a late grant
  bool takesOwnership = true;  // the sender becomes the receiver of the answer; false: query only
  bool granted = false;        // the sender itself sent the grant, to this incarnation of the agent

  template<class Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(id, nextChunk, account, needsTombstone, takesOwnership, granted);
  }
};

enum class RunState : std::uint8_t
{
  kNeverRan,  // a tombstone refuses a late grant
  kRunning,   // chunks follow from nextChunk
  kFinished,  // chunks and the Finish follow from nextChunk
  kForgotten, // the agent cannot tell whether it ran
};

// Agent to entry: reply to Query.
struct QueryReply
{
  RequestId id;
  RunState state = RunState::kForgotten;

  template<class Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(id, state);
  }
};

// One record of the log with its offset. The data is the JSON text of a Record (record.h).
struct LogRecord
{
  LogOffset offset = 0;
  std::string data;

  template<class Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(offset, data);
  }
};

// Result of an append to the log.
enum class AppendResult : std::uint8_t
{
  kAppended, // the offset is known
  kUnknown,  // the response was lost; the record may or may not be in the log
  kFailed,   // rejected or the log was unreachable; the record is not in the log
};

// Either direction: requests the records from offset `from`. A peer that has them replies with
// ConfigTail.
struct ConfigRequest
{
  LogOffset from = 0;

  template<class Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(from);
  }
};

// Consecutive configuration: a snapshot if the requester is too far behind, then records.
struct ConfigTail
{
  LogOffset from = 0;         // first offset that is covered
  LogOffset next = 0;         // first offset that is not covered
  std::string snapshot;       // empty, or the JSON text of ConfigState::Snapshot
  LogOffset snapshotNext = 0; // first offset that the snapshot does not cover
  std::vector<LogRecord> records;

  template<class Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(from, next, snapshot, snapshotNext, records);
  }
};

// Outcomes of one version on one route, counted since the sender's previous report.
struct Evidence
{
  std::string pool;
  std::string version;
  std::string route;
  std::uint8_t loadLevel = 0; // quarter of the endpoint's concurrency limit in use: 0 to 3
  std::uint32_t good = 0;
  std::uint32_t bad = 0;
  std::uint32_t slow = 0; // complete, but outside the latency targets

  template<class Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(pool, version, route, loadLevel, good, bad, slow);
  }
};

// Either direction: outcomes that version moves are evaluated on. Agents sum the reports of their
// entries and return the total of all senders.
struct EvidenceReport
{
  std::vector<Evidence> counts;

  template<class Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(counts);
  }
};

// Either direction: the sender's own evidence shows that a version is bad; the version gets no new
// work from then on.
struct Brake
{
  std::string move; // name of the move record
  std::string version;

  template<class Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(move, version);
  }
};

// Crash of an endpoint while it ran the request.
struct SuspectedCrash
{
  std::uint64_t id = 0;   // hash of the endpoint incarnation that crashed
  bool isCleared = false; // the request has completed without a crash since
  // The request was sent although it was suspect, as a caller's repeat or as a trial. Endpoints
  // that die of something else crash at one moment, under requests that were not suspect when sent.
  bool isRepeat = false;
  // The request, or one with the part, had been answered before: it did not always crash endpoints.
  bool wasAnswered = false;

  // Earlier builds wrote isCleared alone, in the same byte.
  template<class Archive>
  void save(Archive& aArchive) const
  {
    aArchive(this->id,
             static_cast<std::uint8_t>((this->isCleared ? 1 : 0) + (this->isRepeat ? 2 : 0) +
                                       (this->wasAnswered ? 4 : 0)));
  }
  template<class Archive>
  void load(Archive& aArchive)
  {
    std::uint8_t flags = 0;
    aArchive(this->id, flags);
    this->isCleared = (flags & 1U) != 0;
    this->isRepeat = (flags & 2U) != 0;
    this->wasAnswered = (flags & 4U) != 0;
  }

  friend bool operator==(const SuspectedCrash&, const SuspectedCrash&) = default;
};

// Either direction: a request that was running when an endpoint crashed.
struct Suspicion
{
  std::uint64_t fingerprint = 0;
  std::vector<SuspectedCrash> crashes;
  Duration forgetAfter{};

  template<class Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(fingerprint, crashes, forgetAfter);
  }

  friend bool operator==(const Suspicion&, const Suspicion&) = default;
};

using Message =
  std::variant<Hello, Reserve, Withdraw, Offer, Refuse, Grant, Chunk, Finish, Cancel, Ack, Query,
               QueryReply, ConfigRequest, ConfigTail, EvidenceReport, Brake, Suspicion>;

// The remote end of a connection: a process and its incarnation.
struct Peer
{
  NodeId node{};
  Incarnation incarnation{};

  friend bool operator==(const Peer&, const Peer&) = default;

  template<class Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(node, incarnation);
  }
};

// Unit of transfer on a connection. The runtime drops an envelope whose `to` names an earlier
// incarnation.
struct Envelope
{
  Peer from;
  Peer to;
  Message message;

  template<class Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(from, to, message);
  }
};

} // namespace caraway
