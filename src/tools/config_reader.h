// Brings the configuration to a tool: the newest state of any process, then the tail of the log.
#pragma once

#include "core/config_feed.h"
#include "tools/platform.h"

#include <optional>

namespace caraway {

class ConfigReader
{
public:
  ConfigReader(Platform& aPlatform, Fleet& aFleet);

  // Reads up to the end of the log. Starts from the newest state that a process gives, so that the
  // whole log need not be read.
  std::error_code CatchUp();
  // Reads on once, waiting up to aWait for further records; the results of what was read.
  std::error_code ReadOn(Duration aWait, std::vector<Applied>& aResults);

  const ConfigState& State() const { return this->feed.State(); }

private:
  void AskNodes();

  Platform& platform;
  Fleet& fleet;
  ConfigFeed feed;
  LogOffset end = 0; // of the log when it was read last
  bool hasAsked = false;
};

} // namespace caraway
