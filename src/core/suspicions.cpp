#include "core/suspicions.h"

#include <algorithm>

namespace caraway {

SuspicionTable::SuspicionTable(std::size_t aMaxSize)
  : maxSize(aMaxSize)
{
}

bool SuspicionTable::Learn(TimePoint aNow, const Suspicion& aSuspicion)
{
  this->MakeRoom(aNow);
  Suspect& suspect = this->suspects[aSuspicion.fingerprint];
  if (suspect.until <= aNow) {
    suspect = Suspect{};
  }
  if (aSuspicion.crashes <= suspect.crashes) {
    return false;
  }
  suspect.crashes = aSuspicion.crashes;
  suspect.until = aNow + aSuspicion.forgetAfter;
  return true;
}

bool SuspicionTable::IsSuspect(TimePoint aNow, std::uint64_t aFingerprint) const
{
  const auto found = this->suspects.find(aFingerprint);
  return found != this->suspects.end() && found->second.until > aNow;
}

std::vector<Suspicion> SuspicionTable::All(TimePoint aNow) const
{
  std::vector<Suspicion> result;
  for (const auto& [fingerprint, suspect] : this->suspects) {
    if (suspect.until > aNow) {
      result.push_back(Suspicion{ fingerprint, suspect.crashes, suspect.until - aNow });
    }
  }
  return result;
}

// Drops what has expired, and the one that expires first when the table is still full.
void SuspicionTable::MakeRoom(TimePoint aNow)
{
  if (this->suspects.size() < this->maxSize) {
    return;
  }
  std::erase_if(this->suspects, [aNow](const auto& aItem) { return aItem.second.until <= aNow; });
  if (this->suspects.size() < this->maxSize) {
    return;
  }
  const auto first = std::min_element(
    this->suspects.begin(), this->suspects.end(),
    [](const auto& aLeft, const auto& aRight) { return aLeft.second.until < aRight.second.until; });
  this->suspects.erase(first);
}

} // namespace caraway
