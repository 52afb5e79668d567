#include "direct/queue_order.h"

#include <algorithm>
#include <tuple>

namespace caraway::direct {

namespace {

auto KeyOf(const QueuePosition& aRow)
{
  const bool isRankFirst = aRow.order == QueueOrder::kRankFirst;
  return std::tuple(aRow.tier, !(isRankFirst && aRow.isDue), !isRankFirst && aRow.isLate, aRow.rank,
                    aRow.isOverShare, isRankFirst && aRow.isLate, aRow.startDeadline);
}

QueueOrder OrderOf(const RankObjectives& aObjectives)
{
  std::size_t ranks = 0;
  Duration longest{};
  for (const auto& [shortestOfRank, longestOfRank] : aObjectives) {
    if (longestOfRank == Duration::zero()) {
      continue;
    }
    if (shortestOfRank <= longest) {
      return QueueOrder::kOnTimeFirst;
    }
    longest = longestOfRank;
    ranks++;
  }
  return ranks >= 2 ? QueueOrder::kRankFirst : QueueOrder::kOnTimeFirst;
}

} // namespace

std::string_view ToString(QueueOrder aOrder)
{
  return aOrder == QueueOrder::kRankFirst ? "rank_first" : "on_time_first";
}

void QueueOrders::Add(const std::string& aService, Tier aRank, Duration aObjective)
{
  if (aObjective <= Duration::zero()) {
    return;
  }
  auto& [shortest, longest] = this->services[aService].at(std::min(aRank, kLowestTier));
  shortest = longest == Duration::zero() ? aObjective : std::min(shortest, aObjective);
  longest = std::max(longest, aObjective);
}

QueueOrder QueueOrders::Of(std::string_view aService) const
{
  const auto found = this->services.find(aService);
  return found == this->services.end() ? QueueOrder::kOnTimeFirst : OrderOf(found->second);
}

std::string QueueOrders::Describe() const
{
  std::string text;
  for (const auto& [service, objectives] : this->services) {
    text += (text.empty() ? "" : ";") + service + ":" + std::string(ToString(OrderOf(objectives)));
  }
  return text;
}

bool Precedes(const QueuePosition& aLeft, const QueuePosition& aRight)
{
  return KeyOf(aLeft) < KeyOf(aRight);
}

} // namespace caraway::direct
