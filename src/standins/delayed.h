// One-shot callbacks on the GLib main loop.
#pragma once

#include "core/types.h"

#include <functional>

namespace caraway {

// Calls aDo once after aDelay, rounded up to milliseconds.
void CallAfter(Duration aDelay, std::function<void()> aDo);

} // namespace caraway
