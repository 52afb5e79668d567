#include "gateway/gateway.h"

#include "gateway/flow.h"
#include "runtime/log.h"

#include <algorithm>
#include <cstdio>
#include <utility>

namespace caraway::gateway {

using direct::CallNumber;
using direct::DirectMessage;

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr Duration kDefaultDeadline = seconds(60); // if neither caller nor route sets one
// Crashes during one request before it is told at once and saved in the platform's store. A single
// crash has many bystanders, which are soon cleared.
constexpr std::size_t kMinCrashesToPersist = 2;

std::string_view ReasonPhrase(std::uint16_t aStatus)
{
  switch (aStatus) {
    case 400:
      return "Bad Request";
    case 401:
      return "Unauthorized";
    case 404:
      return "Not Found";
    case 429:
      return "Too Many Requests";
    case 502:
      return "Bad Gateway";
    case 503:
      return "Service Unavailable";
    case 504:
      return "Gateway Timeout";
    default:
      return "Error";
  }
}

// Formats seconds with three decimals, the form of Retry-After on this platform.
std::string SecondsText(Duration aTime)
{
  char text[32];
  std::snprintf(text, sizeof(text), "%.3f", std::chrono::duration<double>(aTime).count());
  return text;
}

std::string MillisecondsText(Duration aTime)
{
  return std::to_string(aTime / milliseconds(1));
}

std::size_t UnclearedCrashes(const Suspicion& aSuspicion)
{
  return static_cast<std::size_t>(
    std::count_if(aSuspicion.crashes.begin(), aSuspicion.crashes.end(),
                  [](const SuspectedCrash& aCrash) { return !aCrash.isCleared; }));
}

std::uint64_t FingerprintOf(const CallerRequest& aRequest, const direct::AccountSpec* aAccount,
                            std::string_view aBody)
{
  const std::uint64_t caller = aAccount == nullptr ? HashOf(aRequest.host) : HashOf(aAccount->name);
  return HashOf(aBody, HashOf(aRequest.target, HashOf(aRequest.method, caller)));
}

} // namespace

Gateway::Gateway(const GatewaySettings& aSettings, const Peer& aSelf, Poller& aPoller,
                 const Clock& aClock, Random& aRandom, const ProtocolAdapter& aProtocol)
  : settings(aSettings)
  , self(aSelf)
  , poller(aPoller)
  , clock(aClock)
  , startedAt(aClock.Read().steady)
  , random(aRandom)
  , protocol(aProtocol)
  , budget(aSettings.budget, aClock.Read().steady)
  , quota(aSettings.quota, aClock.Read().steady)
  , dispatcher(aSettings.dispatch, aSelf, aSettings.failureDomain, aRandom, this->budget, *this)
  , pool(aPoller, aClock)
  , net(aPoller, aSelf, *this)
  , memory(std::make_shared<MemoryAccount>(aSettings.memoryBytes))
  , server(aPoller, aClock, *this, this->memory)
  , freshness(aSettings.storeRewriteTime)
  , ownedQueues(aSettings.ownedQueues, *this)
  , timer([this] {
    this->armedFor = kNever;
    this->dispatcher.OnTimer(this->Now());
    this->ownedQueues.OnTimer(this->Now());
    this->AfterInput();
  })
  , stateTimer([this] {
    this->evacuations.Step(this->Now(), this->readsStore);
    this->ApplyEvacuations();
    this->SendStates();
  })
  , leaveTimer([this] {
    this->isClosed = true;
    this->server.StopListening();
  })
  , saveTimer([this] { this->SaveQuotaUsage(); })
{
  if (aSettings.maxDescriptors > 0) {
    this->server.SetMaxConnections(MaxConnectionsOf(aSettings.maxDescriptors));
  }
  aPoller.AddBatchHook([this] { this->endedFlows.clear(); });
}

Gateway::~Gateway() = default;

std::error_code Gateway::Start()
{
  if (const std::error_code error = this->net.Bind(this->settings.peerListen)) {
    return error;
  }
  if (const std::error_code error = this->server.Listen(this->settings.listen)) {
    return error;
  }
  this->SendStates();
  this->saveTimer.ArmAfter(this->settings.savePeriod);
  this->AfterInput();
  return {};
}

void Gateway::SetConfig(std::uint64_t aOffset, std::shared_ptr<const direct::ServiceConfig> aConfig)
{
  if (this->config != nullptr && aConfig->version <= this->config->version) {
    if (aConfig->version < this->config->version) {
      LogEvent(LogLevel::kWarning, "config_older_ignored",
               { { "version", std::to_string(aConfig->version) },
                 { "offset", std::to_string(aOffset) },
                 { "in_force", std::to_string(this->config->version) } });
    }
    return;
  }
  this->config = std::move(aConfig);
  this->freshness.SetActive(this->config->version);
  this->isConfigUnannounced = true;
  const direct::CallerLimits& limits = this->config->limits;
  this->server.SetLimits(
    { limits.headBytes, limits.bodyBytes, limits.headTimeout, limits.idleTimeout });
  LogEvent(LogLevel::kInfo, "config",
           { { "version", std::to_string(this->config->version) },
             { "offset", std::to_string(aOffset) },
             { "routes", std::to_string(this->config->routes.size()) },
             { "queue_orders", this->config->Orders().Describe() } });
  this->SetQuotaLimits();
  this->SetEndpoints(std::map<std::string, direct::EndpointInfo>(this->endpoints));
}

// Announces a newer configuration to the other entries at once, so that they read the store.
void Gateway::ConfirmConfig(std::uint64_t aVersion, TimePoint aAskedAt)
{
  if (this->config == nullptr || aVersion > this->config->version) {
    return;
  }
  if (!this->IsConfigOutdated()) {
    this->freshness.OnConfirmed(aAskedAt);
  }
  if (this->isConfigUnannounced) {
    this->isConfigUnannounced = false;
    this->SendStates();
  }
}

void Gateway::SetStoreEra(std::uint64_t aEra)
{
  if (this->storeEra == 0 && aEra != 0) {
    this->denialsHeldUntil = this->Now() + this->settings.denialDelay;
  }
  this->storeEra = aEra;
}

void Gateway::OnStoreRestored()
{
  this->metrics.CountStoreRestore();
  this->freshness.OnRestored(this->Now());
  this->evacuations.OnLogRestored();
  this->denialsHeldUntil = this->Now() + this->settings.denialDelay;
  this->RewriteLostState();
}

void Gateway::SetEndpoints(const std::map<std::string, direct::EndpointInfo>& aAll)
{
  this->endpoints = aAll;
  this->SetColdLimits();
  const std::uint64_t hash = direct::HashOf(aAll);
  const bool hasChanged = hash != this->endpointsHash;
  this->endpointsHash = hash;
  const auto hasAgents = [this](const std::string& aService) {
    const direct::ServiceSpec* service =
      this->config == nullptr ? nullptr : this->config->FindService(aService);
    return service != nullptr && service->engineSlots > 0;
  };
  this->moves.SetEndpoints(this->endpoints, this->evacuations.Domains());
  this->ownedQueues.SetEndpoints(this->Now(), this->endpoints, hasAgents);
  this->dispatcher.SetEndpoints(this->Now(), this->endpoints, hasAgents);
  this->ApplyExcludedVersions();
  this->UpdateOwners();
  if (hasChanged) {
    this->SendStates();
  }
  this->AfterInput();
}

void Gateway::ConfirmEndpoints(TimePoint aAskedAt)
{
  this->endpointsReadAt = std::max(this->endpointsReadAt, aAskedAt);
}

void Gateway::SetHooks(std::function<void()> aOnNewerConfig,
                       std::function<void()> aOnOtherEndpoints)
{
  this->onNewerConfig = std::move(aOnNewerConfig);
  this->onOtherEndpoints = std::move(aOnOtherEndpoints);
}

bool Gateway::IsReady() const
{
  return !this->isLeaving && this->config != nullptr && !this->IsConfigSuperseded() &&
         !this->endpoints.empty() &&
         this->freshness.Age(this->Now()) < this->settings.maxReadyConfigAge;
}

void Gateway::BeginLeaving()
{
  if (!this->isLeaving) {
    this->isLeaving = true;
    this->server.BeginLeaving();
    this->leaveTimer.ArmAfter(this->settings.leaveNotice);
    this->dispatcher.SetEnd(this->Now(), this->Now() + this->settings.shutdownTime);
    this->AfterInput();
  }
}

void Gateway::OnRequest(const std::shared_ptr<IngressExchange>& aExchange, IngressRequest aRequest)
{
  const CallNumber number = ++this->lastCall;
  this->metrics.CountRequest();
  const auto place = this->flows.emplace(
    number, std::make_unique<Flow>(*this, number, aExchange, std::move(aRequest)));
  this->flowByExchange[aExchange.get()] = number;
  Flow& flow = *place.first->second;
  const RequestHead head = std::move(flow.ingress.head);
  if (this->ReadHead(flow, head) && this->CheckReady(flow) && this->FindRoute(flow) &&
      this->Authenticate(flow) && this->TakeQuota(flow)) {
    this->Submit(flow);
  }
  this->AfterInput();
}

bool Gateway::ReadHead(Flow& aFlow, const RequestHead& aHead)
{
  std::optional<CallerRequest> request = this->protocol.ReadRequest(aHead);
  if (!request) {
    this->Refuse(aFlow, 400, "malformed", Duration::zero());
    return false;
  }
  aFlow.request = std::move(*request);
  return true;
}

bool Gateway::CheckReady(Flow& aFlow)
{
  if (this->isClosed) {
    this->Refuse(aFlow, 503, "leaving", this->settings.retryWhenLeaving);
    return false;
  }
  if (this->config == nullptr) {
    this->Refuse(aFlow, 503, "no_config", this->settings.retryWhenNotReady);
    return false;
  }
  if (this->IsConfigSuperseded()) {
    this->Refuse(aFlow, 503, "older_config", this->settings.retryWhenNotReady);
    return false;
  }
  aFlow.config = this->config;
  return true;
}

bool Gateway::IsConfigOutdated() const
{
  return std::any_of(this->peerEntries.begin(), this->peerEntries.end(), [this](const auto& aRow) {
    return aRow.second.configVersion > this->freshness.Version();
  });
}

// After a restore or a start, the store may have shown a configuration that was replaced long ago.
bool Gateway::IsConfigSuperseded() const
{
  return this->Now() < this->denialsHeldUntil && this->IsConfigOutdated();
}

bool Gateway::MayDeny() const
{
  return this->ConfigAge() < this->settings.maxDenialConfigAge &&
         this->Now() >= this->denialsHeldUntil && !this->IsConfigOutdated();
}

// A definite denial for an unknown route or key requires a recently confirmed configuration;
// otherwise the caller is asked to retry.
bool Gateway::FindRoute(Flow& aFlow)
{
  aFlow.route = aFlow.config->FindRoute(aFlow.request.host, aFlow.request.target);
  if (aFlow.route != nullptr) {
    return true;
  }
  this->Refuse(aFlow, this->MayDeny() ? 404 : 503, "no_route", this->settings.retryWhenNotReady);
  return false;
}

bool Gateway::Authenticate(Flow& aFlow)
{
  if (!aFlow.config->hasAccounts || aFlow.route->isPublic) {
    return true;
  }
  if (this->ConfigAge() >= this->settings.maxKeyConfigAge) {
    this->Refuse(aFlow, 503, "stale_keys", this->settings.retryWhenNotReady);
    return false;
  }
  aFlow.account = aFlow.config->FindAccount(aFlow.request.key);
  if (aFlow.account != nullptr) {
    return true;
  }
  this->Refuse(aFlow, this->MayDeny() ? 401 : 503, "unknown_key", this->settings.retryWhenNotReady);
  return false;
}

void Gateway::Submit(Flow& aFlow)
{
  const direct::Route& route = *aFlow.route;
  direct::CallSpec& spec = aFlow.spec;
  spec.number = aFlow.number;
  spec.kind = route.kind;
  spec.isResumable = route.isResumable;
  spec.tier = aFlow.account != nullptr && aFlow.account->tier ? *aFlow.account->tier : route.tier;
  spec.rank = route.tier;
  spec.maxRuns = route.maxRuns;
  spec.objective = route.objective;
  spec.arrived = aFlow.ingress.readAt;
  spec.promptTokens = aFlow.request.promptTokens;
  spec.outputTokens = aFlow.request.outputTokens;
  spec.subject = aFlow.request.subject;
  spec.promptParts = aFlow.request.promptParts;
  spec.fingerprint = FingerprintOf(aFlow.request, aFlow.account, aFlow.ingress.body);
  spec.regions = direct::IntersectRegions(
    route.regions, aFlow.account == nullptr ? std::vector<std::string>() : aFlow.account->regions);
  const Duration byRoute = route.timeout > Duration::zero() ? route.timeout : kDefaultDeadline;
  const Duration byCaller = aFlow.request.timeLeft.value_or(kDefaultDeadline);
  spec.deadline = std::min(aFlow.ingress.readAt + byRoute, aFlow.ingress.firstByteAt + byCaller);
  double total = 0;
  for (const direct::ServiceWeight& part : route.services) {
    total += part.weight;
  }
  double drawn = this->random.Unit() * total;
  for (const direct::ServiceWeight& part : route.services) {
    spec.service = part.service;
    drawn -= part.weight;
    if (drawn < 0) {
      break;
    }
  }
  if (aFlow.account != nullptr && aFlow.account->weight > 0) {
    spec.account = static_cast<std::uint32_t>(aFlow.account->hash);
    spec.accountWeight = aFlow.account->weight;
  }
  spec.order = aFlow.config->Orders().Of(spec.service);
  this->moves.ChooseVersions(this->Now(), spec);
  this->dispatcher.Submit(this->Now(), spec);
}

void Gateway::OnCallerGone(IngressExchange& aExchange)
{
  const auto found = this->flowByExchange.find(&aExchange);
  if (found == this->flowByExchange.end()) {
    return;
  }
  Flow& flow = *this->flows.at(found->second);
  this->metrics.CountCallerGone();
  const Duration waited = this->Now() - flow.ingress.readAt;
  LogEvent(LogLevel::kInfo, "caller_gone",
           { { "request", flow.request.id }, { "after_ms", MillisecondsText(waited) } });
  flow.StopAttempt();
  this->dispatcher.Cancel(this->Now(), flow.number);
  this->Remove(flow);
  this->AfterInput();
}

void Gateway::StartAttempt(CallNumber aCall, const direct::EndpointInfo& aEndpoint)
{
  const auto found = this->flows.find(aCall);
  if (found != this->flows.end()) {
    const Flow& flow = *found->second;
    const Duration waited = this->Now() - flow.ingress.readAt;
    this->metrics.ObserveWait(flow.spec.rank, waited);
    LogEvent(LogLevel::kInfo, "sent",
             { { "request", flow.request.id },
               { "call", std::to_string(aCall) },
               { "fingerprint", std::to_string(flow.spec.fingerprint) },
               { "parts", HexList(flow.spec.promptParts) },
               { "trial", this->dispatcher.IsTrial(aCall) ? "true" : "false" },
               { "attempt", std::to_string(this->dispatcher.AttemptsOf(aCall)) },
               { "endpoint", aEndpoint.id },
               { "born_ms", std::to_string(aEndpoint.bornMs) },
               { "address", FormatAddress({ aEndpoint.host, aEndpoint.port }) },
               { "version", aEndpoint.version },
               { "route", flow.route->name },
               { "rank", std::to_string(flow.spec.rank) },
               { "waited_ms", MillisecondsText(waited) },
               { "left_ms", MillisecondsText(flow.spec.deadline - this->Now()) },
               { "config_version", std::to_string(flow.config->version) },
               { "endpoints_age_ms", MillisecondsText(this->EndpointsAge()) },
               { "state", this->dispatcher.StateOf(this->Now(), aEndpoint.id) } });
    found->second->Start(aEndpoint);
  }
}

// Applies what a response says about its endpoint, and informs the other entries if it is leaving.
void Gateway::ApplyNotice(CallNumber aCall, const direct::EndpointNotice& aNotice,
                          TimePoint aSentAt)
{
  const direct::EndpointInfo* found = this->dispatcher.EndpointOf(aCall);
  if (found == nullptr) {
    return;
  }
  const direct::EndpointInfo endpoint = *found;
  if (!this->dispatcher.OnNotice(this->Now(), endpoint.id, aNotice, aSentAt)) {
    return;
  }
  LogEvent(LogLevel::kInfo, "endpoint_notice",
           { { "endpoint", endpoint.id },
             { "born_ms", std::to_string(endpoint.bornMs) },
             { "leaving", aNotice.isLeaving ? "true" : "false" },
             { "rest_ms", MillisecondsText(aNotice.rest) } });
  if (aNotice.isLeaving) {
    this->SendStates();
  }
}

void Gateway::OnNamedRate(const direct::EndpointInfo& aEndpoint, std::optional<double> aPerSecond,
                          std::string_view aSource)
{
  LogEvent(LogLevel::kInfo, "endpoint_rate",
           { { "endpoint", aEndpoint.id },
             { "born_ms", std::to_string(aEndpoint.bornMs) },
             { "per_s", aPerSecond ? std::to_string(*aPerSecond) : "none" },
             { "source", std::string(aSource) },
             { "state", this->dispatcher.StateOf(this->Now(), aEndpoint.id) } });
}

void Gateway::GiveUp(CallNumber aCall, direct::GiveUpReason aReason, Duration aRetryAfter)
{
  const auto found = this->flows.find(aCall);
  if (found != this->flows.end()) {
    found->second->EndWithoutAnswer(aReason, this->isLeaving ? this->settings.retryWhenLeaving
                                                             : aRetryAfter);
  }
}

void Gateway::SendToAgent(const std::string& aHost, const DirectMessage& aMessage)
{
  this->net.Send(Address{ aHost, this->settings.agentPort }, aMessage);
}

void Gateway::SendToOwner(const std::string& aHost, const direct::QueueEnvelope& aMessage)
{
  this->net.Send(this->AddressOf(aHost), aMessage);
}

void Gateway::SendFromOwnedQueue(const Address& aEntry, const direct::QueueEnvelope& aMessage)
{
  this->net.Send(aEntry, aMessage);
}

void Gateway::OnQueueChange(const direct::EndpointInfo& aEndpoint, std::string_view aKind,
                            bool aIsLive, Duration aSilence)
{
  LogEvent(aIsLive ? LogLevel::kInfo : LogLevel::kWarning, aIsLive ? "queue_heard" : "queue_silent",
           { { "endpoint", aEndpoint.id },
             { "queue", std::string(aKind) },
             { "address", aEndpoint.host },
             { "silent_ms", aIsLive ? "" : MillisecondsText(aSilence) } });
}

void Gateway::ProbeEndpoint(const direct::EndpointInfo& aEndpoint)
{
  const auto [place, isNew] = this->probes.try_emplace(aEndpoint.id);
  if (!isNew) {
    return;
  }
  place->second = std::make_unique<ConnectProbe>(
    this->poller, [this, id = aEndpoint.id, bornMs = aEndpoint.bornMs](bool aIsListening) {
      this->probes.erase(id);
      this->dispatcher.OnProbe(this->Now(), id, bornMs, aIsListening);
      this->AfterInput();
    });
  place->second->Start({ aEndpoint.host, aEndpoint.port }, this->settings.probeTimeout);
}

void Gateway::OnEndpointDied(const direct::EndpointInfo& aEndpoint, std::string_view aEvidence,
                             std::size_t aLost)
{
  LogEvent(LogLevel::kWarning, "endpoint_died",
           { { "endpoint", aEndpoint.id },
             { "born_ms", std::to_string(aEndpoint.bornMs) },
             { "evidence", std::string(aEvidence) },
             { "lost", std::to_string(aLost) } });
}

// A suspect found by this entry with enough crashes is sent to all entries at once and saved in the
// store.
void Gateway::OnSuspect(const direct::SuspectUpdate& aNews)
{
  const bool isRefused = aNews.verdict == Verdict::kRefused;
  const bool isPart = aNews.kind == direct::SuspectKind::kPromptPart;
  if (aNews.isLocal || isRefused) {
    LogEvent(isRefused ? LogLevel::kWarning : LogLevel::kInfo, "suspect",
             { { "kind", isPart ? "part" : "request" },
               { "fingerprint", isPart ? HexList({ aNews.suspicion.fingerprint })
                                       : std::to_string(aNews.suspicion.fingerprint) },
               { "crashes", std::to_string(aNews.suspicion.crashes.size()) },
               { "uncleared", std::to_string(UnclearedCrashes(aNews.suspicion)) },
               { "refused", isRefused ? "true" : "false" },
               { "source", aNews.isLocal ? "own" : "told" },
               { "forget_ms", MillisecondsText(aNews.suspicion.forgetAfter) } });
  }
  // A part that is no longer refused is told too. Other parts are cleared by the next answer.
  const bool isImportant =
    isPart ? isRefused || aNews.wasRefused : aNews.suspicion.crashes.size() >= kMinCrashesToPersist;
  if (!aNews.isLocal || !isImportant) {
    return;
  }
  this->hasUrgentState = true;
  if (this->suspectStore != nullptr) {
    this->suspectStore->SaveSuspicion(
      { aNews.kind, this->clock.Read().wall.time_since_epoch().count(), aNews.suspicion });
  }
}

// The store reader saves again what is known to any entry.
void Gateway::SaveLostSuspicions()
{
  if (!this->areSuspicionsLost || this->suspectStore == nullptr || !this->IsStoreReader()) {
    return;
  }
  this->areSuspicionsLost = false;
  const caraway::Now now = this->clock.Read();
  std::size_t savedCount = 0;
  for (const auto kind : { direct::SuspectKind::kRequest, direct::SuspectKind::kPromptPart }) {
    for (const Suspicion& suspicion : this->dispatcher.SuspicionsToShare(now.steady, kind)) {
      if (suspicion.crashes.size() >= kMinCrashesToPersist) {
        savedCount++;
        this->suspectStore->SaveSuspicion({ kind, now.wall.time_since_epoch().count(), suspicion });
      }
    }
  }
  LogEvent(LogLevel::kInfo, "suspicions_saved_again", { { "count", std::to_string(savedCount) } });
}

// Answers a request with a status generated by the gateway.
void Gateway::Refuse(Flow& aFlow, std::uint16_t aStatus, std::string_view aCause,
                     Duration aRetryAfter)
{
  HeaderFields fields = this->protocol.GeneratedFields(&aFlow.request);
  const bool hasRetry = (aStatus == 429 || aStatus == 503) && aRetryAfter > Duration::zero();
  if (hasRetry) {
    fields.push_back({ "Retry-After", SecondsText(aRetryAfter) });
  }
  fields.push_back({ "Content-Type", "application/json" });
  const std::string body = "{\"error\":\"" + std::string(aCause) + "\"}";
  LogEvent(
    LogLevel::kInfo, "refused",
    { { "request", aFlow.request.id },
      { "status", std::to_string(aStatus) },
      { "cause", std::string(aCause) },
      { "route", aFlow.route == nullptr ? "" : aFlow.route->name },
      { "account", aFlow.account == nullptr ? "" : aFlow.account->name },
      { "after_ms", MillisecondsText(this->Now() - aFlow.ingress.readAt) },
      { "retry_after_ms", MillisecondsText(aRetryAfter) },
      { "may_have_run", aFlow.mayHaveRun ? "true" : "false" },
      { "config_version", std::to_string(this->config == nullptr ? 0 : this->config->version) },
      { "config_age_ms", this->config == nullptr ? "" : MillisecondsText(this->ConfigAge()) },
      { "waiting", std::to_string(this->dispatcher.CallCount()) } });
  this->metrics.CountRefusal(aStatus, aCause);
  aFlow.exchange->Respond(aStatus, ReasonPhrase(aStatus), fields, body);
  this->Remove(aFlow);
}

void Gateway::OnNoRoom(IngressExchange& aExchange, const RequestHead& aHead)
{
  const std::optional<CallerRequest> request = this->protocol.ReadRequest(aHead);
  HeaderFields fields = this->protocol.GeneratedFields(request ? &*request : nullptr);
  fields.push_back({ "Retry-After", SecondsText(this->settings.retryWhenNotReady) });
  LogEvent(LogLevel::kInfo, "refused",
           { { "request", request ? request->id : "" },
             { "status", "503" },
             { "cause", "no_room" },
             { "retry_after_ms", MillisecondsText(this->settings.retryWhenNotReady) },
             { "waiting", std::to_string(this->dispatcher.CallCount()) } });
  this->metrics.CountRefusal(503, "no_room");
  aExchange.Respond(503, ReasonPhrase(503), fields, "{\"error\":\"no_room\"}");
}

// Removes a request that has ended. The object is destroyed after the current event loop turn, as
// its member functions may still be on the call stack.
void Gateway::Remove(Flow& aFlow)
{
  if (aFlow.isOver) {
    return;
  }
  aFlow.isOver = true;
  if (!aFlow.mayHaveRun) {
    this->ReturnQuota(aFlow);
  }
  this->flowByExchange.erase(aFlow.exchange.get());
  const auto found = this->flows.find(aFlow.number);
  this->endedFlows.push_back(std::move(found->second));
  this->flows.erase(found);
}

std::string Gateway::MetricsText()
{
  this->metrics.SetConfig(this->config == nullptr ? 0 : this->config->version, this->ConfigAge());
  this->metrics.SetStoreEra(this->storeEra);
  this->metrics.SetEndpoints(this->endpoints.size(), this->EndpointsAge());
  this->metrics.SetOpenRequests(this->flows.size());
  this->metrics.SetSuspects(this->dispatcher.SuspectCount());
  this->metrics.SetLimitedEndpoints(this->dispatcher.LimitedEndpointCount());
  this->metrics.SetEvacuatedDomains(this->evacuations.Domains().size());
  this->metrics.SetColdEndpoints(this->dispatcher.ColdEndpointCount());
  this->metrics.SetLogLinesDropped(DroppedLogLines());
  this->metrics.SetConnections(*this->memory, this->server.ConnectionCount(),
                               this->server.Refusals());
  return this->metrics.Text();
}

// Called after every input: sends pending messages and arms the timer.
void Gateway::AfterInput()
{
  if (this->hasUrgentState) {
    this->SendStates();
  }
  this->net.Flush();
  const TimePoint next =
    std::min(this->dispatcher.NextTimer(), this->ownedQueues.NextTimer(this->Now()));
  if (next < this->armedFor) {
    this->armedFor = next;
    this->timer.ArmAfter(next - this->Now());
  }
}

} // namespace caraway::gateway
