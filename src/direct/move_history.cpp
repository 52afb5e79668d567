#include "direct/move_history.h"

#include "core/cereal_bytes.h"

#include <algorithm>
#include <utility>

namespace caraway::direct {

namespace {

std::pair<std::uint64_t, std::uint64_t> PlaceOf(const PastMove& aMove)
{
  return { aMove.era, aMove.offset };
}

// True if aNew says more about its version than aKnown.
bool Supersedes(const PastMove& aNew, const PastMove& aKnown)
{
  if (aNew.IsOver() != aKnown.IsOver()) {
    return aNew.IsOver();
  }
  return PlaceOf(aNew) > PlaceOf(aKnown) ||
         (PlaceOf(aNew) == PlaceOf(aKnown) && !aKnown.IsOver() && aNew.stage > aKnown.stage);
}

} // namespace

PastMove PastMoveOf(const VersionMove& aMove)
{
  const MoveOrder& order = aMove.Order();
  return { order.version, order.era, order.offset, HashOf(order), aMove.Stage() };
}

bool MoveHistory::Add(const PastMove& aMove)
{
  const auto known = this->moves.find(aMove.version);
  if (known != this->moves.end()) {
    const bool isChanged = Supersedes(aMove, known->second);
    known->second = isChanged ? aMove : known->second;
    return isChanged;
  }
  if (this->moves.size() >= kMaxVersions) {
    const auto oldest = std::min_element(this->moves.begin(), this->moves.end(),
                                         [](const auto& aLeft, const auto& aRight) {
                                           return PlaceOf(aLeft.second) < PlaceOf(aRight.second);
                                         });
    if (PlaceOf(aMove) < PlaceOf(oldest->second)) {
      return false;
    }
    this->moves.erase(oldest);
  }
  this->moves[aMove.version] = aMove;
  return true;
}

const PastMove* MoveHistory::Find(const MoveState& aState) const
{
  const auto found = std::find_if(this->moves.begin(), this->moves.end(), [&](const auto& aRow) {
    const PastMove& move = aRow.second;
    return move.era == aState.era ? move.offset == aState.offset : move.content == aState.content;
  });
  return found == this->moves.end() ? nullptr : &found->second;
}

const PastMove* MoveHistory::Find(const std::string& aVersion) const
{
  const auto found = this->moves.find(aVersion);
  return found == this->moves.end() ? nullptr : &found->second;
}

std::vector<PastMove> MoveHistory::All() const
{
  std::vector<PastMove> all;
  for (const auto& [version, move] : this->moves) {
    all.push_back(move);
  }
  return all;
}

std::string EncodeMoveHistory(const std::vector<PastMove>& aMoves)
{
  return ToBytes(aMoves);
}

std::optional<std::vector<PastMove>> DecodeMoveHistory(std::string_view aBytes)
{
  auto moves = FromBytes<std::vector<PastMove>>(aBytes);
  const bool isSound = moves && moves->size() <= MoveHistory::kMaxVersions &&
                       std::all_of(moves->begin(), moves->end(), [](const PastMove& aMove) {
                         return aMove.stage <= MoveStage::kRolledBack;
                       });
  return isSound ? std::move(moves) : std::nullopt;
}

} // namespace caraway::direct
