// Request handling of an entry, which owns each accepted request until its final answer. Requests
// are bound late: reservations without the body go to several agents, the first agent that offers
// a slot gets the body, and the other reservations are withdrawn.
#pragma once

#include "core/config.h"
#include "core/event.h"
#include "core/messages.h"
#include "core/options.h"
#include "core/place.h"
#include "core/random.h"

#include <memory>
#include <optional>
#include <string>

namespace caraway {

// A caller's request after the runtime has parsed and authenticated it.
struct Submission
{
  RequestId id;
  std::string account; // name of the account record
  std::string pool;    // model or plain service
  std::string route;   // for example "/v1/chat/completions"
  WorkKind kind = WorkKind::kCompletion;
  Tier tier = kLowestTier;
  Duration startWithin{}; // time limit for the first token
  Duration endWithin{};   // time limit for the complete answer
  std::uint32_t promptTokens = 0;
  std::uint32_t maxTokens = 0; // 0: the caller set no limit
  std::uint64_t prefixHash = 0;
  std::uint64_t fingerprint = 0;
  std::string idempotencyKey; // canonical UUIDv7 text; required for WorkKind::kOnce
  std::string body;           // as sent to the endpoint
};

// Final answer of a request, delivered after its chunks.
struct FinalAnswer
{
  Outcome outcome = Outcome::kUnknown;
  Reason reason = Reason::kNone;
  Duration retryAfter{}; // zero: a retry would not help
  std::uint16_t status = 200;
  std::uint32_t promptTokens = 0;
  std::uint32_t outputTokens = 0;
};

// Interface of an entry to its host. Implementations must not call back into the entry.
class EntryPort : public EventSink
{
public:
  // Sends to an agent or another entry if it is connected; lost messages are not reported.
  virtual void Send(NodeId aTo, const Message& aMessage) = 0;
  // Delivers the next part of an answer to the caller, in order and without gaps.
  virtual void DeliverChunk(const RequestId& aId, const std::string& aData) = 0;
  // Ends the answer. Called exactly once for each submission or resumption.
  virtual void DeliverFinal(const RequestId& aId, const FinalAnswer& aAnswer) = 0;
  // Appends records (JSON text) to the log in one batch; the host reports the result through
  // OnAppended with the same token.
  virtual void Append(std::uint64_t aToken, const std::vector<std::string>& aRecords) = 0;
};

class Entry
{
public:
  // aName: name of the process in its settings.
  Entry(const EntryOptions& aOptions, const std::string& aName, Placement& aPlacement,
        Random& aRandom, EntryPort& aPort);
  ~Entry();
  Entry(const Entry&) = delete;
  Entry& operator=(const Entry&) = delete;

  // Accepts or refuses a caller's request. The final answer may be delivered before this returns.
  void OnSubmit(Now aNow, Submission aSubmission);
  // A caller requests the rest of an answer that this or another entry was delivering.
  // aAgent: the agent named in the resume header of the first response, if the caller kept it.
  void OnResume(Now aNow, const RequestId& aId, const std::string& aAccount,
                std::uint32_t aNextChunk, std::optional<NodeId> aAgent);
  // The caller has disconnected. aMayResume: keeps the request running for the grace time.
  void OnCallerGone(Now aNow, const RequestId& aId, bool aMayResume);

  // A peer is connected: its Hello has arrived and passed authentication.
  void OnPeerUp(Now aNow, Peer aPeer, const Hello& aHello);
  // The connection to a peer was lost, or the peer died.
  void OnPeerDown(Now aNow, NodeId aNode);
  void OnMessage(Now aNow, Peer aFrom, const Message& aMessage);

  // Consecutive records read from the log, or received from peers by the runtime.
  void OnLogRecords(Now aNow, const std::vector<LogRecord>& aRecords);
  // The log's first retained offset as of the read that follows. Records that were trimmed before
  // they were applied here are obtained from a peer or from a snapshot in the log.
  void OnLogOldest(Now aNow, LogOffset aOldest);
  void OnAppended(Now aNow, std::uint64_t aToken, AppendResult aResult, LogOffset aFirst);

  void OnTimer(Now aNow);
  // When OnTimer has to be called next; kNever when no timer is set.
  TimePoint NextTimer() const;

  // Refuses new requests from now on; Idle() becomes true when every accepted one has its final
  // answer.
  void BeginLeaving(Now aNow);
  bool Idle() const;

  // Whether a request with this identifier is accepted and has no final answer yet. The host must
  // not submit it again.
  bool Owns(const RequestId& aId) const;
  // Node to which the running request was granted, for the caller's resume header.
  std::optional<NodeId> AgentOf(const RequestId& aId) const;
  const ConfigState& Config() const;
  // State for `carawayctl status` as JSON text.
  std::string StatusJson(Now aNow) const;

private:
  class Impl;
  std::unique_ptr<Impl> impl;
};

} // namespace caraway
