// Configuration at an agent: the tail of the log that its entries pass on, what it can pass on
// itself, and the orders to its endpoint that the log holds.
#pragma once

#include "core/config.h"
#include "core/fence.h"

#include <deque>
#include <optional>
#include <string>
#include <vector>

namespace caraway {

// An order to the endpoint, to be given once.
struct EndpointOrder
{
  LogOffset fencing = 0;
  std::string body;     // JSON
  bool isStale = false; // refused: a newer order was seen
};

// What a tail changed.
struct FeedChange
{
  bool isChanged = false;
  std::optional<ConfigAsk> ask; // records are missing before the tail
  std::vector<EndpointOrder> orders;
};

class ConfigFeed
{
public:
  explicit ConfigFeed(std::string aNodeName);

  FeedChange Apply(const ConfigTail& aTail);
  // Records from the offset on, or a snapshot if they are no longer kept. Nothing if the asker is
  // ahead.
  std::optional<ConfigTail> Answer(const ConfigAsk& aAsk) const;

  const ConfigState& State() const { return this->state; }
  // The configuration wants this node to take no new work.
  bool IsDrained() const { return this->state.IsDrained(this->nodeName); }

private:
  void ApplyRecord(const LogRecord& aRecord, FeedChange& aChange);
  void CollectOrder(FeedChange& aChange);
  void Keep(const LogRecord& aRecord);

  std::string nodeName;
  ConfigState state;
  Fence fence;
  std::deque<LogRecord> kept; // consecutive, the last one is at state.Next() - 1
  std::size_t keptBytes = 0;
};

} // namespace caraway
