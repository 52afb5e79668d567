// Reader of a stream of server-sent events, of which only the data fields matter here.
#pragma once

#include <functional>
#include <string>
#include <string_view>

namespace caraway {

class SseReader
{
public:
  // Calls aOnData with the value of every data field that aBytes completes. Returns false if a
  // line grows over the limit of 1 MiB; what follows is then ignored.
  bool Feed(std::string_view aBytes, const std::function<void(std::string_view)>& aOnData);

private:
  std::string rest; // of the last, unfinished line
  bool overflown = false;
};

} // namespace caraway
