// Configuration at an agent: what its entries pass on, and the orders to its endpoint in it.
#pragma once

#include "core/config_feed.h"
#include "core/fence.h"

#include <optional>
#include <string>
#include <vector>

namespace caraway {

// An order to the endpoint, to be given once.
struct EndpointOrder
{
  LogOffset fencing = 0;
  std::string body; // JSON
};

// What a tail changed.
struct FeedChange
{
  bool isChanged = false;
  std::optional<ConfigRequest> ask; // records are missing before the tail
  std::vector<EndpointOrder> orders;
};

class AgentConfig
{
public:
  explicit AgentConfig(std::string aNodeName);

  FeedChange Apply(const ConfigTail& aTail);
  // Records from the offset on, or a snapshot if they are no longer kept. Nothing if the asker is
  // ahead.
  std::optional<ConfigTail> Answer(const ConfigRequest& aAsk) const;

  const ConfigState& State() const { return this->feed.State(); }
  // The configuration wants this node to take no new work.
  bool IsDrained() const { return this->feed.State().IsDrained(this->nodeName); }

private:
  void CollectOrders(FeedChange& aChange);

  std::string nodeName;
  ConfigFeed feed;
  Fence fence;
};

} // namespace caraway
