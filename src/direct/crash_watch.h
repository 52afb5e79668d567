// Requests under which endpoints died. Attempts that ended without an answer are kept until it is
// known whether their endpoint died; what ran on several that did is sent to no further one,
// whichever entry its caller repeats it at.
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
  // An attempt ended without an answer this long before its endpoint is known to have died, at the
  // most. The platform's list lags by some seconds.
  Duration lostTime = std::chrono::seconds(5);
  std::size_t maxLost = 4096;
  // Single crashes and their clearing are told to other entries for this long; datagrams are lost.
  Duration tellTime = std::chrono::seconds(6);
  std::size_t maxTold = 64;
};

// What has become known about a request.
struct SuspectNews
{
  Suspicion suspicion;
  Verdict verdict = Verdict::kClear;
  bool isOwn = false; // this entry saw a part of it itself, a short while ago
};

// A suspicion as it is kept beyond the life of all entries.
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

  // An attempt at the endpoint ended without an answer.
  void OnLost(TimePoint aNow, const EndpointLife& aLife, std::uint64_t aFingerprint);
  // The endpoint's process has ended. Returns the number of attempts that were lost with it.
  std::size_t OnDied(TimePoint aNow, const EndpointLife& aLife);
  // The request was answered by an endpoint.
  void OnAnswered(TimePoint aNow, std::uint64_t aFingerprint);
  // Another entry, or the platform's store, knows of these.
  void OnSuspicions(TimePoint aNow, const std::vector<Suspicion>& aSuspicions);

  Verdict Judge(TimePoint aNow, std::uint64_t aFingerprint) const
  {
    return this->suspects.Judge(aNow, aFingerprint);
  }
  Duration ForgetAfter(TimePoint aNow, std::uint64_t aFingerprint) const
  {
    return this->suspects.ForgetAfter(aNow, aFingerprint);
  }
  // What other entries must know: what is refused, and what this entry saw a short while ago.
  std::vector<Suspicion> ToTell(TimePoint aNow) const;
  // What has become known since the last call.
  std::vector<SuspectNews> TakeNews() { return std::exchange(this->news, {}); }
  std::size_t Size() const { return this->suspects.Size(); }

private:
  struct Lost
  {
    TimePoint at;
    EndpointLife life;
    std::uint64_t fingerprint = 0;
  };

  void Expire(TimePoint aNow);
  void AddCrash(TimePoint aNow, const EndpointLife& aLife, std::uint64_t aFingerprint);
  void AddNews(TimePoint aNow, std::uint64_t aFingerprint, bool aIsOwn);

  CrashWatchOptions options;
  SuspectTable suspects;
  std::deque<Lost> lost;
  std::map<EndpointLife, TimePoint> died;
  std::unordered_map<std::uint64_t, TimePoint> seenAt; // by this entry, a short while ago
  std::vector<SuspectNews> news;
};

} // namespace caraway::direct
