#include "direct/dispatcher.h"

#include <algorithm>
#include <cmath>

namespace caraway::direct {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// A queued call looks for further endpoints this often.
constexpr Duration kReplacePeriod = milliseconds(100);
// How long an endpoint keeps a prompt that nobody uses, at the least; affinity looks no further
// back.
constexpr Duration kWarmTime = seconds(10);
constexpr std::size_t kMaxWarm = 20000; // subjects remembered
// Part of a warm prompt that still has to be read.
constexpr double kWarmShare = 0.1;
// One way through another failure domain, both ways for the call and its first event.
constexpr double kFarCost = 0.001;    // seconds
constexpr double kFailureCost = 1.0;  // seconds, for an endpoint that fails all it gets
constexpr double kJitterCost = 0.002; // seconds; spreads calls of entries that know the same
// Way of the first event to the caller and of the request to the endpoint.
constexpr Duration kStartMargin = milliseconds(20);
constexpr Duration kInitialRunTime = milliseconds(400);
constexpr double kRunTimeMemory = 0.05;   // weight of the newest run
constexpr std::uint32_t kMaxAttempts = 6; // of one call, with those that did not run

double SecondsOf(Duration aTime)
{
  return std::chrono::duration<double>(aTime).count();
}

std::int32_t MillisecondsOf(Duration aTime)
{
  const auto count = std::chrono::duration_cast<milliseconds>(aTime).count();
  return static_cast<std::int32_t>(std::clamp<std::int64_t>(count, -3600000, 3600000));
}

} // namespace

void Dispatcher::LocalPort::OfferSlotTo(const Peer&, CallNumber aCall)
{
  this->owner->localOffers.emplace_back(this->endpoint, aCall);
}

Dispatcher::Dispatcher(const DispatchOptions& aOptions, const Peer& aSelf,
                       const std::string& aFailureDomain, Random& aRandom, RetryBudget& aBudget,
                       DispatchPort& aPort)
  : options(aOptions)
  , self(aSelf)
  , failureDomain(aFailureDomain)
  , random(aRandom)
  , budget(aBudget)
  , port(aPort)
{
}

Dispatcher::~Dispatcher() = default;

void Dispatcher::SetEntryCount(std::uint32_t aCount)
{
  this->entryCount = std::max(aCount, 1U);
}

// Takes over the list. An endpoint that left it keeps what it runs and gets nothing more.
void Dispatcher::SetEndpoints(TimePoint aNow, const std::map<std::string, EndpointInfo>& aAll,
                              const std::function<bool(const std::string&)>& aHasAgents)
{
  for (auto& [id, target] : this->targets) {
    target.isListed = aAll.contains(id);
  }
  for (const auto& [id, info] : aAll) {
    Target& target = this->targets[id];
    if (target.local == nullptr) {
      target.localPort = std::make_unique<LocalPort>();
      target.localPort->owner = this;
      target.localPort->endpoint = id;
      target.local = std::make_unique<SlotQueue>(this->options.queue, *target.localPort);
    } else if (target.info.bornMs != info.bornMs || target.info.sequence < info.sequence) {
      target.health.OnRecovered();
    }
    target.info = info;
    target.isListed = true;
    target.hasAgent = aHasAgents(info.service);
    target.local->SetLimit(aNow, target.agentLive ? 0 : this->LocalLimit(target));
  }
  for (auto& row : this->calls) {
    if (row.second.stage == Stage::kQueued) {
      this->DropUnusable(aNow, row.second);
    }
  }
  std::erase_if(this->targets,
                [](const auto& aRow) { return !aRow.second.isListed && aRow.second.running == 0; });
  this->DrainLocalOffers(aNow);
}

// Takes a queued call back from endpoints that may not get it any more.
void Dispatcher::DropUnusable(TimePoint aNow, Call& aCall)
{
  std::erase_if(aCall.reserved, [&](const std::string& aId) {
    Target& target = this->targets.at(aId);
    if (this->MayUse(target, aCall.spec)) {
      return false;
    }
    target.local->Withdraw(aNow, this->self, aCall.spec.number);
    if (target.agentLive) {
      this->port.SendToAgent(target.info.host, WithdrawSlot{ aCall.spec.number });
    }
    return true;
  });
  if (aCall.reserved.empty()) {
    this->Place(aNow, aCall);
  }
}

void Dispatcher::Submit(TimePoint aNow, const CallSpec& aSpec)
{
  Call& call = this->calls[aSpec.number];
  call.spec = aSpec;
  call.giveUpAt = GiveUpTime(this->options.patience, aSpec);
  this->budget.OnRequest(aNow, aSpec.service);
  this->Place(aNow, call);
  this->Schedule(call);
  this->DrainLocalOffers(aNow);
}

void Dispatcher::Cancel(TimePoint aNow, CallNumber aCall)
{
  const auto found = this->calls.find(aCall);
  if (found == this->calls.end()) {
    return;
  }
  this->WithdrawAll(aNow, found->second, "");
  this->LeaveEndpoint(aNow, found->second);
  this->calls.erase(found);
  this->DrainLocalOffers(aNow);
}

void Dispatcher::OnFirstEvent(TimePoint aNow, CallNumber aCall)
{
  const auto found = this->calls.find(aCall);
  if (found == this->calls.end() || found->second.stage != Stage::kRunning) {
    return;
  }
  Call& call = found->second;
  call.hasBegun = true;
  Target& target = this->targets.at(call.endpoint);
  target.local->BeginAnswer(aNow, this->self, aCall);
  target.health.OnFirstEvent(aNow - call.sentAt, call.sentTokens);
  if (call.spec.subject != 0) {
    if (this->warm.size() >= kMaxWarm) {
      this->warm.clear();
    }
    this->warm[call.spec.subject] = Warm{ call.endpoint, aNow };
  }
  if (target.agentLive) {
    this->port.SendToAgent(target.info.host, direct::BeginAnswer{ aCall });
  }
  this->DrainLocalOffers(aNow);
}

bool Dispatcher::OnAttemptEnd(TimePoint aNow, CallNumber aCall, AttemptEnd aEnd)
{
  const auto found = this->calls.find(aCall);
  if (found == this->calls.end() || found->second.stage != Stage::kRunning) {
    return false;
  }
  Call& call = found->second;
  const auto target = this->targets.find(call.endpoint);
  if (target != this->targets.end()) {
    target->second.health.OnAttempt(aNow, aEnd);
  }
  if (aEnd == AttemptEnd::kAnswered) {
    Duration& usual = this->runTimes.try_emplace(call.spec.service, kInitialRunTime).first->second;
    usual += std::chrono::duration_cast<Duration>((aNow - call.sentAt - usual) * kRunTimeMemory);
  }
  this->LeaveEndpoint(aNow, call);
  call.runs += HasNotRun(aEnd) ? 0U : 1U;
  const bool mayRun = HasNotRun(aEnd) || (call.spec.MayRepeat() && call.runs < call.spec.maxRuns);
  const bool hasTime = aNow < call.spec.deadline && call.attempts < kMaxAttempts;
  const bool isFree = aEnd == AttemptEnd::kUnsent; // nothing arrived at the endpoint
  const bool goesOn = aEnd != AttemptEnd::kAnswered && mayRun && hasTime &&
                      (isFree || this->budget.Take(aNow, call.spec.service, this->entryCount));
  if (!goesOn) {
    this->calls.erase(found);
    this->DrainLocalOffers(aNow);
    return false;
  }
  call.stage = Stage::kQueued;
  call.hasBegun = false;
  call.reason = HasNotRun(aEnd) ? GiveUpReason::kRefused : GiveUpReason::kFailed;
  call.giveUpAt =
    std::max(GiveUpTime(this->options.patience, call.spec), aNow + call.spec.objective / 2);
  call.giveUpAt = std::min(call.giveUpAt, call.spec.deadline);
  call.isWide = true;
  this->Place(aNow, call);
  this->Schedule(call);
  this->DrainLocalOffers(aNow);
  return true;
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

void Dispatcher::OnOffer(TimePoint aNow, const std::string& aHost, CallNumber aCall)
{
  Target* target = this->FindByHost(aHost);
  if (target != nullptr) {
    this->TakeOffer(aNow, *target, aCall);
    this->DrainLocalOffers(aNow);
  }
}

void Dispatcher::OnTimer(TimePoint aNow)
{
  for (auto& [id, target] : this->targets) {
    target.local->KeepHolder(aNow, this->self);
    target.local->OnTimer(aNow);
    if (target.agentLive && this->IsAgentSilent(aNow, target)) {
      this->SetAgentLive(aNow, target, false);
    }
  }
  if (aNow >= this->nextHold) {
    this->nextHold = aNow + this->options.holdPeriod;
    this->SendHolds(aNow);
  }
  while (!this->due.empty() && this->due.top().time <= aNow) {
    const CallNumber number = this->due.top().call;
    this->due.pop();
    const auto found = this->calls.find(number);
    if (found == this->calls.end()) {
      continue;
    }
    Call& call = found->second;
    if (call.spec.deadline <= aNow) {
      this->GiveUp(aNow, number, GiveUpReason::kDeadline);
    } else if (call.stage == Stage::kQueued && call.giveUpAt <= aNow) {
      this->GiveUp(aNow, number, call.reason);
    } else if (call.stage == Stage::kQueued && call.widenAt <= aNow) {
      call.isWide = true;
      this->Place(aNow, call);
      this->Schedule(call);
    }
  }
  this->DrainLocalOffers(aNow);
}

TimePoint Dispatcher::NextTimer() const
{
  TimePoint next = this->nextHold;
  return this->due.empty() ? next : std::min(next, this->due.top().time);
}

Duration Dispatcher::RetryAfter(const std::string& aService, Tier aRank) const
{
  double slots = 0;
  double ahead = 0;
  for (const auto& [id, target] : this->targets) {
    if (!target.isListed || target.info.service != aService) {
      continue;
    }
    const std::uint32_t own = this->LocalLimit(target);
    slots += target.agentLive ? target.agent.limit : own;
    double waiting = 0;
    for (Tier rank = 0; rank <= aRank; rank++) {
      waiting += target.agentLive ? target.agent.waiting.at(rank) : 0;
    }
    // A call waits at many endpoints at once, so the longest queue holds about all that wait.
    ahead = std::max(ahead, waiting);
  }
  const auto usual = this->runTimes.find(aService);
  const Duration runTime = usual == this->runTimes.end() ? kInitialRunTime : usual->second;
  return RetryTime(this->options.patience, ahead, slots, runTime);
}

const EndpointInfo* Dispatcher::EndpointOf(CallNumber aCall) const
{
  const auto call = this->calls.find(aCall);
  if (call == this->calls.end() || call->second.stage != Stage::kRunning) {
    return nullptr;
  }
  const auto target = this->targets.find(call->second.endpoint);
  return target == this->targets.end() ? nullptr : &target->second.info;
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

// Reserves at the best endpoints that the call has no reservation at yet.
void Dispatcher::Place(TimePoint aNow, Call& aCall)
{
  const std::vector<Target*> candidates = this->Candidates(aNow, aCall);
  const bool isSmallPool = candidates.size() <= this->options.smallPool;
  const std::size_t wide = isSmallPool ? candidates.size() : this->options.reservations;
  const std::size_t wanted = aCall.isWide ? wide : this->options.firstReservations;
  for (std::size_t index = 0; index < candidates.size() && index < wanted; index++) {
    this->ReserveAt(aNow, *candidates[index], aCall);
  }
  if (aCall.reserved.empty() && aCall.attempts == 0) {
    aCall.reason = GiveUpReason::kNoEndpoint;
  } else if (aCall.reason == GiveUpReason::kNoEndpoint) {
    aCall.reason = GiveUpReason::kOverload;
  }
  aCall.widenAt = aNow + (aCall.isWide ? kReplacePeriod : this->options.widenAfter);
}

// Usable endpoints, best first. Those that are to be avoided or were tried before count only when
// there are no others.
std::vector<Dispatcher::Target*> Dispatcher::Candidates(TimePoint aNow, const Call& aCall)
{
  struct Scored
  {
    bool isLastResort;
    double cost;
    Target* target;
  };
  std::vector<Scored> scored;
  for (auto& [id, target] : this->targets) {
    if (!this->MayUse(target, aCall.spec)) {
      continue;
    }
    const bool isDown = target.agentLive && !target.agent.isReachable;
    const bool isAvoided = target.health.AvoidUntil() > aNow || isDown || aCall.tried.contains(id);
    scored.push_back({ isAvoided, this->CostOf(aNow, target, aCall), &target });
  }
  std::sort(scored.begin(), scored.end(), [](const Scored& aLeft, const Scored& aRight) {
    return std::tie(aLeft.isLastResort, aLeft.cost) < std::tie(aRight.isLastResort, aRight.cost);
  });
  std::vector<Target*> result;
  for (const Scored& row : scored) {
    if (row.isLastResort && !result.empty()) {
      break;
    }
    result.push_back(row.target);
  }
  return result;
}

// Expected seconds until the first event, with what speaks against the endpoint.
double Dispatcher::CostOf(TimePoint aNow, const Target& aTarget, const Call& aCall)
{
  const std::uint32_t limit =
    std::max(aTarget.agentLive ? aTarget.agent.limit : this->LocalLimit(aTarget), 1U);
  const std::uint32_t taken =
    std::max(aTarget.agentLive ? aTarget.agent.taken : 0U, aTarget.running);
  double queued = 0;
  if (aTarget.agentLive) {
    for (Tier rank = 0; rank <= aCall.spec.rank; rank++) {
      queued += aTarget.agent.waiting.at(rank);
    }
  } else {
    queued = static_cast<double>(aTarget.local->WaitingCount());
  }
  const auto usual = this->runTimes.find(aCall.spec.service);
  const double runTime = SecondsOf(usual == this->runTimes.end() ? kInitialRunTime : usual->second);
  double cost = 0;
  if (taken >= limit) {
    cost += runTime * (queued + taken - limit + 1) / limit;
  } else {
    cost += runTime * 0.1 * taken / limit;
  }
  const std::uint32_t prompt = this->PromptAt(aNow, aTarget, aCall.spec);
  if (aTarget.hasAgent) {
    cost += SecondsOf(FirstEventTime(aTarget, PendingAt(aTarget) + prompt));
  }
  cost += aTarget.info.failureDomain == this->failureDomain ? 0 : kFarCost;
  cost += kFailureCost * aTarget.health.FailureRate();
  return cost + kJitterCost * this->random.Unit();
}

// Prompt tokens that the endpoint has to read: few where it read the same prompt a short while ago.
std::uint32_t Dispatcher::PromptAt(TimePoint aNow, const Target& aTarget,
                                   const CallSpec& aSpec) const
{
  const auto found = this->warm.find(aSpec.subject);
  const bool isWarm = aSpec.subject != 0 && found != this->warm.end() &&
                      found->second.endpoint == aTarget.info.id &&
                      aNow - found->second.at < kWarmTime;
  return isWarm ? static_cast<std::uint32_t>(aSpec.promptTokens * kWarmShare) : aSpec.promptTokens;
}

// Prompt tokens at the endpoint before their first event, as far as the entry knows.
std::uint32_t Dispatcher::PendingAt(const Target& aTarget)
{
  const std::uint32_t known =
    aTarget.agentLive ? aTarget.agent.pendingPrefill : aTarget.local->PendingPrefill();
  return known + (aTarget.agentLive ? aTarget.sentPrefill : 0);
}

void Dispatcher::ReserveAt(TimePoint aNow, Target& aTarget, Call& aCall)
{
  const std::string& id = aTarget.info.id;
  if (std::find(aCall.reserved.begin(), aCall.reserved.end(), id) != aCall.reserved.end()) {
    return;
  }
  aCall.reserved.push_back(id);
  const ReserveSlot reservation = this->ReservationOf(aNow, aTarget, aCall);
  if (aTarget.agentLive) {
    this->port.SendToAgent(aTarget.info.host, reservation);
  } else {
    aTarget.local->Reserve(aNow, this->self, reservation);
  }
}

ReserveSlot Dispatcher::ReservationOf(TimePoint aNow, const Target& aTarget,
                                      const Call& aCall) const
{
  const CallSpec& spec = aCall.spec;
  ReserveSlot reservation;
  reservation.call = spec.number;
  reservation.tier = spec.tier;
  reservation.rank = spec.rank;
  reservation.startLeftMs = MillisecondsOf(this->StartBy(aNow, aTarget, spec) - aNow);
  reservation.timeLeftMs = MillisecondsOf(std::min(aCall.giveUpAt, spec.deadline) - aNow);
  reservation.promptTokens = this->PromptAt(aNow, aTarget, spec);
  reservation.outputTokens = spec.outputTokens;
  return reservation;
}

// Expected time to a first event with aTokens to be read until then. The agent has seen all
// entries' calls; the own measurements count where it says nothing.
Duration Dispatcher::FirstEventTime(const Target& aTarget, std::uint32_t aTokens)
{
  const AgentState& agent = aTarget.agent;
  if (!aTarget.agentLive || agent.firstEventPer1000Us == 0) {
    return aTarget.health.FirstEventTime(aTokens);
  }
  return Duration(agent.firstEventBaseUs +
                  std::uint64_t{ agent.firstEventPer1000Us } * aTokens / 1000);
}

// When the call must be sent to the endpoint to meet its objective. A prompt that takes longer to
// read than its objective allows gets the time that it needs.
TimePoint Dispatcher::StartBy(TimePoint aNow, const Target& aTarget, const CallSpec& aSpec) const
{
  if (!aTarget.hasAgent) {
    return aSpec.arrived + aSpec.objective / 2;
  }
  const Duration reading = FirstEventTime(aTarget, this->PromptAt(aNow, aTarget, aSpec));
  const Duration objective = std::max(aSpec.objective, reading * 3 / 2);
  return aSpec.arrived + objective - reading - kStartMargin;
}

void Dispatcher::WithdrawAll(TimePoint aNow, Call& aCall, const std::string& aExcept)
{
  for (const std::string& id : aCall.reserved) {
    const auto found = this->targets.find(id);
    if (id == aExcept || found == this->targets.end()) {
      continue;
    }
    found->second.local->Withdraw(aNow, this->self, aCall.spec.number);
    if (found->second.agentLive) {
      this->port.SendToAgent(found->second.info.host, WithdrawSlot{ aCall.spec.number });
    }
  }
  aCall.reserved.clear();
}

// Takes the offer if the call still wants it, and declines it otherwise.
void Dispatcher::TakeOffer(TimePoint aNow, Target& aTarget, CallNumber aCall)
{
  const auto found = this->calls.find(aCall);
  const bool isWanted = found != this->calls.end() && found->second.stage == Stage::kQueued;
  const bool isUsable = isWanted && this->MayUse(aTarget, found->second.spec) &&
                        (aTarget.agentLive || aTarget.health.AvoidUntil() <= aNow ||
                         found->second.reserved.size() == 1);
  if (isUsable) {
    this->Start(aNow, aTarget, found->second);
    return;
  }
  if (isWanted) {
    std::erase(found->second.reserved, aTarget.info.id);
  }
  // Declining what runs here already would release it.
  if (isWanted || found == this->calls.end() || found->second.endpoint != aTarget.info.id) {
    aTarget.local->Withdraw(aNow, this->self, aCall);
    if (aTarget.agentLive) {
      this->port.SendToAgent(aTarget.info.host, WithdrawSlot{ aCall });
    }
  }
}

void Dispatcher::Start(TimePoint aNow, Target& aTarget, Call& aCall)
{
  const std::string id = aTarget.info.id;
  this->WithdrawAll(aNow, aCall, id);
  aCall.stage = Stage::kRunning;
  aCall.endpoint = id;
  aCall.tried.insert(id);
  aCall.attempts++;
  aCall.sentAt = aNow;
  aTarget.running++;
  const UseSlot use{ aCall.spec.number, this->PromptAt(aNow, aTarget, aCall.spec) };
  aCall.sentTokens = use.promptTokens + PendingAt(aTarget);
  aTarget.sentPrefill += use.promptTokens;
  aTarget.local->Use(aNow, this->self, use);
  if (aTarget.agentLive) {
    this->port.SendToAgent(aTarget.info.host, use);
  }
  this->Schedule(aCall);
  this->port.StartAttempt(aCall.spec.number, aTarget.info);
}

void Dispatcher::LeaveEndpoint(TimePoint aNow, Call& aCall)
{
  if (aCall.stage != Stage::kRunning) {
    return;
  }
  const auto found = this->targets.find(aCall.endpoint);
  aCall.endpoint.clear();
  aCall.stage = Stage::kQueued;
  if (found == this->targets.end()) {
    return;
  }
  Target& target = found->second;
  target.running -= std::min(target.running, 1U);
  target.local->Release(aNow, this->self, aCall.spec.number);
  if (target.agentLive) {
    this->port.SendToAgent(target.info.host, ReleaseSlot{ aCall.spec.number });
  }
}

void Dispatcher::GiveUp(TimePoint aNow, CallNumber aCall, GiveUpReason aReason)
{
  const auto found = this->calls.find(aCall);
  Call& call = found->second;
  const Duration retryAfter = this->RetryAfter(call.spec.service, call.spec.rank);
  this->WithdrawAll(aNow, call, "");
  this->LeaveEndpoint(aNow, call);
  this->calls.erase(found);
  this->port.GiveUp(aCall, aReason, retryAfter);
}

void Dispatcher::DrainLocalOffers(TimePoint aNow)
{
  while (!this->localOffers.empty()) {
    const std::vector<std::pair<std::string, CallNumber>> offers =
      std::exchange(this->localOffers, {});
    for (const auto& [id, number] : offers) {
      const auto found = this->targets.find(id);
      if (found != this->targets.end()) {
        this->TakeOffer(aNow, found->second, number);
      }
    }
  }
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

void Dispatcher::Schedule(Call& aCall)
{
  TimePoint next = aCall.spec.deadline;
  if (aCall.stage == Stage::kQueued) {
    next = std::min({ next, aCall.widenAt, aCall.giveUpAt });
  }
  this->due.push(Due{ next, aCall.spec.number });
}

bool Dispatcher::MayUse(const Target& aTarget, const CallSpec& aSpec) const
{
  return aTarget.isListed && aTarget.info.service == aSpec.service && !aTarget.info.isLeaving &&
         !(aTarget.agentLive && aTarget.agent.isLeaving);
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
