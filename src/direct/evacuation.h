// Evacuations of failure domains: while the operator orders one, the endpoints of the domain get no
// new calls. Combines what this entry reads from the platform's log with what other entries tell;
// the latest record about a domain decides, by era and offset of the log.
#pragma once

#include "core/types.h"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace caraway::direct {

// A record of the operator about one failure domain.
struct EvacuationRecord
{
  std::string domain;
  std::uint64_t era = 0;    // of the log
  std::uint64_t offset = 0; // in the log
  bool isOrdered = false;   // false: taken back
};

// Entry to entry: the latest record known to the sender.
struct EvacuationState
{
  std::string domain;
  std::uint64_t era = 0;
  std::uint64_t offset = 0;
  bool isOrdered = false;
  std::uint32_t ageMs = 0; // since an entry first acted on it

  template<class Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(domain, era, offset, isOrdered, ageMs);
  }

  friend bool operator==(const EvacuationState&, const EvacuationState&) = default;
};

enum class EvacuationSource : std::uint8_t
{
  kLog,    // a record read by this entry
  kTold,   // another entry
  kLapsed, // a restored log lacks the order, and the operator has not written it again
};

std::string_view ToString(EvacuationSource aSource);

// An evacuation began or ended at this entry.
struct EvacuationChange
{
  EvacuationState state;
  EvacuationSource source = EvacuationSource::kLog;
};

class Evacuations
{
public:
  // A record that this entry read from the log.
  void OnRecord(TimePoint aNow, const EvacuationRecord& aRecord);
  // The orders in the log when it ended at aEnd; a known order that is not listed was taken back.
  void OnSnapshot(TimePoint aNow, std::uint64_t aEra, std::uint64_t aEnd,
                  const std::vector<EvacuationRecord>& aListed);
  // The log came back from an older copy. An order that the following snapshot lacks stays in force
  // until the operator has had time to write it again.
  void OnLogRestored() { this->isRestored = true; }
  void OnPeerStates(TimePoint aNow, const std::vector<EvacuationState>& aStates);
  // Ends orders that a restored log lacks. aIsLogReachable: the operator can write them now.
  void Step(TimePoint aNow, bool aIsLogReachable);

  // The failure domains whose endpoints get no new calls.
  const std::set<std::string>& Domains() const { return this->domains; }
  // When the domain's last evacuation ended, if it is not in force and ended within the last hour.
  // Its endpoints may have been restarted meanwhile.
  std::optional<TimePoint> EndedAt(const std::string& aDomain) const;
  // What to tell other entries.
  std::vector<EvacuationState> States(TimePoint aNow) const;
  // Returns the changes since the last call.
  std::vector<EvacuationChange> TakeChanges() { return std::exchange(this->changes, {}); }

private:
  struct Row
  {
    std::uint64_t era = 0;
    std::uint64_t offset = 0;
    bool isOrdered = false;
    TimePoint since{};               // of the order or its end
    TimePoint missingSince = kNever; // in a restored log
  };

  void Apply(TimePoint aNow, const EvacuationState& aState, EvacuationSource aSource);
  void End(TimePoint aNow, const std::string& aDomain, EvacuationSource aSource);
  static EvacuationState StateOf(TimePoint aNow, const std::string& aDomain, const Row& aRow);

  std::map<std::string, Row> rows; // by failure domain
  std::set<std::string> domains;
  std::uint64_t era = 0; // of the last snapshot
  bool isRestored = false;
  std::vector<EvacuationChange> changes;
};

} // namespace caraway::direct
