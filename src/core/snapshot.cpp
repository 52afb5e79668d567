#include "core/snapshot.h"

#include "core/uuid.h"

namespace caraway {

SnapshotController::SnapshotController(const SnapshotOptions& aOptions, Random& aRandom)
  : options(aOptions)
  , random(aRandom)
{
}

std::optional<std::string> SnapshotController::Poll(Now aNow, const ConfigState& aConfig)
{
  const LogOffset next = aConfig.Next();
  const bool isNeeded = next >= aConfig.SnapshotCovers() + this->options.records;
  if (!isNeeded) {
    this->due = kNever;
    return std::nullopt;
  }
  if (this->due == kNever) {
    const auto wait =
      this->random.Below(static_cast<std::uint64_t>(this->options.maxRandomDelay.count()));
    this->due = aNow.steady + Duration(wait);
  }
  if (aNow.steady < this->due) {
    return std::nullopt;
  }
  this->due = aNow.steady + this->options.retryDelay;
  const std::string changeId = FormatUuid(MakeUuid7(aNow.wall, this->random));
  return EncodeRecord(MakeSnapshotRecord(aConfig, changeId));
}

Record MakeSnapshotRecord(const ConfigState& aConfig, std::string aChangeId)
{
  Record record;
  record.kind = RecordKind::kSnapshot;
  record.kindName = ToString(record.kind);
  record.name = "config";
  record.changeId = std::move(aChangeId);
  record.body = { { "covers", aConfig.Next() },
                  { "state", nlohmann::json::parse(aConfig.Snapshot()) } };
  return record;
}

} // namespace caraway
