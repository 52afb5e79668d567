// Detects requests, and parts of prompts, that crash endpoints. Attempts that ended without a
// response are kept until it is known whether the endpoint died. A request that ran on several
// endpoints that died is refused at every entry, and so are all requests with a part that did. A
// complete answer clears the request and its parts. What is refused is tried again now and then,
// because it may have been a bystander each time, above all where all endpoints died at once.
#pragma once

#include "core/random.h"
#include "core/suspect.h"
#include "direct/leaving_table.h"

#include <array>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <unordered_set>
#include <utility>
#include <vector>

namespace caraway::direct {

// What is suspected of crashing endpoints.
enum class SuspectKind : std::uint8_t
{
  kRequest,    // the fingerprint of a request
  kPromptPart, // the ID of a part of prompts
};

constexpr std::array kSuspectKinds{ SuspectKind::kRequest, SuspectKind::kPromptPart };

struct CrashWatchOptions
{
  std::uint32_t maxSuspects = 4096;     // of each kind
  std::uint32_t refuseRequestAfter = 2; // crashes
  // Crashes; more than for a request, as a part in many requests is a bystander more often.
  std::uint32_t refusePartAfter = 3;
  // A refused part is not tried any more after this many crashes, unless another refused part was
  // at all of them, or it had been answered and they all came before the first trial.
  std::uint32_t maxTriedPartCrashes = 5;
  // Trials in vain of such a part, as when all endpoints died at once; the second is for an outage
  // that repeats.
  std::uint32_t maxTrialsAfterOutage = 2;
  // Keys, of each kind, after which those answered longer ago begin to be forgotten.
  std::size_t maxAnswered = 4096;
  Duration trialPeriod = std::chrono::seconds(2); // between trials of a part, over all entries
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

// What was known of a request and of the parts of its prompt when it was sent.
struct SentVerdicts
{
  Verdict request = Verdict::kClear;
  Verdict parts = Verdict::kClear; // the most severe one
};

// A change in what is known about a request or a part of prompts.
struct SuspectUpdate
{
  SuspectKind kind = SuspectKind::kRequest;
  Suspicion suspicion;
  Verdict verdict = Verdict::kClear;
  bool wasRefused = false; // before the change
  bool isLocal = false;    // this entry recently observed part of it
};

// A suspicion as persisted across restarts of all entries.
struct SavedSuspicion
{
  SuspectKind kind = SuspectKind::kRequest; // part of the record's key
  std::int64_t savedAtMs = 0;               // Unix time
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
  using PartIds = std::vector<std::uint64_t>;

  explicit CrashWatch(const CrashWatchOptions& aOptions);

  // An attempt at the endpoint ended without a response. aParts: shared parts of the prompt.
  // aSent: as of when it was sent; nullopt: as of now.
  void OnAttemptLost(TimePoint aNow, const EndpointIncarnation& aIncarnation,
                     std::uint64_t aFingerprint, const PartIds& aParts = {},
                     const std::optional<SentVerdicts>& aSent = std::nullopt);
  // The endpoint process has died. Returns the number of attempts lost with it.
  std::size_t OnDied(TimePoint aNow, const EndpointIncarnation& aIncarnation);
  // An endpoint completely answered the request, which clears it and its parts.
  void OnAnswered(TimePoint aNow, std::uint64_t aFingerprint, const PartIds& aParts = {});
  // Merges suspicions received from another entry or the platform's store.
  void OnSuspicions(TimePoint aNow, const std::vector<Suspicion>& aSuspicions,
                    SuspectKind aKind = SuspectKind::kRequest);

  // The most severe verdict on the request and its parts.
  Verdict Judge(TimePoint aNow, std::uint64_t aFingerprint, const PartIds& aParts = {}) const;
  SentVerdicts VerdictsOf(TimePoint aNow, std::uint64_t aFingerprint, const PartIds& aParts) const;
  // Called for each refused request. Returns whether it may run nevertheless, to try what is
  // refused of it.
  bool TakeTrial(TimePoint aNow, std::uint64_t aFingerprint, const PartIds& aParts,
                 std::uint32_t aEntryCount, Random& aRandom);
  // Time until a refused request may be accepted.
  Duration RefusedFor(TimePoint aNow, std::uint64_t aFingerprint, const PartIds& aParts = {}) const;
  // Suspicions to send to other entries: refused ones and recent local observations.
  std::vector<Suspicion> ToShare(TimePoint aNow, SuspectKind aKind = SuspectKind::kRequest) const;
  // Returns the updates since the last call.
  std::vector<SuspectUpdate> TakeUpdates() { return std::exchange(this->updates, {}); }
  std::size_t Size() const;

private:
  struct LostAttempt
  {
    TimePoint at;
    EndpointIncarnation incarnation;
    std::uint64_t fingerprint = 0;
    PartIds parts;
    SentVerdicts sent;
  };
  // What was answered completely, in two generations of limited size.
  struct Answered
  {
    std::unordered_set<std::uint64_t> recent;
    std::unordered_set<std::uint64_t> older;
  };
  struct Ledger
  {
    SuspectTable table;
    std::unordered_map<std::uint64_t, TimePoint> observedAt; // last local one, for shareTime
    Answered answered;
  };

  Ledger& LedgerOf(SuspectKind aKind) { return this->ledgers.at(static_cast<std::size_t>(aKind)); }
  const Ledger& LedgerOf(SuspectKind aKind) const
  {
    return this->ledgers.at(static_cast<std::size_t>(aKind));
  }
  void Expire(TimePoint aNow);
  void AddCrash(TimePoint aNow, const LostAttempt& aLost);
  void AddCrash(TimePoint aNow, SuspectKind aKind, std::uint64_t aKey, std::uint64_t aCrash,
                bool aIsRepeat);
  void KeepAnswered(SuspectKind aKind, std::uint64_t aKey);
  void Clear(TimePoint aNow, SuspectKind aKind, std::uint64_t aKey);
  void AddUpdate(TimePoint aNow, SuspectKind aKind, std::uint64_t aKey, bool aWasRefused);
  bool IsRefused(TimePoint aNow, SuspectKind aKind, std::uint64_t aKey) const;
  bool HasTrialsLeft(TimePoint aNow, std::uint64_t aPart) const;
  bool MayTryParts(TimePoint aNow, const PartIds& aRefused) const;
  bool MayTryRequest(TimePoint aNow, std::uint64_t aFingerprint) const;
  PartIds RefusedParts(TimePoint aNow, const PartIds& aParts) const;

  CrashWatchOptions options;
  std::array<Ledger, kSuspectKinds.size()> ledgers;
  std::deque<LostAttempt> lostAttempts;
  std::map<EndpointIncarnation, TimePoint> deadSince;
  // Last request with what is refused, by part or fingerprint.
  std::unordered_map<std::uint64_t, TimePoint> askedAt;
  std::vector<SuspectUpdate> updates;
};

} // namespace caraway::direct
