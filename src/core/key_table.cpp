#include "core/key_table.h"

#include "core/uuid.h"

#include <algorithm>
#include <array>

namespace caraway {

namespace {

using Json = nlohmann::json;

constexpr std::array kOutcomes = { Outcome::kAnswered, Outcome::kNotRun, Outcome::kCut,
                                   Outcome::kUnknown };

// Creation time in a key; nullopt if the key is not a UUIDv7.
std::optional<WallTime> TimeOfKey(const std::string& aKey)
{
  const std::optional<RequestId> id = ParseUuid(aKey);
  return id ? TimeOfUuid7(*id) : std::nullopt;
}

Json ClaimToJson(const Claim& aClaim)
{
  Json json = { { "key", aClaim.key.key },
                { "account", aClaim.key.account },
                { "request", FormatUuid(aClaim.request) },
                { "entry", static_cast<std::uint64_t>(aClaim.entry) },
                { "agent", static_cast<std::uint64_t>(aClaim.agent) },
                { "attempt", aClaim.attempt } };
  if (aClaim.bodyHash != 0) {
    json["body_hash"] = aClaim.bodyHash;
  }
  if (aClaim.supersedes != kNoOffset) {
    json["supersedes"] = aClaim.supersedes;
  }
  return json;
}

Claim ClaimFromJson(const Json& aJson)
{
  Claim claim;
  claim.key = { aJson.at("account").get<std::string>(), aJson.at("key").get<std::string>() };
  const auto request = ParseUuid(aJson.at("request").get<std::string>());
  if (!request || !TimeOfKey(claim.key.key)) {
    throw std::invalid_argument("malformed identifier in a claim");
  }
  claim.request = *request;
  claim.entry = NodeId{ aJson.at("entry").get<std::uint64_t>() };
  claim.agent = NodeId{ aJson.at("agent").get<std::uint64_t>() };
  claim.attempt = aJson.at("attempt").get<Attempt>();
  claim.bodyHash = aJson.value("body_hash", std::uint64_t{ 0 });
  claim.supersedes = aJson.value("supersedes", kNoOffset);
  return claim;
}

Json CallResultToJson(const CallResult& aCallResult)
{
  Json json = { { "key", aCallResult.key.key },
                { "account", aCallResult.key.account },
                { "entry", static_cast<std::uint64_t>(aCallResult.entry) },
                { "attempt", aCallResult.attempt },
                { "outcome", ToString(aCallResult.outcome) },
                { "status", aCallResult.status } };
  if (aCallResult.answer) {
    json["answer"] = *aCallResult.answer;
  }
  return json;
}

CallResult CallResultFromJson(const Json& aJson)
{
  CallResult callResult;
  callResult.key = { aJson.at("account").get<std::string>(), aJson.at("key").get<std::string>() };
  callResult.entry = NodeId{ aJson.at("entry").get<std::uint64_t>() };
  callResult.attempt = aJson.at("attempt").get<Attempt>();
  const auto name = aJson.at("outcome").get<std::string>();
  const auto* outcome =
    std::ranges::find_if(kOutcomes, [&](Outcome aOutcome) { return ToString(aOutcome) == name; });
  callResult.outcome = outcome == kOutcomes.end() ? Outcome::kUnknown : *outcome;
  callResult.status = aJson.at("status").get<std::uint16_t>();
  if (aJson.contains("answer")) {
    callResult.answer = aJson.at("answer").get<std::string>();
  }
  return callResult;
}

} // namespace

WallTime TimeOfAttempt(Attempt aAttempt)
{
  return WallTime(std::chrono::milliseconds(aAttempt / kAttemptsPerMs));
}

std::string EncodeBatch(const ClaimBatch& aBatch, const std::string& aChangeId)
{
  Record record;
  record.kind = RecordKind::kClaim;
  record.kindName = ToString(record.kind);
  record.name = "keys";
  record.changeId = aChangeId;
  Json claims = Json::array();
  for (const Claim& claim : aBatch.claims) {
    claims.push_back(ClaimToJson(claim));
  }
  Json done = Json::array();
  for (const CallResult& callResult : aBatch.callResults) {
    done.push_back(CallResultToJson(callResult));
  }
  record.body = { { "claims", std::move(claims) }, { "done", std::move(done) } };
  return EncodeRecord(record);
}

std::optional<ClaimBatch> DecodeBatch(std::string_view aText)
{
  std::vector<Finding> findings;
  const std::optional<Record> record = DecodeRecord(aText, findings);
  const bool isClaim = record && record->kind == RecordKind::kClaim &&
                       record->schemaVersion <= kSchemaVersion && record->body.is_object();
  if (!isClaim) {
    return std::nullopt;
  }
  ClaimBatch batch;
  try {
    for (const Json& item : record->body.value("done", Json::array())) {
      batch.callResults.push_back(CallResultFromJson(item));
    }
    for (const Json& item : record->body.value("claims", Json::array())) {
      batch.claims.push_back(ClaimFromJson(item));
    }
  } catch (const std::exception&) {
    return std::nullopt;
  }
  return batch;
}

KeyTable::KeyTable(std::size_t aMaxAnswerBytes)
  : maxAnswerBytes(aMaxAnswerBytes)
{
}

std::vector<ClaimResult> KeyTable::Apply(LogOffset aOffset, const ClaimBatch& aBatch)
{
  for (const CallResult& callResult : aBatch.callResults) {
    this->RecordResult(callResult);
  }
  std::vector<ClaimResult> results;
  for (const Claim& claim : aBatch.claims) {
    results.push_back({ claim, this->TryAcquire(aOffset, claim) });
  }
  this->TrimAnswers();
  return results;
}

// The claim acquires the key if it is free or held by the claim that it supersedes. A duplicate of
// a claim that has held the key never acquires it again.
bool KeyTable::TryAcquire(LogOffset aOffset, const Claim& aClaim)
{
  KeyState& state = this->keys[aClaim.key];
  this->byAge.emplace(TimeOfKey(aClaim.key.key).value_or(WallTime{}), aClaim.key);
  const bool isFree = !state.holder;
  const bool supersedes = state.holder && state.holder->offset == aClaim.supersedes;
  const bool isNew = !state.pastAttempts.contains({ aClaim.entry, aClaim.attempt });
  if (!isNew || (!isFree && !supersedes)) {
    return false;
  }
  if (state.holder && state.holder->answer) {
    this->answerBytes -= state.holder->answer->size();
  }
  KeyHolder holder;
  holder.claim = aClaim;
  holder.offset = aOffset;
  state.holder = std::move(holder);
  state.pastAttempts.emplace(aClaim.entry, aClaim.attempt);
  return true;
}

// Records the result of the call that holds the key. Results of other claims are ignored, because
// those no longer hold the key.
void KeyTable::RecordResult(const CallResult& aCallResult)
{
  const auto found = this->keys.find(aCallResult.key);
  if (found == this->keys.end() || !found->second.holder) {
    return;
  }
  KeyHolder& holder = *found->second.holder;
  const bool isHolder =
    holder.claim.entry == aCallResult.entry && holder.claim.attempt == aCallResult.attempt;
  if (!isHolder || holder.outcome) {
    return;
  }
  if (aCallResult.outcome == Outcome::kNotRun) {
    found->second.holder.reset();
    return;
  }
  holder.outcome = aCallResult.outcome;
  holder.status = aCallResult.status;
  holder.answer = aCallResult.answer;
  if (holder.answer) {
    this->answerBytes += holder.answer->size();
    this->answered.emplace_back(aCallResult.key, holder.offset);
  }
}

// Drops the oldest answers beyond the limit; their keys stay claimed.
void KeyTable::TrimAnswers()
{
  while (this->answerBytes > this->maxAnswerBytes && !this->answered.empty()) {
    const auto [key, offset] = this->answered.front();
    this->answered.pop_front();
    const auto found = this->keys.find(key);
    if (found == this->keys.end() || !found->second.holder) {
      continue;
    }
    KeyHolder& holder = *found->second.holder;
    if (holder.offset == offset && holder.answer) {
      this->answerBytes -= holder.answer->size();
      holder.answer.reset();
    }
  }
}

const KeyState* KeyTable::Find(const ScopedKey& aKey) const
{
  const auto found = this->keys.find(aKey);
  return found == this->keys.end() ? nullptr : &found->second;
}

void KeyTable::Expire(WallTime aTime)
{
  while (!this->byAge.empty() && this->byAge.begin()->first < aTime) {
    const auto found = this->keys.find(this->byAge.begin()->second);
    if (found != this->keys.end()) {
      const auto& holder = found->second.holder;
      this->answerBytes -= holder && holder->answer ? holder->answer->size() : 0;
      this->keys.erase(found);
    }
    this->byAge.erase(this->byAge.begin());
  }
  while (!this->answered.empty() && !this->keys.contains(this->answered.front().first)) {
    this->answered.pop_front();
  }
}

} // namespace caraway
