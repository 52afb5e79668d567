// Tracks when the active configuration was last confirmed to be the newest. A revoked key must not
// be accepted beyond a maximum delay, so an entry without a recent confirmation stops accepting
// keys.
#pragma once

#include "core/types.h"

#include <algorithm>
#include <cstdint>

namespace caraway::gateway {

class ConfigFreshness
{
public:
  // A read of the platform's store that began at aAskedAt returned nothing newer than aOffset.
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
  std::uint64_t offset = 0; // of the active configuration
  TimePoint confirmedAt{};
};

} // namespace caraway::gateway
