#include "direct/leaving_table.h"

namespace caraway::direct {

namespace {

// Entries exchange state at least every two seconds; covers a few lost datagrams.
constexpr Duration kShareTime = std::chrono::seconds(6);
// A leaving endpoint has stopped long before.
constexpr Duration kRetention = std::chrono::hours(1);

} // namespace

EndpointIncarnation IncarnationOf(std::string_view aId, std::int64_t aBornMs)
{
  return { HashOf(aId), aBornMs };
}

bool LeavingTable::Add(TimePoint aNow, const EndpointIncarnation& aIncarnation)
{
  std::erase_if(this->announcedAt,
                [aNow](const auto& aRow) { return aNow - aRow.second > kRetention; });
  return this->announcedAt.emplace(aIncarnation, aNow).second;
}

std::vector<EndpointIncarnation> LeavingTable::Recent(TimePoint aNow) const
{
  std::vector<EndpointIncarnation> incarnations;
  for (const auto& [incarnation, at] : this->announcedAt) {
    if (aNow - at <= kShareTime) {
      incarnations.push_back(incarnation);
    }
  }
  return incarnations;
}

} // namespace caraway::direct
