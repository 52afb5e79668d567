// Fencing of orders to an endpoint: refuses an order whose fencing token is not newer than the
// newest one admitted.
#pragma once

#include "core/types.h"

#include <optional>

namespace caraway {

class Fence
{
public:
  // Returns whether the token is newer than all admitted before, and records it if so.
  bool Admit(LogOffset aFencing);
  // Newest token admitted; nullopt before the first order.
  std::optional<LogOffset> Newest() const { return this->newest; }

private:
  std::optional<LogOffset> newest;
};

} // namespace caraway
