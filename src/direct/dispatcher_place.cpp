// Placing: at which endpoints a call queues, in which order, and until when.
#include "direct/dispatcher.h"

#include <algorithm>
#include <tuple>

namespace caraway::direct {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// A queued call looks for further endpoints this often.
constexpr Duration kReplacePeriod = milliseconds(100);
// How long an endpoint keeps a prompt that nobody uses, at the least; affinity looks no further
// back.
constexpr Duration kWarmTime = seconds(10);
// Part of a warm prompt that still has to be read.
constexpr double kWarmShare = 0.1;
// One way through another failure domain, both ways for the call and its first event.
constexpr double kFarCost = 0.001;    // seconds
constexpr double kFailureCost = 1.0;  // seconds, for an endpoint that fails all it gets
constexpr double kJitterCost = 0.002; // seconds; spreads calls of entries that know the same
// Way of the first event to the caller and of the request to the endpoint.
constexpr Duration kStartMargin = milliseconds(20);

std::int32_t MillisecondsOf(Duration aTime)
{
  const auto count = std::chrono::duration_cast<milliseconds>(aTime).count();
  return static_cast<std::int32_t>(std::clamp<std::int64_t>(count, -3600000, 3600000));
}

} // namespace

// Takes a queued call back from endpoints that may not get it any more.
void Dispatcher::DropUnusable(TimePoint aNow, Call& aCall)
{
  std::erase_if(aCall.reserved, [&](const std::string& aId) {
    Target& target = this->targets.at(aId);
    if (this->MayUse(aNow, target, aCall.spec)) {
      return false;
    }
    target.local->Withdraw(aNow, this->self, aCall.spec.number);
    this->Tell(target, WithdrawSlot{ aCall.spec.number });
    return true;
  });
  if (aCall.reserved.empty()) {
    this->Place(aNow, aCall);
  }
}

Duration Dispatcher::RetryAfter(TimePoint aNow, const std::string& aService, Tier aRank) const
{
  double slots = 0;
  double ahead = 0;
  TimePoint firstRested = kNever;
  for (const auto& [id, target] : this->targets) {
    if (!target.isListed || !target.isContact || target.info.service != aService) {
      continue;
    }
    firstRested = std::min(firstRested, target.restsUntil);
    const Remote* remote = target.InUse();
    slots += remote != nullptr ? remote->state.limit : this->LocalLimit(target);
    double waiting = 0;
    for (Tier rank = 0; rank <= aRank; rank++) {
      waiting += remote != nullptr ? remote->state.waiting.at(rank) : 0;
    }
    // A call waits at many endpoints at once, so the longest queue holds about all that wait.
    ahead = std::max(ahead, waiting);
  }
  const Duration drain = RetryDelay(this->options.patience, ahead, slots, this->RunTime(aService));
  return firstRested == kNever ? drain : std::max(drain, firstRested - aNow);
}

// Usual time of a run at an endpoint of the service.
Duration Dispatcher::RunTime(const std::string& aService) const
{
  const auto usual = this->runTimes.find(aService);
  return usual == this->runTimes.end() ? this->options.initialRunTime : usual->second;
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

// Usable endpoints, best first. Those beyond the contacts count only when no contact is usable, and
// those that are to be avoided or were tried before when there is no other at all.
std::vector<Dispatcher::Target*> Dispatcher::Candidates(TimePoint aNow, const Call& aCall)
{
  // Best first.
  enum class Resort : std::uint8_t
  {
    kContact,
    kOther,
    kAvoided,
  };
  struct Scored
  {
    Resort resort;
    double cost;
    Target* target;
  };
  std::vector<Scored> scored;
  bool hasContact = false;
  for (auto& [id, target] : this->targets) {
    if (!this->MayUse(aNow, target, aCall.spec)) {
      continue;
    }
    const bool isDown = target.InUse() != nullptr && !target.InUse()->state.isReachable;
    const bool isAvoided = target.health.AvoidUntil() > aNow || isDown || aCall.tried.contains(id);
    const Resort resort = isAvoided          ? Resort::kAvoided
                          : target.isContact ? Resort::kContact
                                             : Resort::kOther;
    if (resort != Resort::kContact && hasContact) {
      continue;
    }
    hasContact = hasContact || resort == Resort::kContact;
    scored.push_back({ resort, this->CostOf(aNow, target, aCall), &target });
  }
  std::sort(scored.begin(), scored.end(), [](const Scored& aLeft, const Scored& aRight) {
    return std::tie(aLeft.resort, aLeft.cost) < std::tie(aRight.resort, aRight.cost);
  });
  std::vector<Target*> result;
  for (const Scored& row : scored) {
    if (row.resort != scored.front().resort) {
      break;
    }
    result.push_back(row.target);
  }
  return result;
}

// Expected seconds until the first event, with what speaks against the endpoint.
double Dispatcher::CostOf(TimePoint aNow, const Target& aTarget, const Call& aCall)
{
  const Remote* remote = aTarget.InUse();
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
    queued = static_cast<double>(aTarget.local->WaitingCount());
  }
  const double runTime = SecondsOf(this->RunTime(aCall.spec.service));
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
  const Remote* remote = aTarget.InUse();
  return remote != nullptr ? remote->state.pendingPrefill + remote->sentPrefill
                           : aTarget.local->PendingPrefill();
}

void Dispatcher::ReserveAt(TimePoint aNow, Target& aTarget, Call& aCall)
{
  const std::string& id = aTarget.info.id;
  if (std::find(aCall.reserved.begin(), aCall.reserved.end(), id) != aCall.reserved.end()) {
    return;
  }
  aCall.reserved.push_back(id);
  const ReserveSlot reservation = this->ReservationOf(aNow, aTarget, aCall);
  if (aTarget.InUse() != nullptr) {
    this->Tell(aTarget, reservation);
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
  reservation.startWithinMs = MillisecondsOf(this->StartBy(aNow, aTarget, spec) - aNow);
  reservation.endWithinMs = MillisecondsOf(std::min(aCall.giveUpAt, spec.deadline) - aNow);
  reservation.promptTokens = this->PromptAt(aNow, aTarget, spec);
  reservation.outputTokens = spec.outputTokens;
  return reservation;
}

// Expected time to a first event with aTokens to be read until then. The agent has seen all
// entries' calls; the own measurements count where it says nothing.
Duration Dispatcher::FirstEventTime(const Target& aTarget, std::uint32_t aTokens)
{
  const Remote* remote = aTarget.InUse();
  if (remote == nullptr || remote->state.firstEventPer1000Us == 0) {
    return aTarget.health.FirstEventTime(aTokens);
  }
  return Duration(remote->state.firstEventBaseUs +
                  std::uint64_t{ remote->state.firstEventPer1000Us } * aTokens / 1000);
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
    this->Tell(found->second, WithdrawSlot{ aCall.spec.number });
  }
  aCall.reserved.clear();
}

bool Dispatcher::MayUse(TimePoint aNow, const Target& aTarget, const CallSpec& aSpec) const
{
  const EndpointInfo& info = aTarget.info;
  if (!aTarget.isListed || info.service != aSpec.service || info.isLeaving || aTarget.saysLeaving ||
      aNow < aTarget.restsUntil ||
      (aTarget.InUse() != nullptr && aTarget.InUse()->state.isLeaving)) {
    return false;
  }
  const auto banned = this->bannedVersions.find(info.service);
  return (aSpec.requiredVersion.empty() || info.version == aSpec.requiredVersion) &&
         (aSpec.excludedVersion.empty() || info.version != aSpec.excludedVersion) &&
         (banned == this->bannedVersions.end() || info.version != banned->second);
}

} // namespace caraway::direct
