// Merges the time lines of all processes into one order in which causes come before effects,
// although the processes' clocks differ.
#pragma once

#include "core/types.h"

#include <nlohmann/json.hpp>

#include <cstdint>
#include <string>
#include <vector>

namespace caraway {

// An event as a process reports it.
struct ReportedEvent
{
  std::string node;
  std::uint64_t sequence = 0;
  WallTime wall{}; // by the process's clock, corrected if its offset is known
  std::string kind;
  std::string request; // empty if it belongs to none
  std::string peer;    // name of the other process, empty if there is none
  nlohmann::json json; // as received
  WallTime ordered{};  // set by OrderEvents: never before a cause's
};

// Reads the answer of GET /events. aOffset is added to the wall times.
std::vector<ReportedEvent> ReadEvents(const std::string& aText, std::chrono::milliseconds aOffset);

// Sorts the events: those of one process stay in their sequence, and a message's sending comes
// before its receipt. Events that don't depend on each other stand in the order of their corrected
// times.
void OrderEvents(std::vector<ReportedEvent>& aEvents);

} // namespace caraway
