// The life of a call: submission, attempts, timers and end.
#include "direct/dispatcher.h"

#include <algorithm>
#include <utility>

namespace caraway::direct {

namespace {

constexpr std::size_t kMaxWarm = 20000;   // subjects remembered
constexpr double kRunTimeMemory = 0.05;   // weight of the newest run
constexpr std::uint32_t kMaxAttempts = 6; // of one call, with those that did not run

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

// Takes over the list. An endpoint that left it keeps what it runs and gets nothing more.
void Dispatcher::SetEndpoints(TimePoint aNow, const std::map<std::string, EndpointInfo>& aAll,
                              const std::function<bool(const std::string&)>& aHasAgents)
{
  const std::set<std::string> contacts = ChooseContacts(
    this->options.contacts, static_cast<std::uint64_t>(this->self.node), this->failureDomain, aAll);
  this->NoteReplaced(aNow, aAll);
  for (auto& [id, target] : this->targets) {
    target.isListed = aAll.contains(id);
  }
  for (const auto& [id, info] : aAll) {
    Target& target = this->targets[id];
    if (target.local == nullptr) {
      target.listedAt = aNow;
      target.localPort = std::make_unique<LocalPort>();
      target.localPort->owner = this;
      target.localPort->endpoint = id;
      target.local = std::make_unique<SlotQueue>(this->options.queue, *target.localPort);
    } else if (target.info.bornMs != info.bornMs || target.info.sequence < info.sequence) {
      target.health.OnRecovered();
      target.restsUntil = target.info.bornMs != info.bornMs ? TimePoint{} : target.restsUntil;
    }
    target.info = info;
    target.saysLeaving = this->leaving.Contains(IncarnationOf(id, info.bornMs));
    target.isListed = true;
    target.isContact = contacts.contains(id);
    target.hasAgent = aHasAgents(info.service);
    target.local->SetLimit(aNow, target.InUse() != nullptr ? 0 : this->LocalLimit(target));
  }
  this->DropUnusableCalls(aNow);
  std::erase_if(this->targets,
                [](const auto& aRow) { return !aRow.second.isListed && aRow.second.running == 0; });
  this->TakeSuspectNews(aNow);
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
                          const EndpointNotice& aNotice)
{
  const auto found = this->targets.find(aEndpoint);
  if (found == this->targets.end()) {
    return false;
  }
  Target& target = found->second;
  const bool isNews = (aNotice.isLeaving && !target.saysLeaving) ||
                      (aNotice.rest > Duration::zero() && aNow + aNotice.rest > target.restsUntil);
  if (!isNews) {
    return false;
  }
  if (aNotice.rest > Duration::zero()) {
    target.restsUntil = std::max(target.restsUntil, aNow + aNotice.rest);
  }
  if (aNotice.isLeaving) {
    this->leaving.Add(aNow, IncarnationOf(aEndpoint, target.info.bornMs));
    target.saysLeaving = true;
  }
  this->DropUnusableCalls(aNow);
  this->DrainLocalOffers(aNow);
  return true;
}

void Dispatcher::OnLeaving(TimePoint aNow, const std::vector<EndpointIncarnation>& aLives)
{
  bool isNews = false;
  for (const EndpointIncarnation& incarnation : aLives) {
    isNews = this->leaving.Add(aNow, incarnation) || isNews;
  }
  if (!isNews) {
    return;
  }
  for (auto& [id, target] : this->targets) {
    target.saysLeaving = this->leaving.Contains(IncarnationOf(id, target.info.bornMs));
  }
  this->DropUnusableCalls(aNow);
  this->DrainLocalOffers(aNow);
}

void Dispatcher::SetBannedVersions(TimePoint aNow,
                                   const std::map<std::string, std::string>& aByService)
{
  if (aByService == this->bannedVersions) {
    return;
  }
  this->bannedVersions = aByService;
  for (auto& row : this->calls) {
    if (row.second.stage == Stage::kQueued) {
      this->LiftProbe(row.second);
      this->DropUnusable(aNow, row.second);
    }
  }
  this->DrainLocalOffers(aNow);
}

std::uint32_t Dispatcher::RunningElsewhere(const std::string& aService,
                                           const std::string& aVersion) const
{
  std::uint32_t count = 0;
  for (const auto& [id, target] : this->targets) {
    const bool isOther = target.info.service == aService && target.info.version != aVersion;
    count += isOther ? target.running : 0;
  }
  return count;
}

// A call that was to try a new version does not wait for it: the old one takes it as well.
void Dispatcher::LiftProbe(Call& aCall)
{
  if (aCall.spec.isCanary) {
    aCall.spec.isCanary = false;
    aCall.spec.excludedVersion = std::exchange(aCall.spec.requiredVersion, "");
  }
}

void Dispatcher::Submit(TimePoint aNow, const CallSpec& aSpec)
{
  this->budget.OnRequest(aNow, aSpec.service);
  if (this->crashes.Judge(aNow, aSpec.fingerprint) == Verdict::kRefused) {
    this->port.GiveUp(aSpec.number, GiveUpReason::kSuspect,
                      this->crashes.ForgetAfter(aNow, aSpec.fingerprint));
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
  call.giveUpAt = WaitDeadline(this->options.patience, aSpec);
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
  this->NoteLost(aNow, found->second);
  this->LeaveEndpoint(aNow, found->second);
  this->calls.erase(found);
  this->TakeSuspectNews(aNow);
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
  this->Tell(target, direct::BeginAnswer{ aCall });
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
  this->NoteEnd(aNow, call, aEnd);
  if (aEnd == AttemptEnd::kAnswered) {
    Duration& usual =
      this->runTimes.try_emplace(call.spec.service, this->options.initialRunTime).first->second;
    usual += std::chrono::duration_cast<Duration>((aNow - call.sentAt - usual) * kRunTimeMemory);
  }
  this->LeaveEndpoint(aNow, call);
  call.runs += HasNotRun(aEnd) ? 0U : 1U;
  const bool isFree = aEnd == AttemptEnd::kUnsent; // nothing arrived at the endpoint
  const bool goesOn = this->MayGoOn(aNow, call, aEnd) &&
                      (isFree || this->budget.Take(aNow, call.spec.service, this->entryCount));
  if (!goesOn) {
    this->calls.erase(found);
    this->TakeSuspectNews(aNow);
    this->DrainLocalOffers(aNow);
    return false;
  }
  call.stage = Stage::kQueued;
  call.hasBegun = false;
  call.reason = HasNotRun(aEnd) ? GiveUpReason::kRefused : GiveUpReason::kFailed;
  call.giveUpAt =
    std::max(WaitDeadline(this->options.patience, call.spec), aNow + call.spec.objective / 2);
  call.giveUpAt = std::min(call.giveUpAt, call.spec.deadline);
  call.isWide = true;
  this->LiftProbe(call);
  this->Place(aNow, call);
  this->Schedule(call);
  this->TakeSuspectNews(aNow);
  this->DrainLocalOffers(aNow);
  return true;
}

// Whether a call whose attempt ended without an answer is sent once more.
bool Dispatcher::MayGoOn(TimePoint aNow, const Call& aCall, AttemptEnd aEnd) const
{
  if (aEnd == AttemptEnd::kAnswered || aNow >= aCall.spec.deadline ||
      aCall.attempts >= kMaxAttempts) {
    return false;
  }
  const Verdict verdict = this->crashes.Judge(aNow, aCall.spec.fingerprint);
  if (HasNotRun(aEnd)) {
    return verdict != Verdict::kRefused;
  }
  // Whether this endpoint died as well is not known yet.
  return verdict == Verdict::kClear && aCall.spec.MayRepeat() && aCall.runs < aCall.spec.maxRuns;
}

void Dispatcher::OnOffer(TimePoint aNow, const std::string& aHost, CallNumber aCall)
{
  Target* target = this->FindByHost(aHost);
  if (target != nullptr && target->InUse() != &target->owner) {
    this->TakeOffer(aNow, *target, aCall);
    this->DrainLocalOffers(aNow);
  }
}

void Dispatcher::OnTimer(TimePoint aNow)
{
  for (auto& [id, target] : this->targets) {
    target.local->KeepHolder(aNow, this->self);
    target.local->OnTimer(aNow);
    for (Remote* remote : { &target.agent, &target.owner }) {
      if (remote->isLive && this->IsSilent(aNow, *remote)) {
        this->SetLive(aNow, target, *remote, false);
      }
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
      this->LiftProbe(call);
      this->Place(aNow, call);
      this->Schedule(call);
    }
  }
  this->TakeSuspectNews(aNow);
  this->DrainLocalOffers(aNow);
}

TimePoint Dispatcher::NextTimer() const
{
  TimePoint next = this->nextHold;
  return this->due.empty() ? next : std::min(next, this->due.top().time);
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

// Takes the offer if the call still wants it, and declines it otherwise.
void Dispatcher::TakeOffer(TimePoint aNow, Target& aTarget, CallNumber aCall)
{
  const auto found = this->calls.find(aCall);
  const bool isWanted = found != this->calls.end() && found->second.stage == Stage::kQueued;
  const bool isUsable = isWanted && this->MayUse(aNow, aTarget, found->second.spec) &&
                        (aTarget.InUse() != nullptr || aTarget.health.AvoidUntil() <= aNow ||
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
    this->Tell(aTarget, WithdrawSlot{ aCall });
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
  aTarget.running++;
  const UseSlot use{ aCall.spec.number, this->PromptAt(aNow, aTarget, aCall.spec) };
  aCall.sentTokens = use.promptTokens + PendingAt(aTarget);
  if (Remote* remote = aTarget.InUse()) {
    remote->sentPrefill += use.promptTokens;
  }
  aTarget.local->Use(aNow, this->self, use);
  this->Tell(aTarget, use);
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
  this->Tell(target, ReleaseSlot{ aCall.spec.number });
}

void Dispatcher::GiveUp(TimePoint aNow, CallNumber aCall, GiveUpReason aReason)
{
  const auto found = this->calls.find(aCall);
  Call& call = found->second;
  if (call.attempts == 0 && aReason == GiveUpReason::kOverload) {
    this->admission.OnGivenUp(aNow, call.spec);
  }
  const Duration retryAfter = aReason == GiveUpReason::kSuspect
                                ? this->crashes.ForgetAfter(aNow, call.spec.fingerprint)
                                : this->RetryAfter(aNow, call.spec.service, call.spec.rank);
  this->WithdrawAll(aNow, call, "");
  this->NoteLost(aNow, call);
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

void Dispatcher::Schedule(Call& aCall)
{
  TimePoint next = aCall.spec.deadline;
  if (aCall.stage == Stage::kQueued) {
    next = std::min({ next, aCall.widenAt, aCall.giveUpAt });
  }
  this->due.push(Due{ next, aCall.spec.number });
}

} // namespace caraway::direct
