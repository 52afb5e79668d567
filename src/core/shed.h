// What to give up under overload: when a reservation can no longer start in time, and which
// lower-tier work to cut for it.
#pragma once

#include "core/health.h"
#include "core/running.h"

namespace caraway {

// Time until the endpoint's work on a request should end.
Duration RemainingTime(const Running& aRunning, const Pace& aPace);

// Time until the first slot frees by itself; Duration::max() if nothing runs.
Duration NextFreeSlot(const RunningTable& aRunning, const Pace& aPace);

// Work to cut for a request of tier aFor: strictly lower, lowest tier first, then the least prefill
// done, then the least output; never a call that must not be repeated. nullptr if there is none.
const Running* ChooseVictim(const RunningTable& aRunning, Tier aFor);

// The same among work that has not produced a token, whose prefill holds up what comes after it.
const Running* ChoosePrefillVictim(const RunningTable& aRunning, Tier aFor);

// Deadlines of one reservation on its way to a slot.
struct StartPlan
{
  TimePoint cutAt;     // lower-tier work is cut if no slot will free by itself
  TimePoint replaceAt; // also where more is in flight than the limit: one for one
  TimePoint refuseAt;  // a first token can no longer be in time
};

// aPending: prompt tokens at the endpoint that come before the reservation's own.
StartPlan PlanStart(const Reservation& aReservation, const Pace& aPace, std::uint32_t aPending);

} // namespace caraway
