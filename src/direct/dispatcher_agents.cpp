// The agents beside the endpoints: their word, their silence, and what the entry holds there.
#include "direct/dispatcher.h"

#include <algorithm>
#include <cmath>

namespace caraway::direct {

namespace {

using std::chrono::milliseconds;

} // namespace

void Dispatcher::LocalPort::OfferSlotTo(const Peer&, CallNumber aCall)
{
  this->owner->localOffers.emplace_back(this->endpoint, aCall);
}

void Dispatcher::OnAgentState(TimePoint aNow, const std::string& aHost, const AgentState& aState)
{
  Target* target = this->FindByHost(aHost);
  if (target == nullptr) {
    return;
  }
  const bool isOtherLife = aState.endpointBornMs != 0 && target->info.bornMs != 0 &&
                           aState.endpointBornMs != target->info.bornMs;
  if (aState.isReachable && !target->agent.isReachable) {
    target->health.OnRecovered();
  }
  target->agent = aState;
  target->agentHeardAt = aNow;
  target->sentPrefill = 0;
  if (isOtherLife) {
    target->agent.isLeaving = false; // said of another registration
  }
  this->SetAgentLive(aNow, *target, true);
  this->DrainLocalOffers(aNow);
}

std::string Dispatcher::StateOf(TimePoint aNow, const std::string& aEndpoint) const
{
  const auto found = this->targets.find(aEndpoint);
  if (found == this->targets.end()) {
    return "unknown";
  }
  const Target& target = found->second;
  const std::uint32_t taken = target.agentLive ? target.agent.taken : target.running;
  const std::uint32_t limit = target.agentLive ? target.agent.limit : target.local->Limit();
  std::string text = target.agentLive ? "agent" : "own";
  text += ",taken:" + std::to_string(taken) + "/" + std::to_string(limit);
  text += ",prefill:" + std::to_string(PendingAt(target));
  text += ",failures:" + std::to_string(static_cast<int>(target.health.FailureRate() * 100)) + "%";
  if (target.agentLive) {
    text += ",age:" + std::to_string((aNow - target.agentHeardAt) / milliseconds(1));
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
    text += target.agentLive ? ":agent" : ":own";
    text += target.health.AvoidUntil() > aNow ? ":avoided" : "";
    text += ":" + std::to_string(target.running);
    text += "/" + std::to_string(target.agentLive ? target.agent.limit : target.local->Limit());
  }
  return text;
}

bool Dispatcher::IsAgentSilent(TimePoint aNow, const Target& aTarget) const
{
  if (aTarget.busySince != kNever) {
    const TimePoint since = std::max(aTarget.busySince, aTarget.agentHeardAt);
    if (aNow - since > this->options.busyAgentSilence) {
      return true;
    }
  }
  return aNow - aTarget.agentHeardAt > this->options.agentSilence;
}

// Moves the reservations between the agent's queue and the entry's own.
void Dispatcher::SetAgentLive(TimePoint aNow, Target& aTarget, bool aIsLive)
{
  if (aTarget.agentLive == aIsLive) {
    return;
  }
  aTarget.agentLive = aIsLive;
  this->port.OnAgentChange(aTarget.info, aIsLive, aNow - aTarget.agentHeardAt);
  aTarget.local->SetLimit(aNow, aIsLive ? 0 : this->LocalLimit(aTarget));
  for (auto& [number, call] : this->calls) {
    const auto& reserved = call.reserved;
    if (call.stage != Stage::kQueued ||
        std::find(reserved.begin(), reserved.end(), aTarget.info.id) == reserved.end()) {
      continue;
    }
    const ReserveSlot reservation = this->ReservationOf(aNow, aTarget, call);
    if (aIsLive) {
      aTarget.local->Withdraw(aNow, this->self, number);
      this->port.SendToAgent(aTarget.info.host, reservation);
    } else {
      aTarget.local->Reserve(aNow, this->self, reservation);
    }
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
    if (target.hasAgent && target.isListed) {
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
    Target& target = this->targets.at(id);
    target.busySince = isIdle ? kNever : std::min(target.busySince, aNow);
    const bool isItsTurn = index++ % this->options.idleHoldPeriods == 0;
    if (!isIdle || isItsTurn) {
      this->port.SendToAgent(target.info.host, state);
    }
  }
}

Dispatcher::Target* Dispatcher::FindByHost(const std::string& aHost)
{
  Target* best = nullptr;
  for (auto& [id, target] : this->targets) {
    if (target.hasAgent && target.info.host == aHost && (best == nullptr || target.isListed)) {
      best = &target;
    }
  }
  return best;
}

} // namespace caraway::direct
