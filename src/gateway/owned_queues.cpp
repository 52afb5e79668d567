#include "gateway/owned_queues.h"

#include "direct/cold_news.h"
#include "direct/rate_news.h"

#include <algorithm>

namespace caraway::gateway {

std::string OwnerOf(const std::string& aEndpoint, const std::vector<std::string>& aHosts)
{
  std::string best;
  std::uint64_t highest = 0;
  for (const std::string& host : aHosts) {
    const std::uint64_t hash = HashOf(host, HashOf(aEndpoint));
    if (best.empty() || hash > highest) {
      best = host;
      highest = hash;
    }
  }
  return best;
}

OwnedQueues::OwnedQueue::OwnedQueue(const QueueServerOptions& aOptions, OwnedQueuesPort& aPort,
                                    std::uint64_t aEndpoint)
  : port(aPort)
  , endpoint(aEndpoint)
  , server(aOptions, *this)
{
}

void OwnedQueues::OwnedQueue::SendFromQueue(const Address& aEntry,
                                            const direct::QueueMessage& aMessage)
{
  this->port.SendFromOwnedQueue(aEntry, { this->endpoint, aMessage });
}

direct::AgentState OwnedQueues::OwnedQueue::State() const
{
  direct::AgentState state = this->server.State();
  state.endpointBornMs = this->info.bornMs;
  state.isReachable = true; // reachability is determined from attempts instead
  state.isLeaving = this->info.isLeaving;
  state.entries.clear(); // entries learn of each other from EntryState
  return state;
}

OwnedQueues::OwnedQueues(const QueueServerOptions& aOptions, OwnedQueuesPort& aPort)
  : options(aOptions)
  , port(aPort)
{
}

std::optional<direct::RateNews> OwnedQueues::OwnedQueue::RateNews(TimePoint aNow) const
{
  return direct::NewsOf(aNow, this->namedRate, this->info.bornMs, true);
}

std::optional<direct::ColdNews> OwnedQueues::OwnedQueue::ColdNews(TimePoint aNow) const
{
  return this->isCold ? std::optional(direct::QueueColdNewsOf(
                          aNow, this->cold, this->info.coldLimits, this->info.bornMs))
                      : std::nullopt;
}

void OwnedQueues::SetEndpoints(TimePoint aNow,
                               const std::map<std::string, direct::EndpointInfo>& aAll,
                               const std::function<bool(const std::string&)>& aHasAgents)
{
  this->endpoints.clear();
  for (const auto& [id, info] : aAll) {
    this->endpoints[HashOf(id)] = { info, aHasAgents(info.service) };
  }
  std::erase_if(this->queues,
                [this](const auto& aRow) { return !this->endpoints.contains(aRow.first); });
  for (auto& [endpoint, owned] : this->queues) {
    Update(aNow, *owned, this->endpoints.at(endpoint));
  }
}

void OwnedQueues::Update(TimePoint aNow, OwnedQueue& aQueue, const Listed& aListed)
{
  const direct::EndpointInfo& info = aListed.info;
  const bool isOtherProcess = aQueue.info.bornMs != info.bornMs;
  if (isOtherProcess) {
    aQueue.namedRate = {};
    aQueue.cold = {};
    if (!aQueue.info.id.empty()) {
      aQueue.cold.Suspect(aNow);
    }
  }
  const bool isNewStatement = isOtherProcess || aQueue.info.sequence != info.sequence ||
                              aQueue.info.coldRemaining != info.coldRemaining;
  if (isNewStatement && info.coldRemaining > Duration::zero()) {
    aQueue.cold.Add({ aNow + info.coldRemaining, TimePoint{}, aNow });
  }
  aQueue.info = info;
  aQueue.hasAgent = aListed.hasAgent;
  UpdateLimits(aNow, aQueue);
}

void OwnedQueues::UpdateLimits(TimePoint aNow, OwnedQueue& aQueue)
{
  aQueue.server.SetLimit(aNow, aQueue.info.isLeaving ? 0 : aQueue.info.slots);
  std::optional<double> rate = aQueue.namedRate.EnforcedRate();
  if (rate && aQueue.hasAgent) {
    rate = *rate * direct::kFallbackRateShare;
  }
  aQueue.isCold = aQueue.cold.IsCold(aNow, aQueue.info.coldLimits);
  const direct::RateBounds bounds = direct::BoundsOf(
    aQueue.info.coldLimits, aQueue.isCold,
    aQueue.hasAgent ? direct::RateHolder::kFallbackOwner : direct::RateHolder::kOwner);
  aQueue.server.SetMaxInSecond(aNow, bounds.maxInSecond);
  aQueue.server.SetRate(aNow, direct::LowerRate(rate, bounds.perSecond));
}

void OwnedQueues::OnMessage(TimePoint aNow, const Address& aFrom, const Peer& aPeer,
                            const direct::QueueEnvelope& aMessage)
{
  const auto known = this->endpoints.find(aMessage.endpoint);
  if (known == this->endpoints.end()) {
    return;
  }
  std::unique_ptr<OwnedQueue>& owned = this->queues[aMessage.endpoint];
  if (owned == nullptr) {
    owned = std::make_unique<OwnedQueue>(this->options, this->port, aMessage.endpoint);
    Update(aNow, *owned, known->second);
  }
  if (const auto* news = std::get_if<direct::RateNews>(&aMessage.message)) {
    const auto read = direct::ReadNews(aNow, *news, owned->info.bornMs);
    if (read && owned->namedRate.Add(*read)) {
      UpdateLimits(aNow, *owned);
      owned->server.SendToAll(*owned->RateNews(aNow));
    }
  }
  if (const auto* news = std::get_if<direct::ColdNews>(&aMessage.message)) {
    const auto read = direct::StatementIn(aNow, *news, owned->info.bornMs);
    if (read && owned->cold.Add(*read)) {
      UpdateLimits(aNow, *owned);
    }
  }
  if (owned->server.OnMessage(aNow, aFrom, aPeer, aMessage.message)) {
    owned->SendFromQueue(aFrom, owned->State());
    if (const auto news = owned->ColdNews(aNow)) {
      owned->SendFromQueue(aFrom, *news);
    }
    if (const auto news = owned->RateNews(aNow)) {
      owned->SendFromQueue(aFrom, *news);
    }
  }
}

void OwnedQueues::SendStates(TimePoint aNow)
{
  for (auto& [endpoint, owned] : this->queues) {
    if (owned->isCold != owned->cold.IsCold(aNow, owned->info.coldLimits)) {
      UpdateLimits(aNow, *owned);
    }
    owned->server.SendStates(aNow, owned->State(), owned->RateNews(aNow), owned->ColdNews(aNow));
  }
  // A queue without entries has moved to another owner.
  std::erase_if(this->queues,
                [](const auto& aRow) { return aRow.second->server.EntryCount() == 0; });
}

void OwnedQueues::OnTimer(TimePoint aNow)
{
  for (auto& [endpoint, owned] : this->queues) {
    owned->server.OnTimer(aNow);
  }
}

TimePoint OwnedQueues::NextTimer(TimePoint aNow) const
{
  TimePoint next = kNever;
  for (const auto& [endpoint, owned] : this->queues) {
    next = std::min(next, owned->server.NextTimer(aNow));
  }
  return next;
}

} // namespace caraway::gateway
