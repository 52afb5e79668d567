// Counters and latency histograms of an entry on the direct path, in the text format of Prometheus.
#pragma once

#include "direct/call.h"

#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>

#include <array>
#include <cstdint>
#include <string>
#include <string_view>

namespace caraway::gateway {

class GatewayMetrics
{
public:
  GatewayMetrics();

  void CountRequest() { this->requests.Increment(); }
  // The caller got an endpoint's whole answer, good or bad.
  void CountAnswer(bool aIsSuccess);
  // The caller got an answer of the entry's own.
  void CountRefusal(std::uint16_t aStatus, std::string_view aCause);
  // A stream was ended before its end.
  void CountCut(std::string_view aCause);
  void CountCallerGone() { this->callersGone.Increment(); }
  void CountAttempt(direct::AttemptEnd aEnd);
  // From the request to its first attempt.
  void ObserveWait(Tier aRank, Duration aTime);
  // From the request to the first event or the whole answer.
  void ObserveFirst(Tier aRank, Duration aTime);
  void SetConfig(std::uint64_t aVersion, Duration aAge);
  void SetEndpoints(std::size_t aCount, Duration aAge);
  void SetOpenRequests(std::size_t aCount);
  // Requests under which endpoints died.
  void SetSuspects(std::size_t aCount);
  void SetLogLinesDropped(std::uint64_t aCount);

  std::string Text() const;

private:
  prometheus::Registry registry;
  prometheus::Counter& requests;
  prometheus::Family<prometheus::Counter>& answers;
  prometheus::Family<prometheus::Counter>& refusals;
  prometheus::Family<prometheus::Counter>& cuts;
  prometheus::Counter& callersGone;
  prometheus::Family<prometheus::Counter>& attempts;
  prometheus::Gauge& configVersion;
  prometheus::Gauge& configAge;
  prometheus::Gauge& endpoints;
  prometheus::Gauge& endpointsAge;
  prometheus::Gauge& openRequests;
  prometheus::Gauge& suspects;
  prometheus::Gauge& logLinesDropped;
  std::array<prometheus::Histogram*, kTierCount> waits{};
  std::array<prometheus::Histogram*, kTierCount> firsts{};
};

} // namespace caraway::gateway
