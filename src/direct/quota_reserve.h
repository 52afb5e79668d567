// Order inside the quota of one client account. An account that asks for more than its quota spends
// it by rank: a share is kept back for the recent demand of higher ranks. Which total the account
// may use is decided by SharedQuota alone; this class only ever admits less.
#pragma once

#include "core/random.h"
#include "core/types.h"

#include <array>
#include <cstdint>
#include <map>
#include <unordered_map>

namespace caraway::direct {

// What an account's window holds, as known at one entry. All units are those of its quota.
struct QuotaRoom
{
  static constexpr std::size_t kParts = 33; // of the window, the newest one incomplete

  double bound = 0;
  double used = 0;                    // in the window, over all entries
  Duration partTime{};                // of one part
  std::array<double, kParts> freed{}; // the n-th leaves the window after n + 1 parts of time
};

class QuotaReserve
{
public:
  explicit QuotaReserve(Random& aRandom)
    : random(aRandom)
  {
  }

  // A call of this account and rank asks for aUnits here.
  void OnAsked(TimePoint aNow, std::uint64_t aAccount, Tier aRank, double aUnits);
  // These units were taken for it.
  void OnTaken(TimePoint aNow, std::uint64_t aAccount, Tier aRank, double aUnits);

  // Units that a call of this rank has to leave in the window. Zero while the account asks for no
  // more than its quota, and for a rank that was served much less than the others.
  double UnitsKept(TimePoint aNow, std::uint64_t aAccount, Tier aRank, const QuotaRoom& aRoom);
  // True if the account asks for more than its quota.
  bool IsOver(TimePoint aNow, std::uint64_t aAccount, const QuotaRoom& aRoom);

  // Time after which the window has room for a refused call, behind the calls of its rank and above
  // that were told to come back here earlier and those of higher ranks that are expected. Notes the
  // call. Callers are spread over a part of the window.
  Duration RetryDelay(TimePoint aNow, std::uint64_t aAccount, Tier aRank, double aUnits,
                      const QuotaRoom& aRoom);

private:
  using ByRank = std::array<double, kTierCount>;
  // Exponentially decayed units, and what was promised to refused calls.
  struct Row
  {
    ByRank asked{};
    ByRank taken{};
    TimePoint at{};
    std::map<std::int64_t, ByRank> returns; // units by the part of time in which they return
  };

  Row& RowOf(TimePoint aNow, std::uint64_t aAccount);
  static double EntriesPer(const Row& aRow, const QuotaRoom& aRoom);

  Random& random;
  std::unordered_map<std::uint64_t, Row> rows;
};

} // namespace caraway::direct
