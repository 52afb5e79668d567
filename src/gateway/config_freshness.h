// How old the knowledge is that the configuration in force is the newest. A withdrawn key must not
// be served past its bound, so an entry that nobody confirms the configuration to stops serving
// keys.
#pragma once

#include "core/types.h"

#include <algorithm>
#include <cstdint>

namespace caraway::gateway {

class ConfigFreshness
{
public:
  // The platform's store was asked at aAskedAt and had nothing newer than aOffset.
  void OnConfirmed(std::uint64_t aOffset, TimePoint aAskedAt)
  {
    if (aOffset > this->offset || !this->isKnown) {
      this->offset = aOffset;
      this->confirmedAt = aAskedAt;
      this->isKnown = true;
    } else if (aOffset == this->offset) {
      this->confirmedAt = std::max(this->confirmedAt, aAskedAt);
    }
  }
  bool IsKnown() const { return this->isKnown; }
  std::uint64_t Offset() const { return this->offset; }
  Duration Age(TimePoint aNow) const { return aNow - this->confirmedAt; }

private:
  bool isKnown = false;
  std::uint64_t offset = 0; // of the configuration in force
  TimePoint confirmedAt{};
};

} // namespace caraway::gateway
