// Snapshots of the configuration, written to the log before its retention deletes the records that
// they replace. A snapshot states the first offset that it does not cover, so the result does not
// depend on which of several concurrent snapshots is read.
#pragma once

#include "core/config.h"
#include "core/random.h"

#include <optional>
#include <string>

namespace caraway {

struct SnapshotOptions
{
  std::uint64_t records = 5000;                       // a snapshot is due after so many records
  Duration maxRandomDelay = std::chrono::seconds(10); // a writer waits a random time up to this
  Duration retryDelay = std::chrono::seconds(30);     // until one not read back is rewritten
};

// Decides when this entry writes a snapshot. Each entry waits a random time and writes none if it
// reads a snapshot of another entry meanwhile.
class SnapshotController
{
public:
  SnapshotController(const SnapshotOptions& aOptions, Random& aRandom);

  // Returns the record to append now, if a snapshot is due.
  std::optional<std::string> Poll(Now aNow, const ConfigState& aConfig);
  // When Poll must be called next; kNever when no snapshot is needed.
  TimePoint NextTimer() const { return this->due; }

private:
  SnapshotOptions options;
  Random& random;
  TimePoint due = kNever;
};

// Returns the log record of a snapshot of aConfig.
Record MakeSnapshotRecord(const ConfigState& aConfig, std::string aChangeId);

} // namespace caraway
