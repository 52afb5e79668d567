// Fencing of orders to an endpoint: orders with a number older than the newest seen are refused.
#pragma once

#include "core/types.h"

#include <optional>

namespace caraway {

class Fence
{
public:
  // Admits an order with a newer number than any before it and remembers the number.
  bool Admit(LogOffset aFencing);
  // Newest number seen; none before the first order.
  std::optional<LogOffset> Newest() const { return this->newest; }

private:
  std::optional<LogOffset> newest;
};

} // namespace caraway
