// Order of the calls in an endpoint's queue. It depends on what the configuration demands of a
// service: where more urgent routes have shorter objectives, a missed objective does not cost a
// call its rank.
#pragma once

#include "core/types.h"

#include <array>
#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <string_view>
#include <utility>

namespace caraway::direct {

enum class QueueOrder : std::uint8_t
{
  kOnTimeFirst, // within a tier, calls that can still meet their objective precede all others
  kRankFirst,   // within a rank, calls that can still meet their objective precede the others
};

std::string_view ToString(QueueOrder aOrder);

// Shortest and longest objective of a service's routes by rank; zero: no route.
using RankObjectives = std::array<std::pair<Duration, Duration>, kTierCount>;

// Orders of all services of one configuration. A service gets kRankFirst if it has routes of two or
// more ranks and each objective is longer than all objectives of higher ranks.
class QueueOrders
{
public:
  // Adds a route of the service; aObjective zero: the route has none and is ignored.
  void Add(const std::string& aService, Tier aRank, Duration aObjective);
  QueueOrder Of(std::string_view aService) const;
  // Returns each service and its order for logs.
  std::string Describe() const;

private:
  std::map<std::string, RankObjectives, std::less<>> services;
};

// What decides the place of a waiting call.
struct QueuePosition
{
  QueueOrder order = QueueOrder::kOnTimeFirst;
  Tier tier = kLowestTier;
  Tier rank = kLowestTier;
  bool isLate = false;      // it can no longer meet its objective
  bool isOverShare = false; // its account had more than its share (see FairShare)
  bool isDue = false;       // its rank is due a call (see RankFloor); ignored unless kRankFirst
  TimePoint startDeadline{};
};

// Strict weak order, also over positions of different orders, as while a configuration changes.
bool Precedes(const QueuePosition& aLeft, const QueuePosition& aRight);

} // namespace caraway::direct
