// Decisions of an entry: owns each accepted request until its final answer. Late binding: small
// reservations go to several agents, the first offer gets the body, the others are withdrawn.
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
  Duration startWithin{}; // until the first token
  Duration endWithin{};   // until the whole answer
  std::uint32_t promptTokens = 0;
  std::uint32_t maxTokens = 0; // 0: none given
  std::uint64_t prefixHash = 0;
  std::uint64_t fingerprint = 0;
  std::string idempotencyKey; // canonical UUIDv7 text; required for WorkKind::kOnce
  std::string body;           // as sent to the endpoint
};

// Final answer of a request. Chunks were passed on before it.
struct FinalAnswer
{
  Outcome outcome = Outcome::kUnknown;
  Reason reason = Reason::kNone;
  Duration retryAfter{}; // zero: coming back does not help
  std::uint16_t status = 200;
  std::uint32_t promptTokens = 0;
  std::uint32_t outputTokens = 0;
};

// What an entry asks of its host. Calls must not call back into the entry.
class EntryPort : public EventSink
{
public:
  // Sends to an agent (or another entry) if connected; a lost message is not reported.
  virtual void Send(NodeId aTo, const Message& aMessage) = 0;
  // Passes the next part of an answer to the caller, in order, without gaps.
  virtual void PassChunk(const RequestId& aId, const std::string& aData) = 0;
  // Ends the answer. Called exactly once for each submission or resumption.
  virtual void PassFinal(const RequestId& aId, const FinalAnswer& aAnswer) = 0;
  // Appends records (JSON text) to the log in one batch; OnAppended answers with the token.
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

  // A caller's request. The final answer may come before this returns.
  void OnSubmit(Now aNow, Submission aSubmission);
  // A caller asks for the rest of an answer that another entry (or this one) was passing on.
  // aAgent: the agent named in the request's first answer, if the caller kept it.
  void OnResume(Now aNow, const RequestId& aId, const std::string& aAccount,
                std::uint32_t aNextChunk, std::optional<NodeId> aAgent);
  // The caller's connection is gone; aMayResume keeps the work for the grace time.
  void OnCallerGone(Now aNow, const RequestId& aId, bool aMayResume);

  // A connection to a peer stands: its Hello has arrived and passed authentication.
  void OnPeerUp(Now aNow, Peer aPeer, const Hello& aHello);
  // The connection is lost or the peer died.
  void OnPeerDown(Now aNow, NodeId aNode);
  void OnMessage(Now aNow, Peer aFrom, const Message& aMessage);

  // Consecutive records read from the log, or received from peers by the runtime.
  void OnLogRecords(Now aNow, const std::vector<LogRecord>& aRecords);
  // The log's first retained offset, as of the read that follows. Whatever was cut before it was
  // applied comes from a peer or from a snapshot in the log.
  void OnLogOldest(Now aNow, LogOffset aOldest);
  void OnAppended(Now aNow, std::uint64_t aToken, AppendResult aResult, LogOffset aFirst);

  void OnTimer(Now aNow);
  // When OnTimer wants to be called next; kNever when nothing is due.
  TimePoint NextTimer() const;

  // Takes no further requests; Idle() turns true when every accepted one has its final answer.
  void BeginLeaving(Now aNow);
  bool Idle() const;

  // Whether a request with this identifier has been accepted and has no final answer yet. The host
  // must not submit it a second time.
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
