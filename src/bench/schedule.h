// Virtual time: runs scheduled steps in order of time, and in order of scheduling at equal times.
#pragma once

#include "core/types.h"

#include <cstdint>
#include <functional>
#include <vector>

namespace caraway::bench {

class Schedule
{
public:
  using Step = std::function<void()>;

  Schedule();

  void At(TimePoint aTime, Step aStep);
  void After(Duration aDelay, Step aStep);

  // Runs everything that is due up to aEnd, then stands at aEnd.
  void RunUntil(TimePoint aEnd);

  Now Read() const;
  TimePoint Time() const { return this->now; }

private:
  struct Item
  {
    TimePoint time;
    std::uint64_t order;
    Step step;
  };
  static bool Later(const Item& aLeft, const Item& aRight);

  TimePoint now;
  std::uint64_t nextOrder = 0;
  std::vector<Item> heap;
};

} // namespace caraway::bench
