#include "direct/leaving_table.h"

namespace caraway::direct {

namespace {

// Entries tell each other their state within two seconds, and again while datagrams are lost.
constexpr Duration kTellTime = std::chrono::seconds(6);
// An endpoint that leaves is gone long before.
constexpr Duration kForgetTime = std::chrono::hours(1);

} // namespace

EndpointLife LifeOf(std::string_view aId, std::int64_t aBornMs)
{
  return { HashOf(aId), aBornMs };
}

bool LeavingTable::Add(TimePoint aNow, const EndpointLife& aLife)
{
  std::erase_if(this->saidAt,
                [aNow](const auto& aRow) { return aNow - aRow.second > kForgetTime; });
  return this->saidAt.emplace(aLife, aNow).second;
}

std::vector<EndpointLife> LeavingTable::Recent(TimePoint aNow) const
{
  std::vector<EndpointLife> lives;
  for (const auto& [life, at] : this->saidAt) {
    if (aNow - at <= kTellTime) {
      lives.push_back(life);
    }
  }
  return lives;
}

} // namespace caraway::direct
