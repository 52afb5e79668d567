#include "direct/evacuation.h"

#include <algorithm>
#include <chrono>

namespace caraway::direct {

namespace {

using std::chrono::milliseconds;

// Within this time after the log was restored, the operator has written lost orders again.
constexpr Duration kRewriteTime = std::chrono::seconds(3);
constexpr Duration kRetention = std::chrono::hours(1); // of ended evacuations
constexpr std::size_t kMaxToldDomains = 64;            // bounds the size of a datagram

} // namespace

std::string_view ToString(EvacuationSource aSource)
{
  switch (aSource) {
    case EvacuationSource::kLog:
      return "log";
    case EvacuationSource::kTold:
      return "told";
    case EvacuationSource::kLapsed:
      return "lapsed";
  }
  return "unknown";
}

void Evacuations::OnRecord(TimePoint aNow, const EvacuationRecord& aRecord)
{
  this->Apply(aNow, { aRecord.domain, aRecord.era, aRecord.offset, aRecord.isOrdered, 0 },
              EvacuationSource::kLog);
}

void Evacuations::OnSnapshot(TimePoint aNow, std::uint64_t aEra, std::uint64_t aEnd,
                             const std::vector<EvacuationRecord>& aListed)
{
  const bool isRestoredLog = std::exchange(this->isRestored, false);
  if (isRestoredLog && aEra <= this->era) {
    // The era does not show that the known offsets are void.
    for (auto& [domain, row] : this->rows) {
      row.era = std::min(row.era, aEra);
      row.offset = 0;
    }
  }
  this->era = aEra;
  std::set<std::string> listed;
  for (const EvacuationRecord& record : aListed) {
    listed.insert(record.domain);
    this->OnRecord(aNow, record);
  }
  const std::set<std::string> ordered = this->domains;
  for (const std::string& domain : ordered) {
    Row& row = this->rows.at(domain);
    if (listed.contains(domain) || row.era > aEra) {
      continue;
    }
    if (isRestoredLog || row.era < aEra) {
      row.missingSince = std::min(row.missingSince, aNow);
    } else if (row.offset < aEnd) {
      this->End(aNow, domain, EvacuationSource::kLog);
    }
  }
}

void Evacuations::OnPeerStates(TimePoint aNow, const std::vector<EvacuationState>& aStates)
{
  for (const EvacuationState& state : aStates) {
    this->Apply(aNow, state, EvacuationSource::kTold);
  }
}

void Evacuations::Step(TimePoint aNow, bool aIsLogReachable)
{
  const std::set<std::string> ordered = this->domains;
  for (const std::string& domain : ordered) {
    Row& row = this->rows.at(domain);
    if (row.missingSince == kNever) {
      continue;
    }
    if (!aIsLogReachable) {
      row.missingSince = aNow;
    } else if (aNow - row.missingSince >= kRewriteTime) {
      this->End(aNow, domain, EvacuationSource::kLapsed);
    }
  }
  std::erase_if(this->rows, [aNow](const auto& aRow) {
    return !aRow.second.isOrdered && aNow - aRow.second.since > kRetention;
  });
}

void Evacuations::Apply(TimePoint aNow, const EvacuationState& aState, EvacuationSource aSource)
{
  const auto [place, isNew] = this->rows.try_emplace(aState.domain);
  Row& row = place->second;
  const std::pair<std::uint64_t, std::uint64_t> told(aState.era, aState.offset);
  if (!isNew && told <= std::pair(row.era, row.offset)) {
    return;
  }
  const bool hasChanged = isNew || row.isOrdered != aState.isOrdered;
  row.era = aState.era;
  row.offset = aState.offset;
  row.isOrdered = aState.isOrdered;
  const bool mayBeLost = aState.isOrdered && aState.era < this->era;
  row.missingSince = mayBeLost ? aNow : kNever;
  if (!hasChanged) {
    return;
  }
  row.since = aNow - milliseconds(aState.ageMs);
  if (aState.isOrdered) {
    this->domains.insert(aState.domain);
  } else if (this->domains.erase(aState.domain) == 0) {
    return; // only its end is known
  }
  this->changes.push_back({ StateOf(aNow, aState.domain, row), aSource });
}

void Evacuations::End(TimePoint aNow, const std::string& aDomain, EvacuationSource aSource)
{
  const Row& row = this->rows.at(aDomain);
  const std::uint64_t offset = row.era == this->era ? row.offset + 1 : 0;
  this->Apply(aNow, { aDomain, this->era, offset, false, 0 }, aSource);
}

std::optional<TimePoint> Evacuations::EndedAt(const std::string& aDomain) const
{
  const auto found = this->rows.find(aDomain);
  return found == this->rows.end() || found->second.isOrdered ? std::nullopt
                                                              : std::optional(found->second.since);
}

EvacuationState Evacuations::StateOf(TimePoint aNow, const std::string& aDomain, const Row& aRow)
{
  const auto age = std::chrono::duration_cast<milliseconds>(aNow - aRow.since).count();
  return { aDomain, aRow.era, aRow.offset, aRow.isOrdered, static_cast<std::uint32_t>(age) };
}

// Orders go before ends if there are too many for one message.
std::vector<EvacuationState> Evacuations::States(TimePoint aNow) const
{
  std::vector<EvacuationState> states;
  for (const bool isOrdered : { true, false }) {
    for (const auto& [domain, row] : this->rows) {
      if (row.isOrdered == isOrdered && states.size() < kMaxToldDomains) {
        states.push_back(StateOf(aNow, domain, row));
      }
    }
  }
  return states;
}

} // namespace caraway::direct
