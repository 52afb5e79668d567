#include "direct/shared_quota.h"

#include "core/cereal_bytes.h"

#include <algorithm>
#include <cmath>
#include <numeric>
#include <utility>

namespace caraway::direct {

namespace {

// A silent peer is assumed to use at most this time's worth of its part at once, however long it
// was before anybody asked.
constexpr Duration kLongestAssumed = std::chrono::seconds(8);

// Accounts that used more than this part of their bound are saved; others may be taken to have used
// that much.
constexpr double kHotShare = 0.6;
// Part of a window's use that the last save misses at the least: entries hear of each other's
// use within some 200 ms and one of them saves every 250 ms, of a window of eight seconds.
constexpr double kUnsavedShare = 0.08;
// The same for use in bursts, in multiples of the largest use in two parts of the window, half a
// second: the last burst may have been the largest one.
constexpr double kUnsavedPeaks = 1;
constexpr double kPeakParts = 2; // of the window, in which the largest use is looked for
// Accounts that used less than this part of their bound are not told of: no burst of one round
// comes near the bound from there.
constexpr double kToldShare = 0.1;
// Age of what an entry tells of all: it hears the others, and is heard, every 200 ms.
constexpr Duration kToldDelay = std::chrono::milliseconds(300);
// Half-life of the largest growth: where all entries have just refused an account, its calls come
// back as fast as before when there is room.
constexpr Duration kGrowthMemory = std::chrono::seconds(2);
// An entry reports at least this often before it counts as silent.
constexpr int kReportsInSilence = 3;
constexpr double kLeastGap = 0.05;  // seconds between two tellings; datagrams may come together
constexpr double kRateMemory = 0.5; // weight of the newest report in a peer's rate

} // namespace

SharedQuota::SharedQuota(const SharedQuotaOptions& aOptions, TimePoint aStart)
  : options(aOptions)
  , start(aStart)
  , silence(aOptions.silence)
  , expected(aOptions.entriesAtStart)
  , expectedUntil(kNever)
{
}

void SharedQuota::SetEntries(TimePoint aNow, std::uint32_t aCount)
{
  this->expected = std::max(aCount, 1U);
  this->expectedUntil = aNow + this->options.meetTime;
}

void SharedQuota::SetSilence(Duration aSilence)
{
  this->silence = std::max(aSilence, this->options.silence);
}

std::int64_t SharedQuota::BucketOf(TimePoint aNow) const
{
  return aNow.time_since_epoch() * static_cast<std::int64_t>(kParts) / this->options.window;
}

// Empties the buckets that have left the window.
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
  Window& window = this->windows[aAccount];
  this->Advance(window, aNow);
  window.buckets.at(static_cast<std::size_t>(window.newest) % kBuckets) += aUnits;
  window.total += aUnits;
}

Duration SharedQuota::Take(TimePoint aNow, std::uint64_t aAccount, const QuotaLimit& aLimit,
                           double aUnits)
{
  if (aLimit.ratePerSecond <= 0) {
    return Duration::zero();
  }
  this->AssumeSilent(aNow, aAccount, aLimit);
  Window& window = this->windows[aAccount];
  this->Advance(window, aNow);
  const double bound = this->BoundOf(aNow, aLimit);
  window.bound = bound;
  const double heard = this->UsedIn(window, aAccount, aNow) + this->UnheardUse(aNow, aAccount);
  const double over = std::max(heard, this->ToldUse(aNow, aAccount)) + aUnits -
                      this->UnsavedBound(aNow, aAccount, bound);
  if (over <= 0) {
    this->Add(aNow, aAccount, aUnits);
    this->own[aAccount] += aUnits;
    if (const auto row = this->told.find(aAccount); row != this->told.end()) {
      row->second.ownSince += aUnits;
    }
    return Duration::zero();
  }
  // Time until the oldest buckets that hold the excess have left the window.
  const Duration bucketTime = this->options.window / static_cast<std::int64_t>(kParts);
  double freed = 0;
  for (std::size_t step = 1; step <= kBuckets; step++) {
    freed += window.buckets.at((static_cast<std::size_t>(window.newest) + step) % kBuckets);
    freed += this->BeforeAt(aAccount, bound, kBuckets - step, aNow);
    if (freed >= over) {
      return bucketTime * static_cast<std::int64_t>(step);
    }
  }
  return this->options.window;
}

double SharedQuota::UsedIn(const Window& aWindow, std::uint64_t aAccount, TimePoint aNow) const
{
  double used = aWindow.total;
  for (std::size_t age = 0; age < kBuckets; age++) {
    used += this->BeforeAt(aAccount, aWindow.bound, age, aNow);
  }
  return used;
}

std::vector<AccountUse> SharedQuota::WindowUse(TimePoint aNow)
{
  std::vector<AccountUse> uses;
  for (auto& [account, window] : this->windows) {
    this->Advance(window, aNow);
    const double used = this->UsedIn(window, account, aNow);
    if (used > window.bound * kToldShare) {
      uses.push_back({ account, static_cast<std::uint64_t>(used) });
    }
  }
  return uses;
}

void SharedQuota::OnWindowUse(TimePoint aNow, const std::vector<AccountUse>& aUses)
{
  for (const AccountUse& use : aUses) {
    Told& row = this->told[use.account];
    const auto units = static_cast<double>(use.tokens);
    const double since = SecondsOf(aNow - row.at);
    const bool isRecent = row.at != TimePoint{} && aNow - row.at <= this->silence;
    // An account of which nothing was told lately has come to this within about one delay.
    const double newest =
      isRecent ? (units - row.units) / std::max(since, kLeastGap) : units / SecondsOf(kToldDelay);
    row.growth = std::max(newest, row.growth * std::exp2(-since / SecondsOf(kGrowthMemory)));
    row.units = units;
    row.at = aNow;
    row.ownBefore = std::exchange(row.ownSince, 0);
  }
}

// The last word on the use of all entries, carried on to now.
double SharedQuota::ToldUse(TimePoint aNow, std::uint64_t aAccount) const
{
  const auto found = this->told.find(aAccount);
  if (found == this->told.end() || aNow - found->second.at > this->silence) {
    return 0;
  }
  const Told& row = found->second;
  const double age = SecondsOf(aNow - row.at + kToldDelay);
  return row.units + row.growth * age + row.ownSince + row.ownBefore;
}

// Use before the start that stands aAge buckets behind the newest one now.
double SharedQuota::BeforeAt(std::uint64_t aAccount, double aBound, std::size_t aAge,
                             TimePoint aNow) const
{
  const std::int64_t elapsed = this->BucketOf(aNow) - this->BucketOf(this->start);
  const std::int64_t place = static_cast<std::int64_t>(aAge) - elapsed - 1;
  if (place < 0 || place >= static_cast<std::int64_t>(kBuckets)) {
    return 0;
  }
  const auto found = this->before.find(aAccount);
  if (found != this->before.end()) {
    const Before& row = found->second;
    const auto index = static_cast<std::size_t>(place);
    const double units = index < row.units.size() ? row.units[index] : 0;
    // No more than the bound was used in all.
    const double room = aBound > 0 ? std::max(aBound - row.total, 0.0) : row.unsaved;
    return units + (index == 0 ? std::min(row.unsaved, room) : 0);
  }
  return aBound / kParts * (this->isBeforeKnown ? kHotShare : 1);
}

void SharedQuota::SetUseBefore(std::vector<SavedUse> aSaved, Duration aGap)
{
  // Entries may have gone on for all of the gap, at the usual rate, or in bursts like the largest
  // one.
  const double gapShare =
    std::clamp(SecondsOf(aGap) / SecondsOf(this->options.window), kUnsavedShare, 1.0);
  const auto gapParts =
    static_cast<std::size_t>(std::round(std::max(gapShare - kUnsavedShare, 0.0) * kParts));
  const double peaks = std::max(kUnsavedPeaks, static_cast<double>(gapParts) / kPeakParts);
  this->isBeforeKnown = true;
  for (SavedUse& saved : aSaved) {
    Before& row = this->before[saved.account];
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
    // What was saved is older by the gap, and part of it has left the window.
    row.units.insert(row.units.begin(), gapParts, 0);
    row.units.resize(std::min(row.units.size(), kBuckets));
    row.total = std::accumulate(row.units.begin(), row.units.end(), 0.0);
  }
}

std::vector<SavedUse> SharedQuota::HotUse(TimePoint aNow)
{
  // Also those of which nothing was heard since the start: the next one must find them too.
  for (const auto& [account, row] : this->before) {
    this->windows.try_emplace(account);
  }
  std::vector<SavedUse> hot;
  for (auto& [account, window] : this->windows) {
    this->Advance(window, aNow);
    SavedUse row{ account, {} };
    double total = 0;
    for (std::size_t age = 0; age < kBuckets; age++) {
      const std::size_t index =
        (static_cast<std::size_t>(window.newest) + kBuckets - age) % kBuckets;
      const double units =
        window.buckets.at(index) + this->BeforeAt(account, window.bound, age, aNow);
      total += units;
      row.units.push_back(static_cast<std::uint32_t>(units));
    }
    if (total > window.bound * kHotShare) {
      hot.push_back(std::move(row));
    }
  }
  return hot;
}

// Takes the units out of the part of the window that they were counted in.
void SharedQuota::Return(TimePoint aNow, TimePoint aTakenAt, std::uint64_t aAccount, double aUnits)
{
  const auto found = this->own.find(aAccount);
  if (found == this->own.end()) {
    return;
  }
  found->second = std::max(found->second - aUnits, 0.0);
  Window& window = this->windows[aAccount];
  this->Advance(window, aNow);
  const std::int64_t bucket = this->BucketOf(aTakenAt);
  if (bucket > window.newest - static_cast<std::int64_t>(kBuckets)) {
    double& taken = window.buckets.at(static_cast<std::size_t>(bucket) % kBuckets);
    const double returned = std::min(taken, aUnits);
    taken -= returned;
    window.total -= returned;
  }
}

void SharedQuota::OnUseSaved(TimePoint aNow, TimePoint aAt)
{
  if (this->savedAt && aAt <= *this->savedAt) {
    return;
  }
  this->savedAt = aAt;
  this->savedTotals.clear();
  for (auto& [account, window] : this->windows) {
    this->Advance(window, aNow);
    this->savedTotals[account] = this->UsedIn(window, account, aNow);
  }
}

Duration SharedQuota::SinceSaved(TimePoint aNow) const
{
  return this->savedAt ? aNow - *this->savedAt : Duration::zero();
}

// A start assumes kHotShare of an account that is not in the last save, and what was saved of one
// that is.
double SharedQuota::UnsavedBound(TimePoint aNow, std::uint64_t aAccount, double aBound) const
{
  if (this->SinceSaved(aNow) <= this->options.saveGap) {
    return aBound;
  }
  const auto saved = this->savedTotals.find(aAccount);
  const double total = saved == this->savedTotals.end() ? 0 : saved->second;
  return std::min(std::max(aBound * kHotShare, total), aBound);
}

double SharedQuota::BoundOf(TimePoint aNow, const QuotaLimit& aLimit) const
{
  const double bound = aLimit.ratePerSecond * SecondsOf(this->options.window) + aLimit.burst;
  const double whole = bound * (1 + this->options.overage) + this->options.slackUnits;
  const std::uint32_t heard = this->EntryCount(aNow);
  if (heard >= this->expected || aNow >= this->expectedUntil) {
    return whole;
  }
  return whole * heard / this->expected;
}

std::vector<AccountUse> SharedQuota::OwnUse() const
{
  std::vector<AccountUse> uses;
  uses.reserve(this->own.size());
  for (const auto& [account, units] : this->own) {
    uses.push_back({ account, static_cast<std::uint64_t>(units) });
  }
  return uses;
}

void SharedQuota::OnPeerUse(TimePoint aNow, const Peer& aPeer, const std::vector<AccountUse>& aUses)
{
  PeerRow& row = this->peers[aPeer.node];
  const bool isNew = row.heardAt == TimePoint{};
  if (!isNew && aPeer.incarnation < row.incarnation) {
    return;
  }
  if (row.incarnation != aPeer.incarnation) {
    // What it used between its last report and its end was told to nobody.
    const Duration untold = std::min(aNow - row.heardAt, this->silence / kReportsInSilence);
    for (const auto& [account, rate] : row.rates) {
      this->Add(aNow, account, rate * SecondsOf(untold));
    }
    row = PeerRow{};
    row.incarnation = aPeer.incarnation;
  }
  if (isNew && aNow - this->start < this->options.window) {
    // Used before this process listened: part of the unknown use before its start.
    for (const AccountUse& use : aUses) {
      row.uses[use.account] = use.tokens;
    }
  }
  const double sinceHeard = isNew ? 0 : SecondsOf(aNow - row.heardAt);
  row.heardAt = aNow;
  for (const AccountUse& use : aUses) {
    std::uint64_t& known = row.uses[use.account];
    if (sinceHeard > 0) {
      const double grown = use.tokens > known ? static_cast<double>(use.tokens - known) : 0;
      double& rate = row.rates[use.account];
      rate += kRateMemory * (grown / sinceHeard - rate);
    }
    if (use.tokens > known) {
      // What was assumed during a silence is part of what is reported after it.
      double& assumed = row.assumed[use.account];
      const double grown = static_cast<double>(use.tokens - known);
      const double covered = std::min(assumed, grown);
      assumed -= covered;
      this->Add(aNow, use.account, grown - covered);
    }
    known = use.tokens; // may fall when a request was returned
  }
  row.assumed.clear();
}

std::uint32_t SharedQuota::EntryCount(TimePoint aNow) const
{
  std::uint32_t count = 1;
  for (const auto& [node, row] : this->peers) {
    count += aNow - row.heardAt <= this->silence ? 1U : 0U;
  }
  return count;
}

// What the other entries have probably used since they were last heard.
double SharedQuota::UnheardUse(TimePoint aNow, std::uint64_t aAccount) const
{
  double units = 0;
  for (const auto& [node, row] : this->peers) {
    const auto rate = row.rates.find(aAccount);
    const Duration age = aNow - row.heardAt;
    if (rate != row.rates.end() && age <= this->silence) {
      units += rate->second * SecondsOf(age);
    }
  }
  return units;
}

// A silent peer may go on serving: its part of the rate counts as used.
void SharedQuota::AssumeSilent(TimePoint aNow, std::uint64_t aAccount, const QuotaLimit& aLimit)
{
  std::erase_if(this->peers, [&](const auto& aRow) {
    return aNow - aRow.second.heardAt > this->options.forget;
  });
  const double part = aLimit.ratePerSecond / static_cast<double>(this->peers.size() + 1);
  for (auto& [node, row] : this->peers) {
    if (aNow - row.heardAt <= this->silence) {
      continue;
    }
    const Duration since = std::min(aNow - row.heardAt, kLongestAssumed);
    const double wanted = part * SecondsOf(since);
    double& assumed = row.assumed[aAccount];
    if (wanted > assumed) {
      this->Add(aNow, aAccount, wanted - assumed);
      assumed = wanted;
    }
  }
}

std::string EncodeSavedUses(const SavedUses& aUses)
{
  return ToBytes(aUses);
}

std::optional<SavedUses> DecodeSavedUses(std::string_view aBytes)
{
  return FromBytes<SavedUses>(aBytes);
}

} // namespace caraway::direct
