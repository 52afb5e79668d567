#include "core/entry_impl.h"

#include <algorithm>

namespace caraway {

namespace {

constexpr std::size_t kMaxKeptRecords = 1024;
constexpr std::size_t kAffinitySets = 4096;
constexpr Duration kMaxAffinityAge = std::chrono::minutes(5);
constexpr std::uint32_t kMaxSuspects = 4096;
constexpr Duration kSuspectRetention = std::chrono::minutes(10);

} // namespace

Entry::Impl::Impl(const EntryOptions& aOptions, const std::string& aName, Placement& aPlacement,
                  Random& aRandom, EntryPort& aPort)
  : options(aOptions)
  , name(aName)
  , placement(aPlacement)
  , random(aRandom)
  , port(aPort)
  , checker(aPort)
  , feed(kMaxKeptRecords)
  , claims(aOptions, NodeIdOf(aName))
  , moves(aOptions, aRandom, checker)
  , affinity(kAffinitySets, kMaxAffinityAge)
  , suspects(kMaxSuspects, kSuspectRetention)
  , snapshots(SnapshotOptions{}, aRandom)
{
}

void Entry::Impl::Note(Now aNow, EventKind aKind, const Pending& aPending, NodeId aPeer,
                       std::vector<EventField> aFields)
{
  Event event;
  event.time = aNow.steady;
  event.kind = aKind;
  event.request = aPending.submission.id;
  event.peer = aPeer;
  event.account = aPending.submission.account;
  event.subject = aPending.submission.pool;
  event.fields = std::move(aFields);
  this->checker.Note(event);
}

// Adds random jitter of up to half the delay, so that refused callers don't retry all at once.
Duration Entry::Impl::Jitter(Duration aBase)
{
  const Duration base = std::max(aBase, Duration(std::chrono::milliseconds(100)));
  const auto count = static_cast<std::uint64_t>(base.count());
  return base + Duration(static_cast<std::int64_t>(this->random.Below(count / 2 + 1)));
}

Pending* Entry::Impl::FindPending(const RequestId& aId)
{
  const auto alias = this->holderAliases.find(aId);
  const auto found = this->pending.find(alias == this->holderAliases.end() ? aId : alias->second);
  return found == this->pending.end() ? nullptr : &found->second;
}

// Finds the request if it is granted to aFrom.
Pending* Entry::Impl::FindGranted(const RequestId& aId, const Peer& aFrom)
{
  Pending* request = this->FindPending(aId);
  if (request == nullptr || request->phase != Phase::kGranted || !(request->agent == aFrom)) {
    return nullptr;
  }
  return request;
}

void Entry::Impl::RefuseNew(Now aNow, const Submission& aSubmission, Reason aReason,
                            Duration aRetryAfter)
{
  Pending request;
  request.submission = aSubmission;
  FinalAnswer answer;
  answer.outcome = Outcome::kNotRun;
  answer.reason = aReason;
  answer.retryAfter = aRetryAfter;
  this->Note(aNow, EventKind::kFinished, request, NodeId{},
             { Field("outcome", std::string(ToString(answer.outcome))),
               Field("reason", std::string(ToString(aReason))) });
  this->port.DeliverFinal(aSubmission.id, answer);
}

// Accepts a request, or refuses it at once when it cannot be served here.
void Entry::Impl::Submit(Now aNow, Submission aSubmission)
{
  if (this->leaving) {
    this->RefuseNew(aNow, aSubmission, Reason::kDraining, this->Jitter(kDefaultRetryDelay));
    return;
  }
  if (this->pending.size() >= this->options.maxRequests) {
    this->RefuseNew(aNow, aSubmission, Reason::kOverload, this->Jitter(kDefaultRetryDelay));
    return;
  }
  const std::uint32_t estimate = this->lengths.Estimate(
    aSubmission.account, aSubmission.route, aSubmission.promptTokens, aSubmission.maxTokens);
  if (const Account* account = this->feed.State().FindAccount(aSubmission.account)) {
    const auto entries = static_cast<std::uint32_t>(this->peers.Entries().size() + 1);
    const Duration wait =
      this->quotas.Take(aNow.steady, *account, entries, aSubmission.promptTokens + estimate);
    if (wait > Duration::zero()) {
      this->RefuseNew(aNow, aSubmission, Reason::kQuota, this->Jitter(wait));
      return;
    }
  }
  const RequestId id = aSubmission.id;
  Pending& request = this->pending[id];
  request.submission = std::move(aSubmission);
  request.estimate = estimate;
  request.acceptedAt = aNow.steady;
  request.startBy = aNow.steady + request.submission.startWithin;
  request.endBy = aNow.steady + request.submission.endWithin;
  this->Note(aNow, EventKind::kAccepted, request, NodeId{},
             { Field("tier", std::to_string(request.submission.tier)),
               Field("work", std::string(ToString(request.submission.kind))) });
  if (request.submission.kind == WorkKind::kOnce) {
    this->BeginClaim(aNow, request);
  } else {
    this->Place(aNow, request);
  }
}

// Adds a timer for the request's next deadline, unless an earlier timer is already set for it.
void Entry::Impl::ScheduleTimer(Pending& aPending)
{
  TimePoint next = aPending.startBy;
  if (aPending.phase == Phase::kGranted) {
    next = std::min(aPending.endBy, aPending.lastMessageAt + this->options.grantReplyWithin);
    next = std::min(next, aPending.resumableUntil);
  }
  if (next < aPending.nextTimerAt) {
    aPending.nextTimerAt = next;
    this->timers.push(DueTimer{ next, aPending.submission.id });
  }
}

void Entry::Impl::OnDeadline(Now aNow, Pending& aPending)
{
  if (aPending.phase == Phase::kGranted) {
    this->OnGrantedDeadline(aNow, aPending);
    return;
  }
  if (aNow.steady < aPending.startBy) {
    this->ScheduleTimer(aPending);
    return;
  }
  if (aPending.phase == Phase::kResuming) {
    this->FinalizeUnresolved(aNow, aPending, Reason::kEndpointLost);
    return;
  }
  const bool isQueryingHolder = aPending.phase == Phase::kQueryingHolder;
  const Outcome outcome = isQueryingHolder ? Outcome::kUnknown : Outcome::kNotRun;
  const Reason reason = isQueryingHolder ? Reason::kKeyInUse : Reason::kOverload;
  const Duration retryDelay =
    aPending.retryAfter > Duration::zero() ? aPending.retryAfter : this->Jitter(kDefaultRetryDelay);
  this->Finalize(aNow, aPending, FinalAnswer{ outcome, reason, retryDelay });
}

void Entry::Impl::OnGrantedDeadline(Now aNow, Pending& aPending)
{
  const NodeId agent = aPending.agent->node;
  const RequestId id = aPending.submission.id;
  const bool isOnce = aPending.submission.kind == WorkKind::kOnce;
  if (aNow.steady >= aPending.endBy || aNow.steady >= aPending.resumableUntil) {
    const bool isLate = aNow.steady >= aPending.endBy;
    const Reason reason = isLate ? Reason::kDeadline : Reason::kCallerGone;
    if (!isOnce) {
      this->port.Send(agent, Cancel{ id, reason });
    }
    this->FinalizeUnresolved(aNow, aPending, reason);
    return;
  }
  // A resumed answer has no deadline; it ends when no chunk has arrived for the grace time.
  const TimePoint stalledAt = aPending.lastProgressAt + this->options.resumeGrace;
  if (aPending.endBy == kNever && aNow.steady >= stalledAt) {
    this->FinalizeUnresolved(aNow, aPending, Reason::kStalled);
    return;
  }
  if (aNow.steady >= aPending.lastMessageAt + this->options.grantReplyWithin) {
    if (!aPending.isAgentLinked) {
      this->FinalizeUnresolved(aNow, aPending, Reason::kEndpointLost);
      return;
    }
    this->SendQuery(aNow, aPending, true);
    return;
  }
  this->ScheduleTimer(aPending);
}

void Entry::Impl::OnTimer(Now aNow)
{
  while (!this->timers.empty() && this->timers.top().time <= aNow.steady) {
    const DueTimer top = this->timers.top();
    this->timers.pop();
    const auto found = this->pending.find(top.id);
    if (found == this->pending.end() || found->second.nextTimerAt != top.time) {
      continue;
    }
    found->second.nextTimerAt = kNever;
    this->OnDeadline(aNow, found->second);
  }
  this->claims.OnTimer(aNow);
  this->ProcessClaimDecisions(aNow);
  this->FlushClaims(aNow);
  this->moves.OnTimer(aNow);
  this->ApplyMoveActions(aNow);
  if (this->tailDueAt <= aNow.steady) {
    this->SendTails(aNow);
  }
  this->WriteSnapshot(aNow);
}

TimePoint Entry::Impl::NextTimer() const
{
  TimePoint next = this->timers.empty() ? kNever : this->timers.top().time;
  next = std::min(next, this->claims.NextTimer());
  next = std::min(next, this->moves.NextTimer());
  next = std::min(next, this->snapshots.NextTimer());
  return std::min(next, this->tailDueAt);
}

void Entry::Impl::BeginLeaving(Now aNow)
{
  this->leaving = true;
  this->checker.OnLeaving(aNow);
  Event event;
  event.time = aNow.steady;
  event.kind = EventKind::kLeaving;
  event.subject = this->name;
  event.fields = { Field("open", std::to_string(this->pending.size())) };
  this->checker.Note(event);
}

std::string Entry::Impl::StatusJson(Now aNow) const
{
  nlohmann::json status;
  status["name"] = this->name;
  status["role"] = "entry";
  status["leaving"] = this->leaving;
  status["config_offset"] = this->feed.Next();
  status["requests"] = this->pending.size();
  status["moves"] = nlohmann::json::parse(this->moves.StatusJson(aNow), nullptr, false);
  nlohmann::json& list = status["peers"] = nlohmann::json::array();
  for (const auto& [node, state] : this->peers.All()) {
    list.push_back({ { "name", state.hello.name },
                     { "role", state.hello.role == Role::kAgent ? "agent" : "entry" },
                     { "pool", state.hello.pool },
                     { "version", state.hello.version },
                     { "leaving", state.hello.leaving },
                     { "failure_domain", state.hello.failureDomain },
                     { "free_slots", state.hello.freeSlots },
                     { "tokens_per_second", state.hello.tokensPerSecond },
                     { "reserved", state.reserved },
                     { "config_offset", state.hello.configOffset } });
  }
  return status.dump();
}

Entry::Entry(const EntryOptions& aOptions, const std::string& aName, Placement& aPlacement,
             Random& aRandom, EntryPort& aPort)
  : impl(std::make_unique<Impl>(aOptions, aName, aPlacement, aRandom, aPort))
{
}

Entry::~Entry() = default;

void Entry::OnSubmit(Now aNow, Submission aSubmission)
{
  this->impl->Submit(aNow, std::move(aSubmission));
}

void Entry::OnResume(Now aNow, const RequestId& aId, const std::string& aAccount,
                     std::uint32_t aNextChunk, std::optional<NodeId> aAgent)
{
  this->impl->Resume(aNow, aId, aAccount, aNextChunk, aAgent);
}

void Entry::OnCallerGone(Now aNow, const RequestId& aId, bool aMayResume)
{
  this->impl->OnCallerGone(aNow, aId, aMayResume);
}

void Entry::OnPeerUp(Now aNow, Peer aPeer, const Hello& aHello)
{
  this->impl->OnPeerUp(aNow, aPeer, aHello);
}

void Entry::OnPeerDown(Now aNow, NodeId aNode)
{
  this->impl->OnPeerDown(aNow, aNode);
}

void Entry::OnMessage(Now aNow, Peer aFrom, const Message& aMessage)
{
  this->impl->OnMessage(aNow, aFrom, aMessage);
}

void Entry::OnLogRecords(Now aNow, const std::vector<LogRecord>& aRecords)
{
  this->impl->OnLogRecords(aNow, aRecords);
}

void Entry::OnLogOldest(Now aNow, LogOffset aOldest)
{
  this->impl->OnLogOldest(aNow, aOldest);
}

void Entry::OnAppended(Now aNow, std::uint64_t aToken, AppendResult aResult, LogOffset aFirst)
{
  this->impl->OnAppended(aNow, aToken, aResult, aFirst);
}

void Entry::OnTimer(Now aNow)
{
  this->impl->OnTimer(aNow);
}

TimePoint Entry::NextTimer() const
{
  return this->impl->NextTimer();
}

void Entry::BeginLeaving(Now aNow)
{
  this->impl->BeginLeaving(aNow);
}

bool Entry::Idle() const
{
  return this->impl->pending.empty();
}

bool Entry::Owns(const RequestId& aId) const
{
  return this->impl->pending.contains(aId);
}

std::optional<NodeId> Entry::AgentOf(const RequestId& aId) const
{
  const auto found = this->impl->pending.find(aId);
  if (found == this->impl->pending.end() || !found->second.agent) {
    return std::nullopt;
  }
  return found->second.agent->node;
}

const ConfigState& Entry::Config() const
{
  return this->impl->feed.State();
}

std::string Entry::StatusJson(Now aNow) const
{
  return this->impl->StatusJson(aNow);
}

} // namespace caraway
