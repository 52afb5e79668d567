#include "core/config_feed.h"

#include <algorithm>

namespace caraway {

namespace {

// Text of the state inside a snapshot record; empty for other records.
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

ConfigFeed::ConfigFeed(std::size_t aKeep)
  : keep(aKeep)
{
}

LogOffset ConfigFeed::NextRead() const
{
  return this->held.empty() ? this->state.Next() : this->held.back().offset + 1;
}

std::vector<Applied> ConfigFeed::TakeRecords(const std::vector<LogRecord>& aRecords)
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
    this->Hold(record);
    this->RestoreFrom(record);
    this->ApplyHeld(results);
  }
  return results;
}

bool ConfigFeed::Misses(const ConfigTail& aTail) const
{
  const LogOffset reached = std::max(this->state.Next(), aTail.snapshotNext);
  return aTail.from > reached;
}

std::vector<Applied> ConfigFeed::TakeTail(const ConfigTail& aTail)
{
  std::vector<Applied> results;
  if (this->Misses(aTail)) {
    return results;
  }
  if (!aTail.snapshot.empty() && aTail.snapshotNext > this->state.Next()) {
    if (this->state.Restore(aTail.snapshot)) {
      this->recent.clear();
      this->keptFrom = this->state.Next();
    }
  }
  for (const LogRecord& record : aTail.records) {
    if (record.offset >= this->state.Next()) {
      this->state.SkipTo(record.offset);
      this->ApplyOne(record, results);
    }
  }
  this->state.SkipTo(aTail.next);
  this->ApplyHeld(results);
  return results;
}

ConfigTail ConfigFeed::Tail(LogOffset aFrom) const
{
  ConfigTail tail;
  tail.from = aFrom;
  tail.next = this->state.Next();
  if (aFrom < this->keptFrom) {
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

// Keeps a record whose predecessors are missing. What was held before a further gap is of no use.
void ConfigFeed::Hold(const LogRecord& aRecord)
{
  if (!this->held.empty() && aRecord.offset < this->NextRead()) {
    return;
  }
  if (aRecord.offset != this->NextRead()) {
    this->held.clear();
  }
  this->held.push_back(IsClaim(aRecord) ? LogRecord{ aRecord.offset, {} } : aRecord);
}

void ConfigFeed::ApplyOne(const LogRecord& aRecord, std::vector<Applied>& aResults)
{
  Applied applied = this->state.Apply(aRecord);
  if (applied.result == ApplyResult::kNotConfig || applied.kind == RecordKind::kSnapshot) {
    return;
  }
  this->Keep(aRecord);
  aResults.push_back(std::move(applied));
}

// Jumps over the part of the log that was cut, if the record is a snapshot that covers it.
void ConfigFeed::RestoreFrom(const LogRecord& aRecord)
{
  const std::string text = SnapshotText(aRecord);
  if (text.empty()) {
    return;
  }
  if (this->state.Restore(text)) {
    this->recent.clear();
    this->keptFrom = this->state.Next();
  }
}

// Applies held records that have become consecutive, and drops those that are covered.
void ConfigFeed::ApplyHeld(std::vector<Applied>& aResults)
{
  while (!this->held.empty() && this->held.front().offset <= this->state.Next()) {
    const LogRecord record = this->held.front();
    this->held.pop_front();
    if (record.data.empty()) {
      this->state.SkipTo(record.offset + 1);
    } else if (record.offset == this->state.Next()) {
      this->ApplyOne(record, aResults);
    }
  }
}

void ConfigFeed::Keep(const LogRecord& aRecord)
{
  this->recent.push_back(aRecord);
  while (this->recent.size() > this->keep) {
    this->keptFrom = this->recent.front().offset + 1;
    this->recent.pop_front();
  }
}

} // namespace caraway
