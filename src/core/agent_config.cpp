#include "core/agent_config.h"

#include <algorithm>

namespace caraway {

namespace {

constexpr std::size_t kKeptRecords = 1024;

} // namespace

AgentConfig::AgentConfig(std::string aNodeName)
  : nodeName(std::move(aNodeName))
  , feed(kKeptRecords)
{
}

ConfigChange AgentConfig::Apply(const ConfigTail& aTail)
{
  ConfigChange change;
  if (this->feed.HasGapBefore(aTail)) {
    change.ask = ConfigRequest{ this->feed.Next() };
    return change;
  }
  const LogOffset before = this->feed.Next();
  this->feed.ApplyTail(aTail);
  change.isChanged = this->feed.Next() != before;
  if (change.isChanged) {
    this->CollectOrders(change);
  }
  return change;
}

std::optional<ConfigTail> AgentConfig::TailFor(const ConfigRequest& aAsk) const
{
  if (aAsk.from >= this->feed.Next()) {
    return std::nullopt;
  }
  return this->feed.TailFrom(aAsk.from);
}

// Collects the orders for this node that the fence admits as new, in log order.
void AgentConfig::CollectOrders(ConfigChange& aChange)
{
  std::vector<const ConfigState::Stored*> orders = this->State().List(RecordKind::kOrder);
  std::sort(orders.begin(), orders.end(), [](const auto* aLeft, const auto* aRight) {
    return aLeft->revision < aRight->revision;
  });
  for (const ConfigState::Stored* stored : orders) {
    const nlohmann::json& body = stored->record.body;
    const bool isForThisNode = body.value("node", std::string()) == this->nodeName;
    if (isForThisNode && body.contains("order") && this->fence.Admit(stored->revision)) {
      aChange.orders.push_back(EndpointOrder{ stored->revision, body["order"].dump() });
    }
  }
}

} // namespace caraway
