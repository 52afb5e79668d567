// Clock interface. Daemons use SystemClock; tests use PausedClock and advance it manually.
#pragma once

#include "core/types.h"

namespace caraway {

class Clock
{
public:
  virtual ~Clock() = default;
  virtual Now Read() const = 0;
};

// Reads the machine's steady clock and wall clock.
class SystemClock final : public Clock
{
public:
  Now Read() const override;
};

// Changes only when Advance is called.
class PausedClock final : public Clock
{
public:
  explicit PausedClock(Now aStart)
    : now(aStart)
  {
  }

  Now Read() const override { return this->now; }
  void Advance(Duration aBy);

private:
  Now now;
};

} // namespace caraway
