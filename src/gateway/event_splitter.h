// Cuts the body of an event stream into whole events, so that a stream that breaks off in the
// middle of one can be resumed after the event before.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace caraway::gateway {

class EventSplitter
{
public:
  // Adds bytes of the body; returns the whole events that are complete now.
  std::string Add(std::string_view aData);
  // Bytes after the last whole event.
  const std::string& Rest() const { return this->rest; }
  void DropRest() { this->rest.clear(); }
  // Number of the last whole event, if it named one.
  std::optional<std::uint64_t> LastId() const { return this->lastId; }
  std::uint64_t EventCount() const { return this->eventCount; }

private:
  void NoteEvent(std::string_view aEvent);

  std::string rest;
  std::optional<std::uint64_t> lastId;
  std::uint64_t eventCount = 0;
};

} // namespace caraway::gateway
