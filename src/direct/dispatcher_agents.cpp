// The agents beside the endpoints: their word, their silence, and what the entry holds there.
#include "direct/dispatcher.h"

#include <algorithm>
#include <cmath>

namespace caraway::direct {

namespace {

using std::chrono::milliseconds;

} // namespace

std::string_view Dispatcher::KindOf(const Target& aTarget)
{
  const Remote* remote = aTarget.InUse();
  return remote == nullptr ? "own" : remote == &aTarget.agent ? "agent" : "owner";
}

void Dispatcher::LocalPort::OfferSlotTo(const Peer&, CallNumber aCall)
{
  this->owner->localOffers.emplace_back(this->endpoint, aCall);
}

void Dispatcher::OnAgentState(TimePoint aNow, const std::string& aHost, const AgentState& aState)
{
  Target* target = this->FindByHost(aHost);
  if (target != nullptr) {
    this->TakeState(aNow, *target, target->agent, aState);
  }
}

void Dispatcher::SetOwners(TimePoint aNow, const std::map<std::string, std::string>& aHosts)
{
  for (auto& [id, target] : this->targets) {
    const auto found = aHosts.find(id);
    const std::string& host = found == aHosts.end() ? std::string() : found->second;
    if (host != target.ownerHost) {
      this->SetLive(aNow, target, target.owner, false);
      target.owner = Remote{};
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
    this->TakeState(aNow, target, target.owner, *state);
  } else if (const auto* offer = std::get_if<OfferSlot>(&aMessage.message)) {
    // An offer of a queue that is not in use any more is left to lapse.
    if (target.InUse() == &target.owner) {
      this->TakeOffer(aNow, target, offer->call);
      this->DrainLocalOffers(aNow);
    }
  }
}

void Dispatcher::TakeState(TimePoint aNow, Target& aTarget, Remote& aRemote,
                           const AgentState& aState)
{
  const bool isOtherLife = aState.endpointBornMs != 0 && aTarget.info.bornMs != 0 &&
                           aState.endpointBornMs != aTarget.info.bornMs;
  if (aState.isReachable && !aRemote.state.isReachable) {
    aTarget.health.OnRecovered();
  }
  // An owner of a queue does not watch the endpoint.
  const bool isAgent = &aRemote == &aTarget.agent;
  const bool isReborn = aTarget.info.bornMs != 0 && aState.endpointBornMs > aTarget.info.bornMs;
  if (isAgent && (!aState.isReachable || isReborn)) {
    this->NoteDied(aNow, aTarget.info, "agent");
    this->TakeSuspectNews(aNow);
  }
  aRemote.state = aState;
  aRemote.heardAt = aNow;
  aRemote.sentPrefill = 0;
  if (isOtherLife) {
    aRemote.state.isLeaving = false; // said of another registration
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
  const Remote* remote = target.InUse();
  const std::uint32_t taken = remote != nullptr ? remote->state.taken : target.running;
  const std::uint32_t limit = remote != nullptr ? remote->state.limit : target.local->Limit();
  std::string text(KindOf(target));
  text += ",taken:" + std::to_string(taken) + "/" + std::to_string(limit);
  text += ",prefill:" + std::to_string(PendingAt(target));
  text += ",failures:" + std::to_string(static_cast<int>(target.health.FailureRate() * 100)) + "%";
  if (remote != nullptr) {
    text += ",age:" + std::to_string((aNow - remote->heardAt) / milliseconds(1));
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
    text += ":" + std::string(KindOf(target));
    text += target.health.AvoidUntil() > aNow ? ":avoided" : "";
    text += ":" + std::to_string(target.running);
    text += "/" + std::to_string(target.InUse() != nullptr ? target.InUse()->state.limit
                                                           : target.local->Limit());
  }
  return text;
}

bool Dispatcher::IsSilent(TimePoint aNow, const Remote& aRemote) const
{
  if (aRemote.busySince != kNever) {
    const TimePoint since = std::max(aRemote.busySince, aRemote.heardAt);
    if (aNow - since > this->options.busyAgentSilence) {
      return true;
    }
  }
  return aNow - aRemote.heardAt > this->options.agentSilence;
}

// Moves the reservations where another queue comes into use.
void Dispatcher::SetLive(TimePoint aNow, Target& aTarget, Remote& aRemote, bool aIsLive)
{
  if (aRemote.isLive == aIsLive) {
    return;
  }
  const Remote* before = aTarget.InUse();
  aRemote.isLive = aIsLive;
  const Remote* after = aTarget.InUse();
  this->port.OnQueueChange(aTarget.info, &aRemote == &aTarget.agent ? "agent" : "owner", aIsLive,
                           aNow - aRemote.heardAt);
  if (before == after) {
    return;
  }
  aTarget.local->SetLimit(aNow, after != nullptr ? 0 : this->LocalLimit(aTarget));
  for (auto& [number, call] : this->calls) {
    const auto& reserved = call.reserved;
    if (call.stage != Stage::kQueued ||
        std::find(reserved.begin(), reserved.end(), aTarget.info.id) == reserved.end()) {
      continue;
    }
    const ReserveSlot reservation = this->ReservationOf(aNow, aTarget, call);
    if (before == nullptr) {
      aTarget.local->Withdraw(aNow, this->self, number);
    } else if (before->isLive) {
      this->SendTo(aTarget, before, WithdrawSlot{ number });
    }
    if (after != nullptr) {
      this->SendTo(aTarget, after, reservation);
    } else {
      aTarget.local->Reserve(aNow, this->self, reservation);
    }
  }
}

// The owner of the queue is asked where no agent can be expected.
bool Dispatcher::NeedsOwner(TimePoint aNow, const Target& aTarget) const
{
  if (aTarget.ownerHost.empty() || aTarget.agent.isLive) {
    return false;
  }
  const TimePoint since = std::max(aTarget.listedAt, aTarget.agent.heardAt);
  return !aTarget.hasAgent || aNow - since > this->options.agentSilence;
}

void Dispatcher::SendTo(const Target& aTarget, const Remote* aRemote, const QueueMessage& aMessage)
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
  const double part = this->options.ownShare * aTarget.info.slots / this->entryCount;
  return std::max(1U, static_cast<std::uint32_t>(std::ceil(part)));
}

void Dispatcher::SendHolds(TimePoint aNow)
{
  std::map<std::string, HoldState> states;
  for (const auto& [id, target] : this->targets) {
    const bool isKept = target.isContact || target.running > 0;
    if (target.isListed && isKept && (target.hasAgent || this->NeedsOwner(aNow, target))) {
      states[id].slots = target.info.slots;
    }
  }
  for (const auto& [number, call] : this->calls) {
    if (call.stage == Stage::kRunning) {
      const auto state = states.find(call.endpoint);
      if (state != states.end()) {
        const std::uint32_t prompt =
          call.hasBegun ? 0 : this->PromptAt(aNow, this->targets.at(call.endpoint), call.spec);
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
  // Where nothing is held, the state only shows that this entry lives; the rounds are spread.
  std::uint32_t index = ++this->holdRound;
  for (const auto& [id, state] : states) {
    const bool isIdle = state.waiting.empty() && state.running.empty();
    const bool isItsTurn = index++ % this->options.idleHoldPeriods == 0;
    Target& target = this->targets.at(id);
    const bool toOwner = this->NeedsOwner(aNow, target);
    for (Remote* remote : { &target.agent, &target.owner }) {
      const bool isAsked = remote == &target.owner ? toOwner : target.hasAgent;
      remote->busySince = isIdle || !isAsked ? kNever : std::min(remote->busySince, aNow);
      if (isAsked && (!isIdle || isItsTurn)) {
        this->SendTo(target, remote, state);
      }
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
