#include "core/key_table.h"

#include "core/uuid.h"

#include <algorithm>
#include <array>

namespace caraway {

namespace {

using Json = nlohmann::json;

constexpr std::array kOutcomes = { Outcome::kAnswered, Outcome::kNotRun, Outcome::kCut,
                                   Outcome::kUnknown };

// Time inside a key; nullopt if it is not a UUIDv7.
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

Json SettlementToJson(const Settlement& aSettlement)
{
  Json json = { { "key", aSettlement.key.key },
                { "account", aSettlement.key.account },
                { "entry", static_cast<std::uint64_t>(aSettlement.entry) },
                { "attempt", aSettlement.attempt },
                { "outcome", ToString(aSettlement.outcome) },
                { "status", aSettlement.status } };
  if (aSettlement.answer) {
    json["answer"] = *aSettlement.answer;
  }
  return json;
}

Settlement SettlementFromJson(const Json& aJson)
{
  Settlement settlement;
  settlement.key = { aJson.at("account").get<std::string>(), aJson.at("key").get<std::string>() };
  settlement.entry = NodeId{ aJson.at("entry").get<std::uint64_t>() };
  settlement.attempt = aJson.at("attempt").get<Attempt>();
  const auto name = aJson.at("outcome").get<std::string>();
  const auto* outcome =
    std::ranges::find_if(kOutcomes, [&](Outcome aOutcome) { return ToString(aOutcome) == name; });
  settlement.outcome = outcome == kOutcomes.end() ? Outcome::kUnknown : *outcome;
  settlement.status = aJson.at("status").get<std::uint16_t>();
  if (aJson.contains("answer")) {
    settlement.answer = aJson.at("answer").get<std::string>();
  }
  return settlement;
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
  for (const Settlement& settlement : aBatch.settlements) {
    done.push_back(SettlementToJson(settlement));
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
      batch.settlements.push_back(SettlementFromJson(item));
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
  for (const Settlement& settlement : aBatch.settlements) {
    this->Settle(settlement);
  }
  std::vector<ClaimResult> results;
  for (const Claim& claim : aBatch.claims) {
    results.push_back({ claim, this->Take(aOffset, claim) });
  }
  this->TrimAnswers();
  return results;
}

// The claim gets the key if it is free, or if it supersedes exactly the claim that holds it. A copy
// of a claim that held the key once never gets it again.
bool KeyTable::Take(LogOffset aOffset, const Claim& aClaim)
{
  KeyState& state = this->keys[aClaim.key];
  this->byAge.emplace(TimeOfKey(aClaim.key.key).value_or(WallTime{}), aClaim.key);
  const bool isFree = !state.holding;
  const bool supersedes = state.holding && state.holding->offset == aClaim.supersedes;
  const bool isNew = !state.past.contains({ aClaim.entry, aClaim.attempt });
  if (!isNew || (!isFree && !supersedes)) {
    return false;
  }
  if (state.holding && state.holding->answer) {
    this->answerBytes -= state.holding->answer->size();
  }
  Holding holding;
  holding.claim = aClaim;
  holding.offset = aOffset;
  state.holding = std::move(holding);
  state.past.emplace(aClaim.entry, aClaim.attempt);
  return true;
}

// Records the end of the call that holds the key; others have lost it and say nothing about it.
void KeyTable::Settle(const Settlement& aSettlement)
{
  const auto found = this->keys.find(aSettlement.key);
  if (found == this->keys.end() || !found->second.holding) {
    return;
  }
  Holding& holding = *found->second.holding;
  const bool holds =
    holding.claim.entry == aSettlement.entry && holding.claim.attempt == aSettlement.attempt;
  if (!holds || holding.outcome) {
    return;
  }
  if (aSettlement.outcome == Outcome::kNotRun) {
    found->second.holding.reset();
    return;
  }
  holding.outcome = aSettlement.outcome;
  holding.status = aSettlement.status;
  holding.answer = aSettlement.answer;
  if (holding.answer) {
    this->answerBytes += holding.answer->size();
    this->answered.emplace_back(aSettlement.key, holding.offset);
  }
}

// Drops the oldest answers beyond the limit; their keys stay taken.
void KeyTable::TrimAnswers()
{
  while (this->answerBytes > this->maxAnswerBytes && !this->answered.empty()) {
    const auto [key, offset] = this->answered.front();
    this->answered.pop_front();
    const auto found = this->keys.find(key);
    if (found == this->keys.end() || !found->second.holding) {
      continue;
    }
    Holding& holding = *found->second.holding;
    if (holding.offset == offset && holding.answer) {
      this->answerBytes -= holding.answer->size();
      holding.answer.reset();
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
      const auto& holding = found->second.holding;
      this->answerBytes -= holding && holding->answer ? holding->answer->size() : 0;
      this->keys.erase(found);
    }
    this->byAge.erase(this->byAge.begin());
  }
  while (!this->answered.empty() && !this->keys.contains(this->answered.front().first)) {
    this->answered.pop_front();
  }
}

} // namespace caraway
