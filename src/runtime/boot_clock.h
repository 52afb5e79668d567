// Clock for machines that may be suspended: its steady time includes the time in suspend.
#pragma once

#include "runtime/clock.h"

namespace caraway {

class BootClock final : public Clock
{
public:
  Now Read() const override;
};

} // namespace caraway
