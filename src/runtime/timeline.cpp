#include "runtime/timeline.h"

namespace caraway {

namespace {

bool Matches(const TimelineQuery& aQuery, const TimelineEntry& aEntry)
{
  const Event& event = aEntry.event;
  if (aEntry.sequence <= aQuery.after) {
    return false;
  }
  if (aQuery.request != RequestId{} && event.request != aQuery.request) {
    return false;
  }
  if (!aQuery.account.empty() && event.account != aQuery.account) {
    return false;
  }
  return aQuery.subject.empty() || event.subject == aQuery.subject;
}

} // namespace

Timeline::Timeline(std::size_t aCapacity)
  : capacity(aCapacity)
{
}

void Timeline::Add(WallTime aWall, const Event& aEvent)
{
  if (this->entries.size() >= this->capacity) {
    this->entries.pop_front();
  }
  this->entries.push_back(TimelineEntry{ ++this->lastSequence, aWall, aEvent });
}

std::vector<TimelineEntry> Timeline::Select(const TimelineQuery& aQuery) const
{
  std::vector<TimelineEntry> selected;
  for (const TimelineEntry& entry : this->entries) {
    if (selected.size() >= aQuery.max) {
      break;
    }
    if (Matches(aQuery, entry)) {
      selected.push_back(entry);
    }
  }
  return selected;
}

} // namespace caraway
