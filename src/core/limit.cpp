#include "core/limit.h"

#include <algorithm>
#include <cmath>
#include <limits>

namespace caraway {

namespace {

using std::chrono::milliseconds;

constexpr Duration kShortWindow = milliseconds(100);
constexpr Duration kLongWindow = milliseconds(500);
constexpr double kManySamples = 40; // close a short window
constexpr double kFewSamples = 8;   // close a long window
constexpr double kMemory = 0.8;     // weight kept by the windows before
constexpr double kGoal = 0.9;       // share of the target that the limit aims at
constexpr double kSmallestRatio = 1.0 / 16;
constexpr double kBucketsPerDoubling = 8;
constexpr double kPrefillRise = 1.001; // of the lowest prefill time, for each sample
constexpr double kDecrease = 0.9;      // AIMD: kept after a window over the target
constexpr double kSlowStart = 1.25;    // AIMD: growth before the first decrease
constexpr double kLeastGradient = 0.7;
constexpr double kMostGradient = 1.25;
constexpr double kSmoothing = 0.5;
constexpr std::uint64_t kNoTokenLimit = std::numeric_limits<std::uint64_t>::max() / 4;
constexpr double kLeastTokens = 1024;

} // namespace

void RatioHistogram::Add(double aRatio)
{
  const double place = std::log2(std::max(aRatio, kSmallestRatio) / kSmallestRatio);
  const auto bucket = static_cast<std::size_t>(place * kBucketsPerDoubling);
  this->buckets.at(std::min(bucket, kBuckets - 1))++;
  this->count++;
}

void RatioHistogram::Merge(const RatioHistogram& aOther, double aKept)
{
  for (std::size_t bucket = 0; bucket < kBuckets; bucket++) {
    this->buckets.at(bucket) = this->buckets.at(bucket) * aKept + aOther.buckets.at(bucket);
  }
  this->count = this->count * aKept + aOther.count;
}

double RatioHistogram::Quantile(double aShare) const
{
  const double above = this->count * (1 - aShare);
  double seen = 0;
  for (std::size_t bucket = kBuckets; bucket-- > 0;) {
    seen += this->buckets.at(bucket);
    if (seen > above) {
      const double middle = static_cast<double>(bucket) + 0.5;
      return kSmallestRatio * std::exp2(middle / kBucketsPerDoubling);
    }
  }
  return 0;
}

void RatioHistogram::Clear()
{
  this->buckets.fill(0);
  this->count = 0;
}

void RatioWindow::Close()
{
  this->memory.Merge(this->current, kMemory);
  this->median = this->current.Count() < kFewSamples ? 0 : this->current.Quantile(0.5);
  this->p95 = this->memory.Count() < kFewSamples ? 0 : this->memory.Quantile(0.95);
  this->current.Clear();
}

void RatioWindow::Clear()
{
  this->current.Clear();
  this->memory.Clear();
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
  const double count = this->gaps.Count() + this->firsts.Count();
  const bool isShortDone = age >= kShortWindow && count >= kManySamples;
  const bool isLongDone = age >= kLongWindow && count >= kFewSamples;
  if (!isShortDone && !isLongDone) {
    return;
  }
  this->gaps.Close();
  this->firsts.Close();
  this->windowStart = aNow;
  if (this->IsAdaptive()) {
    this->Adjust(aInFlight);
  }
}

// While more is in flight than the limit, only a still slower endpoint changes it: the times tell
// of the work that is ending, not of the limit.
void Limiter::Adjust(const InFlight& aInFlight)
{
  const double median = std::max(this->gaps.Median(), this->firsts.Median());
  if (median > 1) {
    this->Unload(median, aInFlight);
    return;
  }
  const double before = this->limit;
  const bool isFull = aInFlight.isWanted && aInFlight.requests >= this->Limit();
  const bool isDraining = aInFlight.requests > this->Limit();
  if (!isDraining) {
    const double ratio = std::max(this->gaps.P95(), this->firsts.P95());
    this->SetLimit(this->Next(this->limit, ratio, isFull && this->wasFull));
    if (this->tokenLimit < kNoTokenLimit && ratio < kGoal) {
      this->tokenLimit += this->tokenLimit / 8;
    }
  }
  this->wasFull = isFull;
  if (this->limit < before) {
    this->gaps.Clear();
    this->firsts.Clear();
  }
}

// Lowers both limits to what would have met the target, were the times in proportion to the load.
void Limiter::Unload(double aMedian, const InFlight& aInFlight)
{
  const double kept = kGoal / aMedian;
  this->SetLimit(std::min(this->limit, aInFlight.requests * kept));
  const double tokens = std::max(static_cast<double>(aInFlight.tokens) * kept, kLeastTokens);
  this->tokenLimit = std::min(this->tokenLimit, static_cast<std::uint64_t>(tokens));
  this->gaps.Clear();
  this->firsts.Clear();
  this->wasFull = false;
}

void Limiter::SetLimit(double aLimit)
{
  const double lowest = this->options.minLimit;
  const double highest = std::max(this->options.maxLimit, this->options.minLimit);
  this->limit = std::clamp(aLimit, lowest, highest);
}

double AimdLimiter::Next(double aLimit, double aRatio, bool aIsFull)
{
  if (aRatio > 1) {
    this->hasDecreased = true;
    return aLimit * kDecrease;
  }
  if (aRatio >= kGoal || !aIsFull) {
    return aLimit;
  }
  return this->hasDecreased ? aLimit + 1 : aLimit * kSlowStart;
}

double GradientLimiter::Next(double aLimit, double aRatio, bool aIsFull)
{
  const double gradient = std::clamp(kGoal / aRatio, kLeastGradient, kMostGradient);
  if (gradient > 1 && !aIsFull) {
    return aLimit;
  }
  return aLimit + aLimit * (gradient - 1) * kSmoothing;
}

std::unique_ptr<Limiter> MakeLimiter(const AgentOptions& aOptions)
{
  return std::make_unique<AimdLimiter>(aOptions);
}

} // namespace caraway
