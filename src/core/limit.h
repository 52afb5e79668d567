// Limit of an endpoint: how many requests and tokens may be in flight, learned from the time
// between tokens and to the first token against their targets.
#pragma once

#include "core/options.h"
#include "core/types.h"

#include <array>
#include <memory>
#include <string_view>

namespace caraway {

// Distribution of the ratios of measured times to their targets, in buckets.
class RatioHistogram
{
public:
  void Add(double aRatio);
  // Adds the other histogram, after its own counts have decayed by aKept.
  void Merge(const RatioHistogram& aOther, double aKept);
  // Ratio that the part aShare of all values does not exceed; 0 without values.
  double Quantile(double aShare) const;
  double Count() const { return this->count; }
  void Clear();

private:
  static constexpr std::size_t kBuckets = 64;
  std::array<double, kBuckets> buckets{};
  double count = 0;
};

// Times of one kind: the current window, and the windows before it with decaying weight.
class RatioWindow
{
public:
  void Add(double aRatio) { this->current.Add(aRatio); }
  double Count() const { return this->current.Count(); }
  // Ends the window. Median() is of the window, P95() of it and of the ones before; both are zero
  // while they would rest on too few times.
  void Close();
  double Median() const { return this->median; }
  double P95() const { return this->p95; }
  // Forgets the windows before, which tell of another limit.
  void Clear();

private:
  RatioHistogram current;
  RatioHistogram memory;
  double median = 0;
  double p95 = 0;
};

// What is in flight at the endpoint.
struct InFlight
{
  std::uint32_t requests = 0; // running or offered
  std::uint64_t tokens = 0;   // prompt and estimated output of them
  bool isWanted = false;      // more would be in flight if the limit allowed it
};

// Collects the times and closes a window when it holds enough of them. A window whose median misses
// the target unloads the endpoint at once: the limit falls in proportion, and holds until the work
// above it has ended. Otherwise the law decides from the 95th percentile.
class Limiter
{
public:
  explicit Limiter(const AgentOptions& aOptions);
  virtual ~Limiter() = default;
  Limiter(const Limiter&) = delete;
  Limiter& operator=(const Limiter&) = delete;

  // aTokens tokens of one stream arrived aGap after the ones before.
  void OnTokens(TimePoint aNow, Duration aGap, std::uint32_t aTokens, const InFlight& aInFlight);
  void OnFirstToken(TimePoint aNow, Duration aWait, std::uint32_t aPromptTokens,
                    const InFlight& aInFlight);
  virtual bool IsAdaptive() const { return true; }
  // The endpoint failed or came back: learning starts again.
  void Reset();

  std::uint32_t Limit() const;
  // Most tokens in flight; one request may always run.
  std::uint64_t TokenLimit() const { return this->tokenLimit; }

  virtual std::string_view Name() const = 0;

protected:
  // New limit after a window. aRatio: the 95th percentile over the target, worst of both kinds.
  // aIsFull: the limit was in use and more work waited.
  virtual double Next(double aLimit, double aRatio, bool aIsFull) = 0;
  virtual void OnReset() {}

private:
  void Consider(TimePoint aNow, const InFlight& aInFlight);
  void Adjust(const InFlight& aInFlight);
  void Unload(double aMedian, const InFlight& aInFlight);
  void SetLimit(double aLimit);

  AgentOptions options;
  double limit;
  std::uint64_t tokenLimit;
  RatioWindow gaps;
  RatioWindow firsts;
  double prefillPerToken = 0; // seconds, lowest seen, rising slowly
  bool wasFull = false;       // at the end of the window before
  TimePoint windowStart = kNever;
};

// Additive increase, multiplicative decrease; grows faster until the first decrease.
class AimdLimiter final : public Limiter
{
public:
  using Limiter::Limiter;
  std::string_view Name() const override { return "aimd"; }

protected:
  double Next(double aLimit, double aRatio, bool aIsFull) override;
  void OnReset() override { this->hasDecreased = false; }

private:
  bool hasDecreased = false;
};

// Follows the gradient: the limit moves in proportion to the room that the target leaves.
class GradientLimiter final : public Limiter
{
public:
  using Limiter::Limiter;
  std::string_view Name() const override { return "gradient"; }

protected:
  double Next(double aLimit, double aRatio, bool aIsFull) override;
};

// Keeps the initial limit; the baseline.
class FixedLimiter final : public Limiter
{
public:
  using Limiter::Limiter;
  std::string_view Name() const override { return "fixed"; }
  bool IsAdaptive() const override { return false; }

protected:
  double Next(double aLimit, double, bool) override { return aLimit; }
};

// The law that agents use.
std::unique_ptr<Limiter> MakeLimiter(const AgentOptions& aOptions);

} // namespace caraway
