#include "direct/crash_watch.h"

#include "core/cereal_bytes.h"

#include <algorithm>

namespace caraway::direct {

namespace {

std::uint64_t CrashId(const EndpointIncarnation& aIncarnation)
{
  return HashOf(std::to_string(aIncarnation.bornMs), aIncarnation.endpoint);
}

} // namespace

std::string EncodeSavedSuspicion(const SavedSuspicion& aSaved)
{
  return ToBytes(aSaved);
}

std::optional<SavedSuspicion> DecodeSavedSuspicion(std::string_view aBytes)
{
  return FromBytes<SavedSuspicion>(aBytes);
}

CrashWatch::CrashWatch(const CrashWatchOptions& aOptions)
  : options(aOptions)
  , suspects(aOptions.maxSuspects, aOptions.suspectTime)
{
}

// Connections to a dead endpoint may break after its death was detected.
void CrashWatch::OnAttemptLost(TimePoint aNow, const EndpointIncarnation& aIncarnation,
                               std::uint64_t aFingerprint)
{
  if (aFingerprint == 0) {
    return; // the host provides no fingerprints
  }
  this->Expire(aNow);
  if (this->deadSince.contains(aIncarnation)) {
    this->AddCrash(aNow, aIncarnation, aFingerprint);
    return;
  }
  if (this->lostAttempts.size() >= this->options.maxLostAttempts) {
    this->lostAttempts.pop_front();
  }
  this->lostAttempts.push_back({ aNow, aIncarnation, aFingerprint });
}

std::size_t CrashWatch::OnDied(TimePoint aNow, const EndpointIncarnation& aIncarnation)
{
  this->Expire(aNow);
  this->deadSince[aIncarnation] = aNow;
  std::vector<std::uint64_t> fingerprints;
  std::erase_if(this->lostAttempts, [&](const LostAttempt& aLost) {
    if (aLost.incarnation != aIncarnation) {
      return false;
    }
    fingerprints.push_back(aLost.fingerprint);
    return true;
  });
  for (const std::uint64_t fingerprint : fingerprints) {
    this->AddCrash(aNow, aIncarnation, fingerprint);
  }
  return fingerprints.size();
}

void CrashWatch::OnAnswered(TimePoint aNow, std::uint64_t aFingerprint)
{
  if (this->suspects.Clear(aFingerprint)) {
    this->AddUpdate(aNow, aFingerprint, true);
  }
}

void CrashWatch::OnSuspicions(TimePoint aNow, const std::vector<Suspicion>& aSuspicions)
{
  for (const Suspicion& suspicion : aSuspicions) {
    if (this->suspects.OnSuspicion(aNow, suspicion)) {
      this->AddUpdate(aNow, suspicion.fingerprint, false);
    }
  }
}

std::vector<Suspicion> CrashWatch::ToShare(TimePoint aNow) const
{
  std::vector<Suspicion> shared = this->suspects.All(aNow);
  std::erase_if(shared, [&](const Suspicion& aSuspicion) {
    const auto observed = this->observedAt.find(aSuspicion.fingerprint);
    const bool isRecent =
      observed != this->observedAt.end() && aNow - observed->second <= this->options.shareTime;
    return !isRecent && this->Judge(aNow, aSuspicion.fingerprint) != Verdict::kRefused;
  });
  if (shared.size() > this->options.maxShared) {
    std::sort(shared.begin(), shared.end(), [](const Suspicion& aLeft, const Suspicion& aRight) {
      return aLeft.forgetAfter > aRight.forgetAfter;
    });
    shared.resize(this->options.maxShared);
  }
  return shared;
}

void CrashWatch::Expire(TimePoint aNow)
{
  while (!this->lostAttempts.empty() &&
         aNow - this->lostAttempts.front().at > this->options.maxLossAge) {
    this->lostAttempts.pop_front();
  }
  std::erase_if(this->deadSince,
                [&](const auto& aRow) { return aNow - aRow.second > this->options.maxLossAge; });
  std::erase_if(this->observedAt,
                [&](const auto& aRow) { return aNow - aRow.second > this->options.shareTime; });
}

void CrashWatch::AddCrash(TimePoint aNow, const EndpointIncarnation& aIncarnation,
                          std::uint64_t aFingerprint)
{
  if (this->suspects.OnCrash(aNow, aFingerprint, CrashId(aIncarnation))) {
    this->AddUpdate(aNow, aFingerprint, true);
  }
}

void CrashWatch::AddUpdate(TimePoint aNow, std::uint64_t aFingerprint, bool aIsLocal)
{
  if (aIsLocal) {
    this->observedAt[aFingerprint] = aNow;
  }
  this->updates.push_back({ this->suspects.SuspicionOf(aNow, aFingerprint),
                            this->Judge(aNow, aFingerprint),
                            this->observedAt.contains(aFingerprint) });
}

} // namespace caraway::direct
