#include "direct/move_table.h"

#include <algorithm>
#include <utility>

namespace caraway::direct {

namespace {

// After the log was restored: until then the operator has written the lost orders again.
constexpr Duration kRewriteTime = std::chrono::seconds(3);
// After that restore: until then a delayed write may have replaced a stage.
constexpr Duration kLateWriteTime = std::chrono::seconds(6);

// A restored log may hold an order at another place.
bool IsSameOrder(const MoveOrder& aLeft, const MoveOrder& aRight)
{
  return aLeft.era == aRight.era ? aLeft.offset == aRight.offset : HashOf(aLeft) == HashOf(aRight);
}

bool IsSameMove(const MoveOrder& aOrder, const MoveState& aState)
{
  return aOrder.era == aState.era ? aOrder.offset == aState.offset
                                  : HashOf(aOrder) == aState.content;
}

} // namespace

bool MoveTable::SetOrder(TimePoint aNow, const MoveOrder& aOrder, bool aIsFresh)
{
  const Place place = this->PlaceOf(aNow, aOrder);
  if (place == Place::kNew) {
    return this->AddOrder(aNow, aOrder, aIsFresh);
  }
  if (place == Place::kKnown) {
    return false;
  }
  Row& row = this->rows.at(aOrder.service);
  if (place == Place::kHeld) {
    row.heldOrder = aOrder;
  } else {
    row.move.SetPlace(aOrder.era, aOrder.offset);
    row.heldOrder.reset();
  }
  return false;
}

MoveTable::Place MoveTable::PlaceOf(TimePoint aNow, const MoveOrder& aOrder) const
{
  const auto found = this->rows.find(aOrder.service);
  if (found == this->rows.end()) {
    return Place::kNew;
  }
  const MoveOrder& known = found->second.move.Order();
  if (aOrder.era < known.era || (aOrder.era == known.era && aOrder.offset <= known.offset)) {
    return Place::kKnown;
  }
  const bool isRewriting = aNow < this->rewriteEnd;
  if (HashOf(aOrder) == HashOf(known) && (isRewriting || aOrder.era > known.era)) {
    return Place::kRewritten;
  }
  return isRewriting && aOrder.era > known.era ? Place::kHeld : Place::kNew;
}

bool MoveTable::AddOrder(TimePoint aNow, const MoveOrder& aOrder, bool aIsFresh)
{
  if (const auto known = this->rows.find(aOrder.service); known != this->rows.end()) {
    this->KeepPast(aNow, known->second);
  }
  Row row{ VersionMove(this->options, aOrder, aNow) };
  const auto pastStage = aIsFresh ? std::nullopt : this->PastStageOf(aOrder);
  if (pastStage && row.move.Adopt(*pastStage)) {
    this->RecordStage(aNow, row, false);
  }
  row.isStagePending = !aIsFresh && !pastStage && this->log != nullptr;
  const bool isStagePending = row.isStagePending;
  this->rows.insert_or_assign(aOrder.service, std::move(row));
  this->FindAllVersions();
  this->ReadHistories(aNow);
  if (!isStagePending) {
    return true;
  }
  this->log->ReadStage(aOrder, [this, aNow, aOrder](std::optional<MoveStage> aStage) {
    const auto found = this->rows.find(aOrder.service);
    if (found == this->rows.end() || !IsSameOrder(found->second.move.Order(), aOrder)) {
      return;
    }
    found->second.isStagePending = false;
    found->second.writtenStage = aStage;
    if (aStage && found->second.move.Adopt(*aStage)) {
      this->RecordStage(aNow, found->second, false);
    }
  });
  return true;
}

void MoveTable::OnLogRestored(TimePoint aNow)
{
  this->rewriteEnd = aNow + kRewriteTime;
  this->recheckAt = aNow + kLateWriteTime;
  for (auto& [service, row] : this->rows) {
    row.writtenStage.reset();
    if (row.move.IsOver()) {
      row.endedAt = aNow; // shared again, for entries that read an earlier stage
    }
  }
  for (auto& [service, before] : this->past) {
    before.saved.clear();
  }
  this->ReadHistories(aNow);
}

void MoveTable::ApplyHeldOrders(TimePoint aNow)
{
  if (aNow < this->rewriteEnd) {
    return;
  }
  std::vector<MoveOrder> held;
  for (auto& [service, row] : this->rows) {
    if (const auto order = std::exchange(row.heldOrder, std::nullopt)) {
      held.push_back(*order);
    }
  }
  for (const MoveOrder& order : held) {
    this->SetOrder(aNow, order, false);
  }
}

void MoveTable::SetEndpoints(const std::map<std::string, EndpointInfo>& aAll,
                             const std::set<std::string>& aEvacuatedDomains)
{
  this->endpoints = aAll;
  this->evacuatedDomains = aEvacuatedDomains;
  this->listedVersions.clear();
  for (const auto& [id, info] : this->endpoints) {
    if (!info.isLeaving) {
      this->listedVersions[info.service].insert(info.version);
    }
  }
  this->FindAllVersions();
}

void MoveTable::FindAllVersions()
{
  for (auto& [service, row] : this->rows) {
    this->FindVersions(service, row);
  }
}

void MoveTable::FindVersions(const std::string& aService, Row& aRow) const
{
  aRow.hasNew = false;
  aRow.hasOld = false;
  const std::set<std::string> excluded = this->ExcludedOldVersions(aService);
  for (const auto& [id, info] : this->endpoints) {
    if (info.service == aService && !info.isLeaving) {
      const bool isNew = info.version == aRow.move.Order().version;
      const bool isUsable = !this->evacuatedDomains.contains(info.failureDomain);
      aRow.hasNew = aRow.hasNew || (isNew && isUsable);
      aRow.hasOld = aRow.hasOld || (!isNew && !excluded.contains(info.version));
    }
  }
}

void MoveTable::ChooseVersions(TimePoint aNow, CallSpec& aSpec)
{
  const auto found = this->rows.find(aSpec.service);
  if (found == this->rows.end()) {
    return;
  }
  Row& row = found->second;
  if (row.isStagePending) {
    aSpec.excludedVersion = row.hasOld ? row.move.Order().version : "";
    return;
  }
  if (row.move.Stage() == MoveStage::kCompleted && aNow >= row.endedAt + kMoveRetention) {
    return;
  }
  VersionChoice choice = row.move.ChooseVersions(row.hasNew, row.hasOld, this->entryCount);
  aSpec.isCanary = row.move.Stage() == MoveStage::kCanary && !choice.required.empty() && row.hasOld;
  aSpec.requiredVersion = std::move(choice.required);
  aSpec.excludedVersion = std::move(choice.excluded);
}

bool MoveTable::OnRunEnd(const std::string& aService, std::uint64_t aRoute,
                         const std::string& aVersion, bool aIsBad, Duration aTime)
{
  const auto found = this->rows.find(aService);
  if (found == this->rows.end() || found->second.move.IsOver()) {
    return false;
  }
  VersionMove& move = found->second.move;
  const bool isNew = aVersion == move.Order().version;
  move.OnRunEnd(aRoute, isNew, aIsBad, aTime);
  return isNew && aIsBad;
}

bool MoveTable::OnPeerState(TimePoint aNow, const Peer& aPeer,
                            const std::vector<MoveState>& aStates)
{
  bool hasUnknown = false;
  for (const MoveState& state : aStates) {
    const auto row = std::find_if(this->rows.begin(), this->rows.end(), [&](const auto& aRow) {
      return IsSameMove(aRow.second.move.Order(), state);
    });
    if (row == this->rows.end() && this->IsPast(state)) {
      if (this->AdoptPastStage(aNow, state)) {
        this->FindAllVersions();
      }
      continue;
    }
    if (row == this->rows.end()) {
      if (state.stage == MoveStage::kRolledBack) {
        this->OnUnknownOutcome(aNow);
      }
      const bool isNewer =
        std::none_of(this->rows.begin(), this->rows.end(), [&](const auto& aRow) {
          const MoveOrder& known = aRow.second.move.Order();
          return std::pair(known.era, known.offset) > std::pair(state.era, state.offset);
        });
      hasUnknown = hasUnknown || isNewer;
      continue;
    }
    row->second.move.OnPeerState(aNow, aPeer, state);
    if (row->second.move.Adopt(state.stage)) {
      row->second.isStagePending = false;
      this->RecordStage(aNow, row->second, false);
    }
  }
  return hasUnknown;
}

std::vector<MoveState> MoveTable::States(TimePoint aNow, const OldRunningCounter& aRunning) const
{
  std::vector<MoveState> states;
  for (const auto& [service, row] : this->rows) {
    const bool isExpired = row.move.IsOver() && aNow >= row.endedAt + kMoveRetention;
    if (!row.isStagePending && !isExpired) {
      states.push_back(row.move.State(aRunning(service, row.move.Order().version)));
    }
  }
  for (const auto& [service, before] : this->past) {
    for (const auto& [version, endedAt] : before.endedAt) {
      const PastMove* move = before.moves.Find(version);
      if (move != nullptr && move->IsOver() && aNow < endedAt + kMoveRetention) {
        states.push_back({ move->offset, move->stage, 0, {}, move->era, move->content });
      }
    }
  }
  return states;
}

void MoveTable::Step(TimePoint aNow, bool aIsCoordinator, const OldRunningCounter& aRunning)
{
  this->ApplyHeldOrders(aNow);
  if (aNow >= this->recheckAt) {
    this->recheckAt = kNever;
    for (auto& [service, row] : this->rows) {
      row.writtenStage.reset();
    }
  }
  for (auto& [service, row] : this->rows) {
    if (row.isStagePending) {
      continue;
    }
    const std::uint32_t running = aRunning(service, row.move.Order().version);
    if (row.move.Step(aNow, aIsCoordinator, running)) {
      this->RecordStage(aNow, row, true);
    }
    if (aIsCoordinator && this->log != nullptr && row.writtenStage != row.move.Stage()) {
      row.writtenStage = row.move.Stage();
      this->log->WriteStage(row.move.Order(), row.move.Stage());
    }
  }
  if (aIsCoordinator) {
    this->SaveHistories();
  }
}

void MoveTable::RecordStage(TimePoint aNow, Row& aRow, bool aIsOwn)
{
  const VersionMove& move = aRow.move;
  this->changes.push_back({ move.Order(), move.Stage(), move.Total(), aIsOwn });
  if (aRow.move.IsOver()) {
    aRow.endedAt = aNow;
  }
}

} // namespace caraway::direct
