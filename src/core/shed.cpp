#include "core/shed.h"

#include <algorithm>
#include <tuple>

namespace caraway {

namespace {

using std::chrono::milliseconds;

constexpr Duration kCutMargin = milliseconds(30); // offer, grant and dispatch after a cut
constexpr Duration kLongestSpread = milliseconds(150);
constexpr int kSpreadShare = 3; // spread of cuts: this part of the time to start

// Order in which work is given up: greatest first.
auto CutOrder(const Running& aRow)
{
  return std::make_tuple(aRow.tier, -static_cast<std::int64_t>(aRow.promptTokens),
                         -static_cast<std::int64_t>(aRow.outputTokens), aRow.id);
}

} // namespace

Duration RemainingTime(const Running& aRunning, const Pace& aPace)
{
  const std::uint32_t left = aRunning.outputEstimate > aRunning.outputTokens
                               ? aRunning.outputEstimate - aRunning.outputTokens
                               : 1;
  const Duration output = aPace.Gap() * left;
  return aRunning.hasStarted ? output : output + aPace.FirstToken(aRunning.promptTokens);
}

Duration NextFreeSlot(const RunningTable& aRunning, const Pace& aPace)
{
  Duration soonest = Duration::max();
  for (const Running& row : aRunning.Rows()) {
    soonest = std::min(soonest, RemainingTime(row, aPace));
  }
  return soonest;
}

const Running* ChooseVictim(const RunningTable& aRunning, Tier aFor)
{
  const Running* victim = nullptr;
  for (const Running& row : aRunning.Rows()) {
    const bool isCandidate = row.tier > aFor && row.IsCuttable();
    if (isCandidate && (victim == nullptr || CutOrder(row) > CutOrder(*victim))) {
      victim = &row;
    }
  }
  return victim;
}

const Running* ChoosePrefillVictim(const RunningTable& aRunning, Tier aFor)
{
  const Running* victim = nullptr;
  for (const Running& row : aRunning.Rows()) {
    const bool isCandidate = row.tier > aFor && row.IsCuttable() && !row.hasStarted;
    if (isCandidate && (victim == nullptr || CutOrder(row) > CutOrder(*victim))) {
      victim = &row;
    }
  }
  return victim;
}

bool CanMakeRoom(const RunningTable& aRunning, Tier aFor, std::uint32_t aHeld, std::uint32_t aLimit)
{
  const auto& rows = aRunning.Rows();
  const auto cuttable = std::count_if(rows.begin(), rows.end(), [aFor](const Running& aRow) {
    return aRow.tier > aFor && aRow.IsCuttable();
  });
  return cuttable > 0 && aHeld - static_cast<std::uint32_t>(cuttable) < aLimit;
}

StartPlan PlanStart(const Reservation& aReservation, const Pace& aPace, std::uint64_t aSalt)
{
  const Reserve& request = aReservation.request;
  const Duration first = aPace.FirstToken(request.promptTokens);
  const TimePoint refuseAt = aReservation.startBy - first;
  const Duration wait = std::max(refuseAt - aReservation.arrived, Duration::zero());
  const Duration spread = std::min(kLongestSpread, wait / kSpreadShare);
  const std::uint64_t draw = (request.id.low ^ request.id.high ^ aSalt) * 0x9E3779B97F4A7C15ULL;
  const Duration jitter = spread * static_cast<int>(draw >> 48) / (1 << 16);
  return StartPlan{ refuseAt - kCutMargin - jitter, refuseAt };
}

} // namespace caraway
