#include "core/limit.h"

#include <algorithm>
#include <cmath>
#include <limits>

namespace caraway {

namespace {

using std::chrono::milliseconds;

constexpr Duration kShortWindow = milliseconds(100);
constexpr Duration kLongWindow = milliseconds(500);
constexpr double kShortWindowSamples = 40; // required to close a short window
constexpr double kMinSamples = 8;          // required to close a long window and for any statistic
constexpr double kHistoryDecay = 0.8;      // weight kept by previous windows
constexpr double kTargetShare = 0.9;       // fraction of the target that the limit aims at
constexpr double kMinRatio = 1.0 / 16;
constexpr double kBucketsPerDoubling = 8;
constexpr double kPrefillGrowth = 1.001; // growth of the lowest prefill time per sample
constexpr double kDecrease = 0.9;        // AIMD: factor after a window over the target
constexpr double kFastIncrease = 1.25;   // AIMD: growth per window before the first decrease
constexpr double kMinGradient = 0.7;
constexpr double kMaxGradient = 1.25;
constexpr double kSmoothing = 0.5;
constexpr std::uint64_t kNoTokenLimit = std::numeric_limits<std::uint64_t>::max() / 4;
constexpr double kMinTokenLimit = 1024;

} // namespace

void RatioHistogram::Add(double aRatio)
{
  const double place = std::log2(std::max(aRatio, kMinRatio) / kMinRatio);
  const auto bucket = static_cast<std::size_t>(place * kBucketsPerDoubling);
  this->buckets.at(std::min(bucket, kBuckets - 1))++;
  this->count++;
}

void RatioHistogram::Merge(const RatioHistogram& aOther, double aDecay)
{
  for (std::size_t bucket = 0; bucket < kBuckets; bucket++) {
    this->buckets.at(bucket) = this->buckets.at(bucket) * aDecay + aOther.buckets.at(bucket);
  }
  this->count = this->count * aDecay + aOther.count;
}

double RatioHistogram::Quantile(double aShare) const
{
  const double above = this->count * (1 - aShare);
  double seen = 0;
  for (std::size_t bucket = kBuckets; bucket-- > 0;) {
    seen += this->buckets.at(bucket);
    if (seen > above) {
      const double middle = static_cast<double>(bucket) + 0.5;
      return kMinRatio * std::exp2(middle / kBucketsPerDoubling);
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
  this->history.Merge(this->current, kHistoryDecay);
  this->median = this->current.Count() < kMinSamples ? 0 : this->current.Quantile(0.5);
  this->p95 = this->history.Count() < kMinSamples ? 0 : this->history.Quantile(0.95);
  this->current.Clear();
}

void RatioWindow::Clear()
{
  this->current.Clear();
  this->history.Clear();
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
  this->interTokenRatios.Add(each / SecondsOf(this->options.interTokenTarget));
  this->CloseWindowIfDue(aNow, aInFlight);
}

// A long prompt alone may take longer than the target, so its budget is extended by the lowest
// prefill time per token seen so far.
void Limiter::OnFirstToken(TimePoint aNow, Duration aWait, std::uint32_t aPromptTokens,
                           const InFlight& aInFlight)
{
  const double wait = SecondsOf(aWait);
  if (aPromptTokens > 0) {
    const double each = wait / aPromptTokens;
    const bool isLower = this->prefillPerToken == 0 || each < this->prefillPerToken;
    this->prefillPerToken = isLower ? each : this->prefillPerToken * kPrefillGrowth;
  }
  const double budget =
    SecondsOf(this->options.firstTokenTarget) + this->prefillPerToken * aPromptTokens;
  this->firstTokenRatios.Add(wait / budget);
  this->CloseWindowIfDue(aNow, aInFlight);
}

void Limiter::Reset()
{
  this->limit = this->options.initialLimit;
  this->tokenLimit = kNoTokenLimit;
  this->interTokenRatios.Clear();
  this->firstTokenRatios.Clear();
  this->windowStart = kNever;
  this->OnReset();
}

std::uint32_t Limiter::Limit() const
{
  return static_cast<std::uint32_t>(this->limit);
}

// Closes the window when it has enough samples for its age, and adjusts the limits.
void Limiter::CloseWindowIfDue(TimePoint aNow, const InFlight& aInFlight)
{
  if (this->windowStart == kNever) {
    this->windowStart = aNow;
  }
  const Duration age = aNow - this->windowStart;
  const double count = this->interTokenRatios.Count() + this->firstTokenRatios.Count();
  const bool isShortDone = age >= kShortWindow && count >= kShortWindowSamples;
  const bool isLongDone = age >= kLongWindow && count >= kMinSamples;
  if (!isShortDone && !isLongDone) {
    return;
  }
  this->interTokenRatios.Close();
  this->firstTokenRatios.Close();
  this->windowStart = aNow;
  if (this->IsAdaptive()) {
    this->Adjust(aInFlight);
  }
}

// While more is in flight than the limit, only a median over the target changes it: the measured
// times then reflect the excess load, not the limit.
void Limiter::Adjust(const InFlight& aInFlight)
{
  const double median = std::max(this->interTokenRatios.Median(), this->firstTokenRatios.Median());
  if (median > 1) {
    this->ReduceLimits(median, aInFlight);
    return;
  }
  const double before = this->limit;
  const bool isFull = aInFlight.hasDemand && aInFlight.requests >= this->Limit();
  const bool isOverLimit = aInFlight.requests > this->Limit();
  if (!isOverLimit) {
    const double ratio = std::max(this->interTokenRatios.P95(), this->firstTokenRatios.P95());
    this->SetLimit(this->NextLimit(this->limit, ratio, isFull && this->wasFull));
    if (this->tokenLimit < kNoTokenLimit && ratio < kTargetShare) {
      this->tokenLimit += this->tokenLimit / 8;
    }
  }
  this->wasFull = isFull;
  if (this->limit < before) {
    this->interTokenRatios.Clear();
    this->firstTokenRatios.Clear();
  }
}

// Lowers both limits to the load that would have met the target, assuming that latency is
// proportional to load.
void Limiter::ReduceLimits(double aMedian, const InFlight& aInFlight)
{
  const double kept = kTargetShare / aMedian;
  this->SetLimit(std::min(this->limit, aInFlight.requests * kept));
  const double tokens = std::max(static_cast<double>(aInFlight.tokens) * kept, kMinTokenLimit);
  this->tokenLimit = std::min(this->tokenLimit, static_cast<std::uint64_t>(tokens));
  this->interTokenRatios.Clear();
  this->firstTokenRatios.Clear();
  this->wasFull = false;
}

void Limiter::SetLimit(double aLimit)
{
  const double lowest = this->options.minLimit;
  const double highest = std::max(this->options.maxLimit, this->options.minLimit);
  this->limit = std::clamp(aLimit, lowest, highest);
}

double AimdLimiter::NextLimit(double aLimit, double aRatio, bool aIsFull)
{
  if (aRatio > 1) {
    this->hasDecreased = true;
    return aLimit * kDecrease;
  }
  if (aRatio >= kTargetShare || !aIsFull) {
    return aLimit;
  }
  return this->hasDecreased ? aLimit + 1 : aLimit * kFastIncrease;
}

double GradientLimiter::NextLimit(double aLimit, double aRatio, bool aIsFull)
{
  const double gradient = std::clamp(kTargetShare / aRatio, kMinGradient, kMaxGradient);
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
