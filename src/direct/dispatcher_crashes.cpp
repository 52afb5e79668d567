// Endpoint crashes and the requests suspected of causing them.
#include "direct/dispatcher.h"

#include <algorithm>
#include <string_view>
#include <utility>

namespace caraway::direct {

namespace {

bool IsAbout(const SuspectUpdate& aNews, const CallSpec& aSpec)
{
  const std::uint64_t key = aNews.suspicion.fingerprint;
  if (aNews.kind == SuspectKind::kRequest) {
    return aSpec.fingerprint == key;
  }
  return std::find(aSpec.promptParts.begin(), aSpec.promptParts.end(), key) !=
         aSpec.promptParts.end();
}

} // namespace

// Records what the end of an attempt shows about the request and the endpoint's process.
void Dispatcher::RecordAttemptEnd(TimePoint aNow, const Call& aCall, AttemptEnd aEnd)
{
  const auto found = this->targets.find(aCall.endpoint);
  if (found == this->targets.end()) {
    return;
  }
  const Target& target = found->second;
  if (aEnd == AttemptEnd::kAnswered) {
    this->crashes.OnAnswered(aNow, aCall.spec.fingerprint, aCall.spec.promptParts);
  } else if (aEnd == AttemptEnd::kUnsent || aEnd == AttemptEnd::kMisdirected) {
    this->RecordEndpointDeath(aNow, target.info, ToString(aEnd));
  } else if (aEnd == AttemptEnd::kBroken || aEnd == AttemptEnd::kStalled) {
    this->RecordLostAttempt(aNow, aCall);
    // A live agent detects the end of its endpoint's process itself, so no probe is needed.
    if (!target.agent.isLive) {
      this->port.ProbeEndpoint(target.info);
    }
  }
}

void Dispatcher::RecordLostAttempt(TimePoint aNow, const Call& aCall)
{
  const auto found = this->targets.find(aCall.endpoint);
  if (aCall.stage == Stage::kRunning && found != this->targets.end()) {
    this->crashes.OnAttemptLost(aNow, IncarnationOf(aCall.endpoint, found->second.info.bornMs),
                                aCall.spec.fingerprint, aCall.spec.promptParts, aCall.sentVerdicts);
  }
}

// A trial that waits for an endpoint, or runs, decides before the next one is sent.
bool Dispatcher::HasTrialOf(const CallSpec& aSpec) const
{
  return std::any_of(this->calls.begin(), this->calls.end(), [&](const auto& aRow) {
    const CallSpec& tried = aRow.second.spec;
    const std::vector<std::uint64_t>& parts = aSpec.promptParts;
    return aRow.second.isTrial &&
           ((aSpec.fingerprint != 0 && tried.fingerprint == aSpec.fingerprint) ||
            std::any_of(parts.begin(), parts.end(), [&](std::uint64_t aPart) {
              return std::find(tried.promptParts.begin(), tried.promptParts.end(), aPart) !=
                     tried.promptParts.end();
            }));
  });
}

void Dispatcher::RecordEndpointDeath(TimePoint aNow, const EndpointInfo& aEndpoint,
                                     std::string_view aEvidence)
{
  const std::size_t lost =
    this->crashes.OnDied(aNow, IncarnationOf(aEndpoint.id, aEndpoint.bornMs));
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
  this->RecordEndpointDeath(aNow, found->second.info, "probe");
  this->ApplyVerdicts(aNow);
  this->DrainLocalOffers(aNow);
}

void Dispatcher::OnSuspicions(TimePoint aNow, const std::vector<Suspicion>& aSuspicions,
                              SuspectKind aKind)
{
  this->crashes.OnSuspicions(aNow, aSuspicions, aKind);
  this->ApplyVerdicts(aNow);
  this->DrainLocalOffers(aNow);
}

// Reports new suspicions and gives up calls whose requests are now refused: queued ones, and
// running ones with a refused part, as an endpoint crashes when it begins the answer.
void Dispatcher::ApplyVerdicts(TimePoint aNow)
{
  for (const SuspectUpdate& news : this->crashes.TakeUpdates()) {
    this->port.OnSuspect(news);
    if (news.verdict != Verdict::kRefused) {
      continue;
    }
    std::vector<CallNumber> refused;
    for (const auto& [number, call] : this->calls) {
      const bool hasBegun =
        call.stage == Stage::kRunning && (call.hasFirstEvent || news.kind == SuspectKind::kRequest);
      if (!hasBegun && !call.isTrial && IsAbout(news, call.spec)) {
        refused.push_back(number);
      }
    }
    for (const CallNumber number : refused) {
      if (this->calls.contains(number)) {
        this->GiveUp(aNow, number, GiveUpReason::kSuspect);
      }
    }
  }
}

// Records the death of endpoints whose address is now registered by a newer process.
void Dispatcher::DetectReplacedEndpoints(TimePoint aNow,
                                         const std::map<std::string, EndpointInfo>& aAll)
{
  std::map<std::pair<std::string_view, std::uint16_t>, std::int64_t> bornAt;
  for (const auto& [id, info] : aAll) {
    std::int64_t& born = bornAt[{ info.host, info.port }];
    born = std::max(born, info.bornMs);
  }
  for (const auto& [id, target] : this->targets) {
    const auto found = bornAt.find({ target.info.host, target.info.port });
    if (found != bornAt.end() && found->second > target.info.bornMs) {
      this->RecordEndpointDeath(aNow, target.info, "registration");
    }
  }
}

} // namespace caraway::direct
