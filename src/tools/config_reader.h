// Reads the configuration for a tool: the newest snapshot of a process, then the tail of the log.
#pragma once

#include "core/config_feed.h"
#include "tools/platform.h"

#include <optional>

namespace caraway {

class ConfigReader
{
public:
  ConfigReader(Platform& aPlatform, Fleet& aFleet);

  // Reads up to the end of the log, starting from the newest snapshot that a process returns, so
  // that the whole log need not be read.
  std::error_code CatchUp();
  // Reads once from the current position, waiting up to aWait for records. Adds their results to
  // aResults.
  std::error_code ReadNext(Duration aWait, std::vector<Applied>& aResults);

  const ConfigState& State() const { return this->feed.State(); }

private:
  void FetchSnapshots();

  Platform& platform;
  Fleet& fleet;
  ConfigFeed feed;
  LogOffset end = 0; // of the log at the last read
  bool hasFetchedSnapshots = false;
};

} // namespace caraway
