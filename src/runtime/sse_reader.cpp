#include "runtime/sse_reader.h"

namespace caraway {

namespace {

constexpr std::size_t kMaxLine = std::size_t(1) << 20; // bytes
constexpr std::string_view kDataField = "data:";

// Value of a data field; false if the line is something else.
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
  if (this->overflown) {
    return false;
  }
  this->rest.append(aBytes);
  std::size_t start = 0;
  std::size_t end = this->rest.find('\n');
  while (end != std::string::npos) {
    std::string_view value;
    if (ReadDataLine(std::string_view(this->rest).substr(start, end - start), value)) {
      aOnData(value);
    }
    start = end + 1;
    end = this->rest.find('\n', start);
  }
  this->rest.erase(0, start);
  this->overflown = this->rest.size() > kMaxLine;
  return !this->overflown;
}

} // namespace caraway
