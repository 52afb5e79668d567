// Claims of idempotency keys: a call that must not be repeated runs only after its key was claimed
// in the log, and the first claim in offset order wins.
#pragma once

#include "core/messages.h"
#include "core/options.h"
#include "core/record.h"

#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace caraway {

enum class ClaimVerdict : std::uint8_t
{
  kWon,     // the caller's request may be dispatched, once, with the claim's offset
  kRefused, // not run: expired key, log down, key in use
  kReplay,  // the call ran before; its recorded answer is given again
  kAsk,     // another request holds the key and its outcome is not recorded: ask the agents
};

// Decision on one request that asked for a claim.
struct ClaimDecision
{
  RequestId id;
  ClaimVerdict verdict = ClaimVerdict::kRefused;
  Reason reason = Reason::kNone;
  LogOffset offset = kNoOffset; // of the winning claim
  RequestId holder;             // request that holds the key (kAsk)
  NodeId holderEntry{};         // entry that claimed it (kAsk)
  NodeId holderAgent{};         // the only agent that may run the holder's call (kAsk)
  std::uint16_t status = 0;     // of the recorded answer (kReplay)
  std::string answer;           // recorded answer (kReplay)
};

// Entry's side of claims: batches them, reads them back, decides. Memory is bounded by the key
// window and the rate of calls.
class ClaimController
{
public:
  ClaimController(const EntryOptions& aOptions, NodeId aSelf);
  ~ClaimController();
  ClaimController(const ClaimController&) = delete;
  ClaimController& operator=(const ClaimController&) = delete;

  // Starts a claim; a decision follows from TakeDecisions, at once for expired or finished keys.
  // The claim names aAgent, the only agent that may run the call under it, so that a later entry
  // knows whom to ask. aBodyHash: hash of the call, so that a key is not used for two different
  // calls; 0 leaves that unchecked.
  void Begin(Now aNow, const RequestId& aId, const std::string& aAccount, const std::string& aKey,
             NodeId aAgent, std::uint64_t aBodyHash = 0);
  // Starts a claim that supersedes the one at aPrevious, after its agent has confirmed with
  // a tombstone that its request never ran, or by the claimant itself when it never granted.
  void BeginAfter(Now aNow, const RequestId& aId, const std::string& aAccount,
                  const std::string& aKey, NodeId aAgent, LogOffset aPrevious,
                  std::uint64_t aBodyHash = 0);
  // Records the outcome of a claimed call, so that repeats are answered from the log.
  void Finish(Now aNow, const RequestId& aId, Outcome aOutcome, std::uint16_t aStatus,
              const std::string& aAnswer);

  // Every record of the log in offset order, not only claims.
  void OnRecord(Now aNow, const LogRecord& aRecord);
  // The log's oldest record. At the start of reading every claim inside the key window is at or
  // behind it, because the window is shorter than the log's retention.
  void OnOldest(Now aNow, LogOffset aOldest);
  // Offset of the record that OnRecord wants next. Keys that may have been claimed in records that
  // were left out are refused.
  LogOffset NextRead() const;
  void OnAppended(Now aNow, std::uint64_t aToken, AppendResult aResult, LogOffset aFirst);

  // Records to append now as one batch, empty when none are due.
  std::vector<std::string> TakeBatch(Now aNow, std::uint64_t aToken);
  std::vector<ClaimDecision> TakeDecisions();
  TimePoint NextTimer() const;
  void OnTimer(Now aNow);

private:
  class Impl;
  std::unique_ptr<Impl> impl;
};

} // namespace caraway
