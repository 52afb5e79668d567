// Outcomes of the moves of one service that later orders have replaced. A version that was rolled
// back, or whose move did not end, must not count as an old version in the next move.
#pragma once

#include "direct/version_move.h"

#include <cereal/types/string.hpp>
#include <cereal/types/vector.hpp>

#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace caraway::direct {

// The latest known move to a version.
struct PastMove
{
  std::string version;
  std::uint64_t era = 0;                // of the order, as in MoveOrder
  std::uint64_t offset = 0;             // of the order
  std::uint64_t content = 0;            // hash of the order
  MoveStage stage = MoveStage::kCanary; // below kCompleted: replaced before it ended

  bool IsOver() const { return this->stage >= MoveStage::kCompleted; }

  template<class Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(version, era, offset, content, stage);
  }

  friend bool operator==(const PastMove&, const PastMove&) = default;
};

PastMove PastMoveOf(const VersionMove& aMove);

class MoveHistory
{
public:
  static constexpr std::size_t kMaxVersions = 16; // the oldest orders give way

  // Keeps one move for each version: one with an outcome rather than one without, and of these the
  // later order. The first outcome of an order is final. Returns whether anything changed.
  bool Add(const PastMove& aMove);
  // The move of a state that another entry sent; nullptr if it is not known.
  const PastMove* Find(const MoveState& aState) const;
  const PastMove* Find(const std::string& aVersion) const;
  // All moves by version.
  std::vector<PastMove> All() const;

private:
  std::map<std::string, PastMove> moves; // by version
};

// Saved form of a history; nullopt if the bytes are malformed.
std::string EncodeMoveHistory(const std::vector<PastMove>& aMoves);
std::optional<std::vector<PastMove>> DecodeMoveHistory(std::string_view aBytes);

} // namespace caraway::direct
