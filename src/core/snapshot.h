// Snapshots of the configuration, written back into the log before its retention cuts the records
// they stand for. A snapshot names the first offset that it does not cover, so racing ones agree.
#pragma once

#include "core/config.h"
#include "core/random.h"

#include <optional>
#include <string>

namespace caraway {

struct SnapshotOptions
{
  std::uint64_t records = 5000; // written when so many records follow the newest snapshot
  Duration spread = std::chrono::seconds(10); // writers wait a random part of this
  Duration retry = std::chrono::seconds(30);  // a snapshot that was not read back is written again
};

// Decides when this entry writes a snapshot. Each entry waits a random time, and a snapshot of
// another entry that is read meanwhile makes its own needless.
class SnapshotController
{
public:
  SnapshotController(const SnapshotOptions& aOptions, Random& aRandom);

  // Record to append now, if one is due.
  std::optional<std::string> Poll(Now aNow, const ConfigState& aConfig);
  // When Poll wants to be called next; kNever when nothing is due.
  TimePoint NextTimer() const { return this->due; }

private:
  SnapshotOptions options;
  Random& random;
  TimePoint due = kNever;
};

// The log record of a snapshot of aConfig.
Record MakeSnapshotRecord(const ConfigState& aConfig, std::string aChangeId);

} // namespace caraway
