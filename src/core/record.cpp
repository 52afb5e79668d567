#include "core/record.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <iterator>

namespace caraway {

namespace {

using Json = nlohmann::json;

constexpr std::array<std::string_view, 10> kKindNames = {
  "account", "tier", "pool", "move", "verdict", "drain", "order", "claim", "snapshot", "unknown",
};

constexpr std::uint32_t kOldestSchema = 1;
constexpr std::size_t kHashLength = 64; // hexadecimal digits of a SHA-256
constexpr double kMaxWeight = 1e6;
constexpr double kMaxRate = 1e9;                // requests or tokens per second; also for bursts
constexpr double kMaxWithinMs = 24.0 * 3600e3;  // one day
constexpr double kMaxTimeMs = 281474976710655.; // 48 bits, as in a UUIDv7
constexpr double kMaxOffset = 9e15;             // exactly representable as a double

enum class FieldType : std::uint8_t
{
  kText,
  kTexts,  // list of non-empty strings
  kHash,   // hexadecimal SHA-256
  kHashes, // list of hexadecimal SHA-256
  kNumber,
  kInteger,
  kBool,
  kObject,
  kList,
  kAny,
};

// Schema of one body member, for the schema versions from `since` to `until`.
struct FieldRule
{
  RecordKind kind;
  std::uint32_t since;
  std::uint32_t until;
  std::string_view name;
  FieldType type;
  bool required;
  double low = 0;
  double high = 0;
  std::string_view values = {}; // texts: allowed values, each between bars; empty: any value
};

// The schemas of all bodies. Accounts have one key in schema 1 and a list in schema 2, so that a
// key can be rotated without downtime.
constexpr std::array kRules = {
  FieldRule{ RecordKind::kAccount, 1, 1, "key_hash", FieldType::kHash, true },
  FieldRule{ RecordKind::kAccount, 2, 2, "key_hashes", FieldType::kHashes, true },
  FieldRule{ RecordKind::kAccount, 1, 2, "highest_tier", FieldType::kInteger, true, 0,
             kLowestTier },
  FieldRule{ RecordKind::kAccount, 1, 2, "weight", FieldType::kNumber, false, 1e-6, kMaxWeight },
  FieldRule{ RecordKind::kAccount, 1, 2, "requests_per_second", FieldType::kNumber, false, 0,
             kMaxRate },
  FieldRule{ RecordKind::kAccount, 1, 2, "burst", FieldType::kNumber, false, 0, kMaxRate },
  FieldRule{ RecordKind::kAccount, 1, 2, "tokens_per_second", FieldType::kNumber, false, 0,
             kMaxRate },
  FieldRule{ RecordKind::kAccount, 1, 2, "token_burst", FieldType::kNumber, false, 0, kMaxRate },
  FieldRule{ RecordKind::kTier, 1, 2, "tier", FieldType::kInteger, true, 0, kLowestTier },
  FieldRule{ RecordKind::kTier, 1, 2, "start_within_ms", FieldType::kInteger, false, 1,
             kMaxWithinMs },
  FieldRule{ RecordKind::kTier, 1, 2, "end_within_ms", FieldType::kInteger, false, 1,
             kMaxWithinMs },
  FieldRule{ RecordKind::kPool, 1, 2, "kind", FieldType::kText, true, 0, 0,
             "|completion|service|" },
  FieldRule{ RecordKind::kPool, 1, 2, "once_routes", FieldType::kTexts, false },
  FieldRule{ RecordKind::kPool, 1, 2, "start_within_ms", FieldType::kInteger, true, 1,
             kMaxWithinMs },
  FieldRule{ RecordKind::kPool, 1, 2, "end_within_ms", FieldType::kInteger, true, 1, kMaxWithinMs },
  FieldRule{ RecordKind::kMove, 1, 2, "pool", FieldType::kText, true },
  FieldRule{ RecordKind::kMove, 1, 2, "from", FieldType::kText, true },
  FieldRule{ RecordKind::kMove, 1, 2, "to", FieldType::kText, true },
  FieldRule{ RecordKind::kMove, 1, 2, "started_at_ms", FieldType::kInteger, true, 0, kMaxTimeMs },
  FieldRule{ RecordKind::kMove, 1, 2, "finish_by_ms", FieldType::kInteger, true, 0, kMaxTimeMs },
  FieldRule{ RecordKind::kVerdict, 1, 2, "move", FieldType::kText, true },
  FieldRule{ RecordKind::kVerdict, 1, 2, "stage", FieldType::kText, true, 0, 0,
             "|done|taken_back|" },
  FieldRule{ RecordKind::kVerdict, 1, 2, "reason", FieldType::kText, true },
  FieldRule{ RecordKind::kVerdict, 1, 2, "evidence", FieldType::kAny, false },
  FieldRule{ RecordKind::kDrain, 1, 2, "drained", FieldType::kBool, true },
  FieldRule{ RecordKind::kOrder, 1, 2, "node", FieldType::kText, true },
  FieldRule{ RecordKind::kOrder, 1, 2, "order", FieldType::kObject, true },
  FieldRule{ RecordKind::kClaim, 1, 2, "claims", FieldType::kList, false },
  FieldRule{ RecordKind::kClaim, 1, 2, "done", FieldType::kList, false },
  FieldRule{ RecordKind::kSnapshot, 1, 2, "covers", FieldType::kInteger, true, 0, kMaxOffset },
  FieldRule{ RecordKind::kSnapshot, 1, 2, "state", FieldType::kObject, true },
};

bool IsHash(const Json& aValue)
{
  if (!aValue.is_string()) {
    return false;
  }
  const auto& text = aValue.get_ref<const std::string&>();
  const bool isHex = text.find_first_not_of("0123456789abcdef") == std::string::npos;
  return isHex && text.size() == kHashLength;
}

bool IsText(const Json& aValue)
{
  return aValue.is_string() && !aValue.get_ref<const std::string&>().empty();
}

// Escapes a member name for a JSON pointer (RFC 6901).
std::string Escape(std::string_view aName)
{
  std::string text;
  for (const char character : aName) {
    if (character == '~') {
      text += "~0";
    } else if (character == '/') {
      text += "~1";
    } else {
      text += character;
    }
  }
  return text;
}

// Checks every element of a list with aIsValid; aText is the error for invalid ones.
template<class Check>
void CheckElements(const Json& aList, const std::string& aPlace, Check aIsValid, const char* aText,
                   std::vector<Finding>& aFindings)
{
  if (!aList.is_array()) {
    aFindings.push_back({ aPlace, "must be a list" });
    return;
  }
  for (std::size_t index = 0; index < aList.size(); ++index) {
    if (!aIsValid(aList[index])) {
      aFindings.push_back({ aPlace + "/" + std::to_string(index), aText });
    }
  }
}

void CheckNumber(const FieldRule& aRule, const Json& aValue, const std::string& aPlace,
                 std::vector<Finding>& aFindings)
{
  const bool isInteger = aRule.type == FieldType::kInteger;
  if (isInteger ? !aValue.is_number_integer() : !aValue.is_number()) {
    aFindings.push_back({ aPlace, isInteger ? "must be an integer" : "must be a number" });
    return;
  }
  const auto number = aValue.get<double>();
  if (number < aRule.low || number > aRule.high) {
    aFindings.push_back(
      { aPlace, "must be between " + Json(aRule.low).dump() + " and " + Json(aRule.high).dump() });
  }
}

void CheckText(const FieldRule& aRule, const Json& aValue, const std::string& aPlace,
               std::vector<Finding>& aFindings)
{
  if (!IsText(aValue)) {
    aFindings.push_back({ aPlace, "must be a non-empty string" });
    return;
  }
  const std::string delimited = "|" + aValue.get<std::string>() + "|";
  if (!aRule.values.empty() && aRule.values.find(delimited) == std::string_view::npos) {
    aFindings.push_back({ aPlace, "must be one of " + std::string(aRule.values) });
  }
}

void CheckField(const FieldRule& aRule, const Json& aValue, const std::string& aPlace,
                std::vector<Finding>& aFindings)
{
  const auto require = [&](bool aValid, const char* aText) {
    if (!aValid) {
      aFindings.push_back({ aPlace, aText });
    }
  };
  switch (aRule.type) {
    case FieldType::kText:
      return CheckText(aRule, aValue, aPlace, aFindings);
    case FieldType::kTexts:
      return CheckElements(aValue, aPlace, IsText, "must be a non-empty string", aFindings);
    case FieldType::kHash:
      return require(IsHash(aValue), "must be a SHA-256: 64 lower-case hexadecimal digits");
    case FieldType::kHashes:
      return CheckElements(aValue, aPlace, IsHash,
                           "must be a SHA-256: 64 lower-case hexadecimal digits", aFindings);
    case FieldType::kNumber:
    case FieldType::kInteger:
      return CheckNumber(aRule, aValue, aPlace, aFindings);
    case FieldType::kBool:
      return require(aValue.is_boolean(), "must be true or false");
    case FieldType::kObject:
      return require(aValue.is_object(), "must be an object");
    case FieldType::kList:
      return require(aValue.is_array(), "must be a list");
    case FieldType::kAny:
      return;
  }
}

// Checks the constraints between members of a move.
void CheckMove(const Json& aBody, std::vector<Finding>& aFindings)
{
  const auto from = aBody.find("from");
  const auto to = aBody.find("to");
  if (from != aBody.end() && to != aBody.end() && *from == *to) {
    aFindings.push_back({ "/body/to", "must differ from /body/from" });
  }
  const auto start = aBody.find("started_at_ms");
  const auto finish = aBody.find("finish_by_ms");
  const bool hasTimes = start != aBody.end() && finish != aBody.end() &&
                        start->is_number_integer() && finish->is_number_integer();
  if (hasTimes && start->get<std::int64_t>() >= finish->get<std::int64_t>()) {
    aFindings.push_back({ "/body/finish_by_ms", "must be later than started_at_ms" });
  }
}

const FieldRule* FindRule(const Record& aRecord, std::string_view aName)
{
  const auto* found = std::ranges::find_if(kRules, [&](const FieldRule& aRule) {
    return aRule.kind == aRecord.kind && aRule.name == aName &&
           aRule.since <= aRecord.schemaVersion && aRule.until >= aRecord.schemaVersion;
  });
  return found == kRules.end() ? nullptr : &*found;
}

// Reads a string member of the envelope.
std::string EnvelopeText(const Json& aRoot, const char* aName, std::vector<Finding>& aFindings)
{
  const auto found = aRoot.find(aName);
  if (found == aRoot.end() || !IsText(*found)) {
    aFindings.push_back({ std::string("/") + aName, "must be a non-empty string" });
    return {};
  }
  return found->get<std::string>();
}

std::uint32_t EnvelopeSchema(const Json& aRoot, std::vector<Finding>& aFindings)
{
  const auto found = aRoot.find("schema_version");
  const bool valid = found != aRoot.end() && found->is_number_unsigned() &&
                     found->get<std::uint64_t>() >= kOldestSchema &&
                     found->get<std::uint64_t>() <= UINT32_MAX;
  if (!valid) {
    aFindings.push_back({ "/schema_version", "must be an integer of at least 1" });
    return 0;
  }
  return found->get<std::uint32_t>();
}

std::optional<LogOffset> EnvelopeBase(const Json& aRoot, std::vector<Finding>& aFindings)
{
  const auto found = aRoot.find("base_revision");
  if (found == aRoot.end() || (!found->is_null() && !found->is_number_unsigned())) {
    aFindings.push_back({ "/base_revision", "must be null or the offset of the replaced record" });
    return std::nullopt;
  }
  return found->is_null() ? std::nullopt : std::optional(found->get<LogOffset>());
}

} // namespace

std::string_view ToString(RecordKind aKind)
{
  return kKindNames.at(static_cast<std::size_t>(aKind));
}

RecordKind RecordKindOf(std::string_view aName)
{
  const auto* found = std::ranges::find(kKindNames, aName);
  return found == kKindNames.end() ? RecordKind::kUnknown
                                   : static_cast<RecordKind>(found - kKindNames.begin());
}

std::string EncodeRecord(const Record& aRecord)
{
  Json root = Json::object();
  root["schema_version"] = aRecord.schemaVersion;
  root["kind"] = aRecord.kindName.empty() ? std::string(ToString(aRecord.kind)) : aRecord.kindName;
  root["name"] = aRecord.name;
  root["change_id"] = aRecord.changeId;
  root["base_revision"] = aRecord.baseRevision ? Json(*aRecord.baseRevision) : Json(nullptr);
  root["body"] = aRecord.body;
  return root.dump(-1, ' ', false, Json::error_handler_t::replace);
}

std::optional<Record> DecodeRecord(std::string_view aText, std::vector<Finding>& aFindings)
{
  const std::size_t before = aFindings.size();
  const Json root = Json::parse(aText, nullptr, false);
  if (!root.is_object()) {
    aFindings.push_back({ "", "must be a JSON object" });
    return std::nullopt;
  }
  Record record;
  record.schemaVersion = EnvelopeSchema(root, aFindings);
  record.kindName = EnvelopeText(root, "kind", aFindings);
  record.kind = RecordKindOf(record.kindName);
  record.name = EnvelopeText(root, "name", aFindings);
  record.changeId = EnvelopeText(root, "change_id", aFindings);
  record.baseRevision = EnvelopeBase(root, aFindings);
  const auto body = root.find("body");
  if (body == root.end() || (!body->is_object() && !body->is_null())) {
    aFindings.push_back({ "/body", "must be an object, or null to remove the record" });
  } else {
    record.body = *body;
  }
  if (aFindings.size() != before) {
    return std::nullopt;
  }
  return record;
}

void CheckBody(const Record& aRecord, std::vector<Finding>& aFindings)
{
  if (aRecord.kind == RecordKind::kUnknown || aRecord.schemaVersion > kSchemaVersion ||
      aRecord.body.is_null()) {
    return;
  }
  for (const auto& [name, value] : aRecord.body.items()) {
    const FieldRule* rule = FindRule(aRecord, name);
    if (rule == nullptr) {
      aFindings.push_back({ "/body/" + Escape(name), "is not a member of schema version " +
                                                       std::to_string(aRecord.schemaVersion) });
      continue;
    }
    CheckField(*rule, value, "/body/" + Escape(name), aFindings);
  }
  for (const FieldRule& rule : kRules) {
    const bool isMissing =
      rule.required && FindRule(aRecord, rule.name) == &rule && !aRecord.body.contains(rule.name);
    if (isMissing) {
      aFindings.push_back({ "/body/" + std::string(rule.name), "is missing" });
    }
  }
  if (aRecord.kind == RecordKind::kMove) {
    CheckMove(aRecord.body, aFindings);
  }
}

} // namespace caraway
