// Receives all events of a process, adds them to the timeline, counts them and logs them.
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

  // Adds the event to the timeline, counts it and logs it. For a violation, also logs all events of
  // its request that the timeline still holds.
  void Note(const Event& aEvent) override;

  // Stores the name of a peer, which is shown in events instead of its node id.
  void SetPeerName(NodeId aNode, const std::string& aName);
  std::string PeerName(NodeId aNode) const;

  Metrics& ProcessMetrics() { return this->metrics; }
  const Timeline& Events() const { return this->timeline; }

  // Fields of an event as written to the log.
  std::vector<EventField> FieldsOf(const Event& aEvent) const;

private:
  void LogHistory(const RequestId& aRequest) const;

  const Clock& clock;
  Metrics& metrics;
  Timeline& timeline;
  std::unordered_map<NodeId, std::string> peerNames;
};

} // namespace caraway
