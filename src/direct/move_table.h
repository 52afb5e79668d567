// All version moves known to an entry: for each service the operator's latest order, the stage that
// the entries agreed on, the stage that is persisted, and the outcomes of the moves before it.
#pragma once

#include "direct/endpoint_table.h"
#include "direct/move_history.h"
#include "direct/version_move.h"

#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace caraway::direct {

// Persistent storage of the stages of moves.
class MoveLog
{
public:
  virtual ~MoveLog() = default;
  // Reads the persisted stage of a move; nullopt if there is none.
  virtual void ReadStage(const MoveOrder& aOrder,
                         const std::function<void(std::optional<MoveStage>)>& aDone) = 0;
  // Persists the stage unless a final stage is already persisted.
  virtual void WriteStage(const MoveOrder& aOrder, MoveStage aStage) = 0;
};

// Persistent storage of the outcomes of earlier moves, by service.
class MoveHistoryStore
{
public:
  using Histories = std::map<std::string, std::vector<PastMove>>;

  virtual ~MoveHistoryStore() = default;
  // Reads the histories of all services; retries until the store answers.
  virtual void ReadHistories(const std::function<void(const Histories&)>& aDone) = 0;
  // Adds the moves to the stored history of the service.
  virtual void SaveHistory(const std::string& aService, const std::vector<PastMove>& aMoves) = 0;
};

// A move entered a stage, by this entry's decision or another one's.
struct StageChange
{
  MoveOrder order;
  MoveStage stage = MoveStage::kCanary;
  MoveEvidence evidence; // known to this entry at that moment
  bool isOwn = false;
};

class MoveTable
{
public:
  // Counts this entry's running calls at endpoints of the service that have other versions.
  using OldRunningCounter =
    std::function<std::uint32_t(const std::string& aService, const std::string& aVersion)>;

  void SetLog(MoveLog& aLog) { this->log = &aLog; }
  void SetHistoryStore(MoveHistoryStore& aStore) { this->historyStore = &aStore; }

  // Adds an order of the operator. aIsFresh: it was written while this process followed the log;
  // otherwise its stage is read from the log first, and until then its version gets no calls while
  // other versions are listed. Returns false if this or a later order of the service is known.
  bool SetOrder(TimePoint aNow, const MoveOrder& aOrder, bool aIsFresh);
  // The log and the persisted stages were restored from an older copy: the latest orders may be
  // missing until the operator writes them again, and stages are persisted again.
  void OnLogRestored(TimePoint aNow);
  // aEvacuatedDomains: failure domains whose endpoints get no calls for now.
  void SetEndpoints(const std::map<std::string, EndpointInfo>& aAll,
                    const std::set<std::string>& aEvacuatedDomains = {});
  void SetEntryCount(std::uint32_t aCount) { this->entryCount = aCount; }

  // Sets the version constraints of the call.
  void ChooseVersions(TimePoint aNow, CallSpec& aSpec);
  // A run ended at an endpoint of aVersion. Returns true if Step should be called immediately.
  bool OnRunEnd(const std::string& aService, std::uint64_t aRoute, const std::string& aVersion,
                bool aIsBad, Duration aTime);
  // Merges the states of another entry; returns true if they contain an unknown newer order.
  bool OnPeerState(TimePoint aNow, const Peer& aPeer, const std::vector<MoveState>& aStates);
  std::vector<MoveState> States(TimePoint aNow, const OldRunningCounter& aRunning) const;
  // Performs stage changes that are due. aIsCoordinator: this entry decides for all entries and
  // persists the stages.
  void Step(TimePoint aNow, bool aIsCoordinator, const OldRunningCounter& aRunning);

  // Returns the changes since the last call.
  std::vector<StageChange> TakeChanges() { return std::exchange(this->changes, {}); }

  // Versions by service that get no calls: rolled-back ones until a later move to them completes,
  // and, while endpoints of a proven version are listed, those whose move was replaced before it
  // ended. The version of the latest order is among them only if it was rolled back by that order.
  std::map<std::string, std::set<std::string>> ExcludedVersions() const;

private:
  struct Row
  {
    VersionMove move;
    bool isStagePending = false; // the stage is being read from the log
    // Endpoints that accept calls are listed. Old ones count if they are evacuated, because calls
    // must wait for these rather than all use a version that is not proven.
    bool hasNew = false;
    bool hasOld = false;
    TimePoint endedAt = kNever;
    std::optional<MoveStage> writtenStage; // last stage read from or passed to the log
    // Another order of a restored log, in force if the known one is not written again.
    std::optional<MoveOrder> heldOrder;
  };

  // Earlier moves of a service.
  struct Past
  {
    MoveHistory moves;
    std::map<std::string, TimePoint> endedAt; // of those that this entry saw end, by version
    std::vector<PastMove> saved;              // last read from or passed to the store
  };

  enum class Place : std::uint8_t
  {
    kKnown,     // this order or a later one is known
    kRewritten, // the known order, at another place of a restored log
    kHeld,      // may be older than the known one, which the restored log has lost
    kNew,
  };

  Place PlaceOf(TimePoint aNow, const MoveOrder& aOrder) const;
  bool AddOrder(TimePoint aNow, const MoveOrder& aOrder, bool aIsFresh);
  void ApplyHeldOrders(TimePoint aNow);
  void FindVersions(const std::string& aService, Row& aRow) const;
  void FindAllVersions();
  void RecordStage(TimePoint aNow, Row& aRow, bool aIsOwn);
  void KeepPast(TimePoint aNow, const Row& aRow);
  std::set<std::string> ExcludedOldVersions(const std::string& aService) const;
  void ReadHistories(TimePoint aNow);
  void MergeHistories(const MoveHistoryStore::Histories& aHistories);
  void SaveHistories();
  void OnUnknownOutcome(TimePoint aNow);
  std::optional<MoveStage> PastStageOf(const MoveOrder& aOrder) const;
  bool AdoptPastStage(TimePoint aNow, const MoveState& aState);
  bool IsPast(const MoveState& aState) const;

  // How long entries share the state of an ended move and keep calls away from the version that
  // stops: several times the maximum lag of an endpoint list.
  static constexpr Duration kMoveRetention = std::chrono::seconds(10);

  VersionMoveOptions options;
  MoveLog* log = nullptr;
  std::map<std::string, EndpointInfo> endpoints;
  std::set<std::string> evacuatedDomains;
  std::uint32_t entryCount = 1;
  std::map<std::string, std::set<std::string>> listedVersions; // of accepting endpoints, by service
  std::map<std::string, Row> rows;                             // by service
  std::map<std::string, Past> past;                            // by service
  MoveHistoryStore* historyStore = nullptr;
  bool areHistoriesPending = false; // being read from the store
  TimePoint nextHistoryRead{};
  TimePoint rewriteEnd{};       // of the time for orders to be written again
  TimePoint recheckAt = kNever; // of the persisted stages
  std::vector<StageChange> changes;
};

} // namespace caraway::direct
