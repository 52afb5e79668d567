// Limit of an endpoint: how many requests and tokens may be in flight, learned from the time
// between tokens and to the first token against their targets.
#pragma once

#include "core/options.h"
#include "core/types.h"

#include <array>
#include <memory>
#include <string_view>

namespace caraway {

// 95th percentile of the ratios of measured times to their targets inside a short window.
class RatioWindow
{
public:
  void Add(double aRatio);
  double P95() const;
  std::uint32_t Count() const { return this->count; }
  void Clear();

private:
  static constexpr std::size_t kBuckets = 64;
  std::array<std::uint32_t, kBuckets> buckets{};
  std::uint32_t count = 0;
};

// What is in flight at the endpoint.
struct InFlight
{
  std::uint32_t requests = 0; // running or offered
  std::uint64_t tokens = 0;   // prompt and estimated output of them
  bool isWanted = false;      // more would be in flight if the limit allowed it
};

// Collects the times and closes a window when it holds enough of them; what the limit becomes after
// a window is left to the law.
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
  // The endpoint failed or came back: learning starts again.
  void Reset();

  std::uint32_t Limit() const;
  // Most tokens in flight; one request may always run.
  std::uint64_t TokenLimit() const { return this->tokenLimit; }

  virtual std::string_view Name() const = 0;

protected:
  // New limit after a window. aRatio: the 95th percentile over the target, worst of both kinds.
  virtual double Next(double aLimit, double aRatio, const InFlight& aInFlight) = 0;
  virtual void OnReset() {}

private:
  void Consider(TimePoint aNow, const InFlight& aInFlight);
  void AdjustTokens(double aRatio, const InFlight& aInFlight);

  AgentOptions options;
  double limit;
  std::uint64_t tokenLimit;
  RatioWindow gaps;
  RatioWindow firsts;
  double prefillPerToken = 0; // seconds, lowest seen, rising slowly
  TimePoint windowStart = kNever;
};

// Additive increase, multiplicative decrease; doubles until the first decrease.
class AimdLimiter final : public Limiter
{
public:
  using Limiter::Limiter;
  std::string_view Name() const override { return "aimd"; }

protected:
  double Next(double aLimit, double aRatio, const InFlight& aInFlight) override;
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
  double Next(double aLimit, double aRatio, const InFlight& aInFlight) override;
};

// Keeps the initial limit; the baseline.
class FixedLimiter final : public Limiter
{
public:
  using Limiter::Limiter;
  std::string_view Name() const override { return "fixed"; }

protected:
  double Next(double aLimit, double, const InFlight&) override { return aLimit; }
};

// The law that agents use.
std::unique_ptr<Limiter> MakeLimiter(const AgentOptions& aOptions);

} // namespace caraway
