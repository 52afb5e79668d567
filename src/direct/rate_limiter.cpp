#include "direct/rate_limiter.h"

#include <algorithm>

namespace caraway::direct {

namespace {

constexpr double kMinPerSecond = 1e-3; // keeps waits finite
constexpr double kBurstSeconds = 0.5;  // of the rate
constexpr double kMaxDebtSeconds = 4;  // of the rate; bounds how long the endpoint gets nothing
constexpr double kMinMaxDebt = 1;      // requests; the bound at low rates
// Covers the rounding of times to the clock's resolution.
constexpr double kTolerance = 1e-3;
// Over which the requests of any second are counted: requests on their way come closer together.
constexpr Duration kSecond = std::chrono::milliseconds(1050);

} // namespace

void RateLimiter::SetRate(TimePoint aNow, std::optional<double> aPerSecond)
{
  if (aPerSecond) {
    aPerSecond = std::max(*aPerSecond, kMinPerSecond);
  }
  if (aPerSecond == this->rate) {
    return;
  }
  const double before = this->rate && aPerSecond ? this->TokensAt(aNow) : 0;
  this->rate = aPerSecond;
  this->updatedAt = aNow;
  this->tokens = this->rate ? std::min(before, this->Burst()) : 0;
}

void RateLimiter::SetMaxInSecond(std::optional<std::uint32_t> aCount)
{
  this->maxInSecond = aCount;
  if (!aCount) {
    this->charges.clear();
  }
}

void RateLimiter::Charge(TimePoint aNow)
{
  if (this->maxInSecond) {
    this->charges.push_back(aNow);
    while (this->charges.size() > 1 && aNow - this->charges.front() >= kSecond) {
      this->charges.pop_front();
    }
  }
  if (this->rate) {
    const double maxDebt = std::max(kMaxDebtSeconds * *this->rate, kMinMaxDebt);
    this->tokens = std::max(this->TokensAt(aNow) - 1, -maxDebt);
    this->updatedAt = aNow;
  }
}

bool RateLimiter::Allows(TimePoint aNow, std::size_t aPending) const
{
  const bool hasToken =
    !this->rate || this->TokensAt(aNow) >= 1 + static_cast<double>(aPending) - kTolerance;
  return hasToken && this->NextInSecond(aNow, aPending) <= aNow;
}

TimePoint RateLimiter::NextAllowed(TimePoint aNow, std::size_t aPending) const
{
  const TimePoint inSecond = this->NextInSecond(aNow, aPending);
  if (!this->rate || this->TokensAt(aNow) >= 1 + static_cast<double>(aPending) - kTolerance) {
    return inSecond;
  }
  const double missing = 1 + static_cast<double>(aPending) - this->TokensAt(aNow);
  const auto wait = std::chrono::duration<double>(missing / *this->rate);
  return std::max(aNow + std::chrono::ceil<Duration>(wait), inSecond);
}

TimePoint RateLimiter::NextInSecond(TimePoint aNow, std::size_t aPending) const
{
  if (!this->maxInSecond) {
    return aNow;
  }
  if (aPending >= *this->maxInSecond) {
    return aNow + kSecond;
  }
  const std::size_t allowed = *this->maxInSecond - aPending; // before one more is too many
  if (this->charges.size() < allowed) {
    return aNow;
  }
  return std::max(aNow, this->charges.at(this->charges.size() - allowed) + kSecond);
}

// At least one, so that a request can be sent at any rate.
double RateLimiter::Burst() const
{
  return std::max(1.0, kBurstSeconds * *this->rate);
}

double RateLimiter::TokensAt(TimePoint aNow) const
{
  return std::min(this->tokens + *this->rate * SecondsOf(aNow - this->updatedAt), this->Burst());
}

} // namespace caraway::direct
