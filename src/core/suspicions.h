// Fingerprints of requests that were running when an endpoint died, as an entry knows them.
#pragma once

#include "core/messages.h"

#include <unordered_map>
#include <vector>

namespace caraway {

class SuspicionTable
{
public:
  explicit SuspicionTable(std::size_t aMaxSize);

  // Returns whether aSuspicion says more than was known, and so should be passed on.
  bool Learn(TimePoint aNow, const Suspicion& aSuspicion);
  bool IsSuspect(TimePoint aNow, std::uint64_t aFingerprint) const;
  // Suspicions in force, with the time that each has left.
  std::vector<Suspicion> All(TimePoint aNow) const;

private:
  struct Suspect
  {
    std::uint32_t crashes = 0;
    TimePoint until{};
  };

  void MakeRoom(TimePoint aNow);

  std::size_t maxSize;
  std::unordered_map<std::uint64_t, Suspect> suspects;
};

} // namespace caraway
