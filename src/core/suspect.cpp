#include "core/suspect.h"

#include <algorithm>

namespace caraway {

namespace {

constexpr std::uint32_t kRefuseAfter = 2; // crashes
constexpr std::size_t kMaxCrashes = 16;   // remembered of one fingerprint

// Adds what is new about one crash; false if nothing is.
bool Merge(Suspect& aSuspect, const SuspectedCrash& aCrash)
{
  const auto found =
    std::find_if(aSuspect.crashes.begin(), aSuspect.crashes.end(),
                 [&](const SuspectedCrash& aKnown) { return aKnown.id == aCrash.id; });
  if (found != aSuspect.crashes.end()) {
    const bool isNews = aCrash.isCleared && !found->isCleared;
    found->isCleared = found->isCleared || aCrash.isCleared;
    return isNews;
  }
  if (aSuspect.crashes.size() >= kMaxCrashes) {
    aSuspect.crashes.erase(aSuspect.crashes.begin());
  }
  aSuspect.crashes.push_back(aCrash);
  return true;
}

} // namespace

SuspectTable::SuspectTable(std::uint32_t aCapacity, Duration aKeep)
  : capacity(aCapacity)
  , keep(aKeep)
{
}

std::uint32_t Suspect::OpenCrashes() const
{
  return static_cast<std::uint32_t>(
    std::count_if(this->crashes.begin(), this->crashes.end(),
                  [](const SuspectedCrash& aCrash) { return !aCrash.isCleared; }));
}

bool SuspectTable::OnCrash(TimePoint aNow, std::uint64_t aFingerprint, std::uint64_t aCrash)
{
  Suspect& suspect = this->Remember(aNow, aFingerprint);
  if (!Merge(suspect, { aCrash, false })) {
    return false;
  }
  suspect.forgetAt = aNow + this->keep;
  return true;
}

bool SuspectTable::OnSuspicion(TimePoint aNow, const Suspicion& aSuspicion)
{
  if (aSuspicion.crashes.empty() || aSuspicion.forgetAfter <= Duration::zero()) {
    return false;
  }
  Suspect& suspect = this->Remember(aNow, aSuspicion.fingerprint);
  bool isNews = false;
  for (const SuspectedCrash& crash : aSuspicion.crashes) {
    isNews = Merge(suspect, crash) || isNews;
  }
  if (isNews) {
    suspect.forgetAt = aNow + std::min(aSuspicion.forgetAfter, this->keep);
  }
  return isNews;
}

// The crashes are kept, so that reports of them that are still under way count no more.
bool SuspectTable::Clear(std::uint64_t aFingerprint)
{
  const auto found = this->suspects.find(aFingerprint);
  if (found == this->suspects.end() || found->second.OpenCrashes() == 0) {
    return false;
  }
  for (SuspectedCrash& crash : found->second.crashes) {
    crash.isCleared = true;
  }
  return true;
}

Verdict SuspectTable::Judge(TimePoint aNow, std::uint64_t aFingerprint) const
{
  const auto found = this->suspects.find(aFingerprint);
  if (found == this->suspects.end() || found->second.forgetAt <= aNow) {
    return Verdict::kClear;
  }
  const std::uint32_t crashes = found->second.OpenCrashes();
  return crashes >= kRefuseAfter ? Verdict::kRefused
         : crashes > 0           ? Verdict::kAlone
                                 : Verdict::kClear;
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
  suspect = Suspect{ {}, aNow + this->keep };
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

Suspicion SuspectTable::Of(TimePoint aNow, std::uint64_t aFingerprint) const
{
  const auto found = this->suspects.find(aFingerprint);
  return found == this->suspects.end()
           ? Suspicion{ aFingerprint, {}, Duration::zero() }
           : Suspicion{ aFingerprint, found->second.crashes, found->second.forgetAt - aNow };
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
