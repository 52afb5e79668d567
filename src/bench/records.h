// Configuration records that runs begin with or that operators append, as JSON text.
#pragma once

#include "core/record.h"
#include "core/types.h"

#include <optional>
#include <string>
#include <vector>

namespace caraway::bench {

std::string AccountRecord(const std::string& aName, Tier aHighestTier, const std::string& aChangeId,
                          std::optional<LogOffset> aBase);
std::string PoolRecord(const std::string& aName, WorkKind aKind,
                       const std::vector<std::string>& aOnceRoutes);
std::string MoveRecord(const std::string& aName, const std::string& aPool, const std::string& aFrom,
                       const std::string& aTo, WallTime aStart, WallTime aFinishBy);

} // namespace caraway::bench
