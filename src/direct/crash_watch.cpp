#include "direct/crash_watch.h"

#include "core/cereal_bytes.h"

#include <algorithm>

namespace caraway::direct {

namespace {

std::uint64_t CrashOf(const EndpointLife& aLife)
{
  return HashOf(std::to_string(aLife.bornMs), aLife.endpoint);
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

// Other connections to a dead endpoint may show their end after its death is known.
void CrashWatch::OnLost(TimePoint aNow, const EndpointLife& aLife, std::uint64_t aFingerprint)
{
  if (aFingerprint == 0) {
    return; // the host does not tell requests apart
  }
  this->Expire(aNow);
  if (this->died.contains(aLife)) {
    this->AddCrash(aNow, aLife, aFingerprint);
    return;
  }
  if (this->lost.size() >= this->options.maxLost) {
    this->lost.pop_front();
  }
  this->lost.push_back({ aNow, aLife, aFingerprint });
}

std::size_t CrashWatch::OnDied(TimePoint aNow, const EndpointLife& aLife)
{
  this->Expire(aNow);
  this->died[aLife] = aNow;
  std::vector<std::uint64_t> fingerprints;
  std::erase_if(this->lost, [&](const Lost& aLost) {
    if (aLost.life != aLife) {
      return false;
    }
    fingerprints.push_back(aLost.fingerprint);
    return true;
  });
  for (const std::uint64_t fingerprint : fingerprints) {
    this->AddCrash(aNow, aLife, fingerprint);
  }
  return fingerprints.size();
}

void CrashWatch::OnAnswered(TimePoint aNow, std::uint64_t aFingerprint)
{
  if (this->suspects.Clear(aFingerprint)) {
    this->AddNews(aNow, aFingerprint, true);
  }
}

void CrashWatch::OnSuspicions(TimePoint aNow, const std::vector<Suspicion>& aSuspicions)
{
  for (const Suspicion& suspicion : aSuspicions) {
    if (this->suspects.OnSuspicion(aNow, suspicion)) {
      this->AddNews(aNow, suspicion.fingerprint, false);
    }
  }
}

std::vector<Suspicion> CrashWatch::ToTell(TimePoint aNow) const
{
  std::vector<Suspicion> told = this->suspects.All(aNow);
  std::erase_if(told, [&](const Suspicion& aSuspicion) {
    const auto seen = this->seenAt.find(aSuspicion.fingerprint);
    const bool isRecent =
      seen != this->seenAt.end() && aNow - seen->second <= this->options.tellTime;
    return !isRecent && this->Judge(aNow, aSuspicion.fingerprint) != Verdict::kRefused;
  });
  if (told.size() > this->options.maxTold) {
    std::sort(told.begin(), told.end(), [](const Suspicion& aLeft, const Suspicion& aRight) {
      return aLeft.forgetAfter > aRight.forgetAfter;
    });
    told.resize(this->options.maxTold);
  }
  return told;
}

void CrashWatch::Expire(TimePoint aNow)
{
  while (!this->lost.empty() && aNow - this->lost.front().at > this->options.lostTime) {
    this->lost.pop_front();
  }
  std::erase_if(this->died,
                [&](const auto& aRow) { return aNow - aRow.second > this->options.lostTime; });
  std::erase_if(this->seenAt,
                [&](const auto& aRow) { return aNow - aRow.second > this->options.tellTime; });
}

void CrashWatch::AddCrash(TimePoint aNow, const EndpointLife& aLife, std::uint64_t aFingerprint)
{
  if (this->suspects.OnCrash(aNow, aFingerprint, CrashOf(aLife))) {
    this->AddNews(aNow, aFingerprint, true);
  }
}

void CrashWatch::AddNews(TimePoint aNow, std::uint64_t aFingerprint, bool aIsOwn)
{
  if (aIsOwn) {
    this->seenAt[aFingerprint] = aNow;
  }
  this->news.push_back({ this->suspects.SuspicionOf(aNow, aFingerprint), this->Judge(aNow, aFingerprint),
                         this->seenAt.contains(aFingerprint) });
}

} // namespace caraway::direct
