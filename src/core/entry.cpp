#include "core/entry_impl.h"

#include <algorithm>

namespace caraway {

namespace {

constexpr std::size_t kKeptRecords = 1024;
constexpr std::size_t kAffinitySets = 4096;
constexpr Duration kAffinityAge = std::chrono::minutes(5);
constexpr std::uint32_t kMaxSuspects = 4096;
constexpr Duration kSuspectTime = std::chrono::minutes(10);

} // namespace

Entry::Impl::Impl(const EntryOptions& aOptions, const std::string& aName, Placement& aPlacement,
                  Random& aRandom, EntryPort& aPort)
  : options(aOptions)
  , name(aName)
  , placement(aPlacement)
  , random(aRandom)
  , port(aPort)
  , checker(aPort)
  , feed(kKeptRecords)
  , claims(aOptions, NodeIdOf(aName))
  , moves(aOptions, aRandom, checker)
  , affinity(kAffinitySets, kAffinityAge)
  , suspects(kMaxSuspects, kSuspectTime)
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

// Spreads callers that come back, so that they don't return all at once.
Duration Entry::Impl::Jitter(Duration aBase)
{
  const Duration base = std::max(aBase, Duration(std::chrono::milliseconds(100)));
  const auto count = static_cast<std::uint64_t>(base.count());
  return base + Duration(static_cast<std::int64_t>(this->random.Below(count / 2 + 1)));
}

Pending* Entry::Impl::FindPending(const RequestId& aId)
{
  const auto alias = this->aliases.find(aId);
  const auto found = this->pending.find(alias == this->aliases.end() ? aId : alias->second);
  return found == this->pending.end() ? nullptr : &found->second;
}

// The request, if aFrom is the agent that it was granted to.
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
  this->port.PassFinal(aSubmission.id, answer);
}

// Accepts a request, or refuses it at once when it cannot be served here.
void Entry::Impl::Submit(Now aNow, Submission aSubmission)
{
  if (this->leaving) {
    this->RefuseNew(aNow, aSubmission, Reason::kDraining, this->Jitter(kDefaultRetry));
    return;
  }
  if (this->pending.size() >= this->options.maxRequests) {
    this->RefuseNew(aNow, aSubmission, Reason::kOverload, this->Jitter(kDefaultRetry));
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

// Puts the request's next deadline into the heap unless an earlier one of it is there.
void Entry::Impl::Schedule(Pending& aPending)
{
  TimePoint next = aPending.startBy;
  if (aPending.phase == Phase::kGranted) {
    next = std::min(aPending.endBy, aPending.lastHeard + this->options.grantReplyWithin);
    next = std::min(next, aPending.keepUntil);
  }
  if (next < aPending.nextTimer) {
    aPending.nextTimer = next;
    this->due.push(Due{ next, aPending.submission.id });
  }
}

void Entry::Impl::Deadline(Now aNow, Pending& aPending)
{
  if (aPending.phase == Phase::kGranted) {
    this->DeadlineGranted(aNow, aPending);
    return;
  }
  if (aNow.steady < aPending.startBy) {
    this->Schedule(aPending);
    return;
  }
  if (aPending.phase == Phase::kResuming) {
    this->AgentUnreachable(aNow, aPending, Reason::kEndpointLost);
    return;
  }
  const bool asking = aPending.phase == Phase::kAsking;
  const Outcome outcome = asking ? Outcome::kUnknown : Outcome::kNotRun;
  const Reason reason = asking ? Reason::kKeyInUse : Reason::kOverload;
  const Duration retry =
    aPending.retryAfter > Duration::zero() ? aPending.retryAfter : this->Jitter(kDefaultRetry);
  this->Finalize(aNow, aPending, FinalAnswer{ outcome, reason, retry });
}

void Entry::Impl::DeadlineGranted(Now aNow, Pending& aPending)
{
  const NodeId agent = aPending.agent->node;
  const RequestId id = aPending.submission.id;
  const bool once = aPending.submission.kind == WorkKind::kOnce;
  if (aNow.steady >= aPending.endBy || aNow.steady >= aPending.keepUntil) {
    const bool late = aNow.steady >= aPending.endBy;
    const Reason reason = late ? Reason::kDeadline : Reason::kCallerGone;
    if (!once) {
      this->port.Send(agent, Cancel{ id, reason });
    }
    this->AgentUnreachable(aNow, aPending, reason);
    return;
  }
  // A resumed answer has no deadline of its own; it ends when nothing has come for the grace time.
  const TimePoint giveUpAt = aPending.progressAt + this->options.resumeGrace;
  if (aPending.endBy == kNever && aNow.steady >= giveUpAt) {
    this->AgentUnreachable(aNow, aPending, Reason::kStalled);
    return;
  }
  if (aNow.steady >= aPending.lastHeard + this->options.grantReplyWithin) {
    if (!aPending.agentLinked) {
      this->AgentUnreachable(aNow, aPending, Reason::kEndpointLost);
      return;
    }
    this->SendQuery(aNow, aPending, true);
    return;
  }
  this->Schedule(aPending);
}

void Entry::Impl::Timer(Now aNow)
{
  while (!this->due.empty() && this->due.top().time <= aNow.steady) {
    const Due top = this->due.top();
    this->due.pop();
    const auto found = this->pending.find(top.id);
    if (found == this->pending.end() || found->second.nextTimer != top.time) {
      continue;
    }
    found->second.nextTimer = kNever;
    this->Deadline(aNow, found->second);
  }
  this->claims.OnTimer(aNow);
  this->TakeClaimDecisions(aNow);
  this->FlushClaims(aNow);
  this->moves.OnTimer(aNow);
  this->RunMoves(aNow);
  if (this->tailDue <= aNow.steady) {
    this->SendTails(aNow);
  }
  this->WriteSnapshot(aNow);
}

TimePoint Entry::Impl::NextTimer() const
{
  TimePoint next = this->due.empty() ? kNever : this->due.top().time;
  next = std::min(next, this->claims.NextTimer());
  next = std::min(next, this->moves.NextTimer());
  next = std::min(next, this->snapshots.NextTimer());
  return std::min(next, this->tailDue);
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
  this->impl->CallerGone(aNow, aId, aMayResume);
}

void Entry::OnPeerUp(Now aNow, Peer aPeer, const Hello& aHello)
{
  this->impl->PeerUp(aNow, aPeer, aHello);
}

void Entry::OnPeerDown(Now aNow, NodeId aNode)
{
  this->impl->PeerDown(aNow, aNode);
}

void Entry::OnMessage(Now aNow, Peer aFrom, const Message& aMessage)
{
  this->impl->Receive(aNow, aFrom, aMessage);
}

void Entry::OnLogRecords(Now aNow, const std::vector<LogRecord>& aRecords)
{
  this->impl->TakeLogRecords(aNow, aRecords);
}

void Entry::OnLogOldest(Now aNow, LogOffset aOldest)
{
  this->impl->TakeLogOldest(aNow, aOldest);
}

void Entry::OnAppended(Now aNow, std::uint64_t aToken, AppendResult aResult, LogOffset aFirst)
{
  this->impl->Appended(aNow, aToken, aResult, aFirst);
}

void Entry::OnTimer(Now aNow)
{
  this->impl->Timer(aNow);
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
