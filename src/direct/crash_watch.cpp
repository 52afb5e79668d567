#include "direct/crash_watch.h"

#include "core/cereal_bytes.h"

#include <algorithm>
#include <iterator>
#include <tuple>

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
  , ledgers{
    Ledger{ { aOptions.maxSuspects, aOptions.suspectTime, aOptions.refuseRequestAfter }, {} },
    Ledger{ { aOptions.maxSuspects, aOptions.suspectTime, aOptions.refusePartAfter }, {} }
  }
{
}

// Connections to a dead endpoint may break after its death was detected.
void CrashWatch::OnAttemptLost(TimePoint aNow, const EndpointIncarnation& aIncarnation,
                               std::uint64_t aFingerprint, const PartIds& aParts,
                               const std::optional<SentVerdicts>& aSent)
{
  this->Expire(aNow);
  const LostAttempt lost{ aNow, aIncarnation, aFingerprint, aParts,
                          aSent ? *aSent : this->VerdictsOf(aNow, aFingerprint, aParts) };
  if (this->deadSince.contains(aIncarnation)) {
    this->AddCrash(aNow, lost);
    return;
  }
  if (this->lostAttempts.size() >= this->options.maxLostAttempts) {
    this->lostAttempts.pop_front();
  }
  this->lostAttempts.push_back(lost);
}

std::size_t CrashWatch::OnDied(TimePoint aNow, const EndpointIncarnation& aIncarnation)
{
  this->Expire(aNow);
  this->deadSince[aIncarnation] = aNow;
  std::vector<LostAttempt> lost;
  std::erase_if(this->lostAttempts, [&](LostAttempt& aLost) {
    if (aLost.incarnation != aIncarnation) {
      return false;
    }
    lost.push_back(std::move(aLost));
    return true;
  });
  for (const LostAttempt& attempt : lost) {
    this->AddCrash(aNow, attempt);
  }
  return lost.size();
}

void CrashWatch::OnAnswered(TimePoint aNow, std::uint64_t aFingerprint, const PartIds& aParts)
{
  this->KeepAnswered(SuspectKind::kRequest, aFingerprint);
  this->Clear(aNow, SuspectKind::kRequest, aFingerprint);
  for (const std::uint64_t part : aParts) {
    this->KeepAnswered(SuspectKind::kPromptPart, part);
    this->Clear(aNow, SuspectKind::kPromptPart, part);
  }
}

void CrashWatch::OnSuspicions(TimePoint aNow, const std::vector<Suspicion>& aSuspicions,
                              SuspectKind aKind)
{
  for (const Suspicion& suspicion : aSuspicions) {
    const bool wasRefused = this->IsRefused(aNow, aKind, suspicion.fingerprint);
    if (this->LedgerOf(aKind).table.OnSuspicion(aNow, suspicion)) {
      this->AddUpdate(aNow, aKind, suspicion.fingerprint, wasRefused);
    }
  }
}

Verdict CrashWatch::Judge(TimePoint aNow, std::uint64_t aFingerprint, const PartIds& aParts) const
{
  const SentVerdicts verdicts = this->VerdictsOf(aNow, aFingerprint, aParts);
  return std::max(verdicts.request, verdicts.parts);
}

SentVerdicts CrashWatch::VerdictsOf(TimePoint aNow, std::uint64_t aFingerprint,
                                    const PartIds& aParts) const
{
  SentVerdicts verdicts;
  verdicts.request = this->LedgerOf(SuspectKind::kRequest).table.Judge(aNow, aFingerprint);
  const SuspectTable& parts = this->LedgerOf(SuspectKind::kPromptPart).table;
  for (const std::uint64_t part : aParts) {
    verdicts.parts = std::max(verdicts.parts, parts.Judge(aNow, part));
  }
  return verdicts;
}

// The longer nobody has asked for it at this entry, the likelier the trial: however often it is
// asked for, there is about one trial per trialPeriod over all entries.
bool CrashWatch::TakeTrial(TimePoint aNow, std::uint64_t aFingerprint, const PartIds& aParts,
                           std::uint32_t aEntryCount, Random& aRandom)
{
  PartIds refused = this->RefusedParts(aNow, aParts);
  if (!this->MayTryRequest(aNow, aFingerprint) || !this->MayTryParts(aNow, refused)) {
    return false;
  }
  if (this->IsRefused(aNow, SuspectKind::kRequest, aFingerprint)) {
    refused.push_back(aFingerprint);
  }
  TimePoint lastAsked{};
  for (const std::uint64_t key : refused) {
    TimePoint& asked = this->askedAt.try_emplace(key, aNow).first->second;
    lastAsked = std::max(lastAsked, std::exchange(asked, aNow));
  }
  const Duration period = this->options.trialPeriod * std::max(aEntryCount, 1U);
  return aRandom.Unit() * static_cast<double>(period.count()) <
         static_cast<double>((aNow - lastAsked).count());
}

Duration CrashWatch::RefusedFor(TimePoint aNow, std::uint64_t aFingerprint,
                                const PartIds& aParts) const
{
  Duration time{};
  if (this->IsRefused(aNow, SuspectKind::kRequest, aFingerprint)) {
    time = this->MayTryRequest(aNow, aFingerprint)
             ? this->options.trialPeriod
             : this->LedgerOf(SuspectKind::kRequest).table.ForgetAfter(aNow, aFingerprint);
  }
  const PartIds refused = this->RefusedParts(aNow, aParts);
  const bool mayTry = this->MayTryParts(aNow, refused);
  for (const std::uint64_t part : refused) {
    const Duration forgetAfter =
      this->LedgerOf(SuspectKind::kPromptPart).table.ForgetAfter(aNow, part);
    time = std::max(time, mayTry ? this->options.trialPeriod : forgetAfter);
  }
  return time;
}

std::vector<Suspicion> CrashWatch::ToShare(TimePoint aNow, SuspectKind aKind) const
{
  struct Shared
  {
    bool isRefused = false;
    TimePoint observedAt{};
    Suspicion suspicion;
  };
  const Ledger& ledger = this->LedgerOf(aKind);
  std::vector<Shared> shared;
  for (Suspicion& suspicion : ledger.table.All(aNow)) {
    const auto found = ledger.observedAt.find(suspicion.fingerprint);
    const TimePoint observedAt = found == ledger.observedAt.end() ? TimePoint{} : found->second;
    const bool isRecent =
      found != ledger.observedAt.end() && aNow - observedAt <= this->options.shareTime;
    const bool isRefused = this->IsRefused(aNow, aKind, suspicion.fingerprint);
    if (isRecent || isRefused) {
      shared.push_back({ isRefused, observedAt, std::move(suspicion) });
    }
  }
  if (shared.size() > this->options.maxShared) {
    std::sort(shared.begin(), shared.end(), [](const Shared& aLeft, const Shared& aRight) {
      return std::tie(aLeft.isRefused, aLeft.observedAt, aLeft.suspicion.forgetAfter) >
             std::tie(aRight.isRefused, aRight.observedAt, aRight.suspicion.forgetAfter);
    });
    shared.resize(this->options.maxShared);
  }
  std::vector<Suspicion> result;
  result.reserve(shared.size());
  for (Shared& row : shared) {
    result.push_back(std::move(row.suspicion));
  }
  return result;
}

std::size_t CrashWatch::Size() const
{
  std::size_t size = 0;
  for (const Ledger& ledger : this->ledgers) {
    size += ledger.table.Size();
  }
  return size;
}

void CrashWatch::Expire(TimePoint aNow)
{
  while (!this->lostAttempts.empty() &&
         aNow - this->lostAttempts.front().at > this->options.maxLossAge) {
    this->lostAttempts.pop_front();
  }
  std::erase_if(this->deadSince,
                [&](const auto& aRow) { return aNow - aRow.second > this->options.maxLossAge; });
  for (Ledger& ledger : this->ledgers) {
    std::erase_if(ledger.observedAt,
                  [&](const auto& aRow) { return aNow - aRow.second > this->options.shareTime; });
  }
  std::erase_if(this->askedAt, [&](const auto& aRow) {
    return !this->IsRefused(aNow, SuspectKind::kPromptPart, aRow.first) &&
           !this->IsRefused(aNow, SuspectKind::kRequest, aRow.first);
  });
}

void CrashWatch::AddCrash(TimePoint aNow, const LostAttempt& aLost)
{
  const std::uint64_t crash = CrashId(aLost.incarnation);
  if (aLost.fingerprint != 0) { // 0: the host provides no fingerprints
    const bool isRepeat = aLost.sent.request != Verdict::kClear;
    this->AddCrash(aNow, SuspectKind::kRequest, aLost.fingerprint, crash, isRepeat);
  }
  for (const std::uint64_t part : aLost.parts) {
    const bool isTrial = aLost.sent.parts == Verdict::kRefused;
    this->AddCrash(aNow, SuspectKind::kPromptPart, part, crash, isTrial);
  }
}

void CrashWatch::AddCrash(TimePoint aNow, SuspectKind aKind, std::uint64_t aKey,
                          std::uint64_t aCrash, bool aIsRepeat)
{
  const bool wasRefused = this->IsRefused(aNow, aKind, aKey);
  Ledger& ledger = this->LedgerOf(aKind);
  const bool wasAnswered =
    ledger.answered.recent.contains(aKey) || ledger.answered.older.contains(aKey);
  if (ledger.table.OnCrash(aNow, aKey, SuspectedCrash{ aCrash, false, aIsRepeat, wasAnswered })) {
    ledger.observedAt[aKey] = aNow;
    this->AddUpdate(aNow, aKind, aKey, wasRefused);
  }
}

void CrashWatch::KeepAnswered(SuspectKind aKind, std::uint64_t aKey)
{
  Answered& answered = this->LedgerOf(aKind).answered;
  if (answered.recent.size() >= this->options.maxAnswered && !answered.recent.contains(aKey)) {
    answered.older = std::exchange(answered.recent, {});
  }
  answered.recent.insert(aKey);
}

void CrashWatch::Clear(TimePoint aNow, SuspectKind aKind, std::uint64_t aKey)
{
  const bool wasRefused = this->IsRefused(aNow, aKind, aKey);
  Ledger& ledger = this->LedgerOf(aKind);
  if (ledger.table.Clear(aKey)) {
    ledger.observedAt[aKey] = aNow;
    this->AddUpdate(aNow, aKind, aKey, wasRefused);
  }
}

void CrashWatch::AddUpdate(TimePoint aNow, SuspectKind aKind, std::uint64_t aKey, bool aWasRefused)
{
  const Ledger& ledger = this->LedgerOf(aKind);
  this->updates.push_back({ aKind, ledger.table.SuspicionOf(aNow, aKey),
                            ledger.table.Judge(aNow, aKey), aWasRefused,
                            ledger.observedAt.contains(aKey) });
}

bool CrashWatch::IsRefused(TimePoint aNow, SuspectKind aKind, std::uint64_t aKey) const
{
  return this->LedgerOf(aKind).table.Judge(aNow, aKey) == Verdict::kRefused;
}

bool CrashWatch::HasTrialsLeft(TimePoint aNow, std::uint64_t aPart) const
{
  const SuspectTable& table = this->LedgerOf(SuspectKind::kPromptPart).table;
  const std::uint32_t trials = table.UnclearedRepeats(aNow, aPart);
  const std::uint32_t before = table.UnclearedCrashes(aNow, aPart) - trials;
  const std::uint32_t max = this->options.maxTriedPartCrashes;
  if (before < max) {
    return trials < max - before;
  }
  return trials < this->options.maxTrialsAfterOutage && table.WasAnsweredBefore(aNow, aPart);
}

// A crash of a request with several refused parts counts against each of them, so that one that
// another explains is tried alone only.
bool CrashWatch::MayTryParts(TimePoint aNow, const PartIds& aRefused) const
{
  if (aRefused.size() == 1 &&
      this->LedgerOf(SuspectKind::kPromptPart).table.IsExplainedByOther(aNow, aRefused.front())) {
    return true;
  }
  return std::all_of(aRefused.begin(), aRefused.end(),
                     [&](std::uint64_t aPart) { return this->HasTrialsLeft(aNow, aPart); });
}

// A request that crashes endpoints is refused after a repeat and was never answered. Others may
// have been bystanders of an outage.
bool CrashWatch::MayTryRequest(TimePoint aNow, std::uint64_t aFingerprint) const
{
  const SuspectTable& table = this->LedgerOf(SuspectKind::kRequest).table;
  return !this->IsRefused(aNow, SuspectKind::kRequest, aFingerprint) ||
         (table.UnclearedRepeats(aNow, aFingerprint) == 0 &&
          table.WasAnsweredBefore(aNow, aFingerprint));
}

CrashWatch::PartIds CrashWatch::RefusedParts(TimePoint aNow, const PartIds& aParts) const
{
  PartIds refused;
  std::copy_if(aParts.begin(), aParts.end(), std::back_inserter(refused), [&](std::uint64_t aPart) {
    return this->IsRefused(aNow, SuspectKind::kPromptPart, aPart);
  });
  return refused;
}

} // namespace caraway::direct
