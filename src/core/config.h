// Configuration, a pure function of the log: every reader of the same records has the same state.
#pragma once

#include "core/messages.h"
#include "core/record.h"

#include <deque>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace caraway {

// A client account.
struct Account
{
  std::string name;
  std::vector<std::string> keyHashes; // SHA-256 of the bearer keys, hexadecimal
  Tier highestTier = 0;               // highest tier that it may request
  double weight = 1;                  // fair-share weight inside a tier
  double requestsPerSecond = 0;       // 0: no quota
  double burst = 0;                   // requests
  double tokensPerSecond = 0;         // prompt and output tokens; 0: no quota
  double tokenBurst = 0;
};

// A model or a plain service.
struct Pool
{
  std::string name;
  WorkKind kind = WorkKind::kCompletion; // kService pools may have at-most-once routes
  std::vector<std::string> onceRoutes;   // routes whose calls must not be repeated
  Duration startWithin{};                // default deadline of the first token
  Duration endWithin{};                  // default deadline of the whole answer
};

enum class MoveStage : std::uint8_t
{
  kRunning,
  kDone,
  kRolledBack, // "taken_back" in the log
};

// A version move with the result of its verdict.
struct Move
{
  std::string name;
  std::string pool;
  std::string from;
  std::string to;
  WallTime startedAt{}; // started_at_ms of the record
  WallTime finishBy{};
  LogOffset revision = 0;
  MoveStage stage = MoveStage::kRunning;
  std::string reason; // from the verdict
};

enum class ApplyResult : std::uint8_t
{
  kApplied,
  kRepeated,  // its change id was already applied
  kOutdated,  // its base revision is not the current one
  kInvalid,   // malformed, violates its schema or conflicts with another record
  kUnknown,   // newer schema version or unknown kind: stored and reported
  kNotConfig, // claims and snapshots, which are not part of this state
  kGap,       // not applied because earlier records are missing
};

std::string_view ToString(ApplyResult aResult);

// Result of applying one record.
struct Applied
{
  LogOffset offset = 0;
  ApplyResult result = ApplyResult::kInvalid;
  RecordKind kind = RecordKind::kUnknown;
  std::string name;
  std::string changeId;
  std::vector<Finding> findings;
};

class ConfigState
{
public:
  // Applies the record at Next(). Records below Next() are ignored (kRepeated), and so are records
  // above it (kGap), because the missing records may hold configuration.
  Applied Apply(const LogRecord& aRecord);

  // Skips the records below aNext, which the caller knows not to be configuration (e.g. claims).
  void SkipTo(LogOffset aNext)
  {
    if (aNext > this->next) {
      this->next = aNext;
    }
  }

  // First offset that has not been applied.
  LogOffset Next() const { return this->next; }
  // First offset that the newest snapshot read from the log does not cover; 0 if none was read.
  LogOffset SnapshotCovers() const { return this->snapshotCovers; }

  const Account* FindAccount(std::string_view aName) const;
  // The account that has a key with the hash aKeyHash.
  const Account* FindAccountByKey(std::string_view aKeyHash) const;
  const Pool* FindPool(std::string_view aName) const;
  const Move* FindMove(std::string_view aName) const;
  // The running move of a pool, or its latest one if none is running.
  const Move* FindMoveOfPool(std::string_view aPool) const;
  bool IsDrained(std::string_view aNodeName) const;
  const std::map<std::string, Account, std::less<>>& Accounts() const { return this->accounts; }
  const std::map<std::string, Pool, std::less<>>& Pools() const { return this->pools; }
  const std::map<std::string, Move, std::less<>>& Moves() const { return this->moves; }

  // Current record of a kind and name; its revision is the record's offset.
  struct Stored
  {
    LogOffset revision = 0;
    Record record;
  };
  const Stored* Find(RecordKind aKind, std::string_view aName) const;
  std::vector<const Stored*> List(RecordKind aKind) const;
  // Result of an earlier change; nullopt if the change is unknown or no longer remembered.
  std::optional<Applied> ResultOf(std::string_view aChangeId) const;

  // Serializes the state as JSON, and replaces it by a serialized one. Restore returns false if
  // aText is malformed or not newer than this state, so Next() never moves backwards.
  std::string Snapshot() const;
  bool Restore(std::string_view aText);

private:
  using Key = std::pair<std::string, std::string>; // kind name and name

  Applied ApplyNext(const LogRecord& aRecord);
  ApplyResult Store(LogOffset aOffset, const Record& aRecord, std::vector<Finding>& aFindings);
  ApplyResult StoreVerdict(LogOffset aOffset, const Record& aRecord,
                           std::vector<Finding>& aFindings);
  bool CheckBaseRevision(const Record& aRecord, std::vector<Finding>& aFindings) const;
  void CheckConflicts(const Record& aRecord, std::vector<Finding>& aFindings) const;
  void StoreResult(const Applied& aApplied);
  void Put(const Key& aKey, LogOffset aOffset, const Record& aRecord);
  void Erase(const Key& aKey);
  void Index(const Stored& aStored);
  void RemoveIndex(const Record& aRecord);
  void PruneFinishedMoves(const std::string& aPool);
  bool LoadSnapshot(const nlohmann::json& aRoot);

  LogOffset next = 0;
  LogOffset snapshotCovers = 0;
  std::map<Key, Stored> stored;
  std::map<Key, Stored> lastReadable; // for records whose schema in `stored` is too new
  std::map<std::string, Applied, std::less<>> changeResults; // by change id, bounded
  std::deque<std::string> changeOrder;
  std::map<std::string, Account, std::less<>> accounts;
  std::map<std::string, std::string, std::less<>> accountByKey;
  std::map<std::string, Pool, std::less<>> pools;
  std::map<std::string, Move, std::less<>> moves;
};

} // namespace caraway
