#include "core/shed.h"

#include <algorithm>
#include <tuple>

namespace caraway {

namespace {

using std::chrono::milliseconds;

constexpr Duration kCutMargin = milliseconds(40); // offer, grant and dispatch after a cut
constexpr Duration kReplaceMargin = milliseconds(10);
constexpr int kStepsToStart = 2; // the engine's step under way and the first one of the request

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

StartPlan PlanStart(const Reservation& aReservation, const Pace& aPace, std::uint32_t aPending)
{
  const std::uint32_t prefill = aReservation.request.promptTokens + aPending;
  const Duration first = aPace.FirstToken(prefill) + kStepsToStart * aPace.Gap();
  const TimePoint refuseAt = aReservation.startBy - first;
  return StartPlan{ refuseAt - kCutMargin, refuseAt - kReplaceMargin, refuseAt };
}

} // namespace caraway
