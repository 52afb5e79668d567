// Receives all events of a process: keeps them for the time line, counts them and logs them.
#pragma once

#include "core/event.h"
#include "runtime/clock.h"
#include "runtime/metrics.h"
#include "runtime/timeline.h"

#include <string>
#include <unordered_map>

namespace caraway {

class Observer final : public EventSink
{
public:
  Observer(const Clock& aClock, Metrics& aMetrics, Timeline& aTimeline);

  // Adds the event to the time line, counts and logs it. A violation logs the whole history of its
  // request.
  void Note(const Event& aEvent) override;

  // Remembers the name of a peer, so that events show it in place of its number.
  void SetPeerName(NodeId aNode, const std::string& aName);
  std::string PeerName(NodeId aNode) const;

  Metrics& ProcessMetrics() { return this->metrics; }
  const Timeline& Events() const { return this->timeline; }

  // Fields of an event as they stand in logs.
  std::vector<EventField> FieldsOf(const Event& aEvent) const;

private:
  void LogHistory(const RequestId& aRequest) const;

  const Clock& clock;
  Metrics& metrics;
  Timeline& timeline;
  std::unordered_map<NodeId, std::string> peerNames;
};

} // namespace caraway
