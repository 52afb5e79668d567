// Endpoints that die, and the requests under which they do.
#include "direct/dispatcher.h"

#include <algorithm>
#include <string_view>
#include <utility>

namespace caraway::direct {

// What the end of an attempt says of the request and of the endpoint's process.
void Dispatcher::NoteEnd(TimePoint aNow, const Call& aCall, AttemptEnd aEnd)
{
  const auto found = this->targets.find(aCall.endpoint);
  if (found == this->targets.end()) {
    return;
  }
  const Target& target = found->second;
  if (aEnd == AttemptEnd::kAnswered) {
    this->crashes.OnAnswered(aNow, aCall.spec.fingerprint);
  } else if (aEnd == AttemptEnd::kUnsent || aEnd == AttemptEnd::kMisdirected) {
    this->NoteDied(aNow, target.info, ToString(aEnd));
  } else if (aEnd == AttemptEnd::kBroken || aEnd == AttemptEnd::kStalled) {
    this->NoteLost(aNow, aCall);
    // An agent sees its endpoint's end by itself.
    if (!target.agent.isLive) {
      this->port.ProbeEndpoint(target.info);
    }
  }
}

void Dispatcher::NoteLost(TimePoint aNow, const Call& aCall)
{
  const auto found = this->targets.find(aCall.endpoint);
  if (aCall.stage == Stage::kRunning && found != this->targets.end()) {
    this->crashes.OnAttemptLost(aNow, IncarnationOf(aCall.endpoint, found->second.info.bornMs),
                         aCall.spec.fingerprint);
  }
}

void Dispatcher::NoteDied(TimePoint aNow, const EndpointInfo& aEndpoint, std::string_view aEvidence)
{
  const std::size_t lost = this->crashes.OnDied(aNow, IncarnationOf(aEndpoint.id, aEndpoint.bornMs));
  if (lost > 0) {
    this->port.OnEndpointDied(aEndpoint, aEvidence, lost);
  }
}

void Dispatcher::OnProbe(TimePoint aNow, const std::string& aEndpoint, std::int64_t aBornMs,
                         bool aIsListening)
{
  const auto found = this->targets.find(aEndpoint);
  if (aIsListening || found == this->targets.end() || found->second.info.bornMs != aBornMs) {
    return;
  }
  this->NoteDied(aNow, found->second.info, "probe");
  this->TakeSuspectNews(aNow);
  this->DrainLocalOffers(aNow);
}

void Dispatcher::OnSuspicions(TimePoint aNow, const std::vector<Suspicion>& aSuspicions)
{
  this->crashes.OnSuspicions(aNow, aSuspicions);
  this->TakeSuspectNews(aNow);
  this->DrainLocalOffers(aNow);
}

// Reports what has become known, and gives up what waits and may not be sent any more.
void Dispatcher::TakeSuspectNews(TimePoint aNow)
{
  for (const SuspectUpdate& news : this->crashes.TakeUpdates()) {
    this->port.OnSuspect(news);
    if (news.verdict != Verdict::kRefused) {
      continue;
    }
    std::vector<CallNumber> waiting;
    for (const auto& [number, call] : this->calls) {
      if (call.stage == Stage::kQueued && call.spec.fingerprint == news.suspicion.fingerprint) {
        waiting.push_back(number);
      }
    }
    for (const CallNumber number : waiting) {
      this->GiveUp(aNow, number, GiveUpReason::kSuspect);
    }
  }
}

// A process that registers at an address has taken the place of the one that was listed there.
void Dispatcher::NoteReplaced(TimePoint aNow, const std::map<std::string, EndpointInfo>& aAll)
{
  std::map<std::pair<std::string_view, std::uint16_t>, std::int64_t> bornAt;
  for (const auto& [id, info] : aAll) {
    std::int64_t& born = bornAt[{ info.host, info.port }];
    born = std::max(born, info.bornMs);
  }
  for (const auto& [id, target] : this->targets) {
    const auto found = bornAt.find({ target.info.host, target.info.port });
    if (found != bornAt.end() && found->second > target.info.bornMs) {
      this->NoteDied(aNow, target.info, "registration");
    }
  }
}

} // namespace caraway::direct
