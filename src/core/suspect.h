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
  std::uint32_t crashes = 0;
  TimePoint forgetAt = kNever;
};

class SuspectTable
{
public:
  SuspectTable(std::uint32_t aCapacity, Duration aKeep);

  // A request ran while an endpoint died; returns what is known afterwards.
  Suspect OnCrash(TimePoint aNow, std::uint64_t aFingerprint);
  // Another process reported a suspect; true if that is news.
  bool OnSuspicion(TimePoint aNow, std::uint64_t aFingerprint, std::uint32_t aCrashes,
                   Duration aForgetAfter);
  // The request ran alone to its end: it does not crash endpoints.
  void Clear(std::uint64_t aFingerprint);

  Verdict Judge(TimePoint aNow, std::uint64_t aFingerprint) const;
  // Time until the fingerprint is forgotten; zero if it is not suspect.
  Duration ForgetAfter(TimePoint aNow, std::uint64_t aFingerprint) const;
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
