#include "core/config.h"

#include <algorithm>
#include <array>

namespace caraway {

namespace {

using Json = nlohmann::json;
using std::chrono::milliseconds;

constexpr std::size_t kMaxChangeResults = 4096; // remembered change results
constexpr std::size_t kMaxFinishedMoves = 8;    // of one pool
constexpr std::size_t kMaxFindings = 16;        // stored with a change result

constexpr std::array<std::string_view, 7> kResultNames = {
  "applied", "repeated", "outdated", "invalid", "unknown", "not_config", "gap",
};

std::pair<std::string, std::string> KeyOf(RecordKind aKind, std::string_view aName)
{
  return { std::string(ToString(aKind)), std::string(aName) };
}

bool IsReadable(const Record& aRecord)
{
  return aRecord.kind != RecordKind::kUnknown && aRecord.schemaVersion <= kSchemaVersion;
}

// Claims and snapshots are not part of the state.
bool IsConfig(const Record& aRecord)
{
  return aRecord.kind != RecordKind::kClaim && aRecord.kind != RecordKind::kSnapshot;
}

// First offset that a snapshot record does not cover; nullopt if it is not a valid snapshot.
std::optional<LogOffset> CoveredUntil(const Record& aRecord, LogOffset aOffset)
{
  if (aRecord.kind != RecordKind::kSnapshot || !IsReadable(aRecord) || aRecord.body.is_null()) {
    return std::nullopt;
  }
  std::vector<Finding> findings;
  CheckBody(aRecord, findings);
  if (!findings.empty()) {
    return std::nullopt;
  }
  const auto covers = aRecord.body["covers"].get<LogOffset>();
  return covers <= aOffset ? std::optional(covers) : std::nullopt;
}

// Key hashes of an account of either schema version, each with its JSON pointer.
std::vector<std::pair<std::string, std::string>> KeyHashes(const Json& aBody)
{
  std::vector<std::pair<std::string, std::string>> hashes;
  if (const auto one = aBody.find("key_hash"); one != aBody.end()) {
    hashes.emplace_back("/body/key_hash", one->get<std::string>());
  }
  if (const auto list = aBody.find("key_hashes"); list != aBody.end()) {
    for (std::size_t index = 0; index < list->size(); ++index) {
      hashes.emplace_back("/body/key_hashes/" + std::to_string(index),
                          (*list)[index].get<std::string>());
    }
  }
  return hashes;
}

Account ParseAccount(const Record& aRecord)
{
  const Json& body = aRecord.body;
  Account account;
  account.name = aRecord.name;
  for (auto& [place, hash] : KeyHashes(body)) {
    account.keyHashes.push_back(std::move(hash));
  }
  account.highestTier = body["highest_tier"].get<Tier>();
  account.weight = body.value("weight", 1.0);
  account.requestsPerSecond = body.value("requests_per_second", 0.0);
  account.burst = body.value("burst", account.requestsPerSecond);
  account.tokensPerSecond = body.value("tokens_per_second", 0.0);
  account.tokenBurst = body.value("token_burst", account.tokensPerSecond);
  return account;
}

Pool ParsePool(const Record& aRecord)
{
  const Json& body = aRecord.body;
  Pool pool;
  pool.name = aRecord.name;
  pool.kind = body["kind"] == "service" ? WorkKind::kService : WorkKind::kCompletion;
  pool.onceRoutes = body.value("once_routes", std::vector<std::string>{});
  pool.startWithin = milliseconds(body["start_within_ms"].get<std::int64_t>());
  pool.endWithin = milliseconds(body["end_within_ms"].get<std::int64_t>());
  return pool;
}

Move ParseMove(const Record& aRecord, LogOffset aRevision)
{
  const Json& body = aRecord.body;
  Move move;
  move.name = aRecord.name;
  move.pool = body["pool"].get<std::string>();
  move.from = body["from"].get<std::string>();
  move.to = body["to"].get<std::string>();
  move.startedAt = WallTime(milliseconds(body["started_at_ms"].get<std::int64_t>()));
  move.finishBy = WallTime(milliseconds(body["finish_by_ms"].get<std::int64_t>()));
  move.revision = aRevision;
  return move;
}

Json FindingsToJson(const std::vector<Finding>& aFindings)
{
  Json list = Json::array();
  for (const Finding& finding : aFindings) {
    list.push_back({ { "place", finding.place }, { "text", finding.text } });
  }
  return list;
}

Json AppliedToJson(const Applied& aApplied)
{
  return { { "offset", aApplied.offset },       { "result", ToString(aApplied.result) },
           { "kind", ToString(aApplied.kind) }, { "name", aApplied.name },
           { "change_id", aApplied.changeId },  { "findings", FindingsToJson(aApplied.findings) } };
}

Applied AppliedFromJson(const Json& aJson)
{
  Applied applied;
  applied.offset = aJson.at("offset").get<LogOffset>();
  const auto* result = std::ranges::find(kResultNames, aJson.at("result").get<std::string>());
  applied.result = static_cast<ApplyResult>(
    std::min<std::size_t>(result - kResultNames.begin(), kResultNames.size() - 1));
  applied.kind = RecordKindOf(aJson.at("kind").get<std::string>());
  applied.name = aJson.at("name").get<std::string>();
  applied.changeId = aJson.at("change_id").get<std::string>();
  for (const Json& finding : aJson.at("findings")) {
    applied.findings.push_back(
      { finding.at("place").get<std::string>(), finding.at("text").get<std::string>() });
  }
  return applied;
}

template<class Map>
Json StoredToJson(const Map& aStored)
{
  Json list = Json::array();
  for (const auto& [key, value] : aStored) {
    list.push_back({ { "revision", value.revision }, { "record", EncodeRecord(value.record) } });
  }
  return list;
}

ConfigState::Stored StoredFromJson(const Json& aJson)
{
  std::vector<Finding> findings;
  std::optional<Record> record = DecodeRecord(aJson.at("record").get<std::string>(), findings);
  if (record && IsReadable(*record)) {
    CheckBody(*record, findings);
  }
  if (!record || !findings.empty()) {
    throw std::invalid_argument("malformed record in a snapshot");
  }
  return { aJson.at("revision").get<LogOffset>(), std::move(*record) };
}

} // namespace

std::string_view ToString(ApplyResult aResult)
{
  return kResultNames.at(static_cast<std::size_t>(aResult));
}

Applied ConfigState::Apply(const LogRecord& aRecord)
{
  if (aRecord.offset < this->next) {
    Applied applied;
    applied.offset = aRecord.offset;
    applied.result = ApplyResult::kRepeated;
    return applied;
  }
  if (aRecord.offset > this->next) {
    Applied applied;
    applied.offset = aRecord.offset;
    applied.result = ApplyResult::kGap;
    return applied;
  }
  return this->ApplyNext(aRecord);
}

// Applies the record at `next` and advances `next`, even if the record is invalid.
Applied ConfigState::ApplyNext(const LogRecord& aRecord)
{
  Applied applied;
  applied.offset = aRecord.offset;
  this->next = aRecord.offset + 1;
  const std::optional<Record> record = DecodeRecord(aRecord.data, applied.findings);
  if (!record) {
    return applied;
  }
  applied.kind = record->kind;
  applied.name = record->name;
  applied.changeId = record->changeId;
  if (!IsConfig(*record)) {
    applied.result = ApplyResult::kNotConfig;
    const std::optional<LogOffset> covers = CoveredUntil(*record, aRecord.offset);
    this->snapshotCovers = std::max(this->snapshotCovers, covers.value_or(0));
    return applied;
  }
  if (this->changeResults.contains(record->changeId)) {
    applied.result = ApplyResult::kRepeated;
    return applied;
  }
  applied.result = this->Store(aRecord.offset, *record, applied.findings);
  this->StoreResult(applied);
  return applied;
}

// Applies a configuration record whose change id has not been applied yet.
ApplyResult ConfigState::Store(LogOffset aOffset, const Record& aRecord,
                               std::vector<Finding>& aFindings)
{
  if (aRecord.kind == RecordKind::kVerdict && IsReadable(aRecord)) {
    return this->StoreVerdict(aOffset, aRecord, aFindings);
  }
  if (!this->CheckBaseRevision(aRecord, aFindings)) {
    return ApplyResult::kOutdated;
  }
  CheckBody(aRecord, aFindings);
  if (aFindings.empty()) {
    this->CheckConflicts(aRecord, aFindings);
  }
  if (!aFindings.empty()) {
    return ApplyResult::kInvalid;
  }
  const Key key{ aRecord.kindName, aRecord.name };
  if (aRecord.body.is_null()) {
    this->Erase(key);
    return ApplyResult::kApplied;
  }
  this->Put(key, aOffset, aRecord);
  if (!IsReadable(aRecord)) {
    return ApplyResult::kUnknown;
  }
  if (aRecord.kind == RecordKind::kMove) {
    this->Erase(KeyOf(RecordKind::kVerdict, aRecord.name));
    this->PruneFinishedMoves(aRecord.body["pool"].get<std::string>());
  }
  return ApplyResult::kApplied;
}

// A verdict is applied only if it names the current revision of a running move, so the first wins.
ApplyResult ConfigState::StoreVerdict(LogOffset aOffset, const Record& aRecord,
                                      std::vector<Finding>& aFindings)
{
  if (aRecord.body.is_null()) {
    aFindings.push_back({ "/body", "a verdict cannot be removed" });
    return ApplyResult::kInvalid;
  }
  CheckBody(aRecord, aFindings);
  if (!aFindings.empty()) {
    return ApplyResult::kInvalid;
  }
  const std::string name = aRecord.body["move"].get<std::string>();
  if (name != aRecord.name) {
    aFindings.push_back({ "/body/move", "must equal the name of the record" });
    return ApplyResult::kInvalid;
  }
  const Move* move = this->FindMove(name);
  if (move == nullptr || aRecord.baseRevision != move->revision) {
    aFindings.push_back({ "/base_revision", "must be the current revision of the move" });
    return ApplyResult::kOutdated;
  }
  if (move->stage != MoveStage::kRunning) {
    aFindings.push_back({ "/body/move", "the move already has a verdict" });
    return ApplyResult::kOutdated;
  }
  this->Put(KeyOf(RecordKind::kVerdict, name), aOffset, aRecord);
  this->PruneFinishedMoves(this->FindMove(name)->pool);
  return ApplyResult::kApplied;
}

// The base revision must be that of the replaced record, or null if there is no such record.
bool ConfigState::CheckBaseRevision(const Record& aRecord, std::vector<Finding>& aFindings) const
{
  const auto found = this->stored.find({ aRecord.kindName, aRecord.name });
  if (found == this->stored.end()) {
    if (aRecord.baseRevision) {
      aFindings.push_back({ "/base_revision", "the record does not exist; expected null" });
    }
    return !aRecord.baseRevision;
  }
  if (aRecord.baseRevision == found->second.revision) {
    return true;
  }
  aFindings.push_back(
    { "/base_revision", "the current revision is " + std::to_string(found->second.revision) });
  return false;
}

// Checks for conflicts with other records.
void ConfigState::CheckConflicts(const Record& aRecord, std::vector<Finding>& aFindings) const
{
  if (aRecord.body.is_null()) {
    const Move* move = aRecord.kind == RecordKind::kMove ? this->FindMove(aRecord.name) : nullptr;
    if (!this->stored.contains({ aRecord.kindName, aRecord.name })) {
      aFindings.push_back({ "/body", "the record to remove does not exist" });
    } else if (move != nullptr && move->stage == MoveStage::kRunning) {
      aFindings.push_back({ "/body", "cannot remove a running move; take it back first" });
    }
    return;
  }
  if (!IsReadable(aRecord)) {
    return;
  }
  if (aRecord.kind == RecordKind::kAccount) {
    for (const auto& [place, hash] : KeyHashes(aRecord.body)) {
      const auto owner = this->accountByKey.find(hash);
      if (owner != this->accountByKey.end() && owner->second != aRecord.name) {
        aFindings.push_back({ place, "the key belongs to account " + owner->second });
      }
    }
  }
  if (aRecord.kind == RecordKind::kMove) {
    const Move* move = this->FindMoveOfPool(aRecord.body["pool"].get<std::string>());
    const bool running = move != nullptr && move->stage == MoveStage::kRunning;
    if (running && move->name != aRecord.name) {
      aFindings.push_back({ "/body/pool", "move " + move->name + " of this pool is running" });
    }
  }
}

// Stores the result of a change and evicts the oldest beyond kMaxChangeResults.
void ConfigState::StoreResult(const Applied& aApplied)
{
  Applied kept = aApplied;
  kept.findings.resize(std::min(kept.findings.size(), kMaxFindings));
  this->changeResults[kept.changeId] = std::move(kept);
  this->changeOrder.push_back(aApplied.changeId);
  if (this->changeOrder.size() > kMaxChangeResults) {
    this->changeResults.erase(this->changeOrder.front());
    this->changeOrder.pop_front();
  }
}

// Makes aRecord current. If its schema is newer, the last readable record stays in effect.
void ConfigState::Put(const Key& aKey, LogOffset aOffset, const Record& aRecord)
{
  const auto previous = this->stored.find(aKey);
  if (IsReadable(aRecord)) {
    this->lastReadable.erase(aKey);
  } else if (previous != this->stored.end() && IsReadable(previous->second.record)) {
    this->lastReadable[aKey] = previous->second;
  }
  Stored& current = this->stored[aKey];
  current = { aOffset, aRecord };
  this->Index(current);
}

void ConfigState::Erase(const Key& aKey)
{
  for (auto* map : { &this->lastReadable, &this->stored }) {
    const auto found = map->find(aKey);
    if (found != map->end()) {
      this->RemoveIndex(found->second.record);
      map->erase(found);
    }
  }
}

// Updates the typed view of a readable record.
void ConfigState::Index(const Stored& aStored)
{
  const Record& record = aStored.record;
  if (!IsReadable(record)) {
    return;
  }
  if (record.kind == RecordKind::kAccount) {
    this->RemoveIndex(record);
    Account account = ParseAccount(record);
    for (const std::string& hash : account.keyHashes) {
      this->accountByKey[hash] = record.name;
    }
    this->accounts[record.name] = std::move(account);
  } else if (record.kind == RecordKind::kPool) {
    this->pools[record.name] = ParsePool(record);
  } else if (record.kind == RecordKind::kMove) {
    this->moves[record.name] = ParseMove(record, aStored.revision);
  } else if (record.kind == RecordKind::kVerdict) {
    const auto move = this->moves.find(record.name);
    if (move != this->moves.end()) {
      const bool done = record.body["stage"] == "done";
      move->second.stage = done ? MoveStage::kDone : MoveStage::kRolledBack;
      move->second.reason = record.body["reason"].get<std::string>();
    }
  }
}

// Removes the typed view of a removed or replaced record.
void ConfigState::RemoveIndex(const Record& aRecord)
{
  if (aRecord.kind == RecordKind::kAccount) {
    const auto account = this->accounts.find(aRecord.name);
    if (account == this->accounts.end()) {
      return;
    }
    for (const std::string& hash : account->second.keyHashes) {
      this->accountByKey.erase(hash);
    }
    this->accounts.erase(account);
  } else if (aRecord.kind == RecordKind::kPool) {
    this->pools.erase(aRecord.name);
  } else if (aRecord.kind == RecordKind::kMove) {
    this->moves.erase(aRecord.name);
    this->stored.erase(KeyOf(RecordKind::kVerdict, aRecord.name));
  }
}

// Erases the oldest finished moves of a pool beyond kMaxFinishedMoves.
void ConfigState::PruneFinishedMoves(const std::string& aPool)
{
  std::vector<std::pair<LogOffset, std::string>> finished;
  for (const auto& [name, move] : this->moves) {
    if (move.pool == aPool && move.stage != MoveStage::kRunning) {
      finished.emplace_back(move.revision, name);
    }
  }
  std::ranges::sort(finished);
  for (std::size_t index = 0; index + kMaxFinishedMoves < finished.size(); ++index) {
    this->Erase(KeyOf(RecordKind::kMove, finished[index].second));
  }
}

const Account* ConfigState::FindAccount(std::string_view aName) const
{
  const auto found = this->accounts.find(aName);
  return found == this->accounts.end() ? nullptr : &found->second;
}

const Account* ConfigState::FindAccountByKey(std::string_view aKeyHash) const
{
  const auto found = this->accountByKey.find(aKeyHash);
  return found == this->accountByKey.end() ? nullptr : this->FindAccount(found->second);
}

const Pool* ConfigState::FindPool(std::string_view aName) const
{
  const auto found = this->pools.find(aName);
  return found == this->pools.end() ? nullptr : &found->second;
}

const Move* ConfigState::FindMove(std::string_view aName) const
{
  const auto found = this->moves.find(aName);
  return found == this->moves.end() ? nullptr : &found->second;
}

const Move* ConfigState::FindMoveOfPool(std::string_view aPool) const
{
  const Move* best = nullptr;
  for (const auto& [name, move] : this->moves) {
    if (move.pool != aPool) {
      continue;
    }
    if (move.stage == MoveStage::kRunning) {
      return &move;
    }
    if (best == nullptr || move.revision > best->revision) {
      best = &move;
    }
  }
  return best;
}

bool ConfigState::IsDrained(std::string_view aNodeName) const
{
  const Key key = KeyOf(RecordKind::kDrain, aNodeName);
  const auto readable = this->lastReadable.find(key);
  const auto found = readable == this->lastReadable.end() ? this->stored.find(key) : readable;
  const bool isMissing = found == this->stored.end() || !IsReadable(found->second.record);
  return !isMissing && found->second.record.body["drained"].get<bool>();
}

const ConfigState::Stored* ConfigState::Find(RecordKind aKind, std::string_view aName) const
{
  const auto found = this->stored.find(KeyOf(aKind, aName));
  return found == this->stored.end() ? nullptr : &found->second;
}

std::vector<const ConfigState::Stored*> ConfigState::List(RecordKind aKind) const
{
  std::vector<const Stored*> list;
  for (const auto& [key, value] : this->stored) {
    if (value.record.kind == aKind) {
      list.push_back(&value);
    }
  }
  return list;
}

std::optional<Applied> ConfigState::ResultOf(std::string_view aChangeId) const
{
  const auto found = this->changeResults.find(aChangeId);
  return found == this->changeResults.end() ? std::nullopt : std::optional(found->second);
}

std::string ConfigState::Snapshot() const
{
  Json changeList = Json::array();
  for (const std::string& id : this->changeOrder) {
    changeList.push_back(AppliedToJson(this->changeResults.at(id)));
  }
  Json root = Json::object();
  root["schema_version"] = kSchemaVersion;
  root["next"] = this->next;
  root["stored"] = StoredToJson(this->stored);
  root["understood"] = StoredToJson(this->lastReadable);
  root["changes"] = std::move(changeList);
  return root.dump();
}

bool ConfigState::Restore(std::string_view aText)
{
  const Json root = Json::parse(aText, nullptr, false);
  ConfigState restored;
  try {
    if (!restored.LoadSnapshot(root) || restored.next <= this->next) {
      return false;
    }
  } catch (const std::exception&) {
    return false;
  }
  restored.snapshotCovers = this->snapshotCovers;
  *this = std::move(restored);
  return true;
}

// Fills an empty state. Throws or returns false if the snapshot is malformed or of a newer schema.
bool ConfigState::LoadSnapshot(const nlohmann::json& aRoot)
{
  if (!aRoot.is_object() || aRoot.at("schema_version").get<std::uint32_t>() > kSchemaVersion) {
    return false;
  }
  this->next = aRoot.at("next").get<LogOffset>();
  for (const Json& item : aRoot.at("understood")) {
    const Stored value = StoredFromJson(item);
    this->lastReadable[{ value.record.kindName, value.record.name }] = value;
  }
  for (const Json& item : aRoot.at("stored")) {
    const Stored value = StoredFromJson(item);
    this->stored[{ value.record.kindName, value.record.name }] = value;
  }
  // The map orders kinds alphabetically, so moves are indexed before their verdicts.
  for (const auto* map : { &this->lastReadable, &this->stored }) {
    for (const auto& [key, value] : *map) {
      this->Index(value);
    }
  }
  for (const Json& item : aRoot.at("changes")) {
    this->StoreResult(AppliedFromJson(item));
  }
  return true;
}

} // namespace caraway
