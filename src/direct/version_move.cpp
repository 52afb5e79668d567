#include "direct/version_move.h"

#include <algorithm>
#include <cmath>

namespace caraway::direct {

namespace {

// A version counts as bad from this many bad runs on; the platform counts fifty until the exposure
// must have ended.
constexpr std::uint32_t kFewestBad = 6;
constexpr double kBadFactor = 2;     // against the rate of the old version
constexpr double kBadDeviations = 3; // standard deviations beyond that
// Bad runs of the old version that are assumed before any was seen: one in twenty.
constexpr double kPriorBad = 1;
constexpr double kPriorRuns = 20;
constexpr std::uint32_t kFewestTimed = 12; // runs of each version whose times are compared
constexpr double kSlowFactor = 2.5;        // bad versions are several times slower

void AddTo(VersionEvidence& aSum, const VersionEvidence& aRow)
{
  aSum.ended += aRow.ended;
  aSum.bad += aRow.bad;
  aSum.answeredMs += aRow.answeredMs;
}

double MeanMs(const VersionEvidence& aRow)
{
  return static_cast<double>(aRow.answeredMs) / std::max(aRow.ended - aRow.bad, 1U);
}

bool FailsMore(const VersionEvidence& aNew, const VersionEvidence& aOld)
{
  const double usual = (aOld.bad + kPriorBad) / (aOld.ended + kPriorRuns);
  const double expected = aNew.ended * usual;
  const double bound = kBadFactor * expected + kBadDeviations * std::sqrt(expected);
  return aNew.bad >= kFewestBad && aNew.bad > bound;
}

bool IsSlower(const VersionEvidence& aNew, const VersionEvidence& aOld)
{
  const bool isKnown =
    aNew.ended - aNew.bad >= kFewestTimed && aOld.ended - aOld.bad >= kFewestTimed;
  return isKnown && MeanMs(aNew) > kSlowFactor * MeanMs(aOld);
}

} // namespace

std::string_view ToString(MoveStage aStage)
{
  switch (aStage) {
    case MoveStage::kProbe:
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

VersionMove::VersionMove(const VersionMoveOptions& aOptions, const MoveOrder& aOrder,
                         TimePoint aNow)
  : options(aOptions)
  , order(aOrder)
  , start(aNow)
{
}

VersionChoice VersionMove::Choose(bool aHasNew, bool aHasOld, std::uint32_t aEntries)
{
  const std::string& version = this->order.version;
  if (this->stage == MoveStage::kRolledBack) {
    return { "", version };
  }
  if (this->stage != MoveStage::kProbe) {
    return { aHasNew ? version : "", "" };
  }
  this->calls++;
  const std::uint32_t one = aEntries <= this->options.mostEntriesWithOne ? 1 : 0;
  const std::uint32_t free = std::max(this->options.freeProbes / std::max(aEntries, 1U), one);
  const bool isProbe = this->probes + 1 <= this->options.probeShare * this->calls + free;
  if (!aHasNew || (aHasOld && !isProbe)) {
    return { "", version };
  }
  this->probes++;
  return { version, "" };
}

void VersionMove::OnRunEnd(std::uint64_t aRoute, bool aIsNew, bool aIsBad, Duration aTime)
{
  VersionEvidence& row = this->own[{ aRoute, aIsNew }];
  row.route = aRoute;
  row.isNew = aIsNew;
  row.ended++;
  if (aIsBad) {
    row.bad++;
  } else {
    row.answeredMs += static_cast<std::uint64_t>(aTime / std::chrono::milliseconds(1));
  }
}

void VersionMove::OnPeer(TimePoint aNow, const Peer& aPeer, const MoveState& aState)
{
  PeerRow& row = this->peers[aPeer.node];
  if (row.heardAt != TimePoint{} && aPeer.incarnation < row.incarnation) {
    return;
  }
  if (row.incarnation != aPeer.incarnation) {
    this->past.insert(this->past.end(), row.state.evidence.begin(), row.state.evidence.end());
  }
  row = PeerRow{ aPeer.incarnation, aNow, aState };
}

bool VersionMove::Step(TimePoint aNow, bool aDecides, std::uint32_t aOldRunning)
{
  if (this->IsOver()) {
    return false;
  }
  if (this->IsBad()) {
    return this->Adopt(MoveStage::kRolledBack);
  }
  if (!aDecides) {
    return false;
  }
  const Duration shift =
    std::min(std::chrono::duration_cast<Duration>(this->order.duration * this->options.shiftPart),
             this->options.longestShift);
  if (this->stage == MoveStage::kShift) {
    return this->HasLeftOld(aNow, aOldRunning) && this->Adopt(MoveStage::kCompleted);
  }
  if (aNow >= this->start + this->order.duration - shift &&
      this->NewRuns() >= this->options.fewestRuns) {
    return this->Adopt(MoveStage::kShift);
  }
  // A version of which too little was seen in time does not take over.
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

MoveState VersionMove::State(std::uint32_t aOldRunning) const
{
  MoveState state{ this->order.offset, this->stage, aOldRunning, {} };
  for (const auto& [key, row] : this->own) {
    state.evidence.push_back(row);
  }
  return state;
}

// By route, and over all of them under 0.
std::map<std::uint64_t, VersionMove::Pair> VersionMove::Sum() const
{
  std::map<std::uint64_t, Pair> sum;
  const auto add = [&](const VersionEvidence& aRow) {
    for (const std::uint64_t route : { std::uint64_t{ 0 }, aRow.route }) {
      AddTo(aRow.isNew ? sum[route].newRuns : sum[route].oldRuns, aRow);
    }
  };
  for (const auto& [key, row] : this->own) {
    add(row);
  }
  std::for_each(this->past.begin(), this->past.end(), add);
  for (const auto& [node, peer] : this->peers) {
    std::for_each(peer.state.evidence.begin(), peer.state.evidence.end(), add);
  }
  return sum;
}

bool VersionMove::IsBad() const
{
  const auto sum = this->Sum();
  return std::any_of(sum.begin(), sum.end(), [](const auto& aRow) {
    const Pair& pair = aRow.second;
    // Times of unlike routes are not compared.
    return FailsMore(pair.newRuns, pair.oldRuns) ||
           (aRow.first != 0 && IsSlower(pair.newRuns, pair.oldRuns));
  });
}

std::uint32_t VersionMove::NewRuns() const
{
  const auto sum = this->Sum();
  const auto all = sum.find(0);
  return all == sum.end() ? 0 : all->second.newRuns.ended;
}

// No entry has calls at the old version any more, and none begins one.
bool VersionMove::HasLeftOld(TimePoint aNow, std::uint32_t aOldRunning) const
{
  return aOldRunning == 0 &&
         std::all_of(this->peers.begin(), this->peers.end(), [&](const auto& aRow) {
           const PeerRow& row = aRow.second;
           const bool isGone = aNow - row.heardAt > this->options.peerSilence;
           return isGone || (row.state.stage >= MoveStage::kShift && row.state.oldRunning == 0);
         });
}

} // namespace caraway::direct
