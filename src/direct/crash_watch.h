// Detects requests that crash endpoints. Attempts that ended without a response are kept until it
// is known whether the endpoint died. A request that ran on several endpoints that died is refused
// at every entry.
#pragma once

#include "core/suspect.h"
#include "direct/leaving_table.h"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <utility>
#include <vector>

namespace caraway::direct {

struct CrashWatchOptions
{
  std::uint32_t maxSuspects = 4096;
  Duration suspectTime = std::chrono::minutes(10);
  // Maximum time between the loss of an attempt and the detection of its endpoint's death. The
  // platform's endpoint list lags by a few seconds.
  Duration maxLossAge = std::chrono::seconds(5);
  std::size_t maxLostAttempts = 4096;
  // Single crashes and cleared suspicions are repeated to other entries for this long, because
  // datagrams may be lost.
  Duration shareTime = std::chrono::seconds(6);
  std::size_t maxShared = 64;
};

// A change in what is known about a request.
struct SuspectUpdate
{
  Suspicion suspicion;
  Verdict verdict = Verdict::kClear;
  bool isLocal = false; // this entry recently observed part of it
};

// A suspicion as persisted across restarts of all entries.
struct SavedSuspicion
{
  std::int64_t savedAtMs = 0; // Unix time
  Suspicion suspicion;

  template<class Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(savedAtMs, suspicion);
  }
};

std::string EncodeSavedSuspicion(const SavedSuspicion& aSaved);
std::optional<SavedSuspicion> DecodeSavedSuspicion(std::string_view aBytes);

class CrashWatch
{
public:
  explicit CrashWatch(const CrashWatchOptions& aOptions);

  // An attempt at the endpoint ended without a response.
  void OnAttemptLost(TimePoint aNow, const EndpointIncarnation& aIncarnation,
                     std::uint64_t aFingerprint);
  // The endpoint process has died. Returns the number of attempts lost with it.
  std::size_t OnDied(TimePoint aNow, const EndpointIncarnation& aIncarnation);
  // An endpoint answered the request, which clears it.
  void OnAnswered(TimePoint aNow, std::uint64_t aFingerprint);
  // Merges suspicions received from another entry or the platform's store.
  void OnSuspicions(TimePoint aNow, const std::vector<Suspicion>& aSuspicions);

  Verdict Judge(TimePoint aNow, std::uint64_t aFingerprint) const
  {
    return this->suspects.Judge(aNow, aFingerprint);
  }
  Duration ForgetAfter(TimePoint aNow, std::uint64_t aFingerprint) const
  {
    return this->suspects.ForgetAfter(aNow, aFingerprint);
  }
  // Suspicions to send to other entries: refused requests and recent local observations.
  std::vector<Suspicion> ToShare(TimePoint aNow) const;
  // Returns the updates since the last call.
  std::vector<SuspectUpdate> TakeUpdates() { return std::exchange(this->updates, {}); }
  std::size_t Size() const { return this->suspects.Size(); }

private:
  struct LostAttempt
  {
    TimePoint at;
    EndpointIncarnation incarnation;
    std::uint64_t fingerprint = 0;
  };

  void Expire(TimePoint aNow);
  void AddCrash(TimePoint aNow, const EndpointIncarnation& aIncarnation,
                std::uint64_t aFingerprint);
  void AddUpdate(TimePoint aNow, std::uint64_t aFingerprint, bool aIsLocal);

  CrashWatchOptions options;
  SuspectTable suspects;
  std::deque<LostAttempt> lostAttempts;
  std::map<EndpointIncarnation, TimePoint> deadSince;
  std::unordered_map<std::uint64_t, TimePoint> observedAt; // last local observation, for shareTime
  std::vector<SuspectUpdate> updates;
};

} // namespace caraway::direct
