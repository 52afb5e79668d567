// Metrics of a process, kept in a prometheus-cpp registry.
#pragma once

#include "core/event.h"
#include "core/types.h"

#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>

#include <array>
#include <string>
#include <string_view>

namespace caraway {

// Final result of one request, counted at its entry.
struct RequestResult
{
  std::string_view account;
  Tier tier = kLowestTier;
  Outcome outcome = Outcome::kUnknown;
  Reason reason = Reason::kNone;
  bool inTime = false; // answered, and both deadlines met
};

class Metrics
{
public:
  Metrics();

  void CountResult(const RequestResult& aResult);
  // Counts a request that was refused with aStatus (HTTP) before it was submitted.
  void CountRejected(std::uint32_t aStatus);
  void ObserveFirstToken(Tier aTier, Duration aTime);
  void ObserveInterToken(Tier aTier, Duration aTime);
  void CountRefusedFrame(std::string_view aCause);
  void CountEvent(EventKind aKind);
  void SetLinks(std::size_t aCount);
  void SetConfigOffset(LogOffset aNext);
  void SetOpenRequests(std::size_t aCount);
  // Memory held for connections, by what it is held for.
  void SetHeldBytes(std::string_view aHolder, std::size_t aBytes);

  double Violations() const;
  double RefusedFrames(std::string_view aCause) const;

  // All metrics in the Prometheus text format.
  std::string Text() const;

private:
  prometheus::Registry registry;
  prometheus::Family<prometheus::Counter>& results;
  prometheus::Family<prometheus::Counter>& goodput;
  prometheus::Family<prometheus::Counter>& rejected;
  prometheus::Family<prometheus::Counter>& refusedFrames;
  prometheus::Family<prometheus::Counter>& events;
  prometheus::Counter& violations;
  prometheus::Gauge& links;
  prometheus::Gauge& configOffset;
  prometheus::Gauge& openRequests;
  prometheus::Family<prometheus::Gauge>& heldBytes;
  std::array<prometheus::Histogram*, kTierCount> firstToken{};
  std::array<prometheus::Histogram*, kTierCount> interToken{};
};

} // namespace caraway
