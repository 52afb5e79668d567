// Cold endpoints. The process that keeps an endpoint's queue enforces what the endpoint bears; a
// local queue, used while no such process is heard, enforces this entry's share.
#include "direct/cold_news.h"
#include "direct/dispatcher.h"

#include <algorithm>

namespace caraway::direct {

// Reads a registration before it replaces aTarget.info. A process that is listed for the first time
// says itself whether it is cold; one that replaces another is suspected.
void Dispatcher::ReadColdRegistration(TimePoint aNow, Target& aTarget, const EndpointInfo& aInfo,
                                      bool aIsNew)
{
  const EndpointInfo& before = aTarget.info;
  const bool isOtherProcess = !aIsNew && before.bornMs != aInfo.bornMs;
  if (isOtherProcess) {
    aTarget.cold = {};
    aTarget.cold.Suspect(aNow);
    aTarget.agent.coldUntil = aTarget.owner.coldUntil = TimePoint{};
  }
  const bool isNewStatement = aIsNew || isOtherProcess || before.sequence != aInfo.sequence ||
                              before.coldRemaining != aInfo.coldRemaining;
  if (isNewStatement && aInfo.coldRemaining > Duration::zero()) {
    aTarget.cold.Add({ aNow + aInfo.coldRemaining, TimePoint{}, aNow });
  }
}

void Dispatcher::AddColdNotice(TimePoint aNow, Target& aTarget, Duration aRemaining,
                               TimePoint aSentAt)
{
  if (aTarget.info.coldLimits.IsSet() && aTarget.cold.Add({ aNow + aRemaining, aSentAt, aNow })) {
    this->UpdateColdPhase(aNow, aTarget, "answer");
  }
}

void Dispatcher::OnAgentCold(TimePoint aNow, const std::string& aHost, const ColdNews& aNews)
{
  if (Target* target = this->FindByHost(aHost)) {
    this->AddColdNews(aNow, *target, target->agent, aNews);
    this->DrainLocalOffers(aNow);
  }
}

// What a queue says is not told back to it.
void Dispatcher::AddColdNews(TimePoint aNow, Target& aTarget, RemoteQueue& aRemote,
                             const ColdNews& aNews)
{
  const bool isOther = aNews.endpointBornMs != 0 && aTarget.info.bornMs != 0 &&
                       aNews.endpointBornMs != aTarget.info.bornMs;
  if (!isOther) {
    aRemote.coldUntil = aNow + std::chrono::milliseconds(aNews.remainingMs);
    this->UpdateColdPhase(aNow, aTarget, &aRemote == &aTarget.agent ? "agent" : "owner");
  }
}

TimePoint Dispatcher::ColdUntil(const Target& aTarget)
{
  const ColdLimits& limits = aTarget.info.coldLimits;
  return limits.IsSet() ? std::max({ aTarget.cold.Until(limits), aTarget.agent.coldUntil,
                                     aTarget.owner.coldUntil })
                        : TimePoint{};
}

// Called after each input about an endpoint and, since phases end by themselves, by the timer.
void Dispatcher::UpdateColdPhase(TimePoint aNow, Target& aTarget, std::string_view aSource)
{
  const TimePoint until = ColdUntil(aTarget);
  const bool isCold = aNow < until;
  if (isCold != aTarget.isCold) {
    aTarget.isCold = isCold;
    this->port.OnColdPhase(aTarget.info, isCold ? until - aNow : Duration::zero(), aSource);
    this->UpdateLocalRate(aNow, aTarget);
    if (isCold) {
      this->TellCold(aNow, aTarget, aTarget.ActiveQueue());
    }
  }
}

// Tells the queue what is known about a cold endpoint; does nothing for the local queue and for
// endpoints without limits.
void Dispatcher::TellCold(TimePoint aNow, const Target& aTarget, const RemoteQueue* aRemote)
{
  const EndpointInfo& info = aTarget.info;
  if (aRemote == nullptr || !info.coldLimits.IsSet()) {
    return;
  }
  ColdState state = aTarget.cold;
  if (aRemote == &aTarget.owner && aNow < aTarget.agent.coldUntil) {
    state.Add({ aTarget.agent.coldUntil, TimePoint{}, aNow });
  }
  this->SendTo(aTarget, aRemote, NewsOf(aNow, state, info.coldLimits, info.bornMs));
}

std::optional<double> Dispatcher::ColdRate(const Target& aTarget, const RemoteQueue* aRemote)
{
  RateHolder holder = RateHolder::kAgent;
  if (aRemote == nullptr) {
    holder = aTarget.hasAgent ? RateHolder::kFallbackEntry : RateHolder::kEntry;
  } else if (aRemote == &aTarget.owner) {
    holder = aTarget.hasAgent ? RateHolder::kFallbackOwner : RateHolder::kOwner;
  }
  return BoundsOf(aTarget.info.coldLimits, aTarget.isCold, holder).perSecond;
}

std::size_t Dispatcher::ColdEndpointCount() const
{
  return static_cast<std::size_t>(
    std::count_if(this->targets.begin(), this->targets.end(),
                  [](const auto& aRow) { return aRow.second.isCold; }));
}

} // namespace caraway::direct
