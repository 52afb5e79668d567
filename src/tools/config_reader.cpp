#include "tools/config_reader.h"

namespace caraway {

namespace {

constexpr std::size_t kMaxRecentRecords = 1;   // that ConfigFeed keeps for peers; a tool has none
constexpr std::size_t kMaxSnapshotSources = 5; // entries asked for a snapshot

} // namespace

ConfigReader::ConfigReader(Platform& aPlatform, Fleet& aFleet)
  : platform(aPlatform)
  , fleet(aFleet)
  , feed(kMaxRecentRecords)
{
}

std::error_code ConfigReader::CatchUp()
{
  if (!this->hasFetchedSnapshots) {
    this->hasFetchedSnapshots = true;
    this->FetchSnapshots();
  }
  std::vector<Applied> results;
  do {
    if (const std::error_code error = this->ReadNext(Duration::zero(), results)) {
      return error;
    }
  } while (this->feed.NextRead() < this->end);
  const bool hasGap = this->feed.NextRead() != this->feed.Next();
  return hasGap ? std::make_error_code(std::errc::no_message_available) : std::error_code();
}

// Applies the newest snapshot of a few entries. Without a snapshot the log alone is read.
void ConfigReader::FetchSnapshots()
{
  std::vector<Vm> entries;
  for (const Vm& vm : this->platform.ListVms().vms) {
    if (vm.role == Role::kEntry && entries.size() < kMaxSnapshotSources) {
      entries.push_back(vm);
    }
  }
  for (const auto& [name, answer] : this->fleet.Get(entries, "/snapshot")) {
    const auto json = nlohmann::json::parse(answer.IsOk() ? answer.body : "", nullptr, false);
    if (!json.is_object() || !json.contains("next") || !json["next"].is_number_unsigned()) {
      continue;
    }
    const auto next = json["next"].get<LogOffset>();
    if (next > this->feed.Next()) {
      ConfigTail tail;
      tail.snapshot = answer.body;
      tail.snapshotNext = next;
      this->feed.ApplyTail(tail);
    }
  }
}

std::error_code ConfigReader::ReadNext(Duration aWait, std::vector<Applied>& aResults)
{
  ReadAnswer answer = this->platform.Read(this->feed.NextRead(), aWait);
  if (answer.error) {
    return answer.error;
  }
  if (answer.records.empty() && answer.oldest > this->feed.NextRead()) {
    answer = this->platform.Read(answer.oldest, aWait);
  }
  if (answer.error) {
    return answer.error;
  }
  this->end = answer.next;
  std::vector<Applied> results = this->feed.ApplyRecords(answer.records);
  std::move(results.begin(), results.end(), std::back_inserter(aResults));
  return {};
}

} // namespace caraway
