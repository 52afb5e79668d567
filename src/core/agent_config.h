// Configuration of an agent: records forwarded by its entries, and the orders to its endpoint that
// they contain.
#pragma once

#include "core/config_feed.h"
#include "core/fence.h"

#include <optional>
#include <string>
#include <vector>

namespace caraway {

// An order that is sent to the endpoint once.
struct EndpointOrder
{
  LogOffset fencing = 0;
  std::string body; // JSON
};

// Result of applying a ConfigTail.
struct ConfigChange
{
  bool isChanged = false;
  std::optional<ConfigRequest> ask; // request for the records missing before the tail
  std::vector<EndpointOrder> orders;
};

class AgentConfig
{
public:
  explicit AgentConfig(std::string aNodeName);

  ConfigChange Apply(const ConfigTail& aTail);
  // Records from the requested offset on, or a snapshot if they are no longer kept. Empty if the
  // requester is already up to date or ahead.
  std::optional<ConfigTail> TailFor(const ConfigRequest& aAsk) const;

  const ConfigState& State() const { return this->feed.State(); }
  // Whether the configuration marks this node as drained: it takes no new work.
  bool IsDrained() const { return this->feed.State().IsDrained(this->nodeName); }

private:
  void CollectOrders(ConfigChange& aChange);

  std::string nodeName;
  ConfigFeed feed;
  Fence fence;
};

} // namespace caraway
