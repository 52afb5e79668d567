// Fingerprints of requests that were running when an endpoint died. One of them may crash every
// endpoint that runs it, so each runs alone until it has proved itself or crashed a second
// endpoint.
#pragma once

#include "core/messages.h"

#include <cstdint>
#include <deque>
#include <unordered_map>
#include <vector>

namespace caraway {

enum class Verdict : std::uint8_t
{
  kClear,   // not suspect
  kAlone,   // ran once while an endpoint died: runs alone
  kRefused, // was there a second time: refused for a set time
};

// What is known of one fingerprint.
struct Suspect
{
  std::vector<SuspectedCrash> crashes; // each endpoint's life once, whoever reported it
  TimePoint forgetAt = kNever;

  // Crashes after which the request has not run well.
  std::uint32_t OpenCrashes() const;
};

class SuspectTable
{
public:
  SuspectTable(std::uint32_t aCapacity, Duration aKeep);

  // A request ran while an endpoint died. aCrash names the life of the endpoint that ended. True if
  // that is news.
  bool OnCrash(TimePoint aNow, std::uint64_t aFingerprint, std::uint64_t aCrash);
  // Another process reported a suspect; true if that is news.
  bool OnSuspicion(TimePoint aNow, const Suspicion& aSuspicion);
  // The request ran to its end: it does not crash endpoints. True if it was suspect.
  bool Clear(std::uint64_t aFingerprint);

  Verdict Judge(TimePoint aNow, std::uint64_t aFingerprint) const;
  // Time until the fingerprint is forgotten; zero if it is not suspect.
  Duration ForgetAfter(TimePoint aNow, std::uint64_t aFingerprint) const;
  // What is known of the fingerprint, with the time that it has left.
  Suspicion Of(TimePoint aNow, std::uint64_t aFingerprint) const;
  // All suspects, with the time that each has left.
  std::vector<Suspicion> All(TimePoint aNow) const;
  std::size_t Size() const { return this->suspects.size(); }

private:
  Suspect& Remember(TimePoint aNow, std::uint64_t aFingerprint);
  void Expire(TimePoint aNow);

  std::uint32_t capacity;
  Duration keep;
  std::unordered_map<std::uint64_t, Suspect> suspects;
  std::deque<std::uint64_t> order; // oldest first; may name forgotten ones
};

} // namespace caraway
