#include "direct/cold_news.h"

#include <algorithm>
#include <cmath>

namespace caraway::direct {

namespace {

using std::chrono::milliseconds;

// Transit of a datagram: a statement may be that much older than its age says.
constexpr Duration kMaxTransit = milliseconds(200);
constexpr std::int64_t kMaxMs = 3600000;
// An older statement has no effect any more, unless it still runs.
constexpr Duration kMaxAge = std::chrono::seconds(30);

std::uint32_t MillisecondsOf(Duration aTime)
{
  return static_cast<std::uint32_t>(
    std::clamp<std::int64_t>(std::chrono::ceil<milliseconds>(aTime).count(), 0, kMaxMs));
}

} // namespace

ColdNews NewsOf(TimePoint aNow, const ColdState& aState, const ColdLimits& aLimits,
                std::int64_t aBornMs)
{
  ColdNews news;
  news.endpointBornMs = aBornMs;
  news.coldTimeMs = MillisecondsOf(aLimits.coldTime);
  news.perSecond = static_cast<float>(aLimits.perSecond);
  news.maxInSecond = static_cast<float>(aLimits.maxInSecond);
  const std::optional<ColdObservation>& stated = aState.Stated();
  if (stated && (stated->until > aNow || aNow - stated->latest < kMaxAge)) {
    news.hasStatement = true;
    news.remainingMs = MillisecondsOf(stated->until - aNow);
    news.earliestAgeMs = MillisecondsOf(aNow - std::max(stated->earliest, aNow - kMaxAge * 2));
    news.latestAgeMs = MillisecondsOf(aNow - stated->latest);
  }
  return news;
}

ColdNews QueueColdNewsOf(TimePoint aNow, const ColdState& aState, const ColdLimits& aLimits,
                         std::int64_t aBornMs)
{
  ColdState all;
  all.Add({ aState.Until(aLimits), aNow, aNow });
  ColdNews news = NewsOf(aNow, all, aLimits, aBornMs);
  news.isFromQueue = true;
  return news;
}

ColdLimits LimitsIn(const ColdNews& aNews)
{
  const auto valid = [](float aValue) {
    return std::isfinite(aValue) ? std::max(aValue, 0.0F) : 0.0F;
  };
  return { milliseconds(aNews.coldTimeMs), valid(aNews.perSecond), valid(aNews.maxInSecond) };
}

std::optional<ColdObservation> StatementIn(TimePoint aNow, const ColdNews& aNews,
                                           std::int64_t aBornMs)
{
  const bool isOther = aNews.endpointBornMs != 0 && aBornMs != 0 && aNews.endpointBornMs != aBornMs;
  if (isOther || !aNews.hasStatement) {
    return std::nullopt;
  }
  return ColdObservation{ aNow + milliseconds(aNews.remainingMs),
                          aNow - milliseconds(aNews.earliestAgeMs) - kMaxTransit,
                          aNow - milliseconds(aNews.latestAgeMs) };
}

} // namespace caraway::direct
