#include "runtime/sse_reader.h"

namespace caraway {

namespace {

constexpr std::size_t kMaxLineBytes = std::size_t(1) << 20; // bytes
constexpr std::string_view kDataField = "data:";

// Reads the value of a data field; returns false for any other line.
bool ReadDataLine(std::string_view aLine, std::string_view& aValue)
{
  if (!aLine.starts_with(kDataField)) {
    return false;
  }
  aLine.remove_prefix(kDataField.size());
  if (aLine.starts_with(' ')) {
    aLine.remove_prefix(1);
  }
  if (aLine.ends_with('\r')) {
    aLine.remove_suffix(1);
  }
  aValue = aLine;
  return true;
}

} // namespace

bool SseReader::Feed(std::string_view aBytes, const std::function<void(std::string_view)>& aOnData)
{
  if (this->hasOverflowed) {
    return false;
  }
  this->partialLine.append(aBytes);
  std::size_t start = 0;
  std::size_t end = this->partialLine.find('\n');
  while (end != std::string::npos) {
    std::string_view value;
    if (ReadDataLine(std::string_view(this->partialLine).substr(start, end - start), value)) {
      aOnData(value);
    }
    start = end + 1;
    end = this->partialLine.find('\n', start);
  }
  this->partialLine.erase(0, start);
  this->hasOverflowed = this->partialLine.size() > kMaxLineBytes;
  return !this->hasOverflowed;
}

} // namespace caraway
