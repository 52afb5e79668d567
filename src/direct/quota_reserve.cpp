#include "direct/quota_reserve.h"

#include <algorithm>
#include <cmath>
#include <numeric>

namespace caraway::direct {

namespace {

// Mean age of the demand that is remembered.
constexpr std::chrono::seconds kMemory(3);
// Demand, as a multiple of the quota's rate, from which an account is over its quota.
constexpr double kOverDemand = 1.25;
// The demand of higher ranks over this time is kept back, whatever leaves the window meanwhile:
// three rounds of reports.
constexpr std::chrono::milliseconds kLeastKept(600);
// The same, less what leaves the window meanwhile.
constexpr std::chrono::seconds kKept(2);
// Maximum share of the bound that is kept back.
constexpr double kMaxKeptShare = 0.25;
// A rank that gets less than this share of what all get, relative to its demand, is not held back.
constexpr double kLeastServed = 0.33;

double Sum(const std::array<double, kTierCount>& aUnits)
{
  return std::accumulate(aUnits.begin(), aUnits.end(), 0.0);
}

double SumUpTo(const std::array<double, kTierCount>& aUnits, std::size_t aEnd)
{
  return std::accumulate(aUnits.begin(), aUnits.begin() + static_cast<std::ptrdiff_t>(aEnd), 0.0);
}

std::size_t IndexOf(Tier aRank)
{
  return std::min(aRank, kLowestTier);
}

} // namespace

QuotaReserve::Row& QuotaReserve::RowOf(TimePoint aNow, std::uint64_t aAccount)
{
  Row& row = this->rows[aAccount];
  const double left = std::exp(-SecondsOf(aNow - row.at) / SecondsOf(kMemory));
  for (std::size_t rank = 0; rank < kTierCount; rank++) {
    row.asked.at(rank) *= left;
    row.taken.at(rank) *= left;
  }
  row.at = aNow;
  return row;
}

void QuotaReserve::OnAsked(TimePoint aNow, std::uint64_t aAccount, Tier aRank, double aUnits)
{
  this->RowOf(aNow, aAccount).asked.at(IndexOf(aRank)) += aUnits;
}

void QuotaReserve::OnTaken(TimePoint aNow, std::uint64_t aAccount, Tier aRank, double aUnits)
{
  this->RowOf(aNow, aAccount).taken.at(IndexOf(aRank)) += aUnits;
}

// Ratio of the units used over all entries to those used here: what this entry sees of the demand
// stands for that many times as much.
double QuotaReserve::EntriesPer(const Row& aRow, const QuotaRoom& aRoom)
{
  const Duration window = aRoom.partTime * static_cast<std::int64_t>(QuotaRoom::kParts - 1);
  const double everywhere = aRoom.used * SecondsOf(kMemory) / SecondsOf(window);
  return std::max(everywhere / std::max(Sum(aRow.taken), 1.0), 1.0);
}

bool QuotaReserve::IsOver(TimePoint aNow, std::uint64_t aAccount, const QuotaRoom& aRoom)
{
  const Row& row = this->RowOf(aNow, aAccount);
  const Duration window = aRoom.partTime * static_cast<std::int64_t>(QuotaRoom::kParts - 1);
  const double asked = Sum(row.asked) * EntriesPer(row, aRoom) / SecondsOf(kMemory);
  return asked > kOverDemand * aRoom.bound / SecondsOf(window);
}

double QuotaReserve::UnitsKept(TimePoint aNow, std::uint64_t aAccount, Tier aRank,
                               const QuotaRoom& aRoom)
{
  if (!this->IsOver(aNow, aAccount, aRoom)) {
    return 0;
  }
  const Row& row = this->RowOf(aNow, aAccount);
  const std::size_t rank = IndexOf(aRank);
  const double served = row.taken.at(rank) * Sum(row.asked);
  if (served < kLeastServed * Sum(row.taken) * row.asked.at(rank)) {
    return 0;
  }
  const double demand =
    SumUpTo(row.asked, rank) * EntriesPer(row, aRoom) / SecondsOf(kMemory); // units per second
  const auto parts = static_cast<std::size_t>(kKept / aRoom.partTime);
  const auto end = aRoom.freed.begin() + std::min(parts, QuotaRoom::kParts);
  const double freed = std::accumulate(aRoom.freed.begin(), end, 0.0);
  const double kept = std::max(demand * SecondsOf(kLeastKept), demand * SecondsOf(kKept) - freed);
  return std::min(kept, aRoom.bound * kMaxKeptShare);
}

Duration QuotaReserve::RetryDelay(TimePoint aNow, std::uint64_t aAccount, Tier aRank, double aUnits,
                                  const QuotaRoom& aRoom)
{
  Row& row = this->RowOf(aNow, aAccount);
  const std::int64_t present = aNow.time_since_epoch() / aRoom.partTime;
  std::erase_if(row.returns, [&](const auto& aReturn) { return aReturn.first < present; });
  const std::size_t rank = IndexOf(aRank);
  const double entries = EntriesPer(row, aRoom);
  const double expected = SumUpTo(row.asked, rank) / SecondsOf(kMemory); // units per second, here
  double room = (aRoom.bound - aRoom.used) / entries;
  auto returning = row.returns.begin();
  std::int64_t parts = 0;
  for (std::size_t part = 0; part < QuotaRoom::kParts; part++) {
    parts++;
    room += aRoom.freed.at(part) / entries - expected * SecondsOf(aRoom.partTime);
    while (returning != row.returns.end() && returning->first <= present + parts) {
      room -= SumUpTo(returning->second, rank + 1);
      ++returning;
    }
    if (room >= aUnits) {
      break;
    }
  }
  row.returns[present + parts].at(rank) += aUnits;
  const auto spread = static_cast<std::uint64_t>(aRoom.partTime.count());
  return aRoom.partTime * parts + Duration(static_cast<Duration::rep>(this->random.Below(spread)));
}

} // namespace caraway::direct
