// Splits the body of an event stream into complete events, so that a stream interrupted within an
// event can be resumed after the previous event.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace caraway::gateway {

class EventSplitter
{
public:
  // Appends body bytes and returns the events that are now complete.
  std::string Add(std::string_view aData);
  // Bytes after the last complete event.
  const std::string& PartialEvent() const { return this->partialEvent; }
  // True if the partial event has more than blank lines: a body that ends here was broken off.
  bool IsInsideEvent() const
  {
    return this->partialEvent.find_first_not_of("\r\n") != std::string::npos;
  }
  void DropPartialEvent() { this->partialEvent.clear(); }
  // The last numeric event ID seen in a complete event.
  std::optional<std::uint64_t> LastId() const { return this->lastId; }
  std::uint64_t EventCount() const { return this->eventCount; }

private:
  void ParseEvent(std::string_view aEvent);

  std::string partialEvent;
  std::optional<std::uint64_t> lastId;
  std::uint64_t eventCount = 0;
};

} // namespace caraway::gateway
