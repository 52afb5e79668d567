// Load shedding: when a reservation can no longer start in time, and which lower-tier work to
// preempt for it.
#pragma once

#include "core/health.h"
#include "core/running.h"

namespace caraway {

// Estimated time until the endpoint completes a running request.
Duration RemainingTime(const RunningRequest& aRunning, const LatencyModel& aModel);

// Estimated time until the next slot becomes free without preemption; Duration::max() if nothing is
// running.
Duration TimeToFreeSlot(const RunningTable& aRunning, const LatencyModel& aModel);

// Work to preempt for a request of tier aFor. It is of a strictly lower tier: lowest tier first,
// then the shortest prompt, then the least output. Calls that must not be repeated are never
// chosen. nullptr if there is none.
const RunningRequest* ChooseVictim(const RunningTable& aRunning, Tier aFor);

// The same among work without a first token, whose prefill delays later prompts.
const RunningRequest* ChoosePrefillVictim(const RunningTable& aRunning, Tier aFor);

// Deadlines of a queued reservation.
struct StartDeadlines
{
  TimePoint preemptAt; // preempt lower-tier work if no slot is expected to free in time
  TimePoint replaceAt; // preempt unconditionally, one for one if more is in flight than the limit
  TimePoint refuseAt;  // the first token can no longer be in time
};

// aPending: prompt tokens that the endpoint prefills before the reservation's own.
StartDeadlines ComputeStartDeadlines(const Reservation& aReservation, const LatencyModel& aModel,
                                     std::uint32_t aPending);

} // namespace caraway
