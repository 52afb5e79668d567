#include "gateway/flow.h"

#include "runtime/log.h"

#include <utility>

namespace caraway::gateway {

using direct::AttemptEnd;
using direct::CallKind;
using direct::GiveUpReason;

namespace {

// Connections idle for longer are not reused for a call that must run at most once: the endpoint
// may have closed them, and a request lost that way is indistinguishable from one that ran.
constexpr Duration kOnceMaxIdle = std::chrono::milliseconds(800);
constexpr Duration kMaxIdle = std::chrono::seconds(4);
// Size limits of an event stream and of a single event in it.
constexpr std::uint64_t kMaxStreamBytes = 32 << 20;
constexpr std::size_t kMaxEventBytes = 1 << 20;
// Total memory of the answers and events that this process buffers until they are complete. The
// smallest entry VM has 88 MB.
constexpr std::size_t kMaxHeldBytes = 24 << 20;
// Attempts that hold less are not aborted when the total is exceeded.
constexpr std::size_t kMinAbortBytes = 64 << 10;

} // namespace

Gateway::Flow::Flow(Gateway& aGateway, direct::CallNumber aNumber,
                    std::shared_ptr<IngressExchange> aExchange, IngressRequest aRequest)
  : gateway(aGateway)
  , number(aNumber)
  , exchange(std::move(aExchange))
  , ingress(std::move(aRequest))
{
}

Gateway::Flow::~Flow()
{
  this->DiscardBody();
}

void Gateway::Flow::Start(const direct::EndpointInfo& aEndpoint)
{
  EndpointCall call{ this->request, this->ingress.body };
  call.account = this->account == nullptr ? std::string_view() : this->account->name;
  call.endpointId = aEndpoint.id;
  call.timeLeft = this->spec.deadline - this->gateway.Now();
  call.resumeAfter = this->lastDeliveredId ? this->lastDeliveredId : this->request.resumeAfter;
  EndpointRequest request;
  request.address = Address{ aEndpoint.host, aEndpoint.port };
  request.bytes = this->gateway.protocol.WriteEndpointRequest(call);
  request.isHead = this->request.method == "HEAD";
  request.maxIdle = this->spec.kind == CallKind::kSafe ? kMaxIdle : kOnceMaxIdle;
  if (this->IsStream()) {
    request.maxBodyBytes = kMaxStreamBytes;
  }
  request.correlationField = this->gateway.protocol.CorrelationField();
  request.correlationValue = this->request.id;
  this->hasHead = false;
  this->kind = ResponseKind::kInvalid;
  this->DiscardBody();
  this->isAttemptOpen = true;
  this->attemptVersion = aEndpoint.version;
  this->attemptStartedAt = this->gateway.Now();
  this->attempt = this->gateway.pool.Send(std::move(request), *this);
}

void Gateway::Flow::StopAttempt()
{
  if (this->isAttemptOpen) {
    this->isAttemptOpen = false;
    this->mayHaveRun = true;
    this->gateway.pool.Cancel(this->attempt);
    this->RecordRunEnd(true);
  }
}

void Gateway::Flow::RecordRunEnd(bool aIsBad)
{
  this->gateway.OnRunEnd(*this, this->attemptVersion, aIsBad,
                         this->gateway.Now() - this->attemptStartedAt);
}

void Gateway::Flow::EndWithoutAnswer(GiveUpReason aReason, Duration aRetryAfter)
{
  this->StopAttempt();
  if (this->isStreaming) {
    LogEvent(LogLevel::kInfo, "cut",
             { { "request", this->request.id }, { "reason", std::string(ToString(aReason)) } });
    this->exchange->Abort();
    this->gateway.metrics.CountCut(ToString(aReason));
    this->gateway.Remove(*this);
    return;
  }
  if (this->mayHaveRun) {
    const bool isLate = aReason == GiveUpReason::kDeadline;
    this->gateway.Refuse(*this, isLate ? 504 : 502, ToString(aReason), Duration::zero());
    return;
  }
  this->gateway.Refuse(*this, 503, ToString(aReason), aRetryAfter);
}

void Gateway::Flow::OnHead(const ResponseHead& aHead)
{
  this->head = aHead;
  this->hasHead = true;
  this->kind = this->gateway.protocol.Classify(aHead);
  direct::EndpointNotice notice = this->gateway.protocol.ParseNotice(aHead);
  // Another endpoint's answer, or none of an endpoint, says nothing about this one's rate.
  notice.isRateKnown = notice.isRateKnown && this->kind != ResponseKind::kMisdirected &&
                       this->kind != ResponseKind::kInvalid;
  this->gateway.ApplyNotice(this->number, notice, this->attemptStartedAt);
}

void Gateway::Flow::OnBody(std::string_view aData)
{
  if (this->kind == ResponseKind::kSuccess && this->IsStream()) {
    this->ForwardStreamData(aData);
    if (!this->isAttemptOpen) {
      return;
    }
    if (this->events.PartialEvent().size() > kMaxEventBytes) {
      this->AbortAttempt("event_without_end");
      return;
    }
  } else {
    this->body.append(aData);
  }
  if (!this->UpdateHeldBytes()) {
    this->AbortAttempt("answers_too_large");
  }
}

// Counts the memory that this request holds. False if all requests hold too much and this one has a
// notable part of it.
bool Gateway::Flow::UpdateHeldBytes()
{
  const std::size_t held = this->body.capacity() + this->events.PartialEvent().capacity();
  this->gateway.heldBytes += held;
  this->gateway.heldBytes -= this->heldBytes;
  this->heldBytes = held;
  return this->gateway.heldBytes <= kMaxHeldBytes || held < kMinAbortBytes;
}

// Aborts an attempt whose answer exceeds a size limit.
void Gateway::Flow::AbortAttempt(std::string_view aCause)
{
  LogEvent(LogLevel::kWarning, "answer_cut",
           { { "request", this->request.id },
             { "cause", std::string(aCause) },
             { "held_bytes", std::to_string(this->gateway.heldBytes) } });
  const std::shared_ptr<EndpointExchange> cancelled = this->attempt.lock(); // for its trace
  this->gateway.pool.Cancel(this->attempt);
  this->OnEnd(ExchangeEnd::kMalformed);
}

void Gateway::Flow::DiscardBody()
{
  std::string().swap(this->body);
  this->events = EventSplitter();
  this->gateway.heldBytes -= std::exchange(this->heldBytes, 0);
}

// Forwards complete events as they arrive.
void Gateway::Flow::ForwardStreamData(std::string_view aData)
{
  const bool isFirst = this->events.EventCount() == 0;
  const std::string completeEvents = this->events.Add(aData);
  if (completeEvents.empty()) {
    return;
  }
  this->BeginStream();
  if (isFirst) {
    this->RecordFirstLatency();
    this->gateway.dispatcher.OnFirstEvent(this->gateway.Now(), this->number);
  }
  if (this->events.LastId()) {
    this->lastDeliveredId = this->events.LastId();
  }
  this->exchange->WriteBody(completeEvents);
  this->gateway.AfterInput();
}

// The head of the first attempt is used for the complete answer, also when another endpoint resumes
// the stream.
void Gateway::Flow::BeginStream()
{
  if (!this->isStreaming) {
    this->isStreaming = true;
    this->exchange->BeginBody(this->head.status, this->head.reason,
                              this->gateway.protocol.ForwardedFields(this->head), std::nullopt);
  }
}

void Gateway::Flow::OnEnd(ExchangeEnd aEnd)
{
  this->isAttemptOpen = false;
  this->trace = EndpointPool::TraceOf(this->attempt);
  this->FinishAttempt(this->EndOf(aEnd));
}

// Whether the answer names this request and no other.
bool Gateway::Flow::HasEchoedId() const
{
  const std::string field = this->gateway.protocol.CorrelationField();
  std::size_t count = 0;
  for (const FieldView& one : this->head.fields) {
    if (FieldNamesEqual(one.name, field)) {
      if (one.value != this->request.id) {
        return false;
      }
      count++;
    }
  }
  return this->hasHead && count > 0;
}

// Log fields that tell whose answer it was and what it states.
std::vector<EventField> Gateway::Flow::AnswerFields() const
{
  return { { "states", this->hasHead ? std::string(ToString(this->kind)) : "" },
           { "echoed", this->HasEchoedId() ? "true" : "false" },
           { "connection", std::string(ToString(this->trace.connection)) },
           { "skipped", std::to_string(this->trace.skippedAnswers) } };
}

AttemptEnd Gateway::Flow::EndOf(ExchangeEnd aEnd) const
{
  if (aEnd == ExchangeEnd::kUnsent) {
    return AttemptEnd::kUnsent;
  }
  const bool isRefusal =
    this->kind == ResponseKind::kNotRun || this->kind == ResponseKind::kMisdirected;
  // Without the id it may be another request's refusal, also on a new connection.
  if (this->hasHead && isRefusal && !this->spec.MayRepeat() && !this->HasEchoedId()) {
    return AttemptEnd::kBroken;
  }
  // A head that reports "not run" is sufficient, even if the connection broke after it.
  if (this->hasHead && this->kind == ResponseKind::kNotRun) {
    return AttemptEnd::kRefused;
  }
  if (this->hasHead && this->kind == ResponseKind::kMisdirected) {
    return AttemptEnd::kMisdirected;
  }
  if (aEnd != ExchangeEnd::kComplete || this->kind == ResponseKind::kInvalid) {
    return AttemptEnd::kBroken;
  }
  if (this->kind == ResponseKind::kSuccess && this->IsStream() && this->events.IsInsideEvent()) {
    return AttemptEnd::kBroken;
  }
  return this->kind == ResponseKind::kSuccess ? AttemptEnd::kAnswered : AttemptEnd::kFailed;
}

void Gateway::Flow::FinishAttempt(AttemptEnd aEnd)
{
  this->mayHaveRun = this->mayHaveRun || !HasNotRun(aEnd);
  const direct::EndpointInfo* endpoint = this->gateway.dispatcher.EndpointOf(this->number);
  this->gateway.metrics.CountAttempt(aEnd, this->trace.connection, this->HasEchoedId());
  if (aEnd != AttemptEnd::kAnswered) {
    std::vector<EventField> fields = {
      { "request", this->request.id },
      { "fingerprint", std::to_string(this->spec.fingerprint) },
      { "parts", HexList(this->spec.promptParts) },
      { "endpoint", endpoint == nullptr ? "" : endpoint->id },
      { "born_ms", std::to_string(endpoint == nullptr ? 0 : endpoint->bornMs) },
      { "end", std::string(ToString(aEnd)) },
      { "status", std::to_string(this->hasHead ? this->head.status : 0) },
      { "delivered", std::to_string(this->lastDeliveredId.value_or(0)) },
    };
    const std::vector<EventField> answer = this->AnswerFields();
    fields.insert(fields.end(), answer.begin(), answer.end());
    LogEvent(LogLevel::kInfo, "attempt_failed", fields);
  }
  if (!HasNotRun(aEnd)) {
    // A rejection of the request itself (4xx) does not count against the version.
    const bool isRefusal = aEnd == AttemptEnd::kFailed && this->head.status < 500;
    this->RecordRunEnd(aEnd != AttemptEnd::kAnswered && !isRefusal);
  }
  const bool isRetried =
    this->gateway.dispatcher.OnAttemptEnd(this->gateway.Now(), this->number, aEnd);
  if (isRetried) {
    this->gateway.AfterInput();
    return;
  }
  switch (aEnd) {
    case AttemptEnd::kAnswered:
      this->ForwardAnswer();
      break;
    case AttemptEnd::kFailed:
      if (this->MayForwardFailure()) {
        this->ForwardAnswer();
        break;
      }
      [[fallthrough]];
    default:
      this->EndWithoutAnswer(GiveUpReason::kFailed,
                             this->gateway.dispatcher.RetryAfter(
                               this->gateway.Now(), this->spec.service, this->spec.rank));
      break;
  }
  this->gateway.AfterInput();
}

// A status that promises "not run" must not reach the caller of a request that may have run, as the
// caller repeats it.
bool Gateway::Flow::MayForwardFailure() const
{
  return !this->isStreaming &&
         (this->spec.MayRepeat() || !this->gateway.protocol.PromisesNotRun(this->head.status));
}

// Records the latency of the first part of the answer, once per request.
void Gateway::Flow::RecordFirstLatency()
{
  if (this->firstLatency == Duration::zero()) {
    this->firstLatency = this->gateway.Now() - this->ingress.readAt;
    this->gateway.metrics.ObserveFirstLatency(this->spec.rank, this->firstLatency);
  }
}

// Sends the remaining answer to the caller and ends the request.
void Gateway::Flow::ForwardAnswer()
{
  const bool isStreamed = this->kind == ResponseKind::kSuccess && this->IsStream();
  if (isStreamed) {
    this->BeginStream();
    this->exchange->WriteBody(this->events.PartialEvent());
    this->exchange->FinishBody();
  } else {
    this->exchange->Respond(this->head.status, this->head.reason,
                            this->gateway.protocol.ForwardedFields(this->head), this->body);
  }
  const bool isSuccess = this->kind == ResponseKind::kSuccess;
  this->RecordFirstLatency();
  this->gateway.metrics.CountAnswer(isSuccess);
  std::vector<EventField> fields = {
    { "request", this->request.id },
    { "status", std::to_string(this->head.status) },
    { "events", std::to_string(this->events.EventCount()) },
    { "first_ms", std::to_string(this->firstLatency / std::chrono::milliseconds(1)) },
    { "total_ms",
      std::to_string((this->gateway.Now() - this->ingress.readAt) / std::chrono::milliseconds(1)) },
  };
  const std::vector<EventField> answer = this->AnswerFields();
  fields.insert(fields.end(), answer.begin(), answer.end());
  LogEvent(LogLevel::kInfo, "answered", fields);
  this->gateway.Remove(*this);
}

} // namespace caraway::gateway
