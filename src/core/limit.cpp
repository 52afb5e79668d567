#include "core/limit.h"

#include <algorithm>
#include <cmath>
#include <limits>

namespace caraway {

namespace {

using std::chrono::milliseconds;

constexpr Duration kShortWindow = milliseconds(100);
constexpr Duration kLongWindow = milliseconds(500);
constexpr std::uint32_t kManySamples = 40; // close a short window
constexpr std::uint32_t kFewSamples = 8;   // close a long window
constexpr double kGoal = 0.9;              // share of the target that the limit aims at
constexpr double kSmallestRatio = 1.0 / 16;
constexpr double kBucketsPerDoubling = 8;
constexpr double kPrefillRise = 1.001; // of the lowest prefill time, for each sample
constexpr double kDecrease = 0.8;      // AIMD: kept after a window over the target
constexpr double kStrongDecrease = 0.5;
constexpr double kStrongRatio = 1.5; // over the target: decrease strongly
constexpr double kSlowStart = 1.5;   // AIMD: growth before the first decrease
constexpr double kLeastGradient = 0.5;
constexpr double kMostGradient = 1.25;
constexpr double kSmoothing = 0.5;
constexpr std::uint64_t kNoTokenLimit = std::numeric_limits<std::uint64_t>::max() / 4;
constexpr std::uint64_t kLeastTokens = 1024;

double SecondsOf(Duration aTime)
{
  return std::chrono::duration<double>(aTime).count();
}

} // namespace

void RatioWindow::Add(double aRatio)
{
  const double place = std::log2(std::max(aRatio, kSmallestRatio) / kSmallestRatio);
  const auto bucket = static_cast<std::size_t>(place * kBucketsPerDoubling);
  this->buckets.at(std::min(bucket, kBuckets - 1))++;
  this->count++;
}

double RatioWindow::P95() const
{
  const std::uint32_t above = this->count / 20;
  std::uint32_t seen = 0;
  for (std::size_t bucket = kBuckets; bucket-- > 0;) {
    seen += this->buckets.at(bucket);
    if (seen > above) {
      const double middle = static_cast<double>(bucket) + 0.5;
      return kSmallestRatio * std::exp2(middle / kBucketsPerDoubling);
    }
  }
  return 0;
}

void RatioWindow::Clear()
{
  this->buckets.fill(0);
  this->count = 0;
}

Limiter::Limiter(const AgentOptions& aOptions)
  : options(aOptions)
  , limit(aOptions.initialLimit)
  , tokenLimit(kNoTokenLimit)
{
}

void Limiter::OnTokens(TimePoint aNow, Duration aGap, std::uint32_t aTokens,
                       const InFlight& aInFlight)
{
  const double each = SecondsOf(aGap) / std::max(aTokens, 1U);
  this->gaps.Add(each / SecondsOf(this->options.interTokenTarget));
  this->Consider(aNow, aInFlight);
}

// A long prompt may take longer than the target by itself, so its budget grows by the shortest
// prefill time for each token that was seen.
void Limiter::OnFirstToken(TimePoint aNow, Duration aWait, std::uint32_t aPromptTokens,
                           const InFlight& aInFlight)
{
  const double wait = SecondsOf(aWait);
  if (aPromptTokens > 0) {
    const double each = wait / aPromptTokens;
    const bool isLower = this->prefillPerToken == 0 || each < this->prefillPerToken;
    this->prefillPerToken = isLower ? each : this->prefillPerToken * kPrefillRise;
  }
  const double budget =
    SecondsOf(this->options.firstTokenTarget) + this->prefillPerToken * aPromptTokens;
  this->firsts.Add(wait / budget);
  this->Consider(aNow, aInFlight);
}

void Limiter::Reset()
{
  this->limit = this->options.initialLimit;
  this->tokenLimit = kNoTokenLimit;
  this->gaps.Clear();
  this->firsts.Clear();
  this->windowStart = kNever;
  this->OnReset();
}

std::uint32_t Limiter::Limit() const
{
  return static_cast<std::uint32_t>(this->limit);
}

// Closes the window when it holds enough and adjusts the limits.
void Limiter::Consider(TimePoint aNow, const InFlight& aInFlight)
{
  if (this->windowStart == kNever) {
    this->windowStart = aNow;
  }
  const Duration age = aNow - this->windowStart;
  const std::uint32_t count = this->gaps.Count() + this->firsts.Count();
  const bool isShortDone = age >= kShortWindow && count >= kManySamples;
  const bool isLongDone = age >= kLongWindow && count >= kFewSamples;
  if (!isShortDone && !isLongDone) {
    return;
  }
  const double ratio = std::max(this->gaps.P95(), this->firsts.P95());
  const double next = this->Next(this->limit, ratio, aInFlight);
  const double lowest = this->options.minLimit;
  const double highest = std::max(this->options.maxLimit, this->options.minLimit);
  this->limit = std::clamp(next, lowest, highest);
  this->AdjustTokens(ratio, aInFlight);
  this->gaps.Clear();
  this->firsts.Clear();
  this->windowStart = aNow;
}

// Tokens in flight follow the same windows: cut below what was in flight when it was too much.
void Limiter::AdjustTokens(double aRatio, const InFlight& aInFlight)
{
  if (aRatio > 1) {
    const double kept = aRatio > kStrongRatio ? kStrongDecrease : kDecrease;
    const std::uint64_t base = std::min(this->tokenLimit, aInFlight.tokens);
    const auto cut = static_cast<std::uint64_t>(static_cast<double>(base) * kept);
    this->tokenLimit = std::max(cut, kLeastTokens);
  } else if (aRatio < kGoal && this->tokenLimit < kNoTokenLimit) {
    this->tokenLimit += this->tokenLimit / 8;
  }
}

double AimdLimiter::Next(double aLimit, double aRatio, const InFlight& aInFlight)
{
  if (aRatio > 1) {
    this->hasDecreased = true;
    const double used = std::min<double>(aLimit, aInFlight.requests);
    return used * (aRatio > kStrongRatio ? kStrongDecrease : kDecrease);
  }
  if (aRatio >= kGoal || !aInFlight.isWanted) {
    return aLimit;
  }
  return this->hasDecreased ? aLimit + 1 : aLimit * kSlowStart;
}

double GradientLimiter::Next(double aLimit, double aRatio, const InFlight& aInFlight)
{
  const double gradient = std::clamp(kGoal / aRatio, kLeastGradient, kMostGradient);
  if (gradient > 1 && !aInFlight.isWanted) {
    return aLimit;
  }
  const double target = aLimit * gradient;
  return aLimit + (target - aLimit) * kSmoothing;
}

std::unique_ptr<Limiter> MakeLimiter(const AgentOptions& aOptions)
{
  return std::make_unique<AimdLimiter>(aOptions);
}

} // namespace caraway
