#include "core/agent_config.h"

namespace caraway {

namespace {

constexpr std::size_t kKeptRecords = 1024;

} // namespace

AgentConfig::AgentConfig(std::string aNodeName)
  : nodeName(std::move(aNodeName))
  , feed(kKeptRecords)
{
}

FeedChange AgentConfig::Apply(const ConfigTail& aTail)
{
  FeedChange change;
  if (this->feed.Misses(aTail)) {
    change.ask = ConfigAsk{ this->feed.Next() };
    return change;
  }
  const LogOffset before = this->feed.Next();
  this->feed.TakeTail(aTail);
  change.isChanged = this->feed.Next() != before;
  if (change.isChanged) {
    this->CollectOrder(change);
  }
  return change;
}

std::optional<ConfigTail> AgentConfig::Answer(const ConfigAsk& aAsk) const
{
  if (aAsk.from >= this->feed.Next()) {
    return std::nullopt;
  }
  return this->feed.Tail(aAsk.from);
}

// Takes the current order for this node through the fence.
void AgentConfig::CollectOrder(FeedChange& aChange)
{
  const ConfigState::Stored* stored = this->State().Find(RecordKind::kOrder, this->nodeName);
  if (stored == nullptr || this->fence.Newest() == stored->revision) {
    return;
  }
  const bool isAdmitted = this->fence.Admit(stored->revision);
  aChange.orders.push_back(
    EndpointOrder{ stored->revision, stored->record.body.dump(), !isAdmitted });
}

} // namespace caraway
