// Request rates that endpoints name, and those of cold endpoints in local queues. The process that
// keeps an endpoint's queue enforces the rate for all entries; a local queue, used while no such
// process is heard, enforces this entry's share.
#include "direct/dispatcher.h"
#include "direct/rate_news.h"

#include <algorithm>
#include <limits>

namespace caraway::direct {

namespace {

constexpr Duration kShareTime = std::chrono::seconds(4);

// Hash between 0 and 1, the same for one entry and endpoint at all times.
double UnitHash(const std::string& aEndpoint, NodeId aEntry)
{
  constexpr std::uint64_t kRange = 1 << 20;
  const std::uint64_t hash = caraway::HashOf(aEndpoint, static_cast<std::uint64_t>(aEntry));
  return static_cast<double>(hash % kRange) / kRange;
}

} // namespace

void Dispatcher::AddRate(TimePoint aNow, Target& aTarget, const RateObservation& aObservation,
                         std::string_view aSource)
{
  if (!aTarget.namedRate.Add(aObservation)) {
    return;
  }
  this->port.OnNamedRate(aTarget.info, aTarget.namedRate.PerSecond(), aSource);
  this->UpdateLocalRate(aNow, aTarget);
  this->TellRate(aNow, aTarget, aTarget.ActiveQueue());
}

void Dispatcher::AddRateNews(TimePoint aNow, Target& aTarget, const RateNews& aNews,
                             std::string_view aSource)
{
  if (const auto read = ReadNews(aNow, aNews, aTarget.info.bornMs)) {
    this->AddRate(aNow, aTarget, *read, aSource);
  }
}

void Dispatcher::OnAgentRate(TimePoint aNow, const std::string& aHost, const RateNews& aNews)
{
  Target* target = this->FindByHost(aHost);
  if (target != nullptr) {
    this->AddRateNews(aNow, *target, aNews, "agent");
    this->DrainLocalOffers(aNow);
  }
}

// With many entries, an equal share is less than one request in kShareTime. Each could still send
// one at any moment, which adds up to more than the rate, so only some of them use the endpoint.
void Dispatcher::UpdateLocalRate(TimePoint aNow, Target& aTarget)
{
  std::optional<double> rate = aTarget.namedRate.EnforcedRate();
  if (rate) {
    rate = *rate * kFallbackRateShare;
  }
  rate = LowerRate(rate, ColdRate(aTarget, nullptr));
  if (rate) {
    const double share = *rate / this->entryCount;
    const double perShareTime = share * SecondsOf(kShareTime);
    const bool isChosen = UnitHash(aTarget.info.id, this->self.node) < perShareTime;
    rate = !isChosen ? 0 : share / std::min(perShareTime, 1.0);
  }
  aTarget.localQueue->SetRate(aNow, rate);
}

// Tells the queue the rate; does nothing for the local one.
void Dispatcher::TellRate(TimePoint aNow, const Target& aTarget, const RemoteQueue* aRemote)
{
  if (const auto news = NewsOf(aNow, aTarget.namedRate, aTarget.info.bornMs, false)) {
    this->SendTo(aTarget, aRemote, *news);
  }
}

double Dispatcher::CallRate(const Target& aTarget)
{
  const RemoteQueue* remote = aTarget.ActiveQueue();
  const std::optional<double> rate =
    remote != nullptr ? LowerRate(aTarget.namedRate.EnforcedRate(), ColdRate(aTarget, remote))
                      : aTarget.localQueue->Rate();
  return rate.value_or(std::numeric_limits<double>::infinity());
}

std::size_t Dispatcher::LimitedEndpointCount() const
{
  return static_cast<std::size_t>(
    std::count_if(this->targets.begin(), this->targets.end(),
                  [](const auto& aRow) { return aRow.second.namedRate.PerSecond().has_value(); }));
}

} // namespace caraway::direct
