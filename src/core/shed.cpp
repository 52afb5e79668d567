#include "core/shed.h"

#include <algorithm>
#include <tuple>

namespace caraway {

namespace {

using std::chrono::milliseconds;

// time for offer, grant and dispatch after a preemption
constexpr Duration kPreemptMargin = milliseconds(40);
constexpr Duration kReplaceMargin = milliseconds(10);
constexpr int kStepsToStart = 2; // the engine's current step and the first step of the request

// Sort key for preemption; the greatest is preempted first.
auto PreemptionOrder(const RunningRequest& aRow)
{
  return std::make_tuple(aRow.tier, -static_cast<std::int64_t>(aRow.promptTokens),
                         -static_cast<std::int64_t>(aRow.outputTokens), aRow.id);
}

} // namespace

Duration RemainingTime(const RunningRequest& aRunning, const LatencyModel& aModel)
{
  const std::uint32_t left = aRunning.outputEstimate > aRunning.outputTokens
                               ? aRunning.outputEstimate - aRunning.outputTokens
                               : 1;
  const Duration output = aModel.InterTokenLatency() * left;
  return aRunning.hasStarted ? output : output + aModel.FirstTokenLatency(aRunning.promptTokens);
}

Duration TimeToFreeSlot(const RunningTable& aRunning, const LatencyModel& aModel)
{
  Duration soonest = Duration::max();
  for (const RunningRequest& row : aRunning.Rows()) {
    soonest = std::min(soonest, RemainingTime(row, aModel));
  }
  return soonest;
}

const RunningRequest* ChooseVictim(const RunningTable& aRunning, Tier aFor)
{
  const RunningRequest* victim = nullptr;
  for (const RunningRequest& row : aRunning.Rows()) {
    const bool isCandidate = row.tier > aFor && row.IsCancellable();
    if (isCandidate && (victim == nullptr || PreemptionOrder(row) > PreemptionOrder(*victim))) {
      victim = &row;
    }
  }
  return victim;
}

const RunningRequest* ChoosePrefillVictim(const RunningTable& aRunning, Tier aFor)
{
  const RunningRequest* victim = nullptr;
  for (const RunningRequest& row : aRunning.Rows()) {
    const bool isCandidate = row.tier > aFor && row.IsCancellable() && !row.hasStarted;
    if (isCandidate && (victim == nullptr || PreemptionOrder(row) > PreemptionOrder(*victim))) {
      victim = &row;
    }
  }
  return victim;
}

StartDeadlines ComputeStartDeadlines(const Reservation& aReservation, const LatencyModel& aModel,
                                     std::uint32_t aPending)
{
  const std::uint32_t prefill = aReservation.request.promptTokens + aPending;
  const Duration first =
    aModel.FirstTokenLatency(prefill) + kStepsToStart * aModel.InterTokenLatency();
  const TimePoint refuseAt = aReservation.startBy - first;
  return StartDeadlines{ refuseAt - kPreemptMargin, refuseAt - kReplaceMargin, refuseAt };
}

} // namespace caraway
