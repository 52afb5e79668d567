// Share of a new version on one route at one entry. It follows a plan that is computed from the
// deadline, and rises only when the outcomes at the current share allow it.
#pragma once

#include "core/types.h"

#include <array>

namespace caraway {

struct RampPlan
{
  WallTime startedAt{};
  WallTime finishBy{};
  Duration soak{};  // minimum time at the full share before finishBy
  Duration dwell{}; // minimum time at one share
  double initialShare = 0.02;
};

constexpr std::uint8_t kLoadLevels = 4;

class Ramp
{
public:
  // aPhase in [0, 1): initial value of the accumulator. Entries with different phases don't send
  // their first request to the new version at the same time.
  Ramp(const RampPlan& aPlan, Now aNow, double aPhase);

  // Whether the next request goes to the new version. Of any n requests at one share s, at most
  // s * n + 1 go there.
  bool ChooseNew();

  // Adds outcomes of the new version on this route, of this or another entry.
  void OnOutcomes(std::uint8_t aLoadLevel, double aGood, double aBad);
  // Adds outcomes of the new version on other routes. They are used if this route has too few
  // requests to keep up with the plan; few callers are at risk then.
  void OnOtherOutcomes(double aGood, double aBad);
  // Raises the share by one step if the plan and the outcomes allow it.
  void Step(Now aNow);
  // Replaces the plan, after the record of the running move was replaced.
  void SetPlan(const RampPlan& aPlan) { this->plan = aPlan; }

  double Share() const { return this->share; }
  // Whether the share has reached its maximum. A small share of the traffic stays with the old
  // version until the verdict, so that both are measured in the same window.
  bool IsFull() const;
  TimePoint FullSince() const { return this->fullSince; }
  std::uint64_t Sent() const { return this->sent; }
  std::uint64_t Total() const { return this->total; }

private:
  double NeededOutcomes() const;
  bool IsValidated(WallTime aTime) const;
  bool IsValidatedByLevel(double aNeeded) const;
  double PlanProgress(WallTime aTime) const;
  double PlannedShare(WallTime aTime) const;
  void SetShare(Now aNow, double aShare);

  RampPlan plan;
  double share;
  double accumulator;
  TimePoint shareSince;
  TimePoint fullSince = kNever;
  std::array<double, kLoadLevels> good{}; // by load level, since the share was last raised
  std::array<double, kLoadLevels> bad{};
  double otherGood = 0; // on other routes, since the share was last raised
  double otherBad = 0;
  std::uint64_t sent = 0;
  std::uint64_t total = 0;
};

} // namespace caraway
