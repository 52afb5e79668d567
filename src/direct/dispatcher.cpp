// Life cycle of a call: submission, attempts, timers and completion.
#include "direct/dispatcher.h"

#include <algorithm>
#include <utility>

namespace caraway::direct {

namespace {

constexpr std::size_t kMaxPromptAffinities = 20000; // prompt subjects kept
constexpr double kRunTimeWeight = 0.05;   // weight of the newest run in the moving average
constexpr std::uint32_t kMaxAttempts = 6; // per call, including attempts that did not run

} // namespace

Dispatcher::Dispatcher(const DispatchOptions& aOptions, const Peer& aSelf,
                       const std::string& aFailureDomain, Random& aRandom, RetryBudget& aBudget,
                       DispatchPort& aPort)
  : options(aOptions)
  , self(aSelf)
  , failureDomain(aFailureDomain)
  , random(aRandom)
  , budget(aBudget)
  , admission(aOptions.admission, aRandom)
  , port(aPort)
  , crashes(aOptions.crashes)
{
}

Dispatcher::~Dispatcher() = default;

void Dispatcher::SetEntryCount(std::uint32_t aCount)
{
  this->entryCount = std::max(aCount, 1U);
}

// Replaces the list of endpoints. An endpoint that is no longer listed finishes its running calls
// and gets no new ones.
void Dispatcher::SetEndpoints(TimePoint aNow, const std::map<std::string, EndpointInfo>& aAll,
                              const std::function<bool(const std::string&)>& aHasAgents)
{
  const std::set<std::string> subset = this->ChooseSubset(aAll);
  this->DetectReplacedEndpoints(aNow, aAll);
  for (auto& [id, target] : this->targets) {
    target.isListed = aAll.contains(id);
  }
  for (const auto& [id, info] : aAll) {
    Target& target = this->targets[id];
    this->ReadColdRegistration(aNow, target, info, target.localQueue == nullptr);
    if (target.localQueue == nullptr) {
      target.listedAt = aNow;
      target.localPort = std::make_unique<LocalPort>();
      target.localPort->dispatcher = this;
      target.localPort->endpoint = id;
      target.localQueue = std::make_unique<SlotQueue>(this->options.queue, *target.localPort);
    } else if (target.info.bornMs != info.bornMs || target.info.sequence < info.sequence) {
      target.health.OnRecovered();
      target.pausedUntil = target.info.bornMs != info.bornMs ? TimePoint{} : target.pausedUntil;
      if (target.info.bornMs != info.bornMs) {
        target.namedRate = {};
        this->UpdateLocalRate(aNow, target);
      }
    }
    target.info = info;
    this->UpdateColdPhase(aNow, target, "registration");
    target.hasAnnouncedLeaving = this->leaving.Contains(IncarnationOf(id, info.bornMs));
    target.isListed = true;
    target.isInSubset = subset.contains(id);
    target.hasAgent = aHasAgents(info.service);
    this->UpdateLocalRate(aNow, target);
    target.localQueue->SetLimit(aNow,
                                target.ActiveQueue() != nullptr ? 0 : this->LocalLimit(target));
  }
  this->DropUnusableCalls(aNow);
  std::erase_if(this->targets,
                [](const auto& aRow) { return !aRow.second.isListed && aRow.second.running == 0; });
  this->ApplyVerdicts(aNow);
  this->idOfHost.clear();
  this->idOfHash.clear();
  for (const auto& [id, target] : this->targets) {
    this->idOfHash[caraway::HashOf(id)] = id;
    if (target.hasAgent && (target.isListed || !this->idOfHost.contains(target.info.host))) {
      this->idOfHost[target.info.host] = id;
    }
  }
  this->DrainLocalOffers(aNow);
}

void Dispatcher::DropUnusableCalls(TimePoint aNow)
{
  for (auto& row : this->calls) {
    if (row.second.stage == Stage::kQueued) {
      this->DropUnusable(aNow, row.second);
    }
  }
}

bool Dispatcher::OnNotice(TimePoint aNow, const std::string& aEndpoint,
                          const EndpointNotice& aNotice, TimePoint aSentAt)
{
  const auto found = this->targets.find(aEndpoint);
  if (found == this->targets.end()) {
    return false;
  }
  Target& target = found->second;
  if (aNotice.isRateKnown) {
    this->AddRate(aNow, target, { aNotice.maxRate, aSentAt, aNow }, "answer");
    if (aNotice.coldRemaining) {
      this->AddColdNotice(aNow, target, *aNotice.coldRemaining, aSentAt);
    }
    this->DrainLocalOffers(aNow);
  }
  const bool isNew = (aNotice.isLeaving && !target.hasAnnouncedLeaving) ||
                     (aNotice.rest > Duration::zero() && aNow + aNotice.rest > target.pausedUntil);
  if (!isNew) {
    return false;
  }
  if (aNotice.rest > Duration::zero()) {
    target.pausedUntil = std::max(target.pausedUntil, aNow + aNotice.rest);
  }
  if (aNotice.isLeaving) {
    this->leaving.Add(aNow, IncarnationOf(aEndpoint, target.info.bornMs));
    target.hasAnnouncedLeaving = true;
  }
  this->DropUnusableCalls(aNow);
  this->DrainLocalOffers(aNow);
  return true;
}

void Dispatcher::OnLeaving(TimePoint aNow, const std::vector<EndpointIncarnation>& aLives)
{
  bool isNew = false;
  for (const EndpointIncarnation& incarnation : aLives) {
    isNew = this->leaving.Add(aNow, incarnation) || isNew;
  }
  if (!isNew) {
    return;
  }
  for (auto& [id, target] : this->targets) {
    target.hasAnnouncedLeaving = this->leaving.Contains(IncarnationOf(id, target.info.bornMs));
  }
  this->DropUnusableCalls(aNow);
  this->DrainLocalOffers(aNow);
}

void Dispatcher::Submit(TimePoint aNow, const CallSpec& aSpec)
{
  this->budget.OnRequest(aNow, aSpec.service);
  const bool isSuspect =
    this->crashes.Judge(aNow, aSpec.fingerprint, aSpec.promptParts) == Verdict::kRefused;
  if (isSuspect && (this->HasTrialOf(aSpec) ||
                    !this->crashes.TakeTrial(aNow, aSpec.fingerprint, aSpec.promptParts,
                                             this->entryCount, this->random))) {
    this->port.GiveUp(aSpec.number, GiveUpReason::kSuspect,
                      this->crashes.RefusedFor(aNow, aSpec.fingerprint, aSpec.promptParts));
    return;
  }
  if (!this->admission.Admit(aNow, aSpec)) {
    const Duration wait = this->RetryAfter(aNow, aSpec.service, aSpec.rank);
    this->port.GiveUp(aSpec.number, GiveUpReason::kOverload,
                      std::max(wait, ReturnDelay(aNow, aSpec, this->random)));
    return;
  }
  Call& call = this->calls[aSpec.number];
  call.spec = aSpec;
  call.isTrial = isSuspect;
  call.giveUpAt = WaitDeadline(this->options.patience, aSpec);
  this->LimitToEnd(call);
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
  this->RecordLostAttempt(aNow, found->second);
  this->ReleaseEndpoint(aNow, found->second);
  this->calls.erase(found);
  this->ApplyVerdicts(aNow);
  this->DrainLocalOffers(aNow);
}

void Dispatcher::OnFirstEvent(TimePoint aNow, CallNumber aCall)
{
  const auto found = this->calls.find(aCall);
  if (found == this->calls.end() || found->second.stage != Stage::kRunning) {
    return;
  }
  Call& call = found->second;
  call.hasFirstEvent = true;
  Target& target = this->targets.at(call.endpoint);
  target.localQueue->BeginAnswer(aNow, this->self, aCall);
  target.health.OnFirstEvent(aNow - call.sentAt, call.sentTokens);
  if (call.spec.subject != 0) {
    if (this->promptAffinities.size() >= kMaxPromptAffinities) {
      this->promptAffinities.clear();
    }
    this->promptAffinities[call.spec.subject] = PromptAffinity{ call.endpoint, aNow };
  }
  this->SendToActiveQueue(target, direct::BeginAnswer{ aCall });
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
  this->RecordAttemptEnd(aNow, call, aEnd);
  if (aEnd == AttemptEnd::kAnswered) {
    Duration& average =
      this->runTimes.try_emplace(call.spec.service, this->options.initialRunTime).first->second;
    average +=
      std::chrono::duration_cast<Duration>((aNow - call.sentAt - average) * kRunTimeWeight);
  }
  this->ReleaseEndpoint(aNow, call);
  call.runs += HasNotRun(aEnd) ? 0U : 1U;
  const bool isBudgetExempt = aEnd == AttemptEnd::kUnsent; // no data reached the endpoint
  const bool mayRetry =
    this->MayRetry(aNow, call, aEnd) &&
    (isBudgetExempt || this->budget.Take(aNow, call.spec.service, this->entryCount));
  if (!mayRetry) {
    this->calls.erase(found);
    this->ApplyVerdicts(aNow);
    this->DrainLocalOffers(aNow);
    return false;
  }
  call.stage = Stage::kQueued;
  call.hasFirstEvent = false;
  call.reason = HasNotRun(aEnd) ? GiveUpReason::kRefused : GiveUpReason::kFailed;
  call.giveUpAt =
    std::max(WaitDeadline(this->options.patience, call.spec), aNow + call.spec.objective / 2);
  call.giveUpAt = std::min(call.giveUpAt, call.spec.deadline);
  this->LimitToEnd(call);
  call.isWidened = true;
  this->CancelCanary(call);
  this->Place(aNow, call);
  this->Schedule(call);
  this->ApplyVerdicts(aNow);
  this->DrainLocalOffers(aNow);
  return true;
}

// Returns whether a call may be sent again after an attempt that ended with aEnd.
bool Dispatcher::MayRetry(TimePoint aNow, const Call& aCall, AttemptEnd aEnd) const
{
  if (aEnd == AttemptEnd::kAnswered || aNow >= aCall.spec.deadline ||
      aCall.attempts >= kMaxAttempts || this->IsShutOut(aCall.spec)) {
    return false;
  }
  const Verdict verdict = this->crashes.Judge(aNow, aCall.spec.fingerprint, aCall.spec.promptParts);
  if (HasNotRun(aEnd)) {
    return verdict != Verdict::kRefused || aCall.isTrial;
  }
  // It is not known yet whether this endpoint died too, so a suspect request is not repeated.
  return verdict == Verdict::kClear && aCall.spec.MayRepeat() && aCall.runs < aCall.spec.maxRuns;
}

void Dispatcher::OnOffer(TimePoint aNow, const std::string& aHost, CallNumber aCall)
{
  Target* target = this->FindByHost(aHost);
  if (target != nullptr && target->ActiveQueue() != &target->owner) {
    this->HandleOffer(aNow, *target, aCall);
    this->DrainLocalOffers(aNow);
  }
}

void Dispatcher::OnTimer(TimePoint aNow)
{
  for (auto& [id, target] : this->targets) {
    target.localQueue->KeepAlive(aNow, this->self);
    target.localQueue->OnTimer(aNow);
    this->UpdateColdPhase(aNow, target, "time");
    for (RemoteQueue* remote : { &target.agent, &target.owner }) {
      if (remote->isLive && this->HasTimedOut(aNow, *remote)) {
        this->SetLive(aNow, target, *remote, false);
      }
    }
  }
  if (aNow >= this->nextHoldAt) {
    this->nextHoldAt = aNow + this->options.holdPeriod;
    this->SendHoldStates(aNow);
  }
  while (!this->callTimers.empty() && this->callTimers.top().time <= aNow) {
    const CallNumber number = this->callTimers.top().call;
    this->callTimers.pop();
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
      call.isWidened = true;
      this->CancelCanary(call);
      this->Place(aNow, call);
      this->Schedule(call);
    }
  }
  this->ApplyVerdicts(aNow);
  this->DrainLocalOffers(aNow);
}

TimePoint Dispatcher::NextTimer() const
{
  TimePoint next = this->nextHoldAt;
  return this->callTimers.empty() ? next : std::min(next, this->callTimers.top().time);
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

std::uint32_t Dispatcher::AttemptsOf(CallNumber aCall) const
{
  const auto found = this->calls.find(aCall);
  return found == this->calls.end() ? 0 : found->second.attempts;
}

bool Dispatcher::IsTrial(CallNumber aCall) const
{
  const auto found = this->calls.find(aCall);
  return found != this->calls.end() && found->second.isTrial;
}

// Accepts the offer if the call is still queued and may use the endpoint, and declines it
// otherwise.
void Dispatcher::HandleOffer(TimePoint aNow, Target& aTarget, CallNumber aCall)
{
  const auto found = this->calls.find(aCall);
  const bool isWanted = found != this->calls.end() && found->second.stage == Stage::kQueued;
  const bool isUsable = isWanted && this->MayUse(aNow, aTarget, found->second.spec) &&
                        (aTarget.ActiveQueue() != nullptr || aTarget.health.AvoidUntil() <= aNow ||
                         found->second.reserved.size() == 1);
  if (isUsable) {
    this->Start(aNow, aTarget, found->second);
    return;
  }
  if (isWanted) {
    std::erase(found->second.reserved, aTarget.info.id);
  }
  // A call that already runs on this endpoint is not withdrawn: that would release its slot.
  if (isWanted || found == this->calls.end() || found->second.endpoint != aTarget.info.id) {
    aTarget.localQueue->Withdraw(aNow, this->self, aCall);
    this->SendToActiveQueue(aTarget, WithdrawSlot{ aCall });
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
  if (aCall.attempts == 1) {
    this->admission.OnStart(aNow, aCall.spec);
  }
  aCall.sentAt = aNow;
  aCall.sentVerdicts =
    this->crashes.VerdictsOf(aNow, aCall.spec.fingerprint, aCall.spec.promptParts);
  aTarget.running++;
  const UseSlot use{ aCall.spec.number, this->PromptTokensAt(aNow, aTarget, aCall.spec) };
  aCall.sentTokens = use.promptTokens + PendingPrefillAt(aTarget);
  if (RemoteQueue* remote = aTarget.ActiveQueue()) {
    remote->sentPrefill += use.promptTokens;
  }
  aTarget.localQueue->Use(aNow, this->self, use);
  this->SendToActiveQueue(aTarget, use);
  this->Schedule(aCall);
  this->port.StartAttempt(aCall.spec.number, aTarget.info);
}

void Dispatcher::ReleaseEndpoint(TimePoint aNow, Call& aCall)
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
  target.localQueue->Release(aNow, this->self, aCall.spec.number);
  this->SendToActiveQueue(target, ReleaseSlot{ aCall.spec.number });
}

void Dispatcher::GiveUp(TimePoint aNow, CallNumber aCall, GiveUpReason aReason)
{
  const auto found = this->calls.find(aCall);
  Call& call = found->second;
  if (call.attempts == 0 && aReason == GiveUpReason::kOverload) {
    this->admission.OnGivenUp(aNow, call.spec);
  }
  const Duration retryAfter =
    aReason == GiveUpReason::kSuspect
      ? this->crashes.RefusedFor(aNow, call.spec.fingerprint, call.spec.promptParts)
      : this->RetryAfter(aNow, call.spec.service, call.spec.rank);
  this->WithdrawAll(aNow, call, "");
  this->RecordLostAttempt(aNow, call);
  this->ReleaseEndpoint(aNow, call);
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
        this->HandleOffer(aNow, found->second, number);
      }
    }
  }
}

void Dispatcher::SetEnd(TimePoint aNow, TimePoint aEnd)
{
  this->endsAt = aEnd;
  for (auto& [number, call] : this->calls) {
    this->LimitToEnd(call);
    this->Schedule(call);
  }
  this->OnTimer(aNow);
}

// A call must start early enough to last twice as long as the average one.
void Dispatcher::LimitToEnd(Call& aCall) const
{
  if (this->endsAt != kNever) {
    aCall.spec.deadline = std::min(aCall.spec.deadline, this->endsAt);
    aCall.giveUpAt = std::min(aCall.giveUpAt, this->endsAt - this->RunTime(aCall.spec.service) * 2);
  }
}

void Dispatcher::Schedule(Call& aCall)
{
  TimePoint next = aCall.spec.deadline;
  if (aCall.stage == Stage::kQueued) {
    next = std::min({ next, aCall.widenAt, aCall.giveUpAt });
  }
  this->callTimers.push(CallTimer{ next, aCall.spec.number });
}

} // namespace caraway::direct
