// Merges the timelines of all processes into one order that puts causes before effects despite
// clock skew.
#pragma once

#include "core/types.h"

#include <nlohmann/json.hpp>

#include <cstdint>
#include <string>
#include <vector>

namespace caraway {

// An event reported by a process.
struct ReportedEvent
{
  std::string node;
  std::uint64_t sequence = 0;
  WallTime wall{}; // the process's clock, corrected by its offset if known
  std::string kind;
  std::string request; // empty if the event belongs to none
  std::string peer;    // name of the other process, empty if there is none
  nlohmann::json json; // as received
  WallTime ordered{};  // set by OrderEvents: not before that of any cause
};

// Parses the response to GET /events. aOffset is added to the wall times.
std::vector<ReportedEvent> ReadEvents(const std::string& aText, std::chrono::milliseconds aOffset);

// Sorts the events: those of one process keep their sequence, and a message is sent before it is
// received. Independent events are ordered by their corrected times.
void OrderEvents(std::vector<ReportedEvent>& aEvents);

} // namespace caraway
