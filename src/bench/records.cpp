#include "bench/records.h"

namespace caraway::bench {

namespace {

constexpr int kStartWithinMs = 3000;
constexpr int kEndWithinMs = 30000;

std::string Encode(RecordKind aKind, const std::string& aName, const std::string& aChangeId,
                   std::optional<LogOffset> aBase, nlohmann::json aBody)
{
  Record record;
  record.kind = aKind;
  record.kindName = ToString(aKind);
  record.name = aName;
  record.changeId = aChangeId;
  record.baseRevision = aBase;
  record.body = std::move(aBody);
  return EncodeRecord(record);
}

} // namespace

std::string AccountRecord(const std::string& aName, Tier aHighestTier, const std::string& aChangeId,
                          std::optional<LogOffset> aBase)
{
  nlohmann::json body;
  body["key_hashes"] = nlohmann::json::array();
  body["highest_tier"] = aHighestTier;
  return Encode(RecordKind::kAccount, aName, aChangeId, aBase, std::move(body));
}

std::string PoolRecord(const std::string& aName, WorkKind aKind,
                       const std::vector<std::string>& aOnceRoutes)
{
  nlohmann::json body;
  body["kind"] = aKind == WorkKind::kCompletion ? "completion" : "service";
  body["once_routes"] = aOnceRoutes;
  body["start_within_ms"] = kStartWithinMs;
  body["end_within_ms"] = kEndWithinMs;
  return Encode(RecordKind::kPool, aName, "seed-" + aName, std::nullopt, std::move(body));
}

std::string MoveRecord(const std::string& aName, const std::string& aPool, const std::string& aFrom,
                       const std::string& aTo, WallTime aStart, WallTime aFinishBy)
{
  nlohmann::json body;
  body["pool"] = aPool;
  body["from"] = aFrom;
  body["to"] = aTo;
  body["started_at_ms"] = aStart.time_since_epoch().count();
  body["finish_by_ms"] = aFinishBy.time_since_epoch().count();
  return Encode(RecordKind::kMove, aName, "start-" + aName, std::nullopt, std::move(body));
}

} // namespace caraway::bench
