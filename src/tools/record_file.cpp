#include "tools/record_file.h"

#include "core/uuid.h"

#include <fstream>
#include <iostream>
#include <iterator>

namespace caraway {

namespace {

using Json = nlohmann::json;

// Reads one record; aPlace is put before the place of each finding.
std::optional<FileRecord> ReadFileRecord(Json aItem, const std::string& aPlace, WallTime aTime,
                                         Random& aRandom, std::vector<Finding>& aFindings)
{
  if (!aItem.is_object()) {
    aFindings.push_back({ aPlace, "must be an object" });
    return std::nullopt;
  }
  FileRecord item;
  item.place = aPlace;
  item.hasBase = aItem.contains("base_revision");
  if (!item.hasBase) {
    aItem["base_revision"] = nullptr;
  }
  if (!aItem.contains("schema_version")) {
    aItem["schema_version"] = kSchemaVersion;
  }
  if (!aItem.contains("change_id")) {
    aItem["change_id"] = FormatUuid(MakeUuid7(aTime, aRandom));
  }
  std::vector<Finding> findings;
  std::optional<Record> record = DecodeRecord(aItem.dump(), findings);
  if (record) {
    CheckBody(*record, findings);
    if (record->kind == RecordKind::kUnknown || record->schemaVersion > kSchemaVersion) {
      findings.push_back({ "/kind", "is not supported by this version of carawayctl" });
    }
  }
  for (Finding& finding : findings) {
    aFindings.push_back({ aPlace + finding.place, std::move(finding.text) });
  }
  if (!record) {
    return std::nullopt;
  }
  item.record = std::move(*record);
  return item;
}

} // namespace

std::optional<std::string> ReadTextFile(const std::string& aName)
{
  if (aName == "-") {
    return std::string(std::istreambuf_iterator<char>(std::cin), {});
  }
  std::ifstream file(aName);
  if (!file) {
    return std::nullopt;
  }
  return std::string(std::istreambuf_iterator<char>(file), {});
}

std::vector<FileRecord> ReadRecords(const std::string& aText, WallTime aTime, Random& aRandom,
                                    std::vector<Finding>& aFindings)
{
  std::vector<FileRecord> records;
  const Json root = Json::parse(aText, nullptr, false);
  if (root.is_discarded()) {
    aFindings.push_back({ "", "must be JSON" });
    return records;
  }
  const bool isList = root.is_array();
  const Json list = isList ? root : Json::array({ root });
  for (std::size_t index = 0; index < list.size(); ++index) {
    const std::string place = isList ? "/" + std::to_string(index) : "";
    if (auto record = ReadFileRecord(list[index], place, aTime, aRandom, aFindings)) {
      records.push_back(std::move(*record));
    }
  }
  return records;
}

} // namespace caraway
