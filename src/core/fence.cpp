#include "core/fence.h"

namespace caraway {

bool Fence::Admit(LogOffset aFencing)
{
  if (aFencing == kNoOffset || (this->newest.has_value() && aFencing <= *this->newest)) {
    return false;
  }
  this->newest = aFencing;
  return true;
}

} // namespace caraway
