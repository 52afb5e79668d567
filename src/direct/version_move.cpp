#include "direct/version_move.h"

#include <algorithm>
#include <cmath>

namespace caraway::direct {

namespace {

// Minimum bad runs for a rollback; the platform requires the exposure to end within fifty bad
// runs.
constexpr std::uint32_t kMinBadRuns = 6;
constexpr double kBadRateFactor = 2; // relative to the old version's failure rate
constexpr double kBadDeviations = 3; // standard deviations above that
// Prior for the old version's failure rate: one bad run in twenty.
constexpr double kPriorBadRuns = 1;
constexpr double kPriorRuns = 20;
// Fewer runs than kConclusiveRuns with kDoubtfulBadRuns bad ones or more leave a version in doubt.
constexpr std::uint32_t kConclusiveRuns = 100;
constexpr std::uint32_t kDoubtfulBadRuns = 4;
constexpr std::uint32_t kMinTimedRuns = 12; // good runs of each version before comparing times
constexpr double kSlowFactor = 2.5;         // bad versions are several times slower

void Accumulate(VersionEvidence& aSum, const VersionEvidence& aRow)
{
  aSum.ended += aRow.ended;
  aSum.bad += aRow.bad;
  aSum.answeredMs += aRow.answeredMs;
}

double MeanMs(const VersionEvidence& aRow)
{
  return static_cast<double>(aRow.answeredMs) / std::max(aRow.ended - aRow.bad, 1U);
}

// Bad runs of the new version if it failed as often as the old one.
double ExpectedBadRuns(const VersionEvidence& aNew, const VersionEvidence& aOld)
{
  return aNew.ended * (aOld.bad + kPriorBadRuns) / (aOld.ended + kPriorRuns);
}

bool HasHigherFailureRate(const VersionEvidence& aNew, const VersionEvidence& aOld)
{
  const double expected = ExpectedBadRuns(aNew, aOld);
  const double bound = kBadRateFactor * expected + kBadDeviations * std::sqrt(expected);
  return aNew.bad >= kMinBadRuns && aNew.bad > bound;
}

bool IsSlower(const VersionEvidence& aNew, const VersionEvidence& aOld)
{
  const bool isKnown =
    aNew.ended - aNew.bad >= kMinTimedRuns && aOld.ended - aOld.bad >= kMinTimedRuns;
  return isKnown && MeanMs(aNew) > kSlowFactor * MeanMs(aOld);
}

} // namespace

std::string_view ToString(MoveStage aStage)
{
  switch (aStage) {
    case MoveStage::kCanary:
      return "probe";
    case MoveStage::kShift:
      return "shift";
    case MoveStage::kCompleted:
      return "completed";
    case MoveStage::kRolledBack:
      return "rolled_back";
  }
  return "invalid";
}

std::uint64_t HashOf(const MoveOrder& aOrder)
{
  return caraway::HashOf(aOrder.version, caraway::HashOf(aOrder.service, aOrder.duration.count()));
}

VersionMove::VersionMove(const VersionMoveOptions& aOptions, const MoveOrder& aOrder,
                         TimePoint aNow)
  : options(aOptions)
  , order(aOrder)
  , start(aNow)
{
}

VersionChoice VersionMove::ChooseVersions(bool aHasNew, bool aHasOld, std::uint32_t aEntries)
{
  const std::string& version = this->order.version;
  if (this->stage == MoveStage::kRolledBack) {
    return { "", version };
  }
  if (this->stage != MoveStage::kCanary) {
    return { aHasNew ? version : "", "" };
  }
  this->calls++;
  const std::uint32_t minFree = aEntries <= this->options.maxEntriesWithCanary ? 1 : 0;
  const std::uint32_t freeCalls =
    std::max(this->options.freeCanaryCalls / std::max(aEntries, 1U), minFree);
  const bool isCanary =
    this->canaryCalls + 1 <= this->options.canaryShare * this->calls + freeCalls;
  if (!aHasNew || (aHasOld && !isCanary)) {
    return { "", version };
  }
  this->canaryCalls++;
  return { version, "" };
}

void VersionMove::OnRunEnd(std::uint64_t aRoute, bool aIsNew, bool aIsBad, Duration aTime)
{
  VersionEvidence& row = this->ownEvidence[{ aRoute, aIsNew }];
  row.route = aRoute;
  row.isNew = aIsNew;
  row.ended++;
  if (aIsBad) {
    row.bad++;
  } else {
    row.answeredMs += static_cast<std::uint64_t>(aTime / std::chrono::milliseconds(1));
  }
}

void VersionMove::OnPeerState(TimePoint aNow, const Peer& aPeer, const MoveState& aState)
{
  PeerRow& row = this->peers[aPeer.node];
  if (row.heardAt != TimePoint{} && aPeer.incarnation < row.incarnation) {
    return;
  }
  if (row.incarnation != aPeer.incarnation) {
    this->pastEvidence.insert(this->pastEvidence.end(), row.state.evidence.begin(),
                              row.state.evidence.end());
  }
  row = PeerRow{ aPeer.incarnation, aNow, aState };
}

bool VersionMove::Step(TimePoint aNow, bool aIsCoordinator, std::uint32_t aOldRunning)
{
  if (this->IsOver()) {
    return false;
  }
  if (this->IsBad()) {
    return this->Adopt(MoveStage::kRolledBack);
  }
  if (!aIsCoordinator) {
    return false;
  }
  const Duration shift =
    std::min(std::chrono::duration_cast<Duration>(this->order.duration * this->options.shiftShare),
             this->options.maxShiftTime);
  if (this->stage == MoveStage::kShift) {
    if (this->IsInDoubt()) {
      return aNow >= this->start + this->order.duration && this->Adopt(MoveStage::kRolledBack);
    }
    return this->IsOldVersionIdle(aNow, aOldRunning) && this->Adopt(MoveStage::kCompleted);
  }
  if (aNow >= this->start + this->order.duration - shift &&
      this->Total().newRuns.ended >= this->options.minNewRuns) {
    return this->Adopt(MoveStage::kShift);
  }
  // Rolls back if there is too little evidence at the end of the duration.
  return aNow >= this->start + this->order.duration && this->Adopt(MoveStage::kRolledBack);
}

bool VersionMove::Adopt(MoveStage aStage)
{
  if (this->IsOver() || aStage <= this->stage) {
    return false;
  }
  this->stage = aStage;
  return true;
}

void VersionMove::SetPlace(std::uint64_t aEra, std::uint64_t aOffset)
{
  this->order.era = aEra;
  this->order.offset = aOffset;
}

MoveState VersionMove::State(std::uint32_t aOldRunning) const
{
  MoveState state{ this->order.offset, this->stage,        aOldRunning, {},
                   this->order.era,    HashOf(this->order) };
  for (const auto& [key, row] : this->ownEvidence) {
    state.evidence.push_back(row);
  }
  return state;
}

// Evidence by route; key 0 holds the total of all routes.
std::map<std::uint64_t, MoveEvidence> VersionMove::Sum() const
{
  std::map<std::uint64_t, MoveEvidence> sum;
  const auto add = [&](const VersionEvidence& aRow) {
    for (const std::uint64_t route : { std::uint64_t{ 0 }, aRow.route }) {
      Accumulate(aRow.isNew ? sum[route].newRuns : sum[route].oldRuns, aRow);
    }
  };
  for (const auto& [key, row] : this->ownEvidence) {
    add(row);
  }
  std::for_each(this->pastEvidence.begin(), this->pastEvidence.end(), add);
  for (const auto& [node, peer] : this->peers) {
    std::for_each(peer.state.evidence.begin(), peer.state.evidence.end(), add);
  }
  return sum;
}

bool VersionMove::IsBad() const
{
  const auto sum = this->Sum();
  return std::any_of(sum.begin(), sum.end(), [](const auto& aRow) {
    const MoveEvidence& pair = aRow.second;
    // Times are compared per route only.
    return HasHigherFailureRate(pair.newRuns, pair.oldRuns) ||
           (aRow.first != 0 && IsSlower(pair.newRuns, pair.oldRuns));
  });
}

// True if the new version has failed often in too few runs to judge it. During the shift it gets
// all calls, so a few seconds decide.
bool VersionMove::IsInDoubt() const
{
  const MoveEvidence total = this->Total();
  return total.newRuns.ended < kConclusiveRuns && total.newRuns.bad >= kDoubtfulBadRuns &&
         total.newRuns.bad > kBadRateFactor * ExpectedBadRuns(total.newRuns, total.oldRuns);
}

MoveEvidence VersionMove::Total() const
{
  return this->Sum()[0];
}

// True if no entry has calls at the old version and none will start one.
bool VersionMove::IsOldVersionIdle(TimePoint aNow, std::uint32_t aOldRunning) const
{
  return aOldRunning == 0 &&
         std::all_of(this->peers.begin(), this->peers.end(), [&](const auto& aRow) {
           const PeerRow& row = aRow.second;
           const bool isGone = aNow - row.heardAt > this->options.peerTimeout;
           return isGone || (row.state.stage >= MoveStage::kShift && row.state.oldRunning == 0);
         });
}

} // namespace caraway::direct
