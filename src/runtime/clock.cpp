#include "runtime/clock.h"

namespace caraway {

Now SystemClock::Read() const
{
  using std::chrono::duration_cast;
  const auto steady = std::chrono::steady_clock::now().time_since_epoch();
  const auto wall = std::chrono::system_clock::now().time_since_epoch();
  return Now{ TimePoint(duration_cast<Duration>(steady)),
              WallTime(duration_cast<std::chrono::milliseconds>(wall)) };
}

void PausedClock::Advance(Duration aBy)
{
  this->now.steady += aBy;
  this->now.wall += std::chrono::duration_cast<std::chrono::milliseconds>(aBy);
}

} // namespace caraway
