#include "gateway/event_splitter.h"

#include <charconv>

namespace caraway::gateway {

namespace {

// Length of the first event in aData including the blank line after it; npos if it is incomplete.
std::size_t EventLength(std::string_view aData)
{
  const std::size_t unixEnd = aData.find("\n\n");
  const std::size_t dosEnd = aData.find("\r\n\r\n");
  const std::size_t unixLength = unixEnd == std::string_view::npos ? unixEnd : unixEnd + 2;
  const std::size_t dosLength = dosEnd == std::string_view::npos ? dosEnd : dosEnd + 4;
  return unixLength < dosLength ? unixLength : dosLength;
}

} // namespace

std::string EventSplitter::Add(std::string_view aData)
{
  this->partialEvent.append(aData);
  std::size_t completeLength = 0;
  while (true) {
    const std::string_view left = std::string_view(this->partialEvent).substr(completeLength);
    const std::size_t length = EventLength(left);
    if (length == std::string_view::npos) {
      break;
    }
    this->ParseEvent(left.substr(0, length));
    completeLength += length;
  }
  std::string events = this->partialEvent.substr(0, completeLength);
  this->partialEvent.erase(0, completeLength);
  return events;
}

void EventSplitter::ParseEvent(std::string_view aEvent)
{
  constexpr std::string_view kIdField = "id:";
  this->eventCount++;
  std::size_t line = 0;
  while (line < aEvent.size()) {
    std::size_t end = aEvent.find('\n', line);
    end = end == std::string_view::npos ? aEvent.size() : end;
    std::string_view text = aEvent.substr(line, end - line);
    line = end + 1;
    if (!text.starts_with(kIdField)) {
      continue;
    }
    text.remove_prefix(kIdField.size());
    while (text.starts_with(' ')) {
      text.remove_prefix(1);
    }
    std::uint64_t id = 0;
    if (std::from_chars(text.data(), text.data() + text.size(), id).ec == std::errc{}) {
      this->lastId = id;
    }
  }
}

} // namespace caraway::gateway
