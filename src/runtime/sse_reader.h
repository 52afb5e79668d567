// Reader of server-sent events; only the data fields are used.
#pragma once

#include <functional>
#include <string>
#include <string_view>

namespace caraway {

class SseReader
{
public:
  // Calls aOnData with the value of every data field completed by aBytes. Returns false once a line
  // exceeds the limit of 1 MiB; all further input is ignored.
  bool Feed(std::string_view aBytes, const std::function<void(std::string_view)>& aOnData);

private:
  std::string partialLine; // last line, without its end yet
  bool hasOverflowed = false;
};

} // namespace caraway
