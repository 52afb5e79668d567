#include "core/config_feed.h"

namespace caraway {

namespace {

constexpr std::size_t kMaxKeptRecords = 4096;
constexpr std::size_t kMaxKeptBytes = std::size_t{ 2 } << 20;
constexpr std::size_t kMaxRecordsInTail = 256;

} // namespace

ConfigFeed::ConfigFeed(std::string aNodeName)
  : nodeName(std::move(aNodeName))
{
}

FeedChange ConfigFeed::Apply(const ConfigTail& aTail)
{
  FeedChange change;
  const bool isSnapshotNewer = !aTail.snapshot.empty() && aTail.snapshotNext > this->state.Next();
  if (isSnapshotNewer && this->state.Restore(aTail.snapshot)) {
    this->kept.clear();
    this->keptBytes = 0;
    change.isChanged = true;
    this->CollectOrder(change);
  }
  for (const LogRecord& record : aTail.records) {
    if (record.offset > this->state.Next()) {
      break;
    }
    if (record.offset == this->state.Next()) {
      this->ApplyRecord(record, change);
    }
  }
  if (aTail.next > this->state.Next()) {
    change.ask = ConfigAsk{ this->state.Next() };
  }
  return change;
}

std::optional<ConfigTail> ConfigFeed::Answer(const ConfigAsk& aAsk) const
{
  const LogOffset next = this->state.Next();
  if (aAsk.from >= next) {
    return std::nullopt;
  }
  ConfigTail tail;
  tail.next = next;
  if (this->kept.empty() || aAsk.from < this->kept.front().offset) {
    tail.snapshot = this->state.Snapshot();
    tail.snapshotNext = next;
    return tail;
  }
  const LogOffset skipped = aAsk.from - this->kept.front().offset;
  for (std::size_t i = skipped; i < this->kept.size(); i++) {
    if (tail.records.size() == kMaxRecordsInTail) {
      break;
    }
    tail.records.push_back(this->kept[i]);
  }
  return tail;
}

void ConfigFeed::ApplyRecord(const LogRecord& aRecord, FeedChange& aChange)
{
  const Applied applied = this->state.Apply(aRecord);
  this->Keep(aRecord);
  aChange.isChanged = true;
  const bool isOrder = applied.result == ApplyResult::kApplied &&
                       applied.kind == RecordKind::kOrder && applied.name == this->nodeName;
  if (isOrder) {
    this->CollectOrder(aChange);
  }
}

// Takes the current order for this node through the fence.
void ConfigFeed::CollectOrder(FeedChange& aChange)
{
  const ConfigState::Stored* stored = this->state.Find(RecordKind::kOrder, this->nodeName);
  if (stored == nullptr || this->fence.Newest() == stored->revision) {
    return;
  }
  const bool isAdmitted = this->fence.Admit(stored->revision);
  aChange.orders.push_back(
    EndpointOrder{ stored->revision, stored->record.body.dump(), !isAdmitted });
}

void ConfigFeed::Keep(const LogRecord& aRecord)
{
  this->kept.push_back(aRecord);
  this->keptBytes += aRecord.data.size();
  while (this->kept.size() > kMaxKeptRecords || this->keptBytes > kMaxKeptBytes) {
    this->keptBytes -= this->kept.front().data.size();
    this->kept.pop_front();
  }
}

} // namespace caraway
