#include "bench/schedule.h"

#include <algorithm>
#include <utility>

namespace caraway::bench {

namespace {

// Start of virtual time; far from zero, so that durations before the start are representable.
constexpr TimePoint kSteadyStart{ std::chrono::hours(1) };
constexpr WallTime kWallStart{ std::chrono::milliseconds(1'780'000'000'000) };

} // namespace

Schedule::Schedule()
  : now(kSteadyStart)
{
}

bool Schedule::Later(const Item& aLeft, const Item& aRight)
{
  return std::pair(aLeft.time, aLeft.order) > std::pair(aRight.time, aRight.order);
}

void Schedule::At(TimePoint aTime, Step aStep)
{
  this->heap.push_back({ std::max(aTime, this->now), this->nextOrder++, std::move(aStep) });
  std::push_heap(this->heap.begin(), this->heap.end(), Later);
}

void Schedule::After(Duration aDelay, Step aStep)
{
  this->At(this->now + aDelay, std::move(aStep));
}

void Schedule::RunUntil(TimePoint aEnd)
{
  while (!this->heap.empty() && this->heap.front().time <= aEnd) {
    std::pop_heap(this->heap.begin(), this->heap.end(), Later);
    Item item = std::move(this->heap.back());
    this->heap.pop_back();
    this->now = item.time;
    item.step();
  }
  this->now = aEnd;
}

Now Schedule::Read() const
{
  const auto passed = this->now - kSteadyStart;
  return Now{ this->now,
              kWallStart + std::chrono::duration_cast<std::chrono::milliseconds>(passed) };
}

} // namespace caraway::bench
