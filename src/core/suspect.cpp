#include "core/suspect.h"

#include <algorithm>

namespace caraway {

namespace {

constexpr std::size_t kMaxCrashes = 16; // kept for one fingerprint

// Merges one crash into the suspect; returns whether it changed anything.
bool Merge(Suspect& aSuspect, const SuspectedCrash& aCrash)
{
  const auto found =
    std::find_if(aSuspect.crashes.begin(), aSuspect.crashes.end(),
                 [&](const SuspectedCrash& aKnown) { return aKnown.id == aCrash.id; });
  if (found != aSuspect.crashes.end()) {
    const SuspectedCrash known = *found;
    found->isCleared = found->isCleared || aCrash.isCleared;
    found->isRepeat = found->isRepeat || aCrash.isRepeat;
    found->wasAnswered = found->wasAnswered || aCrash.wasAnswered;
    return *found != known;
  }
  if (aSuspect.crashes.size() >= kMaxCrashes) {
    aSuspect.crashes.erase(aSuspect.crashes.begin());
  }
  aSuspect.crashes.push_back(aCrash);
  return true;
}

} // namespace

SuspectTable::SuspectTable(std::uint32_t aCapacity, Duration aRetention, std::uint32_t aRefuseAfter)
  : capacity(aCapacity)
  , retention(aRetention)
  , refuseAfter(aRefuseAfter)
{
}

std::uint32_t Suspect::UnclearedCrashes() const
{
  return static_cast<std::uint32_t>(
    std::count_if(this->crashes.begin(), this->crashes.end(),
                  [](const SuspectedCrash& aCrash) { return !aCrash.isCleared; }));
}

std::uint32_t Suspect::UnclearedRepeats() const
{
  return static_cast<std::uint32_t>(
    std::count_if(this->crashes.begin(), this->crashes.end(), [](const SuspectedCrash& aCrash) {
      return aCrash.isRepeat && !aCrash.isCleared;
    }));
}

bool Suspect::WasAtAllCrashesOf(const Suspect& aOther) const
{
  return std::all_of(
    aOther.crashes.begin(), aOther.crashes.end(), [this](const SuspectedCrash& aCrash) {
      return aCrash.isCleared || std::any_of(this->crashes.begin(), this->crashes.end(),
                                             [&](const SuspectedCrash& aOwn) {
                                               return aOwn.id == aCrash.id && !aOwn.isCleared;
                                             });
    });
}

bool SuspectTable::OnCrash(TimePoint aNow, std::uint64_t aFingerprint, std::uint64_t aCrash)
{
  return this->OnCrash(aNow, aFingerprint, SuspectedCrash{ aCrash });
}

bool SuspectTable::OnCrash(TimePoint aNow, std::uint64_t aFingerprint, const SuspectedCrash& aCrash)
{
  Suspect& suspect = this->FindOrAdd(aNow, aFingerprint);
  if (!Merge(suspect, aCrash)) {
    return false;
  }
  suspect.forgetAt = aNow + this->retention;
  return true;
}

bool SuspectTable::OnSuspicion(TimePoint aNow, const Suspicion& aSuspicion)
{
  if (aSuspicion.crashes.empty() || aSuspicion.forgetAfter <= Duration::zero()) {
    return false;
  }
  Suspect& suspect = this->FindOrAdd(aNow, aSuspicion.fingerprint);
  bool isChanged = false;
  for (const SuspectedCrash& crash : aSuspicion.crashes) {
    isChanged = Merge(suspect, crash) || isChanged;
  }
  if (isChanged) {
    suspect.forgetAt = aNow + std::min(aSuspicion.forgetAfter, this->retention);
  }
  return isChanged;
}

// The crashes are kept as cleared, so that reports of them that are still in transit are ignored.
bool SuspectTable::Clear(std::uint64_t aFingerprint)
{
  const auto found = this->suspects.find(aFingerprint);
  if (found == this->suspects.end() || found->second.UnclearedCrashes() == 0) {
    return false;
  }
  for (SuspectedCrash& crash : found->second.crashes) {
    crash.isCleared = true;
  }
  return true;
}

Verdict SuspectTable::Judge(TimePoint aNow, std::uint64_t aFingerprint) const
{
  const std::uint32_t crashes = this->UnclearedCrashes(aNow, aFingerprint);
  return crashes >= this->refuseAfter ? Verdict::kRefused
         : crashes > 0                ? Verdict::kExclusive
                                      : Verdict::kClear;
}

std::uint32_t SuspectTable::UnclearedCrashes(TimePoint aNow, std::uint64_t aFingerprint) const
{
  const auto found = this->suspects.find(aFingerprint);
  return found == this->suspects.end() || found->second.forgetAt <= aNow
           ? 0
           : found->second.UnclearedCrashes();
}

std::uint32_t SuspectTable::UnclearedRepeats(TimePoint aNow, std::uint64_t aFingerprint) const
{
  const auto found = this->suspects.find(aFingerprint);
  return found == this->suspects.end() || found->second.forgetAt <= aNow
           ? 0
           : found->second.UnclearedRepeats();
}

bool SuspectTable::WasAnsweredBefore(TimePoint aNow, std::uint64_t aFingerprint) const
{
  const auto found = this->suspects.find(aFingerprint);
  return found != this->suspects.end() && found->second.forgetAt > aNow &&
         std::any_of(
           found->second.crashes.begin(), found->second.crashes.end(),
           [](const SuspectedCrash& aCrash) { return aCrash.wasAnswered && !aCrash.isCleared; });
}

bool SuspectTable::IsExplainedByOther(TimePoint aNow, std::uint64_t aFingerprint) const
{
  const auto found = this->suspects.find(aFingerprint);
  if (found == this->suspects.end()) {
    return false;
  }
  return std::any_of(this->suspects.begin(), this->suspects.end(), [&](const auto& aRow) {
    return aRow.first != aFingerprint && this->Judge(aNow, aRow.first) == Verdict::kRefused &&
           aRow.second.WasAtAllCrashesOf(found->second);
  });
}

Duration SuspectTable::ForgetAfter(TimePoint aNow, std::uint64_t aFingerprint) const
{
  const auto found = this->suspects.find(aFingerprint);
  if (found == this->suspects.end()) {
    return Duration::zero();
  }
  return std::max(found->second.forgetAt - aNow, Duration::zero());
}

// Evicts the oldest suspects while the table is full, refused ones only if there are no others.
void SuspectTable::MakeRoom(TimePoint aNow)
{
  std::size_t sparedCount = 0;
  while (this->suspects.size() >= this->capacity && !this->insertionOrder.empty()) {
    const std::uint64_t oldest = this->insertionOrder.front();
    this->insertionOrder.pop_front();
    const bool isSpared =
      sparedCount < this->insertionOrder.size() && this->Judge(aNow, oldest) == Verdict::kRefused;
    if (isSpared) {
      sparedCount++;
      this->insertionOrder.push_back(oldest);
    } else {
      this->suspects.erase(oldest);
    }
  }
}

// Finds the suspect of a fingerprint or adds it.
Suspect& SuspectTable::FindOrAdd(TimePoint aNow, std::uint64_t aFingerprint)
{
  const auto found = this->suspects.find(aFingerprint);
  if (found != this->suspects.end() && found->second.forgetAt > aNow) {
    return found->second;
  }
  this->Expire(aNow);
  this->MakeRoom(aNow);
  this->insertionOrder.push_back(aFingerprint);
  Suspect& suspect = this->suspects[aFingerprint];
  suspect = Suspect{ {}, aNow + this->retention };
  return suspect;
}

// Removes expired suspects from the head of the insertion order.
void SuspectTable::Expire(TimePoint aNow)
{
  while (!this->insertionOrder.empty()) {
    const auto found = this->suspects.find(this->insertionOrder.front());
    if (found != this->suspects.end() && found->second.forgetAt > aNow) {
      return;
    }
    if (found != this->suspects.end()) {
      this->suspects.erase(found);
    }
    this->insertionOrder.pop_front();
  }
}

Suspicion SuspectTable::SuspicionOf(TimePoint aNow, std::uint64_t aFingerprint) const
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
