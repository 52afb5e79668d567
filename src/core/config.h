// Configuration as a pure function of the log: every reader of the same records has the same state.
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
  std::vector<std::string> keyHashes; // hex SHA-256 of the bearer keys
  Tier highestTier = 0;               // most important tier that it may ask for
  double weight = 1;                  // share inside a tier
  double requestsPerSecond = 0;       // 0: no quota
  double burst = 0;                   // requests
  double tokensPerSecond = 0;         // prompt and output tokens; 0: no quota
  double tokenBurst = 0;
};

// A model or a plain service.
struct Pool
{
  std::string name;
  WorkKind kind = WorkKind::kCompletion; // kService pools may have routes that run once
  std::vector<std::string> onceRoutes;   // routes whose calls must not be repeated
  Duration startWithin{};                // default deadline of the first token
  Duration endWithin{};                  // default deadline of the whole answer
};

enum class MoveStage : std::uint8_t
{
  kRunning,
  kDone,
  kTakenBack,
};

// A version move with its verdict, if there is one.
struct Move
{
  std::string name;
  std::string pool;
  std::string from;
  std::string to;
  WallTime startedAt{}; // from the record's body
  WallTime finishBy{};
  LogOffset revision = 0;
  MoveStage stage = MoveStage::kRunning;
  std::string reason; // of the verdict
};

enum class ApplyResult : std::uint8_t
{
  kApplied,
  kRepeated,  // its change id was applied before
  kOutdated,  // its base revision is not the current one
  kInvalid,   // malformed, or its body fails the schema
  kUnknown,   // newer schema version or unknown kind: kept and reported
  kNotConfig, // claims and snapshots: not part of this state
  kGap,       // records before it are missing: not applied
};

std::string_view ToString(ApplyResult aResult);

// What became of one record.
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
  // above it (kGap): what lies between may be configuration.
  Applied Apply(const LogRecord& aRecord);

  // Says that the records up to aNext hold nothing of this state (claims, for instance).
  void SkipTo(LogOffset aNext)
  {
    if (aNext > this->next) {
      this->next = aNext;
    }
  }

  // First offset that has not been applied.
  LogOffset Next() const { return this->next; }
  // First offset that the newest snapshot read from the log doesn't cover; 0 when none was read.
  LogOffset SnapshotCovers() const { return this->snapshotCovers; }

  const Account* FindAccount(std::string_view aName) const;
  // The account whose key hashes to aKeyHash.
  const Account* FindAccountByKey(std::string_view aKeyHash) const;
  const Pool* FindPool(std::string_view aName) const;
  const Move* FindMove(std::string_view aName) const;
  // The running move of a pool, or else its latest one.
  const Move* FindMoveOf(std::string_view aPool) const;
  bool IsDrained(std::string_view aNodeName) const;
  const std::map<std::string, Account, std::less<>>& Accounts() const { return this->accounts; }
  const std::map<std::string, Pool, std::less<>>& Pools() const { return this->pools; }
  const std::map<std::string, Move, std::less<>>& Moves() const { return this->moves; }

  // Current record of a kind and name with its revision (the offset that wrote it).
  struct Stored
  {
    LogOffset revision = 0;
    Record record;
  };
  const Stored* Find(RecordKind aKind, std::string_view aName) const;
  std::vector<const Stored*> List(RecordKind aKind) const;
  // Result of an earlier change, for operators; nullopt when it was never seen.
  std::optional<Applied> ResultOf(std::string_view aChangeId) const;

  // State as JSON text, and back. Restore only ever moves Next() forward; false if aText is
  // malformed or not newer than this state.
  std::string Snapshot() const;
  bool Restore(std::string_view aText);

private:
  using Key = std::pair<std::string, std::string>; // kind name and name

  Applied ApplyNext(const LogRecord& aRecord);
  ApplyResult Store(LogOffset aOffset, const Record& aRecord, std::vector<Finding>& aFindings);
  ApplyResult StoreVerdict(LogOffset aOffset, const Record& aRecord,
                           std::vector<Finding>& aFindings);
  bool CheckBase(const Record& aRecord, std::vector<Finding>& aFindings) const;
  void CheckConflicts(const Record& aRecord, std::vector<Finding>& aFindings) const;
  void Remember(const Applied& aApplied);
  void Put(const Key& aKey, LogOffset aOffset, const Record& aRecord);
  void Erase(const Key& aKey);
  void Index(const Stored& aStored);
  void RemoveIndex(const Record& aRecord);
  void ForgetOldMoves(const std::string& aPool);
  bool LoadSnapshot(const nlohmann::json& aRoot);

  LogOffset next = 0;
  LogOffset snapshotCovers = 0;
  std::map<Key, Stored> stored;
  std::map<Key, Stored> understood; // last readable record behind one of a newer schema
  std::map<std::string, Applied, std::less<>> changes; // by change id, bounded
  std::deque<std::string> changeOrder;
  std::map<std::string, Account, std::less<>> accounts;
  std::map<std::string, std::string, std::less<>> accountByKey;
  std::map<std::string, Pool, std::less<>> pools;
  std::map<std::string, Move, std::less<>> moves;
};

} // namespace caraway
