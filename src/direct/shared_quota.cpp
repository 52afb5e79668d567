#include "direct/shared_quota.h"

#include <algorithm>
#include <cmath>

namespace caraway::direct {

namespace {

// A silent peer is assumed to use at most this time's worth of its part at once, however long it
// was before anybody asked.
constexpr Duration kLongestAssumed = std::chrono::seconds(8);

double SecondsOf(Duration aTime)
{
  return std::chrono::duration<double>(aTime).count();
}

} // namespace

SharedQuota::SharedQuota(const SharedQuotaOptions& aOptions, TimePoint aStart)
  : options(aOptions)
  , start(aStart)
{
}

std::int64_t SharedQuota::BucketOf(TimePoint aNow) const
{
  return aNow.time_since_epoch() * static_cast<std::int64_t>(kBuckets) / this->options.window;
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
  const double bound = this->BoundOf(aLimit);
  if (!window.isPrimed) {
    window.isPrimed = true;
    const std::int64_t oldest = window.newest - static_cast<std::int64_t>(kBuckets) + 1;
    for (std::int64_t bucket = oldest; bucket < this->BucketOf(this->start); bucket++) {
      const double part = bound / kBuckets;
      window.buckets.at(static_cast<std::size_t>(bucket) % kBuckets) += part;
      window.total += part;
    }
  }
  const double over = window.total + aUnits - bound;
  if (over <= 0) {
    this->Add(aNow, aAccount, aUnits);
    this->own[aAccount] += aUnits;
    return Duration::zero();
  }
  // Time until the oldest buckets that hold the excess have left the window.
  const Duration bucketTime = this->options.window / static_cast<std::int64_t>(kBuckets);
  double freed = 0;
  for (std::size_t step = 1; step <= kBuckets; step++) {
    freed += window.buckets.at((static_cast<std::size_t>(window.newest) + step) % kBuckets);
    if (freed >= over) {
      return bucketTime * static_cast<std::int64_t>(step);
    }
  }
  return this->options.window;
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

double SharedQuota::BoundOf(const QuotaLimit& aLimit) const
{
  const double bound = aLimit.ratePerSecond * SecondsOf(this->options.window) + aLimit.burst;
  return bound * (1 + this->options.overage) + this->options.slackUnits;
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
    row = PeerRow{};
    row.incarnation = aPeer.incarnation;
  }
  if (isNew && aNow - this->start < this->options.window) {
    // Used before this process listened: part of the unknown use before its start.
    for (const AccountUse& use : aUses) {
      row.uses[use.account] = use.tokens;
    }
  }
  row.heardAt = aNow;
  for (const AccountUse& use : aUses) {
    std::uint64_t& known = row.uses[use.account];
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
    count += aNow - row.heardAt <= this->options.silence ? 1U : 0U;
  }
  return count;
}

// A silent peer may go on serving: its part of the rate counts as used.
void SharedQuota::AssumeSilent(TimePoint aNow, std::uint64_t aAccount, const QuotaLimit& aLimit)
{
  std::erase_if(this->peers, [&](const auto& aRow) {
    return aNow - aRow.second.heardAt > this->options.forget;
  });
  const double part = aLimit.ratePerSecond / static_cast<double>(this->peers.size() + 1);
  for (auto& [node, row] : this->peers) {
    if (aNow - row.heardAt <= this->options.silence) {
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

} // namespace caraway::direct
