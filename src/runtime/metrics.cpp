#include "runtime/metrics.h"

#include <prometheus/text_serializer.h>

namespace caraway {

namespace {

const prometheus::Histogram::BucketBoundaries kFirstTokenBuckets = { // seconds
  0.005, 0.01, 0.025, 0.05, 0.1, 0.2, 0.3, 0.41, 0.6, 1, 2, 5, 10, 30
};
const prometheus::Histogram::BucketBoundaries kInterTokenBuckets = { // seconds
  0.001, 0.005, 0.01, 0.02, 0.03, 0.04, 0.049, 0.06, 0.08, 0.1, 0.2, 0.5, 1, 5
};

double ToSeconds(Duration aTime)
{
  return std::chrono::duration<double>(aTime).count();
}

prometheus::Family<prometheus::Counter>& AddCounterFamily(prometheus::Registry& aRegistry,
                                                          const char* aName, const char* aHelp)
{
  return prometheus::BuildCounter().Name(aName).Help(aHelp).Register(aRegistry);
}

prometheus::Gauge& AddGauge(prometheus::Registry& aRegistry, const char* aName, const char* aHelp)
{
  return prometheus::BuildGauge().Name(aName).Help(aHelp).Register(aRegistry).Add({});
}

} // namespace

Metrics::Metrics()
  : results(AddCounterFamily(this->registry, "caraway_requests_total",
                             "Requests by tier, outcome and reason"))
  , goodput(AddCounterFamily(this->registry, "caraway_goodput_total",
                             "Answers delivered complete and in time, by tier and account"))
  , rejected(AddCounterFamily(this->registry, "caraway_rejected_total",
                              "Calls refused before they were accepted, by HTTP status"))
  , refusedFrames(AddCounterFamily(this->registry, "caraway_refused_frames_total",
                                   "Frames between processes that were refused, by cause"))
  , events(AddCounterFamily(this->registry, "caraway_events_total", "Events by kind"))
  , violations(
      AddCounterFamily(this->registry, "caraway_violations_total", "Invariant violations detected")
        .Add({}))
  , links(AddGauge(this->registry, "caraway_links", "Peers connected"))
  , configOffset(AddGauge(this->registry, "caraway_config_offset",
                          "First log offset that has not been applied"))
  , openRequests(AddGauge(this->registry, "caraway_open_requests", "Calls not yet answered"))
  , heldBytes(prometheus::BuildGauge()
                .Name("caraway_held_bytes")
                .Help("Memory held for connections, by what it is held for")
                .Register(this->registry))
{
  auto& first = prometheus::BuildHistogram()
                  .Name("caraway_first_token_seconds")
                  .Help("Time from a request to its first chunk, by tier")
                  .Register(this->registry);
  auto& inter = prometheus::BuildHistogram()
                  .Name("caraway_inter_token_seconds")
                  .Help("Time between two chunks of an answer, by tier")
                  .Register(this->registry);
  for (std::size_t tier = 0; tier < kTierCount; ++tier) {
    const prometheus::Labels labels{ { "tier", std::to_string(tier) } };
    this->firstToken.at(tier) = &first.Add(labels, kFirstTokenBuckets);
    this->interToken.at(tier) = &inter.Add(labels, kInterTokenBuckets);
  }
}

void Metrics::CountResult(const RequestResult& aResult)
{
  const std::string tier = std::to_string(aResult.tier);
  this->results
    .Add({ { "tier", tier },
           { "outcome", std::string(ToString(aResult.outcome)) },
           { "reason", std::string(ToString(aResult.reason)) } })
    .Increment();
  if (aResult.inTime) {
    this->goodput.Add({ { "tier", tier }, { "account", std::string(aResult.account) } })
      .Increment();
  }
}

void Metrics::CountRejected(std::uint32_t aStatus)
{
  this->rejected.Add({ { "status", std::to_string(aStatus) } }).Increment();
}

void Metrics::ObserveFirstToken(Tier aTier, Duration aTime)
{
  this->firstToken.at(aTier)->Observe(ToSeconds(aTime));
}

void Metrics::ObserveInterToken(Tier aTier, Duration aTime)
{
  this->interToken.at(aTier)->Observe(ToSeconds(aTime));
}

void Metrics::CountRefusedFrame(std::string_view aCause)
{
  this->refusedFrames.Add({ { "cause", std::string(aCause) } }).Increment();
}

void Metrics::CountEvent(EventKind aKind)
{
  this->events.Add({ { "kind", std::string(ToString(aKind)) } }).Increment();
  if (aKind == EventKind::kViolation) {
    this->violations.Increment();
  }
}

void Metrics::SetLinks(std::size_t aCount)
{
  this->links.Set(static_cast<double>(aCount));
}

void Metrics::SetConfigOffset(LogOffset aNext)
{
  this->configOffset.Set(static_cast<double>(aNext));
}

void Metrics::SetOpenRequests(std::size_t aCount)
{
  this->openRequests.Set(static_cast<double>(aCount));
}

double Metrics::Violations() const
{
  return this->violations.Value();
}

double Metrics::RefusedFrames(std::string_view aCause) const
{
  return this->refusedFrames.Add({ { "cause", std::string(aCause) } }).Value();
}

void Metrics::SetHeldBytes(std::string_view aHolder, std::size_t aBytes)
{
  this->heldBytes.Add({ { "holder", std::string(aHolder) } }).Set(static_cast<double>(aBytes));
}

std::string Metrics::Text() const
{
  return prometheus::TextSerializer().Serialize(this->registry.Collect());
}

} // namespace caraway
