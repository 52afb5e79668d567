// Request rates that endpoints name. The process that keeps an endpoint's queue enforces the rate
// for all entries; a local queue, used while no such process is heard, enforces this entry's share.
#include "direct/dispatcher.h"
#include "direct/rate_news.h"

#include <algorithm>
#include <limits>

namespace caraway::direct {

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

void Dispatcher::UpdateLocalRate(TimePoint aNow, Target& aTarget)
{
  std::optional<double> rate = aTarget.namedRate.PerSecond();
  if (rate) {
    rate = *rate * kFallbackRateShare / this->entryCount;
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
  const std::optional<double> rate =
    aTarget.ActiveQueue() != nullptr ? aTarget.namedRate.PerSecond() : aTarget.localQueue->Rate();
  return rate.value_or(std::numeric_limits<double>::infinity());
}

std::size_t Dispatcher::LimitedEndpointCount() const
{
  return static_cast<std::size_t>(
    std::count_if(this->targets.begin(), this->targets.end(),
                  [](const auto& aRow) { return aRow.second.namedRate.PerSecond().has_value(); }));
}

} // namespace caraway::direct
