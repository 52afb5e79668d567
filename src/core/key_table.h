// Holders of idempotency keys, a pure function of the claim records in the log.
#pragma once

#include "core/record.h"

#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace caraway {

// Identifies one attempt to claim a key, unique per entry: the claimant's wall time and a counter.
using Attempt = std::uint64_t;

// Distinct attempts per millisecond of wall time.
constexpr Attempt kAttemptsPerMs = 1024;

// Wall time of an attempt by the claimant's clock.
WallTime TimeOfAttempt(Attempt aAttempt);

// Idempotency key; the same key of another account is a different one.
struct ScopedKey
{
  std::string account;
  std::string key; // canonical UUIDv7 text

  friend bool operator==(const ScopedKey&, const ScopedKey&) = default;
  // NOLINTNEXTLINE(modernize-use-nullptr): reported inside the compiler-made operator
  friend auto operator<=>(const ScopedKey&, const ScopedKey&) = default;
};

// Claim of a key for a request.
struct Claim
{
  ScopedKey key;
  RequestId request;
  NodeId entry{}; // claimant
  NodeId agent{}; // the only agent that may run the call
  Attempt attempt = 0;
  std::uint64_t bodyHash = 0;       // 0: not given
  LogOffset supersedes = kNoOffset; // offset of a claim whose request is known never to run
};

// End of a claimed call. Outcome kNotRun releases the key.
struct CallResult
{
  ScopedKey key;
  NodeId entry{};
  Attempt attempt = 0;
  Outcome outcome = Outcome::kUnknown;
  std::uint16_t status = 0;
  std::optional<std::string> answer; // nullopt: too large for the log, or not given
};

// Body of a claim record: one batch of an entry. Results are applied before claims.
struct ClaimBatch
{
  std::vector<CallResult> callResults;
  std::vector<Claim> claims;
};

// Encodes a batch as a log record.
std::string EncodeBatch(const ClaimBatch& aBatch, const std::string& aChangeId);

// Decodes a claim record; nullopt for other kinds and malformed records.
std::optional<ClaimBatch> DecodeBatch(std::string_view aText);

// The claim that holds a key, and the result of its call if known.
struct KeyHolder
{
  Claim claim;
  LogOffset offset = kNoOffset;
  std::optional<Outcome> outcome;
  std::uint16_t status = 0;
  std::optional<std::string> answer;
};

// State of one key.
struct KeyState
{
  std::optional<KeyHolder> holder;
  std::set<std::pair<NodeId, Attempt>> pastAttempts; // attempts that have held the key
};

// Result of one claim.
struct ClaimResult
{
  Claim claim;
  bool won = false;
};

class KeyTable
{
public:
  // aMaxAnswerBytes: limit on the total size of recorded answers; the oldest are dropped first.
  explicit KeyTable(std::size_t aMaxAnswerBytes);

  // Applies the batch of the record at aOffset. Must be called in offset order.
  std::vector<ClaimResult> Apply(LogOffset aOffset, const ClaimBatch& aBatch);
  const KeyState* Find(const ScopedKey& aKey) const;
  // Removes keys created before aTime.
  void Expire(WallTime aTime);
  std::size_t Size() const { return this->keys.size(); }

private:
  bool TryAcquire(LogOffset aOffset, const Claim& aClaim);
  void RecordResult(const CallResult& aCallResult);
  void TrimAnswers();

  std::size_t maxAnswerBytes;
  std::size_t answerBytes = 0;
  std::map<ScopedKey, KeyState> keys;
  std::set<std::pair<WallTime, ScopedKey>> byAge;
  std::deque<std::pair<ScopedKey, LogOffset>> answered; // oldest first
};

} // namespace caraway
