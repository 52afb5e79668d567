#include "gateway/gateway_metrics.h"

#include <prometheus/text_serializer.h>

#include <algorithm>

namespace caraway::gateway {

namespace {

const prometheus::Histogram::BucketBoundaries kLatencyBuckets = { // seconds
  0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.4, 0.6, 1, 2, 4, 8, 16
};

prometheus::Family<prometheus::Counter>& AddCounterFamily(prometheus::Registry& aRegistry,
                                                          const char* aName, const char* aHelp)
{
  return prometheus::BuildCounter().Name(aName).Help(aHelp).Register(aRegistry);
}

prometheus::Gauge& AddGauge(prometheus::Registry& aRegistry, const char* aName, const char* aHelp)
{
  return prometheus::BuildGauge().Name(aName).Help(aHelp).Register(aRegistry).Add({});
}

void AddHistograms(prometheus::Registry& aRegistry, const char* aName, const char* aHelp,
                   std::array<prometheus::Histogram*, kTierCount>& aOut)
{
  auto& family = prometheus::BuildHistogram().Name(aName).Help(aHelp).Register(aRegistry);
  for (std::size_t rank = 0; rank < aOut.size(); rank++) {
    aOut[rank] = &family.Add({ { "rank", std::to_string(rank) } }, kLatencyBuckets);
  }
}

} // namespace

GatewayMetrics::GatewayMetrics()
  : requests(
      AddCounterFamily(this->registry, "caraway_entry_requests_total", "Requests read").Add({}))
  , answers(AddCounterFamily(this->registry, "caraway_entry_answers_total",
                             "Whole answers of endpoints passed on, by result"))
  , refusals(AddCounterFamily(this->registry, "caraway_entry_refusals_total",
                              "Answers of the entry's own, by status and cause"))
  , cuts(
      AddCounterFamily(this->registry, "caraway_entry_cuts_total", "Streams ended early, by cause"))
  , callersGone(AddCounterFamily(this->registry, "caraway_entry_callers_gone_total",
                                 "Callers that left before their answer")
                  .Add({}))
  , attempts(AddCounterFamily(this->registry, "caraway_entry_attempts_total",
                              "Attempts at endpoints, by end, connection and echoed id"))
  , configVersion(
      AddGauge(this->registry, "caraway_entry_config_version", "Configuration in force"))
  , configAge(AddGauge(this->registry, "caraway_entry_config_age_seconds",
                       "Since the configuration was confirmed as the newest"))
  , storeRestores(AddCounterFamily(this->registry, "caraway_entry_store_restores_total",
                                   "Returns of the store from an older copy")
                    .Add({}))
  , storeEra(AddGauge(this->registry, "caraway_entry_store_era",
                      "Era of the store, which rises when it was restored; 0 if unknown"))
  , endpoints(AddGauge(this->registry, "caraway_entry_endpoints", "Endpoints listed"))
  , endpointsAge(AddGauge(this->registry, "caraway_entry_endpoints_age_seconds",
                          "Since the list of endpoints was read"))
  , openRequests(
      AddGauge(this->registry, "caraway_entry_open_requests", "Requests not yet answered"))
  , suspects(
      AddGauge(this->registry, "caraway_entry_suspects", "Requests under which endpoints died"))
  , limitedEndpoints(AddGauge(this->registry, "caraway_entry_limited_endpoints",
                              "Endpoints that name a request rate"))
  , evacuatedDomains(AddGauge(this->registry, "caraway_entry_evacuated_failure_domains",
                              "Failure domains whose endpoints get no requests"))
  , coldEndpoints(AddGauge(this->registry, "caraway_entry_cold_endpoints",
                           "Endpoints that are cold or suspected of it"))
  , logLinesDropped(AddGauge(this->registry, "caraway_log_lines_dropped",
                             "Log lines beyond the bound, since the start"))
  , heldBytes(prometheus::BuildGauge()
                .Name("caraway_entry_held_bytes")
                .Help("Memory held for connections of callers, by holder")
                .Register(this->registry))
  , connections(AddGauge(this->registry, "caraway_entry_connections", "Connections of callers"))
  , closedConnections(prometheus::BuildGauge()
                        .Name("caraway_entry_closed_for_room")
                        .Help("Connections refused or closed for others since the start, by cause")
                        .Register(this->registry))
{
  AddHistograms(this->registry, "caraway_entry_wait_seconds",
                "Time from a request to its first attempt, by rank", this->waitHistograms);
  AddHistograms(this->registry, "caraway_entry_first_seconds",
                "Time from a request to its first event or its answer, by rank",
                this->firstHistograms);
}

void GatewayMetrics::CountAnswer(bool aIsSuccess)
{
  this->answers.Add({ { "result", aIsSuccess ? "success" : "failure" } }).Increment();
}

void GatewayMetrics::CountRefusal(std::uint16_t aStatus, std::string_view aCause)
{
  this->refusals.Add({ { "status", std::to_string(aStatus) }, { "cause", std::string(aCause) } })
    .Increment();
}

void GatewayMetrics::CountCut(std::string_view aCause)
{
  this->cuts.Add({ { "cause", std::string(aCause) } }).Increment();
}

void GatewayMetrics::CountAttempt(direct::AttemptEnd aEnd, ConnectionUse aConnection,
                                  bool aIsEchoed)
{
  this->attempts
    .Add({ { "end", std::string(ToString(aEnd)) },
           { "connection", std::string(ToString(aConnection)) },
           { "echoed", aIsEchoed ? "true" : "false" } })
    .Increment();
}

void GatewayMetrics::ObserveWait(Tier aRank, Duration aTime)
{
  this->waitHistograms.at(std::min(aRank, kLowestTier))->Observe(SecondsOf(aTime));
}

void GatewayMetrics::ObserveFirstLatency(Tier aRank, Duration aTime)
{
  this->firstHistograms.at(std::min(aRank, kLowestTier))->Observe(SecondsOf(aTime));
}

void GatewayMetrics::SetConfig(std::uint64_t aVersion, Duration aAge)
{
  this->configVersion.Set(static_cast<double>(aVersion));
  this->configAge.Set(SecondsOf(aAge));
}

void GatewayMetrics::SetStoreEra(std::uint64_t aEra)
{
  this->storeEra.Set(static_cast<double>(aEra));
}

void GatewayMetrics::SetEndpoints(std::size_t aCount, Duration aAge)
{
  this->endpoints.Set(static_cast<double>(aCount));
  this->endpointsAge.Set(SecondsOf(aAge));
}

void GatewayMetrics::SetOpenRequests(std::size_t aCount)
{
  this->openRequests.Set(static_cast<double>(aCount));
}

void GatewayMetrics::SetSuspects(std::size_t aCount)
{
  this->suspects.Set(static_cast<double>(aCount));
}

void GatewayMetrics::SetColdEndpoints(std::size_t aCount)
{
  this->coldEndpoints.Set(static_cast<double>(aCount));
}

void GatewayMetrics::SetLimitedEndpoints(std::size_t aCount)
{
  this->limitedEndpoints.Set(static_cast<double>(aCount));
}

void GatewayMetrics::SetEvacuatedDomains(std::size_t aCount)
{
  this->evacuatedDomains.Set(static_cast<double>(aCount));
}

void GatewayMetrics::SetLogLinesDropped(std::uint64_t aCount)
{
  this->logLinesDropped.Set(static_cast<double>(aCount));
}

void GatewayMetrics::SetConnections(const MemoryAccount& aMemory, std::size_t aCount,
                                    const IngressRefusals& aRefusals)
{
  for (std::size_t index = 0; index < kHolderCount; index++) {
    const auto holder = static_cast<Holder>(index);
    this->heldBytes.Add({ { "holder", std::string(ToString(holder)) } })
      .Set(static_cast<double>(aMemory.Held(holder)));
  }
  this->connections.Set(static_cast<double>(aCount));
  this->closedConnections.Add({ { "cause", "descriptors" } })
    .Set(static_cast<double>(aRefusals.connections));
  this->closedConnections.Add({ { "cause", "memory" } })
    .Set(static_cast<double>(aRefusals.reading));
}

std::string GatewayMetrics::Text() const
{
  return prometheus::TextSerializer().Serialize(this->registry.Collect());
}

} // namespace caraway::gateway
