#include "tools/config_reader.h"

namespace caraway {

namespace {

constexpr std::size_t kKeep = 1;          // records that ConfigFeed keeps for peers
constexpr std::size_t kMaxNodesAsked = 5; // for their state

} // namespace

ConfigReader::ConfigReader(Platform& aPlatform, Fleet& aFleet)
  : platform(aPlatform)
  , fleet(aFleet)
  , feed(kKeep)
{
}

std::error_code ConfigReader::CatchUp()
{
  if (!this->hasAsked) {
    this->hasAsked = true;
    this->AskNodes();
  }
  std::vector<Applied> results;
  do {
    if (const std::error_code error = this->ReadOn(Duration::zero(), results)) {
      return error;
    }
  } while (this->feed.NextRead() < this->end);
  const bool gap = this->feed.NextRead() != this->feed.Next();
  return gap ? std::make_error_code(std::errc::no_message_available) : std::error_code();
}

// Takes the newest state of a few entries. None is needed: the log alone will do.
void ConfigReader::AskNodes()
{
  std::vector<Vm> entries;
  for (const Vm& vm : this->platform.ListVms().vms) {
    if (vm.role == Role::kEntry && entries.size() < kMaxNodesAsked) {
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

std::error_code ConfigReader::ReadOn(Duration aWait, std::vector<Applied>& aResults)
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
