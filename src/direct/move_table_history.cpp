// Moves of a service before the latest one: which versions they exclude from calls, and how entries
// that missed an outcome learn it.
#include "direct/move_table.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace caraway::direct {

namespace {

// Minimum time between a read of the histories and one that a peer's state leads to.
constexpr Duration kHistoryReadPeriod = std::chrono::seconds(2);

bool IsCompleted(const PastMove& aMove)
{
  return aMove.stage == MoveStage::kCompleted;
}

} // namespace

// Versions of earlier moves that get no calls (see ExcludedVersions). If only versions are listed
// whose move did not end, one of them was the service's version before an outcome was missed.
std::set<std::string> MoveTable::ExcludedOldVersions(const std::string& aService) const
{
  std::set<std::string> rolledBack;
  const auto before = this->past.find(aService);
  if (before == this->past.end()) {
    return rolledBack;
  }
  const auto row = this->rows.find(aService);
  const VersionMove* latest = row == this->rows.end() ? nullptr : &row->second.move;
  std::set<std::string> unproven;
  for (const PastMove& move : before->second.moves.All()) {
    if ((latest != nullptr && move.version == latest->Order().version) || IsCompleted(move)) {
      continue;
    }
    (move.IsOver() ? rolledBack : unproven).insert(move.version);
  }
  const auto listed = this->listedVersions.find(aService);
  const bool hasProven =
    listed != this->listedVersions.end() &&
    std::any_of(listed->second.begin(), listed->second.end(), [&](const std::string& aVersion) {
      const bool isLatest = latest != nullptr && aVersion == latest->Order().version;
      return isLatest ? latest->Stage() == MoveStage::kCompleted
                      : !rolledBack.contains(aVersion) && !unproven.contains(aVersion);
    });
  if (hasProven) {
    rolledBack.merge(unproven);
  }
  return rolledBack;
}

// Keeps the move of a row that the next order replaces.
void MoveTable::KeepPast(TimePoint aNow, const Row& aRow)
{
  Past& before = this->past[aRow.move.Order().service];
  const PastMove move = PastMoveOf(aRow.move);
  before.moves.Add(move);
  std::erase_if(before.endedAt,
                [&](const auto& aEnded) { return aNow >= aEnded.second + kMoveRetention; });
  if (move.IsOver()) {
    before.endedAt[move.version] = aRow.endedAt;
  }
}

std::map<std::string, std::set<std::string>> MoveTable::ExcludedVersions() const
{
  std::map<std::string, std::set<std::string>> excluded;
  for (const auto& [service, before] : this->past) {
    excluded[service] = this->ExcludedOldVersions(service);
  }
  for (const auto& [service, row] : this->rows) {
    if (row.move.Stage() == MoveStage::kRolledBack) {
      excluded[service].insert(row.move.Order().version);
    }
  }
  std::erase_if(excluded, [](const auto& aRow) { return aRow.second.empty(); });
  return excluded;
}

void MoveTable::ReadHistories(TimePoint aNow)
{
  if (this->historyStore == nullptr || this->areHistoriesPending) {
    return;
  }
  this->areHistoriesPending = true;
  this->nextHistoryRead = aNow + kHistoryReadPeriod;
  this->historyStore->ReadHistories([this](const MoveHistoryStore::Histories& aHistories) {
    this->areHistoriesPending = false;
    this->MergeHistories(aHistories);
  });
}

void MoveTable::MergeHistories(const MoveHistoryStore::Histories& aHistories)
{
  for (const auto& [service, moves] : aHistories) {
    Past& before = this->past[service];
    for (const PastMove& move : moves) {
      before.moves.Add(move);
    }
    before.saved = moves;
  }
  this->FindAllVersions();
}

// Completed moves matter to the store only if they replace another outcome there.
void MoveTable::SaveHistories()
{
  if (this->historyStore == nullptr) {
    return;
  }
  for (const auto& [service, row] : this->rows) {
    const bool isRolledBack = row.move.Stage() == MoveStage::kRolledBack;
    if (!isRolledBack && !this->past.contains(service)) {
      continue;
    }
    Past& before = this->past[service];
    MoveHistory known = before.moves;
    if (row.move.IsOver()) {
      known.Add(PastMoveOf(row.move));
    }
    const std::vector<PastMove> moves = known.All();
    const bool isNeeded = !std::all_of(moves.begin(), moves.end(), IsCompleted) ||
                          !std::all_of(before.saved.begin(), before.saved.end(), IsCompleted);
    if (isNeeded && moves != before.saved) {
      before.saved = moves;
      this->historyStore->SaveHistory(service, moves);
    }
  }
}

bool MoveTable::IsPast(const MoveState& aState) const
{
  return std::any_of(this->past.begin(), this->past.end(),
                     [&](const auto& aRow) { return aRow.second.moves.Find(aState) != nullptr; });
}

// Another entry has an outcome whose order is not known here.
void MoveTable::OnUnknownOutcome(TimePoint aNow)
{
  if (aNow >= this->nextHistoryRead) {
    this->ReadHistories(aNow);
  }
}

// An order that a restored log holds at another place keeps its outcome.
std::optional<MoveStage> MoveTable::PastStageOf(const MoveOrder& aOrder) const
{
  const auto before = this->past.find(aOrder.service);
  const PastMove* known =
    before == this->past.end() ? nullptr : before->second.moves.Find(aOrder.version);
  const bool isSame = known != nullptr && known->era != aOrder.era &&
                      known->content == HashOf(aOrder) && known->IsOver();
  return isSame ? std::optional(known->stage) : std::nullopt;
}

// Another entry knows the outcome of an earlier move. Returns whether it was unknown here.
bool MoveTable::AdoptPastStage(TimePoint aNow, const MoveState& aState)
{
  for (auto& [service, before] : this->past) {
    const PastMove* known = before.moves.Find(aState);
    if (known == nullptr || known->stage >= aState.stage || known->IsOver()) {
      continue;
    }
    PastMove move = *known;
    move.stage = aState.stage;
    before.moves.Add(move);
    if (move.IsOver()) {
      before.endedAt[move.version] = aNow;
    }
    return true;
  }
  return false;
}

} // namespace caraway::direct
