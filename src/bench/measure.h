// Measures of a run: goodput by tier, latencies, refusals, wasted prefill, messages, and a
// signature of all decisions.
#pragma once

#include "bench/site.h"

#include <boost/histogram.hpp>

#include <array>
#include <map>
#include <optional>
#include <string>
#include <unordered_map>

namespace caraway::bench {

// Times in milliseconds on a logarithmic axis, for percentiles within about one percent.
class LatencyHistogram
{
public:
  LatencyHistogram();
  void Add(Duration aTime);
  // Milliseconds below which the share aShare of all times lie; 0 without any.
  double Percentile(double aShare) const;

private:
  using Axis = boost::histogram::axis::regular<double, boost::histogram::axis::transform::log>;
  boost::histogram::histogram<std::tuple<Axis>> counts;
  double total = 0;
};

// What became of the calls of one tier. A call is one wish of a caller with all its attempts.
struct TierResult
{
  std::uint64_t calls = 0;
  std::uint64_t good = 0;    // answered whole and in time on some attempt
  std::uint64_t late = 0;    // attempts answered whole, too late
  std::uint64_t refused = 0; // attempts that did not run
  std::uint64_t cut = 0;     // attempts that ran in part
  std::uint64_t unknown = 0; // attempts whose outcome cannot be told
  double Share() const;
};

struct RunResult
{
  std::string policy;
  double load = 0;
  double capacity = 0; // calls a second
  double goodPerSecond = 0;
  std::array<TierResult, kTierCount> tiers;
  std::map<std::string, std::uint64_t> refusals; // by reason
  std::array<double, 3> firstToken{};            // p50, p95, p99 in milliseconds
  std::array<double, 3> interToken{};
  std::uint64_t prefillRun = 0;
  std::uint64_t prefillWasted = 0;
  std::uint64_t attempts = 0;
  double controlPerRequest = 0;  // messages other than chunks and acknowledgements
  double messagesPerRequest = 0; // all messages
  // Refusals for overload while lower-tier work was running at some endpoint, by tier.
  std::array<std::uint64_t, kTierCount> inversions{};
  std::uint64_t violations = 0; // reported by the program's own checks
  std::uint64_t signature = 0;
  std::uint64_t decisions = 0;
  double WastedShare() const;
};

class Measure final : public Observer
{
public:
  // Calls that are submitted from aFrom to aUntil count; goodput a second counts answers that are
  // complete in that time.
  Measure(const Site& aSite, TimePoint aFrom, TimePoint aUntil);

  void OnSubmit(const Job& aJob, NodeId aEntry) override;
  void OnDispatch(const Job& aJob, NodeId aAgent) override;
  void OnPart(const Job& aJob, const std::string& aData) override;
  void OnFinal(const Job& aJob, const FinalAnswer& aAnswer) override;
  void OnEvent(NodeId aNode, const Event& aEvent) override;

  // Prompt tokens that an endpoint computed, by request.
  void AddPrefill(const std::unordered_map<RequestId, std::uint32_t>& aPrefill);
  RunResult Result() const;

private:
  struct Progress
  {
    TimePoint first = kNever;
    TimePoint last = kNever;
    bool good = false;
    bool running = false;
  };

  bool Counts(const Job& aJob) const;
  void Sign(std::uint64_t aKind, const Job& aJob, std::uint64_t aDetail);
  void CountOutcome(const Job& aJob, const FinalAnswer& aAnswer);
  void CountAnswered(const Job& aJob);

  const Site& site;
  TimePoint from;
  TimePoint until;
  RunResult result;
  std::uint64_t goodInWindow = 0;
  std::array<std::uint64_t, kTierCount> running{}; // dispatched and not ended, by tier
  std::unordered_map<RequestId, Progress> progress;
  std::unordered_map<std::uint32_t, bool> goodCalls;
  LatencyHistogram firstToken;
  LatencyHistogram interToken;
};

} // namespace caraway::bench
