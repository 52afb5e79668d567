// Tracks when the active configuration was last confirmed to be the newest. A revoked key must not
// be accepted beyond a maximum delay, so an entry without a recent confirmation stops accepting
// keys. Configurations are ordered by their version, as offsets of the platform's log may be given
// out again.
#pragma once

#include "core/types.h"

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <optional>

namespace caraway::gateway {

class ConfigFreshness
{
public:
  // aRewriteTime: for so long, a restored store may lack a configuration that this entry does not
  // know either.
  explicit ConfigFreshness(Duration aRewriteTime)
    : rewriteTime(aRewriteTime)
  {
  }

  void SetActive(std::uint64_t aVersion) { this->version = aVersion; }
  // A read of the platform's store that began at aAskedAt returned nothing newer than the active
  // configuration.
  void OnConfirmed(TimePoint aAskedAt)
  {
    if (this->restoredAt && aAskedAt >= *this->restoredAt &&
        aAskedAt - *this->restoredAt < this->rewriteTime) {
      return;
    }
    this->confirmedAt = std::max(this->confirmedAt.value_or(aAskedAt), aAskedAt);
  }
  // The platform's store came back from an older copy.
  void OnRestored(TimePoint aAt) { this->restoredAt = aAt; }

  // Zero: none is active.
  std::uint64_t Version() const { return this->version; }
  Duration Age(TimePoint aNow) const
  {
    return this->confirmedAt ? aNow - *this->confirmedAt : kNeverConfirmed;
  }

private:
  static constexpr Duration kNeverConfirmed = std::chrono::hours(1); // exceeds every limit

  Duration rewriteTime;
  std::uint64_t version = 0; // of the active configuration
  std::optional<TimePoint> confirmedAt;
  std::optional<TimePoint> restoredAt;
};

} // namespace caraway::gateway
