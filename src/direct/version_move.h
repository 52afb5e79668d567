// Canary rollout of a new endpoint version of a service: selects the calls for the new version,
// detects a bad version, and decides when the move is complete. The new version gets a small share
// of the calls until all entries together have enough evidence. It is rolled back as soon as it
// proves to fail or to be slow, on all routes or on one.
#pragma once

#include "direct/call.h"

#include <cereal/types/vector.hpp>

#include <map>
#include <string>
#include <vector>

namespace caraway::direct {

// Later stages take precedence: entries adopt the latest stage they receive.
enum class MoveStage : std::uint8_t
{
  kCanary,     // the new version gets a small share of the calls
  kShift,      // it gets all new calls; the old version finishes its running calls
  kCompleted,  // the old version may stop
  kRolledBack, // the new version gets no calls
};

std::string_view ToString(MoveStage aStage);

struct MoveOrder
{
  std::string service;
  std::string version;      // of the endpoints to move to
  Duration duration{};      // time limit of the move
  std::uint64_t offset = 0; // in the operator's log; a later order replaces this one
  std::uint64_t era = 0;    // of the log; offsets of different eras are not comparable
};

// Identifies the content of an order, wherever it is in the log.
std::uint64_t HashOf(const MoveOrder& aOrder);

// Statistics of the finished runs of one version on one route.
struct VersionEvidence
{
  std::uint64_t route = 0; // hash of its name
  bool isNew = false;      // of the new version
  std::uint32_t ended = 0;
  std::uint32_t bad = 0;
  std::uint64_t answeredMs = 0; // total duration of the good runs

  template<class Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(route, isNew, ended, bad, answeredMs);
  }

  friend bool operator==(const VersionEvidence&, const VersionEvidence&) = default;
};

// State of a move at one entry.
struct MoveState
{
  std::uint64_t offset = 0; // of the order
  MoveStage stage = MoveStage::kCanary;
  std::uint32_t oldRunning = 0; // the entry's running calls at other versions
  std::vector<VersionEvidence> evidence;
  std::uint64_t era = 0;     // of the order
  std::uint64_t content = 0; // hash of the order

  template<class Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(offset, stage, oldRunning, evidence, era, content);
  }

  friend bool operator==(const MoveState&, const MoveState&) = default;
};

struct VersionMoveOptions
{
  double canaryShare = 0.05; // of the calls; half of what the platform allows a bad version
  // Calls beyond the share, in total over all entries, for evidence at low load. The platform
  // allows a bad version fifty calls beyond its share. With up to maxEntriesWithCanary entries,
  // each gets at least one.
  std::uint32_t freeCanaryCalls = 20;
  std::uint32_t maxEntriesWithCanary = 40;
  std::uint32_t minNewRuns = 20;                   // of the new version before the shift
  double shiftShare = 0.4;                         // of the duration, reserved for the shift
  Duration maxShiftTime = std::chrono::seconds(6); // covers long responses of the old version
  Duration peerTimeout = std::chrono::milliseconds(1500); // after which an entry is ignored
};

// Evidence of both versions.
struct MoveEvidence
{
  VersionEvidence oldRuns;
  VersionEvidence newRuns;
};

// Version constraints of a call.
struct VersionChoice
{
  std::string required; // empty: any version except the excluded one
  std::string excluded;
};

class VersionMove
{
public:
  VersionMove(const VersionMoveOptions& aOptions, const MoveOrder& aOrder, TimePoint aNow);

  // Version constraints for the next call. aHasNew, aHasOld: endpoints of the new version and of
  // other versions are listed.
  VersionChoice ChooseVersions(bool aHasNew, bool aHasOld, std::uint32_t aEntries);
  // A run on aRoute ended after aTime. A caller's disconnect counts as bad because it can indicate
  // a slow version.
  void OnRunEnd(std::uint64_t aRoute, bool aIsNew, bool aIsBad, Duration aTime);
  void OnPeerState(TimePoint aNow, const Peer& aPeer, const MoveState& aState);
  // Changes the stage according to evidence and time. Any entry may roll back; other changes are
  // made by the coordinator. Returns true if the stage changed.
  bool Step(TimePoint aNow, bool aIsCoordinator, std::uint32_t aOldRunning);
  // Adopts a stage if it is later than the current one; returns true if it was adopted.
  bool Adopt(MoveStage aStage);
  // The same order is at another place of the log, which was restored from a copy.
  void SetPlace(std::uint64_t aEra, std::uint64_t aOffset);

  MoveState State(std::uint32_t aOldRunning) const;
  // Evidence of all entries on all routes.
  MoveEvidence Total() const;
  const MoveOrder& Order() const { return this->order; }
  MoveStage Stage() const { return this->stage; }
  bool IsOver() const { return this->stage >= MoveStage::kCompleted; }

private:
  struct PeerRow
  {
    Incarnation incarnation{};
    TimePoint heardAt{};
    MoveState state;
  };
  std::map<std::uint64_t, MoveEvidence> Sum() const;
  bool IsBad() const;
  bool IsInDoubt() const;
  bool IsOldVersionIdle(TimePoint aNow, std::uint32_t aOldRunning) const;

  VersionMoveOptions options;
  MoveOrder order;
  TimePoint start;
  MoveStage stage = MoveStage::kCanary;
  std::uint32_t calls = 0;       // of this entry since the order
  std::uint32_t canaryCalls = 0; // of these, sent to the new version
  std::map<std::pair<std::uint64_t, bool>, VersionEvidence> ownEvidence; // by route and version
  std::vector<VersionEvidence> pastEvidence;                             // of ended entry processes
  std::map<NodeId, PeerRow> peers;
};

} // namespace caraway::direct
