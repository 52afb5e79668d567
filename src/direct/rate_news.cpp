#include "direct/rate_news.h"

#include <algorithm>
#include <cmath>

namespace caraway::direct {

namespace {

using std::chrono::milliseconds;

// The end of a limit is told for this long; covers a few lost datagrams.
constexpr Duration kShareTime = std::chrono::seconds(3);
// Transit of a datagram: an observation may be that much older than its age says.
constexpr Duration kMaxTransit = milliseconds(200);

std::uint32_t AgeMs(Duration aAge)
{
  return static_cast<std::uint32_t>(std::clamp<std::int64_t>(aAge / milliseconds(1), 0, 3600000));
}

} // namespace

std::optional<RateNews> NewsOf(TimePoint aNow, const NamedRate& aRate, std::int64_t aBornMs,
                               bool aIsFromQueue)
{
  const RateObservation* current = aRate.Current();
  if (current == nullptr || (!current->perSecond && aNow - current->latest > kShareTime)) {
    return std::nullopt;
  }
  return RateNews{ aIsFromQueue, aBornMs, current->perSecond.value_or(-1),
                   AgeMs(aNow - current->earliest), AgeMs(aNow - current->latest) };
}

std::optional<RateObservation> ReadNews(TimePoint aNow, const RateNews& aNews, std::int64_t aBornMs)
{
  const bool isOther = aNews.endpointBornMs != 0 && aBornMs != 0 && aNews.endpointBornMs != aBornMs;
  if (isOther || !std::isfinite(aNews.perSecond)) {
    return std::nullopt;
  }
  RateObservation read;
  if (aNews.perSecond >= 0) {
    read.perSecond = aNews.perSecond;
  }
  read.earliest = aNow - milliseconds(aNews.earliestAgeMs) - kMaxTransit;
  read.latest = aNow - milliseconds(aNews.latestAgeMs);
  return read;
}

} // namespace caraway::direct
