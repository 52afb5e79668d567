// Fingerprints of requests, or of what requests have in common, that were running when an endpoint
// crashed. Any of them may crash every endpoint that runs it. A suspect request runs exclusively
// until it has completed or has been present at enough crashes to be refused.
#pragma once

#include "core/messages.h"

#include <cstdint>
#include <deque>
#include <unordered_map>
#include <vector>

namespace caraway {

enum class Verdict : std::uint8_t
{
  kClear,     // not suspect
  kExclusive, // was running at one crash: runs with no other request on the endpoint
  kRefused,   // was running at a further crash: refused until expiry
};

// State of one fingerprint.
struct Suspect
{
  std::vector<SuspectedCrash> crashes; // one for each endpoint incarnation, whoever reported it
  TimePoint forgetAt = kNever;

  // Crashes after which the request has not completed.
  std::uint32_t UnclearedCrashes() const;
  // Those of them that were repeats.
  std::uint32_t UnclearedRepeats() const;
  // True if this one was at each crash after which the other has not completed.
  bool WasAtAllCrashesOf(const Suspect& aOther) const;
};

class SuspectTable
{
public:
  // aRefuseAfter: crashes without a completion in between after which a fingerprint is refused.
  SuspectTable(std::uint32_t aCapacity, Duration aRetention, std::uint32_t aRefuseAfter = 2);

  // Records that a request was running when an endpoint crashed. aCrash identifies the incarnation
  // of the endpoint that ended. Returns whether the crash was unknown.
  bool OnCrash(TimePoint aNow, std::uint64_t aFingerprint, std::uint64_t aCrash);
  // The same with all that is known of the crash; returns whether anything changed.
  bool OnCrash(TimePoint aNow, std::uint64_t aFingerprint, const SuspectedCrash& aCrash);
  // Merges a report of another process; returns whether it changed anything.
  bool OnSuspicion(TimePoint aNow, const Suspicion& aSuspicion);
  // Clears the fingerprint after its request has completed. Returns whether it was suspect.
  bool Clear(std::uint64_t aFingerprint);

  Verdict Judge(TimePoint aNow, std::uint64_t aFingerprint) const;
  // Crashes since the fingerprint last completed.
  std::uint32_t UnclearedCrashes(TimePoint aNow, std::uint64_t aFingerprint) const;
  std::uint32_t UnclearedRepeats(TimePoint aNow, std::uint64_t aFingerprint) const;
  // True if it had been answered before one of them.
  bool WasAnsweredBefore(TimePoint aNow, std::uint64_t aFingerprint) const;
  // True if another refused fingerprint was at all crashes that count against this one, so that
  // this one may have been a bystander at each.
  bool IsExplainedByOther(TimePoint aNow, std::uint64_t aFingerprint) const;
  // Time until the fingerprint expires; zero if it is not suspect.
  Duration ForgetAfter(TimePoint aNow, std::uint64_t aFingerprint) const;
  // Report of the fingerprint with its remaining time.
  Suspicion SuspicionOf(TimePoint aNow, std::uint64_t aFingerprint) const;
  // Reports of all suspects with their remaining time.
  std::vector<Suspicion> All(TimePoint aNow) const;
  std::size_t Size() const { return this->suspects.size(); }

private:
  Suspect& FindOrAdd(TimePoint aNow, std::uint64_t aFingerprint);
  void MakeRoom(TimePoint aNow);
  void Expire(TimePoint aNow);

  std::uint32_t capacity;
  Duration retention;
  std::uint32_t refuseAfter;
  std::unordered_map<std::uint64_t, Suspect> suspects;
  std::deque<std::uint64_t> insertionOrder; // oldest first; may contain removed ones
};

} // namespace caraway
