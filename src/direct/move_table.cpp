#include "direct/move_table.h"

#include <algorithm>
#include <utility>

namespace caraway::direct {

namespace {

// How long entries tell each other of a move that is over, and keep calls from the version that
// stops then: some times what a list of endpoints may lag behind.
constexpr Duration kMoveMemory = std::chrono::seconds(10);

} // namespace

bool MoveTable::SetOrder(TimePoint aNow, const MoveOrder& aOrder, bool aIsFresh)
{
  const auto known = this->rows.find(aOrder.service);
  if (known != this->rows.end() && known->second.move.Order().offset >= aOrder.offset) {
    return false;
  }
  Row row{ VersionMove(this->options, aOrder, aNow) };
  row.isHeld = !aIsFresh && this->log != nullptr;
  this->FindVersions(aOrder.service, row);
  const bool isHeld = row.isHeld;
  this->rows.insert_or_assign(aOrder.service, std::move(row));
  if (!isHeld) {
    return true;
  }
  this->log->ReadStage(aOrder, [this, aNow, aOrder](std::optional<MoveStage> aStage) {
    const auto found = this->rows.find(aOrder.service);
    if (found == this->rows.end() || found->second.move.Order().offset != aOrder.offset) {
      return;
    }
    found->second.isHeld = false;
    found->second.written = aStage;
    if (aStage && found->second.move.Adopt(*aStage)) {
      this->OnStage(aNow, found->second);
    }
  });
  return true;
}

void MoveTable::SetEndpoints(const std::map<std::string, EndpointInfo>& aAll)
{
  this->endpoints = aAll;
  for (auto& [service, row] : this->rows) {
    this->FindVersions(service, row);
  }
}

void MoveTable::FindVersions(const std::string& aService, Row& aRow) const
{
  aRow.hasNew = false;
  aRow.hasOld = false;
  for (const auto& [id, info] : this->endpoints) {
    if (info.service == aService && !info.isLeaving) {
      bool& has = info.version == aRow.move.Order().version ? aRow.hasNew : aRow.hasOld;
      has = true;
    }
  }
}

void MoveTable::Choose(TimePoint aNow, CallSpec& aSpec)
{
  const auto found = this->rows.find(aSpec.service);
  if (found == this->rows.end()) {
    return;
  }
  Row& row = found->second;
  if (row.isHeld) {
    aSpec.neverVersion = row.hasOld ? row.move.Order().version : "";
    return;
  }
  if (row.move.Stage() == MoveStage::kCompleted && aNow >= row.overAt + kMoveMemory) {
    return;
  }
  VersionChoice choice = row.move.Choose(row.hasNew, row.hasOld, this->entryCount);
  aSpec.isProbe = row.move.Stage() == MoveStage::kProbe && !choice.only.empty() && row.hasOld;
  aSpec.onlyVersion = std::move(choice.only);
  aSpec.neverVersion = std::move(choice.never);
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

bool MoveTable::OnPeer(TimePoint aNow, const Peer& aPeer, const std::vector<MoveState>& aStates)
{
  bool hasUnknown = false;
  for (const MoveState& state : aStates) {
    const auto row = std::find_if(this->rows.begin(), this->rows.end(), [&](const auto& aRow) {
      return aRow.second.move.Order().offset == state.offset;
    });
    if (row == this->rows.end()) {
      const bool isNewer =
        std::none_of(this->rows.begin(), this->rows.end(), [&](const auto& aRow) {
          return aRow.second.move.Order().offset > state.offset;
        });
      hasUnknown = hasUnknown || isNewer;
      continue;
    }
    row->second.move.OnPeer(aNow, aPeer, state);
    if (row->second.move.Adopt(state.stage)) {
      row->second.isHeld = false;
      this->OnStage(aNow, row->second);
    }
  }
  return hasUnknown;
}

std::vector<MoveState> MoveTable::States(TimePoint aNow, const RunningElsewhere& aRunning) const
{
  std::vector<MoveState> states;
  for (const auto& [service, row] : this->rows) {
    const bool isForgotten = row.move.IsOver() && aNow >= row.overAt + kMoveMemory;
    if (!row.isHeld && !isForgotten) {
      states.push_back(row.move.State(aRunning(service, row.move.Order().version)));
    }
  }
  return states;
}

void MoveTable::Step(TimePoint aNow, bool aDecides, const RunningElsewhere& aRunning)
{
  for (auto& [service, row] : this->rows) {
    if (row.isHeld) {
      continue;
    }
    const std::uint32_t running = aRunning(service, row.move.Order().version);
    if (row.move.Step(aNow, aDecides, running)) {
      this->OnStage(aNow, row);
    }
    if (aDecides && this->log != nullptr && row.written != row.move.Stage()) {
      row.written = row.move.Stage();
      this->log->WriteStage(row.move.Order(), row.move.Stage());
    }
  }
}

void MoveTable::OnStage(TimePoint aNow, Row& aRow)
{
  if (aRow.move.IsOver()) {
    aRow.overAt = aNow;
  }
}

std::map<std::string, std::string> MoveTable::Banned() const
{
  std::map<std::string, std::string> banned;
  for (const auto& [service, row] : this->rows) {
    if (row.move.Stage() == MoveStage::kRolledBack) {
      banned[service] = row.move.Order().version;
    }
  }
  return banned;
}

} // namespace caraway::direct
