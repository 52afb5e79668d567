#include "core/suspect.h"

#include <algorithm>

namespace caraway {

namespace {

constexpr std::uint32_t kRefuseAfter = 2; // crashes

} // namespace

SuspectTable::SuspectTable(std::uint32_t aCapacity, Duration aKeep)
  : capacity(aCapacity)
  , keep(aKeep)
{
}

Suspect SuspectTable::OnCrash(TimePoint aNow, std::uint64_t aFingerprint)
{
  Suspect& suspect = this->Remember(aNow, aFingerprint);
  suspect.crashes++;
  suspect.forgetAt = aNow + this->keep;
  return suspect;
}

bool SuspectTable::OnSuspicion(TimePoint aNow, std::uint64_t aFingerprint, std::uint32_t aCrashes,
                               Duration aForgetAfter)
{
  if (aCrashes == 0 || aForgetAfter <= Duration::zero()) {
    return false;
  }
  Suspect& suspect = this->Remember(aNow, aFingerprint);
  if (aCrashes <= suspect.crashes) {
    return false;
  }
  suspect.crashes = aCrashes;
  suspect.forgetAt = aNow + std::min(aForgetAfter, this->keep);
  return true;
}

void SuspectTable::Clear(std::uint64_t aFingerprint)
{
  this->suspects.erase(aFingerprint);
}

Verdict SuspectTable::Judge(TimePoint aNow, std::uint64_t aFingerprint) const
{
  const auto found = this->suspects.find(aFingerprint);
  if (found == this->suspects.end() || found->second.forgetAt <= aNow) {
    return Verdict::kClear;
  }
  return found->second.crashes >= kRefuseAfter ? Verdict::kRefused : Verdict::kAlone;
}

Duration SuspectTable::ForgetAfter(TimePoint aNow, std::uint64_t aFingerprint) const
{
  const auto found = this->suspects.find(aFingerprint);
  if (found == this->suspects.end()) {
    return Duration::zero();
  }
  return std::max(found->second.forgetAt - aNow, Duration::zero());
}

// Entry of a fingerprint; the oldest ones make room for a new one.
Suspect& SuspectTable::Remember(TimePoint aNow, std::uint64_t aFingerprint)
{
  const auto found = this->suspects.find(aFingerprint);
  if (found != this->suspects.end() && found->second.forgetAt > aNow) {
    return found->second;
  }
  this->Expire(aNow);
  while (this->suspects.size() >= this->capacity && !this->order.empty()) {
    this->suspects.erase(this->order.front());
    this->order.pop_front();
  }
  this->order.push_back(aFingerprint);
  Suspect& suspect = this->suspects[aFingerprint];
  suspect = Suspect{ 0, aNow + this->keep };
  return suspect;
}

// Drops what is due or was cleared from the head of the order.
void SuspectTable::Expire(TimePoint aNow)
{
  while (!this->order.empty()) {
    const auto found = this->suspects.find(this->order.front());
    if (found != this->suspects.end() && found->second.forgetAt > aNow) {
      return;
    }
    if (found != this->suspects.end()) {
      this->suspects.erase(found);
    }
    this->order.pop_front();
  }
}

std::vector<Suspicion> SuspectTable::All(TimePoint aNow) const
{
  std::vector<Suspicion> result;
  for (const auto& [fingerprint, suspect] : this->suspects) {
    if (suspect.forgetAt > aNow) {
      result.push_back(Suspicion{ fingerprint, suspect.crashes, suspect.forgetAt - aNow });
    }
  }
  return result;
}

} // namespace caraway
