#include "runtime/boot_clock.h"

#include <ctime>

namespace caraway {

Now BootClock::Read() const
{
  timespec time{};
  clock_gettime(CLOCK_BOOTTIME, &time);
  const auto sinceBoot = std::chrono::seconds(time.tv_sec) + std::chrono::nanoseconds(time.tv_nsec);
  return Now{ TimePoint{ std::chrono::duration_cast<Duration>(sinceBoot) },
              std::chrono::time_point_cast<std::chrono::milliseconds>(
                std::chrono::system_clock::now()) };
}

} // namespace caraway
