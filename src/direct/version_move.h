// A service's move to another version of its endpoints: which calls the new version gets, when it
// counts as bad, and when the move is over. Answers a version that fails or is slow, at once or
// later, on all routes or on one: it gets a small part of the calls until all entries together have
// seen enough of it, and nothing any more as soon as it shows.
#pragma once

#include "direct/call.h"

#include <cereal/types/vector.hpp>

#include <map>
#include <string>
#include <vector>

namespace caraway::direct {

// A later stage goes before an earlier one: entries take over the latest that they hear of.
enum class MoveStage : std::uint8_t
{
  kProbe,      // the new version gets a small part of the calls
  kShift,      // it gets all new calls; the old one finishes what it has
  kCompleted,  // the old version may stop
  kRolledBack, // the new version gets nothing
};

std::string_view ToString(MoveStage aStage);

struct MoveOrder
{
  std::string service;
  std::string version;      // of the endpoints to move to
  Duration duration{};      // the move is to be over within this time
  std::uint64_t offset = 0; // in the operator's log; a later order replaces this one
};

// What ended runs of one version showed on one route.
struct VersionEvidence
{
  std::uint64_t route = 0; // hash of its name
  bool isNew = false;      // of the version that the service moves to
  std::uint32_t ended = 0;
  std::uint32_t bad = 0;
  std::uint64_t answeredMs = 0; // time of the good ones, all together

  template<class Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(route, isNew, ended, bad, answeredMs);
  }

  friend bool operator==(const VersionEvidence&, const VersionEvidence&) = default;
};

// An entry's word on a move.
struct MoveState
{
  std::uint64_t offset = 0; // of the order
  MoveStage stage = MoveStage::kProbe;
  std::uint32_t oldRunning = 0; // own calls at endpoints of other versions
  std::vector<VersionEvidence> evidence;

  template<class Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(offset, stage, oldRunning, evidence);
  }

  friend bool operator==(const MoveState&, const MoveState&) = default;
};

struct VersionMoveOptions
{
  double probeShare = 0.05; // of the calls; half of what the platform lets a bad version get
  // Beyond the share, over all entries and at each one: evidence where calls are few. The platform
  // lets a bad version get fifty beyond its share.
  std::uint32_t freeProbes = 20;
  std::uint32_t mostEntriesWithOne = 40;
  std::uint32_t fewestRuns = 20;                   // of the new version before it gets all calls
  double shiftPart = 0.4;                          // of the duration, left for the shift
  Duration longestShift = std::chrono::seconds(6); // long answers of the old version end in it
  Duration peerSilence = std::chrono::milliseconds(1500); // of an entry that counts as gone
};

// Where a call may run.
struct VersionChoice
{
  std::string only; // version; empty: any but the one in never
  std::string never;
};

class VersionMove
{
public:
  VersionMove(const VersionMoveOptions& aOptions, const MoveOrder& aOrder, TimePoint aNow);

  // Where the next call goes. aHasNew, aHasOld: endpoints of the version, and of others, are
  // listed.
  VersionChoice Choose(bool aHasNew, bool aHasOld, std::uint32_t aEntries);
  // A run on aRoute ended after aTime. The caller's leaving counts as bad: a slow version shows by
  // it.
  void OnRunEnd(std::uint64_t aRoute, bool aIsNew, bool aIsBad, Duration aTime);
  void OnPeer(TimePoint aNow, const Peer& aPeer, const MoveState& aState);
  // Takes the next stage where the evidence and the time call for it. Any entry rolls back; the
  // others are taken by the one that decides for all. True: the stage has changed.
  bool Step(TimePoint aNow, bool aDecides, std::uint32_t aOldRunning);
  // Takes over a stage that was decided elsewhere; true if it is later.
  bool Adopt(MoveStage aStage);

  MoveState State(std::uint32_t aOldRunning) const;
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
  // Evidence of both versions on one route.
  struct Pair
  {
    VersionEvidence oldRuns;
    VersionEvidence newRuns;
  };

  std::map<std::uint64_t, Pair> Sum() const;
  bool IsBad() const;
  std::uint32_t NewRuns() const;
  bool HasLeftOld(TimePoint aNow, std::uint32_t aOldRunning) const;

  VersionMoveOptions options;
  MoveOrder order;
  TimePoint start;
  MoveStage stage = MoveStage::kProbe;
  std::uint32_t calls = 0;                                       // own, since the order
  std::uint32_t probes = 0;                                      // of them at the new version
  std::map<std::pair<std::uint64_t, bool>, VersionEvidence> own; // by route and version
  std::vector<VersionEvidence> past;                             // of entries' lives that are over
  std::map<NodeId, PeerRow> peers;
};

} // namespace caraway::direct
