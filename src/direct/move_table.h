// All moves of versions that an entry knows of, one for each service: what the operator ordered,
// what the entries decided, and what is written about it.
#pragma once

#include "direct/endpoint_table.h"
#include "direct/version_move.h"

#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace caraway::direct {

// Where the outcome of moves is kept.
class MoveLog
{
public:
  virtual ~MoveLog() = default;
  // Asks how far a move was when this process started; nullopt: nothing is written about it.
  virtual void ReadStage(const MoveOrder& aOrder,
                         const std::function<void(std::optional<MoveStage>)>& aDone) = 0;
  // Writes the stage, unless an end of the move is written already.
  virtual void WriteStage(const MoveOrder& aOrder, MoveStage aStage) = 0;
};

class MoveTable
{
public:
  // Own calls at the service's endpoints of other versions than the given one.
  using RunningElsewhere =
    std::function<std::uint32_t(const std::string& aService, const std::string& aVersion)>;

  void SetLog(MoveLog& aLog) { this->log = &aLog; }

  // An order of the operator. aIsFresh: it was written while this process followed the log; how far
  // another one is must be asked, and until then its version gets nothing while others are listed.
  // False: a later order of the service is known, or this one is.
  bool SetOrder(TimePoint aNow, const MoveOrder& aOrder, bool aIsFresh);
  void SetEndpoints(const std::map<std::string, EndpointInfo>& aAll);
  void SetEntryCount(std::uint32_t aCount) { this->entryCount = aCount; }

  // Sets the versions that the call may run at.
  void Choose(TimePoint aNow, CallSpec& aSpec);
  // A run ended at an endpoint of aVersion; true where that calls for a step at once.
  bool OnRunEnd(const std::string& aService, std::uint64_t aRoute, const std::string& aVersion,
                bool aIsBad, Duration aTime);
  // What another entry said; true if it knows of an order that is not known here.
  bool OnPeer(TimePoint aNow, const Peer& aPeer, const std::vector<MoveState>& aStates);
  std::vector<MoveState> States(TimePoint aNow, const RunningElsewhere& aRunning) const;
  // Takes the steps that are due; aDecides: this entry decides and writes for all.
  void Step(TimePoint aNow, bool aDecides, const RunningElsewhere& aRunning);

  // By service: versions that get nothing any more.
  std::map<std::string, std::string> Banned() const;

private:
  struct Row
  {
    VersionMove move;
    bool isHeld = false; // its stage is being asked for
    bool hasNew = false; // endpoints are listed that take calls
    bool hasOld = false;
    TimePoint overAt = kNever;
    std::optional<MoveStage> written; // handed to the log by this entry
  };

  void FindVersions(const std::string& aService, Row& aRow) const;
  void OnStage(TimePoint aNow, Row& aRow);

  VersionMoveOptions options;
  MoveLog* log = nullptr;
  std::map<std::string, EndpointInfo> endpoints;
  std::uint32_t entryCount = 1;
  std::map<std::string, Row> rows; // by service
};

} // namespace caraway::direct
