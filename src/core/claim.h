// Claims of idempotency keys: an at-most-once call runs only after its key was claimed in the log.
// The first claim in offset order wins.
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
  kWon,         // the request may be dispatched once, with the claim's offset
  kRefused,     // the request must not run: key expired or in use, or log down
  kReplay,      // the call already ran; its recorded answer is returned
  kQueryHolder, // another request holds the key and no answer is recorded: query its agent
};

// Result of one claim.
struct ClaimDecision
{
  RequestId id;
  ClaimVerdict verdict = ClaimVerdict::kRefused;
  Reason reason = Reason::kNone;
  LogOffset offset = kNoOffset; // of the winning claim
  RequestId holder;             // request that holds the key (kQueryHolder)
  NodeId holderEntry{};         // entry that claimed it (kQueryHolder)
  NodeId holderAgent{};         // the only agent that may run the holder's call (kQueryHolder)
  std::uint16_t status = 0;     // of the recorded answer (kReplay)
  std::string answer;           // recorded answer (kReplay)
};

// Manages the claims of one entry: appends them in batches, reads them back from the log and
// decides. Memory is bounded by the key window times the call rate.
class ClaimController
{
public:
  ClaimController(const EntryOptions& aOptions, NodeId aSelf);
  ~ClaimController();
  ClaimController(const ClaimController&) = delete;
  ClaimController& operator=(const ClaimController&) = delete;

  // Starts a claim. TakeDecisions returns its decision, at once for expired or finished keys. The
  // claim records aAgent, the only agent that may run the call, so that another entry knows which
  // agent to query. aBodyHash: hash of the call, to reject the reuse of a key for a different call;
  // 0 disables the check.
  void Begin(Now aNow, const RequestId& aId, const std::string& aAccount, const std::string& aKey,
             NodeId aAgent, std::uint64_t aBodyHash = 0);
  // Starts a claim that supersedes the one at aPrevious. Allowed after the agent of that claim has
  // confirmed with a tombstone that its request never ran, or for the claimant itself if it never
  // sent the grant.
  void BeginSuperseding(Now aNow, const RequestId& aId, const std::string& aAccount,
                        const std::string& aKey, NodeId aAgent, LogOffset aPrevious,
                        std::uint64_t aBodyHash = 0);
  // Records the outcome of a claimed call, so that retries are answered from the log.
  void Finish(Now aNow, const RequestId& aId, Outcome aOutcome, std::uint16_t aStatus,
              const std::string& aAnswer);

  // Must be called for every record of the log in offset order, not only for claims.
  void OnRecord(Now aNow, const LogRecord& aRecord);
  // Reports the offset of the log's oldest record. When reading starts there, no claim inside the
  // key window is missed, because the window is shorter than the log's retention.
  void OnOldest(Now aNow, LogOffset aOldest);
  // Offset of the record that OnRecord expects next. If records are skipped, keys that may have
  // been claimed in them are refused.
  LogOffset NextRead() const;
  void OnAppended(Now aNow, std::uint64_t aToken, AppendResult aResult, LogOffset aFirst);

  // Returns the records to append now as one batch; empty if none are due.
  std::vector<std::string> TakeBatch(Now aNow, std::uint64_t aToken);
  std::vector<ClaimDecision> TakeDecisions();
  TimePoint NextTimer() const;
  void OnTimer(Now aNow);

private:
  class Impl;
  std::unique_ptr<Impl> impl;
};

} // namespace caraway
