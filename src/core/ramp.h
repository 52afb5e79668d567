// Share of a new version on one route at one entry: follows a plan that is worked out from the
// deadline, and rises only after the version has proved itself at the share before.
#pragma once

#include "core/types.h"

#include <array>

namespace caraway {

struct RampPlan
{
  WallTime startedAt{};
  WallTime finishBy{};
  Duration soak{};  // the new version has all traffic at least this long before finishBy
  Duration dwell{}; // shortest stay at one share
  double firstShare = 0.02;
};

constexpr std::uint8_t kLoadLevels = 4;

class Ramp
{
public:
  // aPhase in [0, 1): where the counter of requests starts. Entries that start at different phases
  // don't send their first request to the new version at the same time.
  Ramp(const RampPlan& aPlan, Now aNow, double aPhase);

  // Whether the next request goes to the new version. Of any n requests at one share s at most
  // s * n + 1 do.
  bool Take();

  // Outcomes of the new version on this route, of this entry or of others.
  void OnOutcomes(std::uint8_t aLoadLevel, double aGood, double aBad);
  // Outcomes of the new version on other routes. They count when this route has too few requests to
  // keep up with the plan: then it cannot hurt many callers either.
  void OnOtherOutcomes(double aGood, double aBad);
  // Rises to the next share if the plan and the proof allow it.
  void Step(Now aNow);
  // The move's record was replaced while it runs.
  void Replan(const RampPlan& aPlan) { this->plan = aPlan; }

  double Share() const { return this->share; }
  // The share has reached its top. A small part of the traffic stays with the old version until the
  // verdict, so that both are measured in the same window.
  bool IsFull() const;
  TimePoint FullSince() const { return this->fullSince; }
  std::uint64_t Sent() const { return this->sent; }
  std::uint64_t Total() const { return this->total; }

private:
  double NeededOutcomes() const;
  bool IsProved(WallTime aTime) const;
  bool IsProvedByLevel(double aNeeded) const;
  double PlanProgress(WallTime aTime) const;
  double PlannedShare(WallTime aTime) const;
  void SetShare(Now aNow, double aShare);

  RampPlan plan;
  double share;
  double counter;
  TimePoint since;
  TimePoint fullSince = kNever;
  std::array<double, kLoadLevels> good{}; // since the share was last raised, by load level
  std::array<double, kLoadLevels> bad{};
  double otherGood = 0; // on other routes in that time
  double otherBad = 0;
  std::uint64_t sent = 0;
  std::uint64_t total = 0;
};

} // namespace caraway
