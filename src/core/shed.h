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

// Whether cutting all work that is strictly lower than aFor frees a slot under the limits.
bool CanMakeRoom(const RunningTable& aRunning, Tier aFor, std::uint32_t aHeld,
                 std::uint32_t aLimit);

// Deadlines of one reservation on its way to a slot.
struct StartPlan
{
  TimePoint cutAt;    // lower-tier work is cut if no slot will free by itself
  TimePoint refuseAt; // a first token can no longer be in time
};

// aSalt spreads the moment of cutting over the agents that hold the same reservation, so that one
// of them cuts and the others see it withdrawn.
StartPlan PlanStart(const Reservation& aReservation, const Pace& aPace, std::uint64_t aSalt);

} // namespace caraway
