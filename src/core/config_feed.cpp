#include "core/config_feed.h"

#include <algorithm>

namespace caraway {

namespace {

// Serialized state in a snapshot record; empty for other records.
std::string SnapshotText(const LogRecord& aRecord)
{
  std::vector<Finding> findings;
  const auto record = DecodeRecord(aRecord.data, findings);
  const bool isSnapshot = record && record->kind == RecordKind::kSnapshot;
  if (!isSnapshot || record->schemaVersion > kSchemaVersion || !record->body.contains("state")) {
    return {};
  }
  const nlohmann::json& state = record->body["state"];
  return state.is_string() ? state.get<std::string>() : state.dump();
}

bool IsClaim(const LogRecord& aRecord)
{
  std::vector<Finding> findings;
  const auto record = DecodeRecord(aRecord.data, findings);
  return record && record->kind == RecordKind::kClaim;
}

} // namespace

ConfigFeed::ConfigFeed(std::size_t aMaxRecent)
  : maxRecent(aMaxRecent)
{
}

LogOffset ConfigFeed::NextRead() const
{
  return this->buffered.empty() ? this->state.Next() : this->buffered.back().offset + 1;
}

std::vector<Applied> ConfigFeed::ApplyRecords(const std::vector<LogRecord>& aRecords)
{
  std::vector<Applied> results;
  for (const LogRecord& record : aRecords) {
    if (record.offset < this->state.Next()) {
      continue;
    }
    if (record.offset == this->state.Next()) {
      this->ApplyOne(record, results);
      continue;
    }
    this->BufferRecord(record);
    this->RestoreFrom(record);
    this->ApplyBuffered(results);
  }
  return results;
}

bool ConfigFeed::HasGapBefore(const ConfigTail& aTail) const
{
  const LogOffset covered = std::max(this->state.Next(), aTail.snapshotNext);
  return aTail.from > covered;
}

std::vector<Applied> ConfigFeed::ApplyTail(const ConfigTail& aTail)
{
  std::vector<Applied> results;
  if (this->HasGapBefore(aTail)) {
    return results;
  }
  if (!aTail.snapshot.empty() && aTail.snapshotNext > this->state.Next()) {
    if (this->state.Restore(aTail.snapshot)) {
      this->recent.clear();
      this->recentFrom = this->state.Next();
    }
  }
  for (const LogRecord& record : aTail.records) {
    if (record.offset >= this->state.Next()) {
      this->state.SkipTo(record.offset);
      this->ApplyOne(record, results);
    }
  }
  this->state.SkipTo(aTail.next);
  this->ApplyBuffered(results);
  return results;
}

ConfigTail ConfigFeed::TailFrom(LogOffset aFrom) const
{
  ConfigTail tail;
  tail.from = aFrom;
  tail.next = this->state.Next();
  if (aFrom < this->recentFrom) {
    tail.snapshot = this->state.Snapshot();
    tail.snapshotNext = this->state.Next();
    return tail;
  }
  for (const LogRecord& record : this->recent) {
    if (record.offset >= aFrom) {
      tail.records.push_back(record);
    }
  }
  return tail;
}

// Buffers a record whose predecessors are missing. A further gap invalidates what was buffered
// before it.
void ConfigFeed::BufferRecord(const LogRecord& aRecord)
{
  if (!this->buffered.empty() && aRecord.offset < this->NextRead()) {
    return;
  }
  if (aRecord.offset != this->NextRead()) {
    this->buffered.clear();
  }
  this->buffered.push_back(IsClaim(aRecord) ? LogRecord{ aRecord.offset, {} } : aRecord);
}

void ConfigFeed::ApplyOne(const LogRecord& aRecord, std::vector<Applied>& aResults)
{
  Applied applied = this->state.Apply(aRecord);
  if (applied.result == ApplyResult::kNotConfig || applied.kind == RecordKind::kSnapshot) {
    return;
  }
  this->AddRecent(aRecord);
  aResults.push_back(std::move(applied));
}

// Restores the state if the record is a snapshot that covers the missing records.
void ConfigFeed::RestoreFrom(const LogRecord& aRecord)
{
  const std::string text = SnapshotText(aRecord);
  if (text.empty()) {
    return;
  }
  if (this->state.Restore(text)) {
    this->recent.clear();
    this->recentFrom = this->state.Next();
  }
}

// Applies buffered records that have become consecutive, and drops those already covered.
void ConfigFeed::ApplyBuffered(std::vector<Applied>& aResults)
{
  while (!this->buffered.empty() && this->buffered.front().offset <= this->state.Next()) {
    const LogRecord record = this->buffered.front();
    this->buffered.pop_front();
    if (record.data.empty()) {
      this->state.SkipTo(record.offset + 1);
    } else if (record.offset == this->state.Next()) {
      this->ApplyOne(record, aResults);
    }
  }
}

void ConfigFeed::AddRecent(const LogRecord& aRecord)
{
  this->recent.push_back(aRecord);
  while (this->recent.size() > this->maxRecent) {
    this->recentFrom = this->recent.front().offset + 1;
    this->recent.pop_front();
  }
}

} // namespace caraway
