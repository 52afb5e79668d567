// State of the remote queues, failover between them, and the hold states sent to them.
#include "direct/dispatcher.h"

#include <algorithm>
#include <cmath>

namespace caraway::direct {

namespace {

using std::chrono::milliseconds;

} // namespace

std::string_view Dispatcher::QueueKindOf(const Target& aTarget)
{
  const RemoteQueue* remote = aTarget.ActiveQueue();
  return remote == nullptr ? "own" : remote == &aTarget.agent ? "agent" : "owner";
}

void Dispatcher::LocalPort::OfferSlotTo(const Peer&, CallNumber aCall)
{
  this->dispatcher->localOffers.emplace_back(this->endpoint, aCall);
}

void Dispatcher::OnAgentState(TimePoint aNow, const std::string& aHost, const AgentState& aState)
{
  Target* target = this->FindByHost(aHost);
  if (target != nullptr) {
    this->ApplyQueueState(aNow, *target, target->agent, aState);
  }
}

void Dispatcher::SetOwners(TimePoint aNow, const std::map<std::string, std::string>& aHosts)
{
  for (auto& [id, target] : this->targets) {
    const auto found = aHosts.find(id);
    const std::string& host = found == aHosts.end() ? std::string() : found->second;
    if (host != target.ownerHost) {
      this->SetLive(aNow, target, target.owner, false);
      target.owner = RemoteQueue{};
      target.ownerHost = host;
    }
  }
  this->DrainLocalOffers(aNow);
}

void Dispatcher::OnOwnerMessage(TimePoint aNow, const std::string& aHost,
                                const QueueEnvelope& aMessage)
{
  const auto id = this->idOfHash.find(aMessage.endpoint);
  const auto found =
    id == this->idOfHash.end() ? this->targets.end() : this->targets.find(id->second);
  if (found == this->targets.end() || found->second.ownerHost != aHost) {
    return;
  }
  Target& target = found->second;
  if (const auto* state = std::get_if<AgentState>(&aMessage.message)) {
    this->ApplyQueueState(aNow, target, target.owner, *state);
  } else if (const auto* news = std::get_if<RateNews>(&aMessage.message)) {
    this->AddRateNews(aNow, target, *news, "owner");
    this->DrainLocalOffers(aNow);
  } else if (const auto* cold = std::get_if<ColdNews>(&aMessage.message)) {
    this->AddColdNews(aNow, target, target.owner, *cold);
    this->DrainLocalOffers(aNow);
  } else if (const auto* offer = std::get_if<OfferSlot>(&aMessage.message)) {
    // An offer from a queue that is no longer in use is ignored and times out there.
    if (target.ActiveQueue() == &target.owner) {
      this->HandleOffer(aNow, target, offer->call);
      this->DrainLocalOffers(aNow);
    }
  }
}

void Dispatcher::ApplyQueueState(TimePoint aNow, Target& aTarget, RemoteQueue& aRemote,
                                 const AgentState& aState)
{
  const bool isOtherProcess = aState.endpointBornMs != 0 && aTarget.info.bornMs != 0 &&
                              aState.endpointBornMs != aTarget.info.bornMs;
  if (aState.isReachable && !aRemote.state.isReachable) {
    aTarget.health.OnRecovered();
  }
  // Only an agent monitors the endpoint; an entry that owns the queue does not.
  const bool isAgent = &aRemote == &aTarget.agent;
  const bool isRestarted = aTarget.info.bornMs != 0 && aState.endpointBornMs > aTarget.info.bornMs;
  if (isAgent && (!aState.isReachable || isRestarted)) {
    this->RecordEndpointDeath(aNow, aTarget.info, "agent");
    this->ApplyVerdicts(aNow);
  }
  aRemote.state = aState;
  aRemote.heardAt = aNow;
  aRemote.sentPrefill = 0;
  if (isOtherProcess) {
    aRemote.state.isLeaving = false; // refers to another endpoint process
  }
  this->SetLive(aNow, aTarget, aRemote, true);
  this->DrainLocalOffers(aNow);
}

std::string Dispatcher::StateOf(TimePoint aNow, const std::string& aEndpoint) const
{
  const auto found = this->targets.find(aEndpoint);
  if (found == this->targets.end()) {
    return "unknown";
  }
  const Target& target = found->second;
  const RemoteQueue* remote = target.ActiveQueue();
  const std::uint32_t taken = remote != nullptr ? remote->state.taken : target.running;
  const std::uint32_t limit = remote != nullptr ? remote->state.limit : target.localQueue->Limit();
  std::string text(QueueKindOf(target));
  text += ",taken:" + std::to_string(taken) + "/" + std::to_string(limit);
  text += ",prefill:" + std::to_string(PendingPrefillAt(target));
  text += ",failures:" + std::to_string(static_cast<int>(target.health.FailureRate() * 100)) + "%";
  if (remote != nullptr) {
    text += ",age:" + std::to_string((aNow - remote->heardAt) / milliseconds(1));
  }
  if (const std::optional<double> rate = target.namedRate.PerSecond()) {
    const Duration age = aNow - target.namedRate.Current()->latest;
    text += ",rate:" + std::to_string(*rate);
    text += ",rate_age:" + std::to_string(age / milliseconds(1));
  }
  return text;
}

std::string Dispatcher::Summary(TimePoint aNow) const
{
  std::string text;
  for (const auto& [id, target] : this->targets) {
    text += (text.empty() ? "" : ";") + id;
    text += target.isListed ? "" : ":gone";
    text += target.info.isLeaving ? ":leaving" : "";
    text += ":" + std::string(QueueKindOf(target));
    text += target.health.AvoidUntil() > aNow ? ":avoided" : "";
    text += ":" + std::to_string(target.running);
    text += "/" + std::to_string(target.ActiveQueue() != nullptr ? target.ActiveQueue()->state.limit
                                                                 : target.localQueue->Limit());
  }
  return text;
}

bool Dispatcher::HasTimedOut(TimePoint aNow, const RemoteQueue& aRemote) const
{
  if (aRemote.activeSince != kNever) {
    const TimePoint since = std::max(aRemote.activeSince, aRemote.heardAt);
    if (aNow - since > this->options.activeAgentTimeout) {
      return true;
    }
  }
  return aNow - aRemote.heardAt > this->options.agentTimeout;
}

// Moves the reservations of queued calls when a different queue comes into use.
void Dispatcher::SetLive(TimePoint aNow, Target& aTarget, RemoteQueue& aRemote, bool aIsLive)
{
  if (aRemote.isLive == aIsLive) {
    return;
  }
  const RemoteQueue* before = aTarget.ActiveQueue();
  aRemote.isLive = aIsLive;
  const RemoteQueue* after = aTarget.ActiveQueue();
  this->port.OnQueueChange(aTarget.info, &aRemote == &aTarget.agent ? "agent" : "owner", aIsLive,
                           aNow - aRemote.heardAt);
  if (before == after) {
    return;
  }
  this->TellRate(aNow, aTarget, after); // before the reservations, so that it offers no more
  this->TellCold(aNow, aTarget, after);
  aTarget.localQueue->SetLimit(aNow, after != nullptr ? 0 : this->LocalLimit(aTarget));
  for (auto& [number, call] : this->calls) {
    const auto& reserved = call.reserved;
    if (call.stage != Stage::kQueued ||
        std::find(reserved.begin(), reserved.end(), aTarget.info.id) == reserved.end()) {
      continue;
    }
    const ReserveSlot reservation = this->ReservationOf(aNow, aTarget, call);
    if (before == nullptr) {
      aTarget.localQueue->Withdraw(aNow, this->self, number);
    } else if (before->isLive) {
      this->SendTo(aTarget, before, WithdrawSlot{ number });
    }
    if (after != nullptr) {
      this->SendTo(aTarget, after, reservation);
    } else {
      aTarget.localQueue->Reserve(aNow, this->self, reservation);
    }
  }
}

// Returns whether to use the queue's owner: there is no agent, or it has timed out.
bool Dispatcher::NeedsOwner(TimePoint aNow, const Target& aTarget) const
{
  if (aTarget.ownerHost.empty() || aTarget.agent.isLive) {
    return false;
  }
  const TimePoint since = std::max(aTarget.listedAt, aTarget.agent.heardAt);
  return !aTarget.hasAgent || aNow - since > this->options.agentTimeout;
}

void Dispatcher::SendTo(const Target& aTarget, const RemoteQueue* aRemote,
                        const QueueMessage& aMessage)
{
  if (aRemote == &aTarget.agent) {
    this->port.SendToAgent(aTarget.info.host, ToDirectMessage(aMessage));
  } else if (aRemote == &aTarget.owner) {
    this->port.SendToOwner(aTarget.ownerHost,
                           QueueEnvelope{ caraway::HashOf(aTarget.info.id), aMessage });
  }
}

std::uint32_t Dispatcher::LocalLimit(const Target& aTarget) const
{
  const double part = this->options.localSlotShare * aTarget.info.slots / this->entryCount;
  return std::max(1U, static_cast<std::uint32_t>(std::ceil(part)));
}

void Dispatcher::SendHoldStates(TimePoint aNow)
{
  std::map<std::string, HoldState> states;
  for (const auto& [id, target] : this->targets) {
    const bool isRelevant = target.isInSubset || target.running > 0;
    if (target.isListed && isRelevant && (target.hasAgent || this->NeedsOwner(aNow, target))) {
      states[id].slots = target.info.slots;
    }
  }
  for (const auto& [number, call] : this->calls) {
    if (call.stage == Stage::kRunning) {
      const auto state = states.find(call.endpoint);
      if (state != states.end()) {
        const std::uint32_t prompt =
          call.hasFirstEvent
            ? 0
            : this->PromptTokensAt(aNow, this->targets.at(call.endpoint), call.spec);
        state->second.running.push_back(UseSlot{ number, prompt });
      }
      continue;
    }
    for (const std::string& id : call.reserved) {
      const auto state = states.find(id);
      if (state != states.end()) {
        state->second.waiting.push_back(this->ReservationOf(aNow, this->targets.at(id), call));
      }
    }
  }
  // An empty hold state only serves as a heartbeat and is sent less often. The index staggers the
  // endpoints over the rounds.
  std::uint32_t index = ++this->holdRound;
  for (const auto& [id, state] : states) {
    const bool isIdle = state.waiting.empty() && state.running.empty();
    const bool isItsTurn = index++ % this->options.idleHoldPeriods == 0;
    Target& target = this->targets.at(id);
    const bool isOwnerNeeded = this->NeedsOwner(aNow, target);
    for (RemoteQueue* remote : { &target.agent, &target.owner }) {
      const bool isRecipient = remote == &target.owner ? isOwnerNeeded : target.hasAgent;
      remote->activeSince = isIdle || !isRecipient ? kNever : std::min(remote->activeSince, aNow);
      if (isRecipient && (!isIdle || isItsTurn)) {
        this->TellRate(aNow, target, remote);
        this->TellCold(aNow, target, remote);
        this->SendTo(target, remote, state);
      }
    }
    if (target.namedRate.PerSecond() || target.info.coldLimits.IsSet()) {
      this->UpdateLocalRate(aNow, target); // the number of entries may have changed
    }
  }
}

Dispatcher::Target* Dispatcher::FindByHost(const std::string& aHost)
{
  const auto id = this->idOfHost.find(aHost);
  const auto found =
    id == this->idOfHost.end() ? this->targets.end() : this->targets.find(id->second);
  return found == this->targets.end() ? nullptr : &found->second;
}

} // namespace caraway::direct
