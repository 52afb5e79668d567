// The most recent events of a process, numbered, for operators who merge the timelines of all
// processes.
#pragma once

#include "core/event.h"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <string>
#include <vector>

namespace caraway {

// An event with its position in the timeline of its process.
struct TimelineEntry
{
  std::uint64_t sequence = 0; // counts from 1 without gaps
  WallTime wall;
  Event event;
};

// Filter for events; empty members match everything.
struct TimelineQuery
{
  std::uint64_t after = 0; // only events with a greater sequence number
  RequestId request;
  std::string account;
  std::string subject;
  std::size_t max = 1000; // max. number of events returned, oldest first
};

class Timeline
{
public:
  // Keeps the most recent aCapacity events.
  explicit Timeline(std::size_t aCapacity);

  void Add(WallTime aWall, const Event& aEvent);
  std::vector<TimelineEntry> Select(const TimelineQuery& aQuery) const;
  // Sequence number of the newest event, 0 if there is none.
  std::uint64_t LastSequence() const { return this->lastSequence; }

private:
  std::size_t capacity;
  std::uint64_t lastSequence = 0;
  std::deque<TimelineEntry> entries;
};

} // namespace caraway
