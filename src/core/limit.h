// Concurrency limit of an endpoint: how many requests and tokens may be in flight, learned by
// comparing the inter-token and first-token latencies with their targets.
#pragma once

#include "core/options.h"
#include "core/types.h"

#include <array>
#include <memory>
#include <string_view>

namespace caraway {

// Histogram of the ratios of measured times to their targets, in logarithmic buckets.
class RatioHistogram
{
public:
  void Add(double aRatio);
  // Multiplies this histogram's counts by aDecay, then adds those of the other one.
  void Merge(const RatioHistogram& aOther, double aDecay);
  // Ratio that the fraction aShare of all values does not exceed; 0 without values.
  double Quantile(double aShare) const;
  double Count() const { return this->count; }
  void Clear();

private:
  static constexpr std::size_t kBuckets = 64;
  std::array<double, kBuckets> buckets{};
  double count = 0;
};

// Ratios of one kind of latency: the current window, and previous windows with decaying weight.
class RatioWindow
{
public:
  void Add(double aRatio) { this->current.Add(aRatio); }
  double Count() const { return this->current.Count(); }
  // Ends the window. Median() covers this window, P95() also the previous ones; both are zero with
  // too few samples.
  void Close();
  double Median() const { return this->median; }
  double P95() const { return this->p95; }
  // Discards the current and the previous windows, which were measured at a different limit.
  void Clear();

private:
  RatioHistogram current;
  RatioHistogram history;
  double median = 0;
  double p95 = 0;
};

// Work in flight at the endpoint.
struct InFlight
{
  std::uint32_t requests = 0; // running or offered
  std::uint64_t tokens = 0;   // their prompt and estimated output tokens
  bool hasDemand = false;     // more work is queued
};

// Collects latency samples in windows. If the median of a window exceeds the target, the limit is
// reduced in proportion at once and not raised until the excess work has ended. Otherwise the
// algorithm of the derived class adjusts the limit from the 95th percentile.
class Limiter
{
public:
  explicit Limiter(const AgentOptions& aOptions);
  virtual ~Limiter() = default;
  Limiter(const Limiter&) = delete;
  Limiter& operator=(const Limiter&) = delete;

  // aTokens tokens of one stream arrived aGap after its previous tokens.
  void OnTokens(TimePoint aNow, Duration aGap, std::uint32_t aTokens, const InFlight& aInFlight);
  void OnFirstToken(TimePoint aNow, Duration aWait, std::uint32_t aPromptTokens,
                    const InFlight& aInFlight);
  virtual bool IsAdaptive() const { return true; }
  // Restarts learning after the endpoint failed or recovered.
  void Reset();

  std::uint32_t Limit() const;
  // Maximum tokens in flight; a single request may always run.
  std::uint64_t TokenLimit() const { return this->tokenLimit; }

  virtual std::string_view Name() const = 0;

protected:
  // New limit after a window. aRatio: 95th percentile over target, the larger of both latency
  // kinds. aIsFull: the limit was fully used and more work was queued.
  virtual double NextLimit(double aLimit, double aRatio, bool aIsFull) = 0;
  virtual void OnReset() {}

private:
  void CloseWindowIfDue(TimePoint aNow, const InFlight& aInFlight);
  void Adjust(const InFlight& aInFlight);
  void ReduceLimits(double aMedian, const InFlight& aInFlight);
  void SetLimit(double aLimit);

  AgentOptions options;
  double limit;
  std::uint64_t tokenLimit;
  RatioWindow interTokenRatios;
  RatioWindow firstTokenRatios;
  double prefillPerToken = 0; // seconds; lowest seen, slowly increasing
  bool wasFull = false;       // at the end of the previous window
  TimePoint windowStart = kNever;
};

// Additive increase, multiplicative decrease; grows exponentially until the first decrease.
class AimdLimiter final : public Limiter
{
public:
  using Limiter::Limiter;
  std::string_view Name() const override { return "aimd"; }

protected:
  double NextLimit(double aLimit, double aRatio, bool aIsFull) override;
  void OnReset() override { this->hasDecreased = false; }

private:
  bool hasDecreased = false;
};

// Gradient algorithm: changes the limit in proportion to the headroom below the target.
class GradientLimiter final : public Limiter
{
public:
  using Limiter::Limiter;
  std::string_view Name() const override { return "gradient"; }

protected:
  double NextLimit(double aLimit, double aRatio, bool aIsFull) override;
};

// Keeps the initial limit; baseline for comparisons.
class FixedLimiter final : public Limiter
{
public:
  using Limiter::Limiter;
  std::string_view Name() const override { return "fixed"; }
  bool IsAdaptive() const override { return false; }

protected:
  double NextLimit(double aLimit, double, bool) override { return aLimit; }
};

// Creates the limiter that agents use.
std::unique_ptr<Limiter> MakeLimiter(const AgentOptions& aOptions);

} // namespace caraway
