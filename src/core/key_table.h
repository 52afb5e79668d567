// Which request holds which idempotency key, as a pure function of the claim records in the log.
#pragma once

#include "core/record.h"

#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace caraway {

// Number of one try to claim a key: wall time of the claimant and a counter, unique in an entry.
using Attempt = std::uint64_t;

// Attempts of the same millisecond that can be told apart.
constexpr Attempt kAttemptsPerMs = 1024;

// Wall time at which an attempt was made, by the claimant's clock.
WallTime TimeOfAttempt(Attempt aAttempt);

// A key belongs to one account.
struct ScopedKey
{
  std::string account;
  std::string key; // canonical UUIDv7 text

  friend bool operator==(const ScopedKey&, const ScopedKey&) = default;
  // NOLINTNEXTLINE(modernize-use-nullptr): reported inside the compiler-made operator
  friend auto operator<=>(const ScopedKey&, const ScopedKey&) = default;
};

// A request asks for a key.
struct Claim
{
  ScopedKey key;
  RequestId request;
  NodeId entry{}; // claimant
  NodeId agent{}; // the only agent that may run the call
  Attempt attempt = 0;
  std::uint64_t bodyHash = 0;       // 0: not given
  LogOffset supersedes = kNoOffset; // claim whose request is known never to run
};

// A claimed call ended. Outcome kNotRun frees the key.
struct Settlement
{
  ScopedKey key;
  NodeId entry{};
  Attempt attempt = 0;
  Outcome outcome = Outcome::kUnknown;
  std::uint16_t status = 0;
  std::optional<std::string> answer; // none: too large for the log, or none given
};

// Body of a claim record: one batch of an entry. Settlements come first.
struct ClaimBatch
{
  std::vector<Settlement> settlements;
  std::vector<Claim> claims;
};

// The log record of a batch, as text.
std::string EncodeBatch(const ClaimBatch& aBatch, const std::string& aChangeId);

// Reads a claim record; nullopt for records of another kind and malformed ones.
std::optional<ClaimBatch> DecodeBatch(std::string_view aText);

// A claim that came first, and what became of its call.
struct Holding
{
  Claim claim;
  LogOffset offset = kNoOffset;
  std::optional<Outcome> outcome;
  std::uint16_t status = 0;
  std::optional<std::string> answer;
};

// What the log says about one key.
struct KeyState
{
  std::optional<Holding> holding;
  std::set<std::pair<NodeId, Attempt>> past; // attempts that held the key once
};

// Result of one claim when it is read from the log.
struct ClaimResult
{
  Claim claim;
  bool won = false;
};

class KeyTable
{
public:
  // aMaxAnswerBytes: limit of all recorded answers together; the oldest are dropped first.
  explicit KeyTable(std::size_t aMaxAnswerBytes);

  // Applies the batch of the record at aOffset. Batches come in offset order.
  std::vector<ClaimResult> Apply(LogOffset aOffset, const ClaimBatch& aBatch);
  const KeyState* Find(const ScopedKey& aKey) const;
  // Forgets keys made before aTime.
  void Expire(WallTime aTime);
  std::size_t Size() const { return this->keys.size(); }

private:
  bool Take(LogOffset aOffset, const Claim& aClaim);
  void Settle(const Settlement& aSettlement);
  void TrimAnswers();

  std::size_t maxAnswerBytes;
  std::size_t answerBytes = 0;
  std::map<ScopedKey, KeyState> keys;
  std::set<std::pair<WallTime, ScopedKey>> byAge;
  std::deque<std::pair<ScopedKey, LogOffset>> answered; // oldest first
};

} // namespace caraway
