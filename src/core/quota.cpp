#include "core/quota.h"

#include <algorithm>

namespace caraway {

namespace {

// Time until a bucket at aLevel, filled at aRate per second, holds aNeeded.
Duration TimeUntil(double aLevel, double aNeeded, double aRate)
{
  if (aLevel >= aNeeded) {
    return Duration::zero();
  }
  const std::chrono::duration<double> wait((aNeeded - aLevel) / aRate);
  return std::chrono::duration_cast<Duration>(wait) + Duration(1);
}

} // namespace

void QuotaTable::Refill(Bucket& aBucket, TimePoint aNow, double aRate, double aBurst)
{
  const std::chrono::duration<double> elapsed = aNow - aBucket.time;
  aBucket.level = std::min(aBurst, aBucket.level + aRate * elapsed.count());
  aBucket.time = aNow;
}

Duration QuotaTable::Take(TimePoint aNow, const Account& aAccount, std::uint32_t aEntries,
                          double aTokens)
{
  const double entries = std::max(aEntries, 1U);
  const double requestRate = aAccount.requestsPerSecond / entries;
  const double requestBurst = std::max(aAccount.burst / entries, 1.0);
  const double tokenRate = aAccount.tokensPerSecond / entries;
  const double tokenBurst = std::max(aAccount.tokenBurst / entries, 1.0);
  Buckets& buckets = this->accounts[aAccount.name];
  if (!buckets.isInitialized) {
    buckets = Buckets{ { requestBurst, aNow }, { tokenBurst, aNow }, true };
  }
  Duration wait{};
  if (requestRate > 0) {
    Refill(buckets.requests, aNow, requestRate, requestBurst);
    wait = TimeUntil(buckets.requests.level, 1.0, requestRate);
  }
  // A request larger than the burst is admitted when the bucket is full and leaves a negative
  // level.
  if (tokenRate > 0) {
    Refill(buckets.tokens, aNow, tokenRate, tokenBurst);
    const double needed = std::min(aTokens, tokenBurst);
    wait = std::max(wait, TimeUntil(buckets.tokens.level, needed, tokenRate));
  }
  if (wait == Duration::zero()) {
    buckets.requests.level -= requestRate > 0 ? 1.0 : 0.0;
    buckets.tokens.level -= tokenRate > 0 ? aTokens : 0.0;
  }
  return wait;
}

void QuotaTable::Settle(const std::string& aAccount, double aTokens)
{
  const auto found = this->accounts.find(aAccount);
  if (found != this->accounts.end()) {
    found->second.tokens.level -= aTokens;
  }
}

} // namespace caraway
