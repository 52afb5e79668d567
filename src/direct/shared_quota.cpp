#include "direct/shared_quota.h"

#include "core/cereal_bytes.h"

#include <algorithm>
#include <cmath>
#include <limits>
#include <numeric>
#include <utility>

namespace caraway::direct {

namespace {

// Upper limit of the silent time that is charged to a silent peer at once.
constexpr Duration kMaxAssumedTime = std::chrono::seconds(8);

// Accounts that used more than this share of their bound are saved; after a restart, all others are
// assumed to have used this share.
constexpr double kMinSavedShare = 0.05;
// Maximum usage since the last save, as a share of the bound, while saves succeed and before the
// first one. A restart assumes less than the larger one: part of that is in a save that was not yet
// known, and the platform tolerates more than the bound.
constexpr double kMaxUnsavedShare = 0.25;
constexpr double kMaxUnsavedShareAtStart = 0.1;
constexpr double kAssumedUnsavedShare = 0.2;
// Usage since the last save that makes the next one due, as a share of the bound, and its age.
constexpr double kSaveDueShare = 0.06;
constexpr Duration kSaveDueAge = std::chrono::milliseconds(900);
// Part of the estimated usage of peers since their last reports that the next save may miss.
constexpr double kUnsavedUnreportedWeight = 0.75;
// Time after which a caller that was refused for unsaved usage may succeed.
constexpr Duration kSaveWait = std::chrono::milliseconds(250);
// Minimum share of a window's usage that is missing in the last save: peers report about every
// 200 ms, and one entry saves every 250 ms, in a window of eight seconds.
constexpr double kUnsavedShare = 0.08;
// The same for bursts, in multiples of the largest usage within two buckets, or half a second: the
// largest burst may have followed the last save.
constexpr double kUnsavedPeaks = 1;
constexpr double kPeakWidth = 2; // buckets per peak
// Accounts that used less than this share of their bound are not reported: a burst within one
// round cannot bring them near the bound.
constexpr double kMinReportedShare = 0.1;
// Age of the usage in a window report: peers report to the sender, and it to them, every 200 ms.
constexpr Duration kReportDelay = std::chrono::milliseconds(300);
// Half-life of the maximum growth: after all entries refused an account, its calls return at the
// previous rate as soon as units become available.
constexpr Duration kGrowthHalfLife = std::chrono::seconds(2);
// Minimum number of reports within the peer timeout.
constexpr int kReportsPerTimeout = 3;
constexpr double kMinReportGap = 0.05; // seconds between two reports; datagrams may arrive together
constexpr double kRateWeight = 0.5;    // weight of the newest report in the smoothed rate of a peer

} // namespace

SharedQuota::SharedQuota(const SharedQuotaOptions& aOptions, TimePoint aStart)
  : options(aOptions)
  , start(aStart)
  , peerTimeout(aOptions.peerTimeout)
  , expectedEntries(aOptions.initialEntries)
  , expectedUntil(kNever)
  , restoredAt(aStart)
{
}

void SharedQuota::SetEntries(TimePoint aNow, std::uint32_t aCount)
{
  this->expectedEntries = std::max(aCount, 1U);
  this->expectedUntil = aNow + this->options.discoveryTime;
}

void SharedQuota::SetPeerTimeout(Duration aPeerTimeout)
{
  this->peerTimeout = std::max(aPeerTimeout, this->options.peerTimeout);
}

bool SharedQuota::WasRefused(TimePoint aNow, std::uint64_t aAccount) const
{
  const auto found = this->windows.find(aAccount);
  return found != this->windows.end() && found->second.refusedAt != TimePoint{} &&
         aNow - found->second.refusedAt <= kGrowthHalfLife;
}

std::int64_t SharedQuota::BucketOf(TimePoint aNow) const
{
  return aNow.time_since_epoch() * static_cast<std::int64_t>(kParts) / this->options.window;
}

// Clears the buckets that have left the window.
void SharedQuota::Advance(Window& aWindow, TimePoint aNow) const
{
  const std::int64_t bucket = this->BucketOf(aNow);
  const std::int64_t steps = std::min<std::int64_t>(bucket - aWindow.newest, kBuckets);
  for (std::int64_t step = 1; step <= steps; step++) {
    double& oldest = aWindow.buckets.at(static_cast<std::size_t>(aWindow.newest + step) % kBuckets);
    aWindow.total -= oldest;
    oldest = 0;
  }
  if (steps == static_cast<std::int64_t>(kBuckets)) {
    aWindow.buckets.fill(0);
    aWindow.total = 0;
  }
  aWindow.newest = std::max(aWindow.newest, bucket);
}

void SharedQuota::Add(TimePoint aNow, std::uint64_t aAccount, double aUnits)
{
  Window& window = this->WindowOf(aAccount);
  this->Advance(window, aNow);
  window.buckets.at(static_cast<std::size_t>(window.newest) % kBuckets) += aUnits;
  window.total += aUnits;
  window.unsaved = this->UnsavedUsage(window, aNow) + aUnits;
  window.unsavedAt = aNow;
}

// Usage since the last save. While saves fail, a restart assumes usage at the average rate, which
// is subtracted.
double SharedQuota::UnsavedUsage(const Window& aWindow, TimePoint aNow) const
{
  const TimePoint failedSince = this->savedAt.value_or(this->start) + this->options.maxSaveAge;
  const Duration assumed = aNow - std::max(aWindow.unsavedAt, failedSince);
  const double rate = aWindow.bound * aWindow.part / SecondsOf(this->options.window);
  return std::max(aWindow.unsaved - rate * std::max(SecondsOf(assumed), 0.0), 0.0);
}

// Zero if aUnits may be added to aUnsaved units that a restart of all entries would lose, else the
// time until they may.
Duration SharedQuota::UnsavedWait(const Window& aWindow, TimePoint aNow, double aUnsaved,
                                  double aUnits) const
{
  const double share = this->savedAt ? kMaxUnsavedShare : kMaxUnsavedShareAtStart;
  const double bound = aWindow.bound * aWindow.part;
  const double over = aUnsaved + aUnits - bound * share;
  // A single request may exceed the share.
  if (!this->isUnsavedLimited || aUnsaved <= 0 || over <= 0) {
    return Duration::zero();
  }
  const Duration failedFor = aNow - this->savedAt.value_or(this->start) - this->options.maxSaveAge;
  if (failedFor < Duration::zero()) {
    return kSaveWait;
  }
  const std::chrono::duration<double> wait(over * SecondsOf(this->options.window) / bound);
  return std::max(std::chrono::duration_cast<Duration>(wait), kSaveWait);
}

Duration SharedQuota::Take(TimePoint aNow, std::uint64_t aAccount, const QuotaLimit& aLimit,
                           double aUnits)
{
  if (aLimit.ratePerSecond <= 0) {
    return Duration::zero();
  }
  this->ChargeSilentPeers(aNow, aAccount, aLimit);
  Window& window = this->WindowOf(aAccount);
  this->Advance(window, aNow);
  window.bound = this->BoundOf(aLimit);
  window.part = this->HeardPart(aNow);
  const Buckets restored = this->RestoredUsageOf(aAccount, window.bound, aNow);
  const double restoredUnits = std::accumulate(restored.begin(), restored.end(), 0.0);
  // Entries that are not heard yet may use their part of what the restored usage leaves.
  const double available = restoredUnits + (window.bound - restoredUnits) * window.part;
  const double unreported = this->UnreportedUsage(aNow, aAccount);
  const double heard = restoredUnits + window.total + unreported;
  const double used = std::max(heard, this->ExtrapolatedReport(aNow, aAccount));
  const double over = used + aUnits - available;
  if (over > 0) {
    window.refusedAt = aNow;
    const Duration wait = this->WaitUntilFreed(window, restored, over);
    return window.part < 1 ? std::min(wait, std::max(this->expectedUntil - aNow, kSaveWait)) : wait;
  }
  const double unsaved = this->UnsavedUsage(window, aNow) + unreported * kUnsavedUnreportedWeight;
  const Duration wait = this->UnsavedWait(window, aNow, unsaved, aUnits);
  if (wait > Duration::zero()) {
    window.refusedAt = aNow;
    return wait;
  }
  this->Add(aNow, aAccount, aUnits);
  this->ownTotals[aAccount] += aUnits;
  if (const auto row = this->windowReports.find(aAccount); row != this->windowReports.end()) {
    row->second.takenSince += aUnits;
  }
  return Duration::zero();
}

// Time until usage of at least aOver has left the window.
Duration SharedQuota::WaitUntilFreed(const Window& aWindow, const Buckets& aRestored,
                                     double aOver) const
{
  const Duration bucketTime = this->options.window / static_cast<std::int64_t>(kParts);
  double freed = 0;
  for (std::size_t step = 1; step <= kBuckets; step++) {
    freed += aWindow.buckets.at((static_cast<std::size_t>(aWindow.newest) + step) % kBuckets);
    freed += aRestored.at(kBuckets - step);
    if (freed >= aOver) {
      return bucketTime * static_cast<std::int64_t>(step);
    }
  }
  return this->options.window;
}

double SharedQuota::UsedIn(const Window& aWindow, std::uint64_t aAccount, TimePoint aNow) const
{
  const Buckets before = this->RestoredUsageOf(aAccount, aWindow.bound, aNow);
  return std::accumulate(before.begin(), before.end(), aWindow.total);
}

std::vector<AccountUsage> SharedQuota::WindowUsage(TimePoint aNow)
{
  std::vector<AccountUsage> usages;
  for (auto& [account, window] : this->windows) {
    this->Advance(window, aNow);
    const double used = this->UsedIn(window, account, aNow);
    if (used > window.bound * kMinReportedShare) {
      usages.push_back({ account, static_cast<std::uint64_t>(used) });
    }
  }
  return usages;
}

void SharedQuota::OnWindowUsage(TimePoint aNow, const std::vector<AccountUsage>& aUsages)
{
  for (const AccountUsage& use : aUsages) {
    WindowReport& row = this->windowReports[use.account];
    const auto units = static_cast<double>(use.units);
    const double since = SecondsOf(aNow - row.at);
    const bool isRecent = row.at != TimePoint{} && aNow - row.at <= this->peerTimeout;
    // Without a recent report, the usage that is not known here is assumed to have grown within one
    // report delay.
    const double newest =
      isRecent ? (units - row.units) / std::max(since, kMinReportGap)
               : (units - this->KnownUsage(aNow, use.account)) / SecondsOf(kReportDelay);
    row.growth = std::max(newest, row.growth * std::exp2(-since / SecondsOf(kGrowthHalfLife)));
    row.units = units;
    row.at = aNow;
    row.takenBefore = std::exchange(row.takenSince, 0);
  }
}

double SharedQuota::KnownUsage(TimePoint aNow, std::uint64_t aAccount)
{
  Window& window = this->WindowOf(aAccount);
  this->Advance(window, aNow);
  return this->UsedIn(window, aAccount, aNow);
}

// The last window report, extrapolated to aNow.
double SharedQuota::ExtrapolatedReport(TimePoint aNow, std::uint64_t aAccount) const
{
  const auto found = this->windowReports.find(aAccount);
  if (found == this->windowReports.end() || aNow - found->second.at > this->peerTimeout) {
    return 0;
  }
  const WindowReport& row = found->second;
  const double age = SecondsOf(aNow - row.at + kReportDelay);
  return row.units + row.growth * age + row.takenSince + row.takenBefore;
}

// Usage in the bucket that is aAge buckets older than the end of the restored usage.
double SharedQuota::RestoredAt(const RestoredUsage* aRow, double aBound, std::size_t aAge) const
{
  if (!this->isRestored) {
    // If usage is saved, all of it may have been used just before the start.
    const double latest = aAge == 0 ? aBound : 0;
    return this->isUnsavedLimited ? latest : aBound / kParts;
  }
  if (this->isFromPeer) {
    const double negligible = aAge == 0 ? aBound * kMinSavedShare : 0;
    return aRow == nullptr ? negligible : aAge < aRow->units.size() ? aRow->units[aAge] : 0;
  }
  const double average = aAge < this->failedSaveParts ? aBound / kParts : 0;
  if (aRow == nullptr) {
    return average + (aAge == 0 ? aBound * (kMinSavedShare + kAssumedUnsavedShare) : 0);
  }
  const double saved = aAge < aRow->units.size() ? aRow->units[aAge] : 0;
  const double unsaved = std::max(aRow->unsaved, aBound * kAssumedUnsavedShare);
  return average + saved + (aAge == 0 ? unsaved : 0);
}

// Usage before the start that is still in the window, newest bucket first. All of it cannot have
// exceeded the bound, so the oldest buckets are reduced.
SharedQuota::Buckets SharedQuota::RestoredUsageOf(std::uint64_t aAccount, double aBound,
                                                  TimePoint aNow) const
{
  Buckets buckets{};
  const std::int64_t elapsed = this->BucketOf(aNow) - this->BucketOf(this->restoredAt);
  if (elapsed < 0 || elapsed >= static_cast<std::int64_t>(kBuckets)) {
    return buckets;
  }
  const auto found = this->restored.find(aAccount);
  const RestoredUsage* row = found == this->restored.end() ? nullptr : &found->second;
  double room = aBound > 0 ? aBound : std::numeric_limits<double>::max();
  for (std::size_t age = 0; age + static_cast<std::size_t>(elapsed) < kBuckets; age++) {
    const double units = std::min(this->RestoredAt(row, aBound, age), room);
    buckets.at(age + static_cast<std::size_t>(elapsed)) = units;
    room -= units;
  }
  return buckets;
}

void SharedQuota::RestoreUsage(std::vector<SavedUsage> aSaved, Duration aGap)
{
  if (this->isFromPeer) {
    return;
  }
  // During the gap, entries may have served calls at the average rate or in bursts as large as the
  // largest one.
  const double gapShare =
    std::clamp(SecondsOf(aGap) / SecondsOf(this->options.window), kUnsavedShare, 1.0);
  const auto gapParts =
    static_cast<std::size_t>(std::round(std::max(gapShare - kUnsavedShare, 0.0) * kParts));
  const Duration certainGap =
    std::clamp(aGap - this->options.maxClockError, Duration::zero(), this->options.window * 2);
  const auto certainParts =
    static_cast<std::size_t>(certainGap * static_cast<std::int64_t>(kParts) / this->options.window);
  const double peaks = std::max(kUnsavedPeaks, static_cast<double>(gapParts) / kPeakWidth);
  const Duration failedFor =
    std::clamp(aGap - this->options.maxSaveAge, Duration::zero(), this->options.window);
  this->failedSaveParts =
    static_cast<std::size_t>(failedFor * static_cast<std::int64_t>(kParts) / this->options.window);
  this->isRestored = true;
  for (SavedUsage& saved : aSaved) {
    RestoredUsage& row = this->restored[saved.account];
    row.units = std::move(saved.units);
    double total = 0;
    double peak = 0;
    double last = 0;
    for (const std::uint32_t units : row.units) {
      total += units;
      peak = std::max(peak, last + units);
      last = units;
    }
    row.unsaved = std::max(total * gapShare, peak * peaks);
    // Shifts the saved usage by the part of the gap that is certain, and drops what has left the
    // window.
    row.units.insert(row.units.begin(), certainParts, 0);
    row.units.resize(std::min(row.units.size(), kBuckets));
  }
}

bool SharedQuota::KnowsWindow(TimePoint aNow) const
{
  return this->isFromPeer ||
         this->BucketOf(aNow) - this->BucketOf(this->start) >= static_cast<std::int64_t>(kBuckets);
}

void SharedQuota::OnPeerWindow(TimePoint aNow, const std::vector<SavedUsage>& aUsages)
{
  if (this->KnowsWindow(aNow)) {
    return;
  }
  this->isRestored = true;
  this->isFromPeer = true;
  this->restoredAt = aNow;
  this->restored.clear();
  for (const SavedUsage& usage : aUsages) {
    this->restored[usage.account] = { usage.units, 0 };
  }
}

void SharedQuota::SetLimit(std::uint64_t aAccount, const QuotaLimit& aLimit)
{
  if (aLimit.ratePerSecond <= 0) {
    return;
  }
  const double bound = this->BoundOf(aLimit);
  this->bounds[aAccount] = bound;
  if (const auto found = this->windows.find(aAccount); found != this->windows.end()) {
    found->second.bound = bound;
  }
}

SharedQuota::Window& SharedQuota::WindowOf(std::uint64_t aAccount)
{
  const auto [row, isNew] = this->windows.try_emplace(aAccount);
  if (const auto bound = this->bounds.find(aAccount); isNew && bound != this->bounds.end()) {
    row->second.bound = bound->second;
  }
  return row->second;
}

std::vector<SavedUsage> SharedQuota::UsageToSave(TimePoint aNow)
{
  // Includes restored accounts without requests since the start, so that they survive another
  // restart.
  for (const auto& [account, row] : this->restored) {
    this->WindowOf(account);
  }
  // So does what is assumed of accounts that the last save omits.
  for (const auto& [account, bound] : this->bounds) {
    this->WindowOf(account);
  }
  std::vector<SavedUsage> result;
  for (auto& [account, window] : this->windows) {
    this->Advance(window, aNow);
    const Buckets before = this->RestoredUsageOf(account, window.bound, aNow);
    SavedUsage row{ account, {} };
    double total = 0;
    for (std::size_t age = 0; age < kBuckets; age++) {
      const std::size_t index =
        (static_cast<std::size_t>(window.newest) + kBuckets - age) % kBuckets;
      const double units = window.buckets.at(index) + before.at(age);
      total += units;
      row.units.push_back(static_cast<std::uint32_t>(units));
    }
    if (total > window.bound * kMinSavedShare) {
      result.push_back(std::move(row));
    }
  }
  return result;
}

// Subtracts the units from the bucket in which they were counted.
void SharedQuota::Refund(TimePoint aNow, TimePoint aTakenAt, std::uint64_t aAccount, double aUnits)
{
  const auto found = this->ownTotals.find(aAccount);
  if (found == this->ownTotals.end()) {
    return;
  }
  found->second = std::max(found->second - aUnits, 0.0);
  Window& window = this->WindowOf(aAccount);
  this->Advance(window, aNow);
  const std::int64_t bucket = this->BucketOf(aTakenAt);
  if (bucket > window.newest - static_cast<std::int64_t>(kBuckets)) {
    double& taken = window.buckets.at(static_cast<std::size_t>(bucket) % kBuckets);
    const double returned = std::min(taken, aUnits);
    taken -= returned;
    window.total -= returned;
  }
}

void SharedQuota::OnUsageSaved(TimePoint aNow, TimePoint aAt)
{
  this->isUnsavedLimited = true;
  if (aAt < this->savesLostAt || (this->savedAt && aAt <= *this->savedAt)) {
    return;
  }
  this->savedAt = aAt;
  // The saving entry may not have received the reports of this time.
  const std::int64_t oldest = this->BucketOf(aAt - kReportDelay);
  for (auto& [account, window] : this->windows) {
    this->Advance(window, aNow);
    double since = 0;
    for (std::int64_t bucket = std::max(oldest, window.newest - std::int64_t{ kParts });
         bucket <= window.newest; bucket++) {
      since += window.buckets.at(static_cast<std::size_t>(bucket) % kBuckets);
    }
    window.unsaved = std::min(this->UnsavedUsage(window, aNow), since);
    window.unsavedAt = aNow;
  }
}

Duration SharedQuota::TimeSinceSave(TimePoint aNow) const
{
  return this->savedAt ? aNow - *this->savedAt : Duration::zero();
}

bool SharedQuota::NeedsSave(TimePoint aNow) const
{
  if (!this->savedAt || *this->savedAt < this->savesLostAt ||
      this->TimeSinceSave(aNow) >= kSaveDueAge) {
    return true;
  }
  return std::any_of(this->windows.begin(), this->windows.end(), [&](const auto& aRow) {
    return this->UnsavedUsage(aRow.second, aNow) > aRow.second.bound * kSaveDueShare;
  });
}

double SharedQuota::BoundOf(const QuotaLimit& aLimit) const
{
  const double bound = aLimit.ratePerSecond * SecondsOf(this->options.window) + aLimit.burst;
  return bound * (1 + this->options.overage) + this->options.slackUnits;
}

// Part of the live entries that is heard here, including this one; 1 after the discovery time.
double SharedQuota::HeardPart(TimePoint aNow) const
{
  const std::uint32_t heard = this->EntryCount(aNow);
  if (heard >= this->expectedEntries || aNow >= this->expectedUntil) {
    return 1;
  }
  return static_cast<double>(heard) / this->expectedEntries;
}

std::vector<AccountUsage> SharedQuota::LocalUsage() const
{
  std::vector<AccountUsage> usages;
  usages.reserve(this->ownTotals.size());
  for (const auto& [account, units] : this->ownTotals) {
    usages.push_back({ account, static_cast<std::uint64_t>(units) });
  }
  return usages;
}

void SharedQuota::OnPeerUsage(TimePoint aNow, const Peer& aPeer,
                              const std::vector<AccountUsage>& aUsages)
{
  PeerRow& row = this->peers[aPeer.node];
  const bool isNew = row.heardAt == TimePoint{};
  if (!isNew && aPeer.incarnation < row.incarnation) {
    return;
  }
  if (row.incarnation != aPeer.incarnation) {
    // Estimates the usage between the last report and the end of the peer's previous process.
    const Duration unreported =
      std::min(aNow - row.heardAt, this->peerTimeout / kReportsPerTimeout);
    for (const auto& [account, rate] : row.rates) {
      this->Add(aNow, account, rate * SecondsOf(unreported));
    }
    row = PeerRow{};
    row.incarnation = aPeer.incarnation;
  }
  if (isNew && aNow - this->start < this->options.window) {
    // This usage precedes the start of this process and is covered by the usage assumed for then.
    for (const AccountUsage& use : aUsages) {
      row.usages[use.account] = use.units;
    }
  }
  const double sinceHeard = isNew ? 0 : SecondsOf(aNow - row.heardAt);
  row.heardAt = aNow;
  for (const AccountUsage& use : aUsages) {
    std::uint64_t& known = row.usages[use.account];
    if (sinceHeard > 0) {
      const double grown = use.units > known ? static_cast<double>(use.units - known) : 0;
      double& rate = row.rates[use.account];
      const double newest = grown / sinceHeard;
      const double held = rate * std::exp2(-sinceHeard / SecondsOf(kGrowthHalfLife));
      rate += kRateWeight * (newest - rate);
      // Held by a limit, the account returns at its previous rate at all entries at once.
      if (this->WasRefused(aNow, use.account)) {
        rate = std::max({ rate, newest, held });
      }
    }
    if (use.units > known) {
      // The first report after a silence includes the usage assumed during the silence.
      double& assumed = row.assumed[use.account];
      const double grown = static_cast<double>(use.units - known);
      const double covered = std::min(assumed, grown);
      assumed -= covered;
      this->Add(aNow, use.account, grown - covered);
    }
    known = use.units; // may decrease after a refund
  }
  row.assumed.clear();
}

std::uint32_t SharedQuota::EntryCount(TimePoint aNow) const
{
  std::uint32_t count = 1;
  for (const auto& [node, row] : this->peers) {
    count += aNow - row.heardAt <= this->peerTimeout ? 1U : 0U;
  }
  return count;
}

// Estimated usage of peers since their last reports.
double SharedQuota::UnreportedUsage(TimePoint aNow, std::uint64_t aAccount) const
{
  double units = 0;
  for (const auto& [node, row] : this->peers) {
    const auto rate = row.rates.find(aAccount);
    const Duration age = aNow - row.heardAt;
    if (rate != row.rates.end() && age <= this->peerTimeout) {
      units += rate->second * SecondsOf(age);
    }
  }
  return units;
}

// A silent peer may still serve calls, so its share of the rate counts as used.
void SharedQuota::ChargeSilentPeers(TimePoint aNow, std::uint64_t aAccount,
                                    const QuotaLimit& aLimit)
{
  std::erase_if(this->peers, [&](const auto& aRow) {
    return aNow - aRow.second.heardAt > this->options.peerExpiry;
  });
  const double part = aLimit.ratePerSecond / static_cast<double>(this->peers.size() + 1);
  for (auto& [node, row] : this->peers) {
    if (aNow - row.heardAt <= this->peerTimeout) {
      continue;
    }
    const Duration since = std::min(aNow - row.heardAt, kMaxAssumedTime);
    const double wanted = part * SecondsOf(since);
    double& assumed = row.assumed[aAccount];
    if (wanted > assumed) {
      this->Add(aNow, aAccount, wanted - assumed);
      assumed = wanted;
    }
  }
}

std::string EncodeUsageSnapshot(const UsageSnapshot& aUsages)
{
  return ToBytes(aUsages);
}

std::optional<UsageSnapshot> DecodeUsageSnapshot(std::string_view aBytes)
{
  return FromBytes<UsageSnapshot>(aBytes);
}

} // namespace caraway::direct
