// State exchange between entries: age of configuration and endpoints, quota usage, version moves.
#include "gateway/flow.h"
#include "gateway/gateway.h"
#include "runtime/log.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace caraway::gateway {

using direct::DirectMessage;

namespace {

using std::chrono::milliseconds;

// An entry that started recently asks some of its peers for the usage of quotas in each round.
constexpr int kUsageRequestsPerRound = 2;
constexpr Duration kUnknownAge = std::chrono::hours(1); // exceeds every limit on the age of data

} // namespace

bool Gateway::IsStoreReader() const
{
  if (!this->readsStore) {
    return false;
  }
  return std::none_of(this->peerEntries.begin(), this->peerEntries.end(), [this](const auto& aRow) {
    return aRow.second.readsStore && aRow.first < this->settings.peerListen.host;
  });
}

void Gateway::OnPeerMessage(const Address& aFrom, const Peer& aPeer, const DirectMessage& aMessage)
{
  const TimePoint now = this->Now();
  if (const auto* offer = std::get_if<direct::OfferSlot>(&aMessage)) {
    this->dispatcher.OnOffer(now, aFrom.host, offer->call);
  } else if (const auto* agent = std::get_if<direct::AgentState>(&aMessage)) {
    this->dispatcher.OnAgentState(now, aFrom.host, *agent);
    for (const std::string& host : agent->entries) {
      this->AddEntry(host);
    }
  } else if (const auto* news = std::get_if<direct::RateNews>(&aMessage)) {
    this->dispatcher.OnAgentRate(now, aFrom.host, *news);
  } else if (const auto* cold = std::get_if<direct::ColdNews>(&aMessage)) {
    this->dispatcher.OnAgentCold(now, aFrom.host, *cold);
  } else if (const auto* state = std::get_if<direct::EntryState>(&aMessage)) {
    this->ApplyEntryState(aFrom, aPeer, *state);
  } else if (std::holds_alternative<direct::UsageRequest>(aMessage)) {
    if (this->quota.KnowsWindow(now)) {
      this->net.Send(aFrom, direct::UsageWindow{ this->quota.UsageToSave(now) });
    }
  } else if (const auto* window = std::get_if<direct::UsageWindow>(&aMessage)) {
    this->ApplyUsageWindow(aFrom, *window);
  } else if (const auto* queue = std::get_if<direct::QueueEnvelope>(&aMessage)) {
    const auto* rate = std::get_if<direct::RateNews>(&queue->message);
    const auto* cold = std::get_if<direct::ColdNews>(&queue->message);
    const bool isFromOwner = std::holds_alternative<direct::AgentState>(queue->message) ||
                             std::holds_alternative<direct::OfferSlot>(queue->message) ||
                             (rate != nullptr && rate->isFromQueue) ||
                             (cold != nullptr && cold->isFromQueue);
    if (isFromOwner) {
      this->dispatcher.OnOwnerMessage(now, aFrom.host, *queue);
    } else {
      this->ownedQueues.OnMessage(now, aFrom, aPeer, *queue);
    }
  }
}

void Gateway::AddEntry(const std::string& aHost)
{
  if (aHost == this->settings.peerListen.host) {
    return;
  }
  this->knownEntries.insert(aHost);
  this->peerEntries.try_emplace(aHost, PeerEntry{ this->AddressOf(aHost), this->Now() });
}

void Gateway::SetEntriesKnown()
{
  this->quota.SetEntries(this->Now(), static_cast<std::uint32_t>(this->peerEntries.size()) + 1);
  this->SendStates();
}

Address Gateway::AddressOf(const std::string& aHost) const
{
  const auto found = this->peerEntries.find(aHost);
  return found == this->peerEntries.end() ? Address{ aHost, this->net.Port() }
                                          : found->second.address;
}

// With many entries, each receives the states of the others less often.
Duration Gateway::EntryTimeout() const
{
  const auto rounds = static_cast<std::int64_t>(this->StateRounds());
  return std::max(this->settings.entryTimeout, this->settings.statePeriod * rounds * 3);
}

// Recomputes which entries own the queues of endpoints if entries or endpoints have changed.
void Gateway::UpdateOwners()
{
  std::vector<std::string> hosts{ this->settings.peerListen.host };
  std::string basis = std::to_string(this->endpointsHash);
  for (const auto& [host, peer] : this->peerEntries) {
    if (peer.sentAtUs != 0) {
      hosts.push_back(host);
      basis += ' ' + host;
    }
  }
  if (basis == this->ownersBasis) {
    return;
  }
  this->ownersBasis = basis;
  std::map<std::string, std::string> owners;
  for (const auto& [id, info] : this->endpoints) {
    owners[id] = OwnerOf(id, hosts);
  }
  this->dispatcher.SetOwners(this->Now(), owners);
}

// A datagram may have been delayed; the echoed timestamp of this entry's clock bounds its age.
void Gateway::ApplyEntryState(const Address& aFrom, const Peer& aPeer,
                              const direct::EntryState& aState)
{
  const TimePoint now = this->Now();
  PeerEntry& entry = this->peerEntries[aFrom.host];
  entry = PeerEntry{
    aFrom, now, aState.sentAtUs, aState.readsStore, entry.isContacted, aState.configVersion
  };
  this->knownEntries.insert(aFrom.host);
  this->quota.OnPeerUsage(now, aPeer, aState.usages);
  this->quota.OnWindowUsage(now, aState.windowUsages);
  if (aState.usageSavedAgeMs > 0) {
    this->quota.OnUsageSaved(now, now - milliseconds(aState.usageSavedAgeMs));
  }
  if (this->moves.OnPeerState(now, aPeer, aState.moves) && this->onNewerConfig) {
    this->onNewerConfig();
  }
  this->ApplyExcludedVersions();
  this->evacuations.OnPeerStates(now, aState.evacuations);
  this->ApplyEvacuations();
  this->dispatcher.OnLeaving(now, aState.leaving);
  this->dispatcher.OnSuspicions(now, aState.suspicions, direct::SuspectKind::kRequest);
  this->dispatcher.OnSuspicions(now, aState.partSuspicions, direct::SuspectKind::kPromptPart);
  TimePoint notBefore{ Duration(aState.echoUs) };
  if (notBefore > now) {
    // The echo predates a restart: after a power loss the VM's steady clock starts anew, so the age
    // is unknown.
    notBefore = now - kUnknownAge;
  }
  const bool isSame = aState.configVersion == this->freshness.Version();
  if (this->config != nullptr && isSame && !this->IsConfigOutdated()) {
    this->freshness.OnConfirmed(notBefore - milliseconds(aState.configAgeMs));
  }
  const bool isBehind =
    aState.configVersion > this->freshness.Version() || aState.storeEra > this->storeEra;
  if (isBehind && this->onNewerConfig) {
    this->onNewerConfig();
  }
  const TimePoint readAt = notBefore - milliseconds(aState.endpointsAgeMs);
  if (aState.endpointsHash == this->endpointsHash) {
    this->endpointsReadAt = std::max(this->endpointsReadAt, readAt);
  } else if (readAt > this->endpointsReadAt && this->onOtherEndpoints) {
    this->onOtherEndpoints();
  }
}

void Gateway::ApplyUsageWindow(const Address& aFrom, const direct::UsageWindow& aWindow)
{
  const TimePoint now = this->Now();
  if (!this->quota.KnowsWindow(now)) {
    LogEvent(LogLevel::kInfo, "quota_usage_received",
             { { "from", aFrom.host },
               { "accounts", std::to_string(aWindow.accounts.size()) },
               { "after_ms", std::to_string((now - this->startedAt) / milliseconds(1)) } });
    this->quota.OnPeerWindow(now, aWindow.accounts);
    this->SetQuotaLimits();
  }
}

// Restored usage is saved again before the first request of its account.
void Gateway::SetQuotaLimits()
{
  if (this->config == nullptr) {
    return;
  }
  for (const direct::AccountSpec& account : this->config->accounts) {
    this->quota.SetLimit(account.hash, account.quota);
  }
}

void Gateway::OnPeerMessagesDone()
{
  this->AfterInput();
}

void Gateway::RestoreUsage(const std::string& aBytes)
{
  direct::UsageSnapshot saved;
  Duration gap{};
  if (!aBytes.empty()) {
    std::optional<direct::UsageSnapshot> read = direct::DecodeUsageSnapshot(aBytes);
    if (!read) {
      LogEvent(LogLevel::kError, "saved_use_unreadable", {});
      return;
    }
    saved = std::move(*read);
    const caraway::Now now = this->clock.Read();
    gap = milliseconds(now.wall.time_since_epoch().count() - saved.savedAtMs) -
          (now.steady - this->startedAt);
    this->hasSavedUsage = !saved.accounts.empty();
  }
  LogEvent(
    LogLevel::kInfo, "quota_usage_restored",
    { { "accounts", std::to_string(saved.accounts.size()) },
      { "saved_before_start_ms", aBytes.empty() ? "" : std::to_string(gap / milliseconds(1)) },
      { "knows_window", this->quota.KnowsWindow(this->Now()) ? "true" : "false" } });
  this->quota.RestoreUsage(std::move(saved.accounts), gap);
  this->SetQuotaLimits();
}

void Gateway::RestoreSuspects(const std::vector<direct::SavedSuspicion>& aSaved)
{
  const std::int64_t wallMs = this->clock.Read().wall.time_since_epoch().count();
  for (const direct::SavedSuspicion& saved : aSaved) {
    Suspicion suspicion = saved.suspicion;
    suspicion.forgetAfter -= milliseconds(std::max<std::int64_t>(wallMs - saved.savedAtMs, 0));
    this->dispatcher.OnSuspicions(this->Now(), { suspicion }, saved.kind);
  }
  this->AfterInput();
}

void Gateway::SetQuotaStore(QuotaStore& aStore)
{
  this->quotaStore = &aStore;
  this->quota.LimitUnsavedUsage();
}

// Only the store reader saves, on behalf of all entries.
void Gateway::SaveQuotaUsage()
{
  this->saveTimer.ArmAfter(this->settings.savePeriod);
  this->SaveLostSuspicions();
  const caraway::Now now = this->clock.Read();
  if (this->quotaStore == nullptr || !this->IsStoreReader() || !this->quota.NeedsSave(now.steady)) {
    return;
  }
  const auto onSaved = [this, at = now.steady] { this->quota.OnUsageSaved(this->Now(), at); };
  const direct::UsageSnapshot hot{ now.wall.time_since_epoch().count(),
                                   this->quota.UsageToSave(now.steady) };
  if (!hot.accounts.empty() || this->hasSavedUsage) {
    this->hasSavedUsage = !hot.accounts.empty();
    this->quotaStore->SaveUsage(
      hot.accounts.empty() ? std::string() : direct::EncodeUsageSnapshot(hot), onSaved);
  } else {
    onSaved();
  }
}

// What entries wrote to the store may be lost.
void Gateway::RewriteLostState()
{
  const TimePoint now = this->Now();
  this->moves.OnLogRestored(now);
  this->quota.OnSavesLost(now);
  this->hasSavedUsage = true; // the copy may hold usage that has ended since
  this->areSuspicionsLost = true;
}

void Gateway::SetMoveOrder(const direct::MoveOrder& aOrder, bool aIsFresh)
{
  if (!this->moves.SetOrder(this->Now(), aOrder, aIsFresh)) {
    return;
  }
  LogEvent(LogLevel::kInfo, "move_ordered",
           { { "service", aOrder.service },
             { "version", aOrder.version },
             { "offset", std::to_string(aOrder.offset) },
             { "duration_ms", std::to_string(aOrder.duration / milliseconds(1)) },
             { "fresh", aIsFresh ? "true" : "false" } });
  this->ApplyExcludedVersions();
  this->SendStates();
}

void Gateway::OnRunEnd(const Flow& aFlow, const std::string& aVersion, bool aIsBad, Duration aTime)
{
  const std::uint64_t route = HashOf(aFlow.route->name);
  if (this->moves.OnRunEnd(aFlow.spec.service, route, aVersion, aIsBad, aTime)) {
    this->StepMoves();
  }
}

void Gateway::ApplyExcludedVersions()
{
  std::map<std::string, std::set<std::string>> excluded = this->moves.ExcludedVersions();
  if (excluded == this->excludedVersions) {
    return;
  }
  this->excludedVersions = std::move(excluded);
  std::string text;
  for (const auto& [service, versions] : this->excludedVersions) {
    for (const std::string& version : versions) {
      text += text.empty() ? "" : ",";
      text += service;
      text += '/';
      text += version;
    }
  }
  LogEvent(LogLevel::kInfo, "versions_excluded", { { "versions", text } });
  this->dispatcher.SetBannedVersions(this->Now(), this->excludedVersions);
}

void Gateway::LogMoveStages()
{
  for (const direct::StageChange& change : this->moves.TakeChanges()) {
    const direct::VersionEvidence& newRuns = change.evidence.newRuns;
    const direct::VersionEvidence& oldRuns = change.evidence.oldRuns;
    LogEvent(LogLevel::kInfo, "move_stage",
             { { "service", change.order.service },
               { "version", change.order.version },
               { "stage", std::string(ToString(change.stage)) },
               { "source", change.isOwn ? "own" : "told" },
               { "new_runs", std::to_string(newRuns.ended) },
               { "new_bad", std::to_string(newRuns.bad) },
               { "old_runs", std::to_string(oldRuns.ended) },
               { "old_bad", std::to_string(oldRuns.bad) } });
  }
}

// Any entry stops a failing version; only the store reader decides the other steps and records them
// in the log.
void Gateway::StepMoves()
{
  const auto running = [this](const auto& aService, const auto& aVersion) {
    return this->dispatcher.RunningElsewhere(aService, aVersion);
  };
  this->moves.Step(this->Now(), this->IsStoreReader(), running);
  this->LogMoveStages();
  this->ApplyExcludedVersions();
}

// Sends this entry's state, which the limits shared by all entries depend on, to other entries.
void Gateway::SendStates()
{
  const TimePoint now = this->Now();
  std::erase_if(this->peerEntries,
                [&](const auto& aRow) { return now - aRow.second.heardAt > this->EntryTimeout(); });
  // Contacts a formerly known entry again, so that entries recover from a network partition.
  if (!this->knownEntries.empty()) {
    auto known =
      std::next(this->knownEntries.begin(),
                static_cast<std::ptrdiff_t>(this->nextKnownEntry++ % this->knownEntries.size()));
    this->AddEntry(std::string(*known));
  }
  direct::EntryState state;
  state.configVersion = this->freshness.Version();
  state.storeEra = this->storeEra;
  state.configAgeMs = static_cast<std::uint32_t>(
    std::clamp<std::int64_t>(this->freshness.Age(now) / milliseconds(1), 0, 3600000));
  state.endpointsHash = this->endpointsHash;
  state.endpointsAgeMs = static_cast<std::uint32_t>(
    std::clamp<std::int64_t>(this->EndpointsAge() / milliseconds(1), 0, 3600000));
  state.readsStore = this->readsStore;
  state.moves = this->moves.States(now, [this](const auto& aService, const auto& aVersion) {
    return this->dispatcher.RunningElsewhere(aService, aVersion);
  });
  state.evacuations = this->evacuations.States(now);
  state.leaving = this->dispatcher.RecentlyLeaving(now);
  state.suspicions = this->dispatcher.SuspicionsToShare(now, direct::SuspectKind::kRequest);
  state.partSuspicions = this->dispatcher.SuspicionsToShare(now, direct::SuspectKind::kPromptPart);
  state.usageSavedAgeMs = static_cast<std::uint32_t>(
    std::clamp<std::int64_t>(this->quota.TimeSinceSave(now) / milliseconds(1), 0, 3600000));
  state.usages = this->quota.LocalUsage();
  // If all entries exchange states in every round, their own usage is as recent and exact.
  if (this->IsStoreReader() && this->StateRounds() > 1) {
    state.windowUsages = this->quota.WindowUsage(now);
  }
  if (this->config != nullptr) {
    state.sentAtUs = now.time_since_epoch().count();
    const bool isStoreReader = this->IsStoreReader();
    const auto reader = std::find_if(this->peerEntries.begin(), this->peerEntries.end(),
                                     [](const auto& aRow) { return aRow.second.readsStore; });
    std::size_t index = ++this->stateRound;
    int usageRequests = this->quota.KnowsWindow(now) ? 0 : kUsageRequestsPerRound;
    for (auto& [host, peer] : this->peerEntries) {
      // The store reader exchanges states with all entries in every round, so that its
      // confirmations keep their configuration fresh.
      const bool isItsTurn = index++ % this->StateRounds() == 0;
      const bool isToReader = reader != this->peerEntries.end() && host == reader->first;
      const bool isDue =
        this->hasUrgentState || isStoreReader || isToReader || isItsTurn || !peer.isContacted;
      if (isDue) {
        peer.isContacted = true;
        state.echoUs = peer.sentAtUs;
        this->net.Send(peer.address, state);
        if (peer.sentAtUs != 0 && usageRequests > 0) {
          usageRequests--;
          this->net.Send(peer.address, direct::UsageRequest{});
        }
      }
    }
  }
  this->hasUrgentState = false;
  this->StepMoves();
  this->UpdateOwners();
  this->ownedQueues.SendStates(now);
  this->quota.SetPeerTimeout(this->settings.statePeriod *
                             static_cast<std::int64_t>(this->StateRounds()) * 3);
  const std::uint32_t entryCount = this->quota.EntryCount(now);
  this->dispatcher.SetEntryCount(entryCount);
  this->moves.SetEntryCount(entryCount);
  this->net.Flush();
  this->stateTimer.ArmAfter(this->settings.statePeriod);
}

std::size_t Gateway::StateRounds() const
{
  const std::size_t entries = this->peerEntries.size() + 1;
  return (entries + this->settings.statesPerPeriod - 1) / this->settings.statesPerPeriod;
}

} // namespace caraway::gateway
