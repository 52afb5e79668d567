// The runtime's clock. Daemons use SystemClock; tests use PausedClock and advance it.
#pragma once

#include "core/types.h"

namespace caraway {

class Clock
{
public:
  virtual ~Clock() = default;
  virtual Now Read() const = 0;
};

// Reads the steady clock of the machine and its wall clock.
class SystemClock final : public Clock
{
public:
  Now Read() const override;
};

// Stands still until a test advances it.
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
