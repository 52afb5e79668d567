// Placement: at which endpoints a call queues, in which order, and with which start deadline.
#include "direct/dispatcher.h"

#include <algorithm>
#include <tuple>

namespace caraway::direct {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// Interval at which a queued call reserves at further endpoints.
constexpr Duration kPlacementRetryPeriod = milliseconds(100);
// Minimum time that an endpoint's prefix cache keeps an unused prompt. Affinity to an endpoint ends
// after this time.
constexpr Duration kPromptCacheTime = seconds(10);
// Share of a cached prompt that still needs prefill.
constexpr double kCachedPromptShare = 0.1;
// Network latency to another failure domain, for the round trip of the call and its first event.
constexpr double kOtherDomainCost = 0.001; // seconds
constexpr double kFailureCost = 1.0;       // seconds, at a failure rate of 1
constexpr double kJitterCost = 0.002; // seconds; spreads calls of entries that see the same state
constexpr double kMinCallRate = 0.25; // per second; bounds the cost of an endpoint that names zero
// Transfer time of the request to the endpoint and of the first event to the caller.
constexpr Duration kStartMargin = milliseconds(20);

std::int32_t MillisecondsOf(Duration aTime)
{
  const auto count = std::chrono::duration_cast<milliseconds>(aTime).count();
  return static_cast<std::int32_t>(std::clamp<std::int64_t>(count, -3600000, 3600000));
}

} // namespace

// Withdraws a queued call's reservations at endpoints that it may no longer use.
void Dispatcher::DropUnusable(TimePoint aNow, Call& aCall)
{
  std::erase_if(aCall.reserved, [&](const std::string& aId) {
    Target& target = this->targets.at(aId);
    if (this->MayUse(aNow, target, aCall.spec)) {
      return false;
    }
    target.localQueue->Withdraw(aNow, this->self, aCall.spec.number);
    this->SendToActiveQueue(target, WithdrawSlot{ aCall.spec.number });
    return true;
  });
  if (aCall.reserved.empty()) {
    this->Place(aNow, aCall);
    this->Schedule(aCall);
  }
}

Duration Dispatcher::RetryAfter(TimePoint aNow, const std::string& aService, Tier aRank) const
{
  double slots = 0;
  double backlog = 0;
  TimePoint earliestPauseEnd = kNever;
  for (const auto& [id, target] : this->targets) {
    if (!target.isListed || !target.isInSubset || target.info.service != aService ||
        this->evacuatedDomains.contains(target.info.failureDomain)) {
      continue;
    }
    earliestPauseEnd = std::min(earliestPauseEnd, target.pausedUntil);
    const RemoteQueue* remote = target.ActiveQueue();
    const double limit = remote != nullptr ? remote->state.limit : this->LocalLimit(target);
    // At a named rate, calls keep only so many slots busy.
    slots += std::min(limit, CallRate(target) * SecondsOf(this->RunTime(aService)));
    double waiting = 0;
    for (Tier rank = 0; rank <= aRank; rank++) {
      waiting += remote != nullptr ? remote->state.waiting.at(rank) : 0;
    }
    // A call waits at many endpoints at once, so the longest queue contains nearly all waiting
    // calls.
    backlog = std::max(backlog, waiting);
  }
  const Duration drain =
    RetryDelay(this->options.patience, backlog, slots, this->RunTime(aService));
  return earliestPauseEnd == kNever ? drain : std::max(drain, earliestPauseEnd - aNow);
}

// Returns the average run time at the service's endpoints.
Duration Dispatcher::RunTime(const std::string& aService) const
{
  const auto average = this->runTimes.find(aService);
  return average == this->runTimes.end() ? this->options.initialRunTime : average->second;
}

// Reserves at the best endpoints at which the call has no reservation yet.
void Dispatcher::Place(TimePoint aNow, Call& aCall)
{
  const std::vector<Target*> candidates = this->Candidates(aNow, aCall);
  const bool isSmallPool = candidates.size() <= this->options.smallPoolSize;
  const std::size_t wide = isSmallPool ? candidates.size() : this->options.maxReservations;
  const std::size_t wanted = aCall.isWidened ? wide : this->options.initialReservations;
  for (std::size_t index = 0; index < candidates.size() && index < wanted; index++) {
    this->ReserveAt(aNow, *candidates[index], aCall);
  }
  if (aCall.reserved.empty() && aCall.attempts == 0) {
    aCall.reason = GiveUpReason::kNoEndpoint;
  } else if (aCall.reason == GiveUpReason::kNoEndpoint) {
    aCall.reason = GiveUpReason::kOverload;
  }
  if (aCall.reserved.empty() && this->IsShutOut(aCall.spec)) {
    aCall.giveUpAt = aNow;
  }
  aCall.widenAt = aNow + (aCall.isWidened ? kPlacementRetryPeriod : this->options.widenAfter);
}

// Returns the usable endpoints of the best available preference, lowest cost first. Endpoints
// outside the subset are used only if none in it is usable, and endpoints that are avoided,
// unreachable or already tried only if there is no other.
std::vector<Dispatcher::Target*> Dispatcher::Candidates(TimePoint aNow, const Call& aCall)
{
  // In descending order of preference.
  enum class Preference : std::uint8_t
  {
    kInSubset,
    kOther,
    kAvoided,
  };
  struct Scored
  {
    Preference preference;
    double cost;
    Target* target;
  };
  std::vector<Scored> scored;
  bool hasSubsetEndpoint = false;
  for (auto& [id, target] : this->targets) {
    if (!this->MayUse(aNow, target, aCall.spec)) {
      continue;
    }
    const bool isUnreachable =
      target.ActiveQueue() != nullptr && !target.ActiveQueue()->state.isReachable;
    const bool isAvoided =
      target.health.AvoidUntil() > aNow || isUnreachable || aCall.tried.contains(id);
    const Preference preference = isAvoided           ? Preference::kAvoided
                                  : target.isInSubset ? Preference::kInSubset
                                                      : Preference::kOther;
    if (preference != Preference::kInSubset && hasSubsetEndpoint) {
      continue;
    }
    hasSubsetEndpoint = hasSubsetEndpoint || preference == Preference::kInSubset;
    scored.push_back({ preference, this->CostOf(aNow, target, aCall), &target });
  }
  std::sort(scored.begin(), scored.end(), [](const Scored& aLeft, const Scored& aRight) {
    return std::tie(aLeft.preference, aLeft.cost) < std::tie(aRight.preference, aRight.cost);
  });
  std::vector<Target*> result;
  for (const Scored& row : scored) {
    if (row.preference != scored.front().preference) {
      break;
    }
    result.push_back(row.target);
  }
  return result;
}

// Expected seconds until the first event, plus penalties for distance and failures.
double Dispatcher::CostOf(TimePoint aNow, const Target& aTarget, const Call& aCall)
{
  const RemoteQueue* remote = aTarget.ActiveQueue();
  const std::uint32_t limit =
    std::max(remote != nullptr ? remote->state.limit : this->LocalLimit(aTarget), 1U);
  const std::uint32_t taken =
    std::max(remote != nullptr ? remote->state.taken : 0U, aTarget.running);
  double queued = 0;
  if (remote != nullptr) {
    for (Tier rank = 0; rank <= aCall.spec.rank; rank++) {
      queued += remote->state.waiting.at(rank);
    }
  } else {
    queued = static_cast<double>(aTarget.localQueue->WaitingCount());
  }
  const double runTime = SecondsOf(this->RunTime(aCall.spec.service));
  double cost = 0;
  if (taken >= limit) {
    cost += runTime * (queued + taken - limit + 1) / limit;
  } else {
    cost += runTime * 0.1 * taken / limit;
  }
  // Mean wait for the rate that the endpoint names; zero if it names none.
  cost += (queued + 0.5) / std::max(CallRate(aTarget), kMinCallRate);
  const std::uint32_t prompt = this->PromptTokensAt(aNow, aTarget, aCall.spec);
  if (aTarget.hasAgent) {
    cost += SecondsOf(FirstEventTime(aTarget, PendingPrefillAt(aTarget) + prompt));
  }
  cost += aTarget.info.failureDomain == this->failureDomain ? 0 : kOtherDomainCost;
  cost += kFailureCost * aTarget.health.FailureRate();
  return cost + kJitterCost * this->random.Unit();
}

// Prompt tokens that need prefill at the endpoint: few if the prompt is in its prefix cache.
std::uint32_t Dispatcher::PromptTokensAt(TimePoint aNow, const Target& aTarget,
                                         const CallSpec& aSpec) const
{
  const auto found = this->promptAffinities.find(aSpec.subject);
  const bool isCached = aSpec.subject != 0 && found != this->promptAffinities.end() &&
                        found->second.endpoint == aTarget.info.id &&
                        aNow - found->second.at < kPromptCacheTime;
  return isCached ? static_cast<std::uint32_t>(aSpec.promptTokens * kCachedPromptShare)
                  : aSpec.promptTokens;
}

// Prompt tokens at the endpoint whose first event has not arrived, as far as this entry knows.
std::uint32_t Dispatcher::PendingPrefillAt(const Target& aTarget)
{
  const RemoteQueue* remote = aTarget.ActiveQueue();
  return remote != nullptr ? remote->state.pendingPrefill + remote->sentPrefill
                           : aTarget.localQueue->PendingPrefill();
}

void Dispatcher::ReserveAt(TimePoint aNow, Target& aTarget, Call& aCall)
{
  const std::string& id = aTarget.info.id;
  if (std::find(aCall.reserved.begin(), aCall.reserved.end(), id) != aCall.reserved.end()) {
    return;
  }
  aCall.reserved.push_back(id);
  const ReserveSlot reservation = this->ReservationOf(aNow, aTarget, aCall);
  if (aTarget.ActiveQueue() != nullptr) {
    this->SendToActiveQueue(aTarget, reservation);
  } else {
    aTarget.localQueue->Reserve(aNow, this->self, reservation);
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
  reservation.startWithinMs = MillisecondsOf(this->StartDeadline(aNow, aTarget, spec) - aNow);
  reservation.endWithinMs = MillisecondsOf(std::min(aCall.giveUpAt, spec.deadline) - aNow);
  reservation.promptTokens = this->PromptTokensAt(aNow, aTarget, spec);
  reservation.outputTokens = spec.outputTokens;
  reservation.order = spec.order;
  reservation.account = spec.account;
  reservation.accountWeight = spec.accountWeight;
  return reservation;
}

// Expected time to a first event after a prefill of aTokens. The remote queue's estimate covers the
// calls of all entries; this entry's own measurements are used if it has none.
Duration Dispatcher::FirstEventTime(const Target& aTarget, std::uint32_t aTokens)
{
  const RemoteQueue* remote = aTarget.ActiveQueue();
  if (remote == nullptr || remote->state.firstEventPer1000Us == 0) {
    return aTarget.health.FirstEventTime(aTokens);
  }
  return Duration(remote->state.firstEventBaseUs +
                  std::uint64_t{ remote->state.firstEventPer1000Us } * aTokens / 1000);
}

// Latest time at which the call must be sent to the endpoint to meet its objective. If the prefill
// of the prompt does not fit the objective, the objective is extended to 3/2 of the prefill time.
TimePoint Dispatcher::StartDeadline(TimePoint aNow, const Target& aTarget,
                                    const CallSpec& aSpec) const
{
  if (!aTarget.hasAgent) {
    return aSpec.arrived + aSpec.objective / 2;
  }
  const Duration prefillTime = FirstEventTime(aTarget, this->PromptTokensAt(aNow, aTarget, aSpec));
  const Duration objective = std::max(aSpec.objective, prefillTime * 3 / 2);
  return aSpec.arrived + objective - prefillTime - kStartMargin;
}

void Dispatcher::WithdrawAll(TimePoint aNow, Call& aCall, const std::string& aExcept)
{
  for (const std::string& id : aCall.reserved) {
    const auto found = this->targets.find(id);
    if (id == aExcept || found == this->targets.end()) {
      continue;
    }
    found->second.localQueue->Withdraw(aNow, this->self, aCall.spec.number);
    this->SendToActiveQueue(found->second, WithdrawSlot{ aCall.spec.number });
  }
  aCall.reserved.clear();
}

bool Dispatcher::MayUse(TimePoint aNow, const Target& aTarget, const CallSpec& aSpec) const
{
  const EndpointInfo& info = aTarget.info;
  if (!aTarget.isListed || info.service != aSpec.service || info.isLeaving ||
      aTarget.hasAnnouncedLeaving || aNow < aTarget.pausedUntil ||
      (aTarget.ActiveQueue() != nullptr && aTarget.ActiveQueue()->state.isLeaving) ||
      !this->IsPlaceAllowed(info, aSpec)) {
    return false;
  }
  const auto banned = this->bannedVersions.find(info.service);
  return (aSpec.requiredVersion.empty() || info.version == aSpec.requiredVersion) &&
         (aSpec.excludedVersion.empty() || info.version != aSpec.excludedVersion) &&
         (banned == this->bannedVersions.end() || !banned->second.contains(info.version));
}

} // namespace caraway::direct
