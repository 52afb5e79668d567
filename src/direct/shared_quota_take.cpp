// What an account may take now.
#include "direct/shared_quota.h"

#include <algorithm>
#include <numeric>

namespace caraway::direct {

namespace {

// Maximum usage since the last save, as a share of the bound, while saves succeed and before the
// first one.
constexpr double kMaxUnsavedShare = 0.25;
constexpr double kMaxUnsavedShareAtStart = 0.1;
// Part of the estimated usage of peers since their last reports that the next save may miss.
constexpr double kUnsavedUnreportedWeight = 0.75;
// Time after which a caller that was refused for unsaved usage may succeed.
constexpr Duration kSaveWait = std::chrono::milliseconds(250);

} // namespace

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
                           double aUnits, double aKept)
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
  const double over = used + aUnits + aKept - available;
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

// Units that leave the window after aStep parts of it.
double SharedQuota::FreedAt(const Window& aWindow, const Buckets& aRestored, std::size_t aStep)
{
  return aWindow.buckets.at((static_cast<std::size_t>(aWindow.newest) + aStep) % kBuckets) +
         aRestored.at(kBuckets - aStep);
}

// Time until usage of at least aOver has left the window.
Duration SharedQuota::WaitUntilFreed(const Window& aWindow, const Buckets& aRestored,
                                     double aOver) const
{
  const Duration bucketTime = this->options.window / static_cast<std::int64_t>(kParts);
  double freed = 0;
  for (std::size_t step = 1; step <= kBuckets; step++) {
    freed += FreedAt(aWindow, aRestored, step);
    if (freed >= aOver) {
      return bucketTime * static_cast<std::int64_t>(step);
    }
  }
  return this->options.window;
}

QuotaRoom SharedQuota::RoomOf(TimePoint aNow, std::uint64_t aAccount, const QuotaLimit& aLimit)
{
  this->ChargeSilentPeers(aNow, aAccount, aLimit);
  Window& window = this->WindowOf(aAccount);
  this->Advance(window, aNow);
  window.bound = this->BoundOf(aLimit);
  const Buckets restored = this->RestoredUsageOf(aAccount, window.bound, aNow);
  const double heard = std::accumulate(restored.begin(), restored.end(), window.total) +
                       this->UnreportedUsage(aNow, aAccount);
  QuotaRoom room;
  room.bound = window.bound;
  room.used = std::max(heard, this->ExtrapolatedReport(aNow, aAccount));
  room.partTime = this->options.window / static_cast<std::int64_t>(kParts);
  for (std::size_t step = 1; step <= kBuckets; step++) {
    room.freed.at(step - 1) = FreedAt(window, restored, step);
  }
  return room;
}

Duration TakeByRank(SharedQuota& aQuota, QuotaReserve& aReserve, TimePoint aNow,
                    std::uint64_t aAccount, const QuotaLimit& aLimit, Tier aRank, double aUnits)
{
  if (aLimit.ratePerSecond <= 0) {
    return Duration::zero();
  }
  aReserve.OnAsked(aNow, aAccount, aRank, aUnits);
  const QuotaRoom room = aQuota.RoomOf(aNow, aAccount, aLimit);
  const double kept = aReserve.UnitsKept(aNow, aAccount, aRank, room);
  const Duration wait = aQuota.Take(aNow, aAccount, aLimit, aUnits, kept);
  if (wait == Duration::zero()) {
    aReserve.OnTaken(aNow, aAccount, aRank, aUnits);
    return wait;
  }
  return aReserve.IsOver(aNow, aAccount, room)
           ? aReserve.RetryDelay(aNow, aAccount, aRank, aUnits, room)
           : wait;
}

} // namespace caraway::direct
