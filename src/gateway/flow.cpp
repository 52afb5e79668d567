#include "gateway/flow.h"

#include "runtime/log.h"

#include <utility>

namespace caraway::gateway {

using direct::AttemptEnd;
using direct::CallKind;
using direct::GiveUpReason;

namespace {

// Idle connections older than this are not used for a call that must run once: the endpoint may
// have closed them, and a request lost there could not be told from one that ran.
constexpr Duration kOnceMaxIdle = std::chrono::milliseconds(800);
constexpr Duration kMaxIdle = std::chrono::seconds(4);
// Bounds of an endpoint's answer: the longest stream of events, and of one event in it.
constexpr std::uint64_t kMaxStreamBytes = 32 << 20;
constexpr std::size_t kMaxEventBytes = 1 << 20;
// Parts of answers that this process keeps at once because they are not passed on as they come. The
// smallest entry VM has 88 MB.
constexpr std::size_t kMaxHeldBytes = 24 << 20;

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
  this->DropBody();
}

void Gateway::Flow::Start(const direct::EndpointInfo& aEndpoint)
{
  EndpointCall call{ this->request, this->ingress.body };
  call.account = this->account == nullptr ? std::string_view() : this->account->name;
  call.endpointId = aEndpoint.id;
  call.timeLeft = this->spec.deadline - this->gateway.Now();
  call.resumeAfter = this->deliveredId ? this->deliveredId : this->request.resumeAfter;
  EndpointRequest request;
  request.address = Address{ aEndpoint.host, aEndpoint.port };
  request.bytes = this->gateway.dialect.WriteEndpointRequest(call);
  request.isHead = this->request.method == "HEAD";
  request.maxIdle = this->spec.kind == CallKind::kSafe ? kMaxIdle : kOnceMaxIdle;
  if (this->IsStream()) {
    request.maxBodyBytes = kMaxStreamBytes;
  }
  request.correlationField = this->gateway.dialect.CorrelationField();
  request.correlationValue = this->request.id;
  this->hasHead = false;
  this->kind = AnswerKind::kInvalid;
  this->DropBody();
  this->events = EventSplitter();
  this->attemptOpen = true;
  this->attemptVersion = aEndpoint.version;
  this->attemptAt = this->gateway.Now();
  this->attempt = this->gateway.pool.Send(std::move(request), *this);
}

void Gateway::Flow::StopAttempt()
{
  if (this->attemptOpen) {
    this->attemptOpen = false;
    this->mayHaveRun = true;
    this->gateway.pool.Cancel(this->attempt);
    this->NoteRunEnd(true);
  }
}

void Gateway::Flow::NoteRunEnd(bool aIsBad)
{
  this->gateway.OnRunEnd(*this, this->attemptVersion, aIsBad,
                         this->gateway.Now() - this->attemptAt);
}

void Gateway::Flow::EndWithout(GiveUpReason aReason, Duration aRetryAfter)
{
  this->StopAttempt();
  if (this->streaming) {
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
  this->kind = this->gateway.dialect.KindOf(aHead);
  this->gateway.TakeNotice(this->number, this->gateway.dialect.NoticeOf(aHead));
}

void Gateway::Flow::OnBody(std::string_view aData)
{
  if (this->kind == AnswerKind::kSuccess && this->IsStream()) {
    this->TakeStreamData(aData);
    if (this->attemptOpen && this->events.Rest().size() > kMaxEventBytes) {
      this->CutAnswer("event_without_end");
    }
    return;
  }
  this->gateway.heldBytes += aData.size();
  if (this->gateway.heldBytes > kMaxHeldBytes) {
    this->gateway.heldBytes -= aData.size();
    this->CutAnswer("answers_too_large");
    return;
  }
  this->body.append(aData);
}

// Ends an attempt whose answer cannot be kept any longer.
void Gateway::Flow::CutAnswer(std::string_view aCause)
{
  LogEvent(LogLevel::kWarning, "answer_cut",
           { { "request", this->request.id },
             { "cause", std::string(aCause) },
             { "held_bytes", std::to_string(this->gateway.heldBytes) } });
  this->gateway.pool.Cancel(this->attempt);
  this->OnEnd(ExchangeEnd::kMalformed);
}

void Gateway::Flow::DropBody()
{
  this->gateway.heldBytes -= this->body.size();
  std::string().swap(this->body);
}

// Passes whole events on as they come.
void Gateway::Flow::TakeStreamData(std::string_view aData)
{
  const bool isFirst = this->events.EventCount() == 0;
  const std::string whole = this->events.Add(aData);
  if (whole.empty()) {
    return;
  }
  this->BeginStream();
  if (isFirst) {
    this->NoteFirst();
    this->gateway.dispatcher.OnFirstEvent(this->gateway.Now(), this->number);
  }
  if (this->events.LastId()) {
    this->deliveredId = this->events.LastId();
  }
  this->exchange->WriteBody(whole);
  this->gateway.AfterInput();
}

// The head of the first attempt stands for the whole answer, also when another endpoint goes on.
void Gateway::Flow::BeginStream()
{
  if (!this->streaming) {
    this->streaming = true;
    this->exchange->BeginBody(this->head.status, this->head.reason,
                              this->gateway.dialect.AnswerFields(this->head), std::nullopt);
  }
}

void Gateway::Flow::OnEnd(ExchangeEnd aEnd)
{
  this->attemptOpen = false;
  this->FinishAttempt(this->EndOf(aEnd));
}

AttemptEnd Gateway::Flow::EndOf(ExchangeEnd aEnd) const
{
  if (aEnd == ExchangeEnd::kUnsent) {
    return AttemptEnd::kUnsent;
  }
  // A head that says "not run" is enough, also if the connection broke after it.
  if (this->hasHead && this->kind == AnswerKind::kNotRun) {
    return AttemptEnd::kRefused;
  }
  if (this->hasHead && this->kind == AnswerKind::kMisdirected) {
    return AttemptEnd::kMisdirected;
  }
  if (aEnd != ExchangeEnd::kComplete || this->kind == AnswerKind::kInvalid) {
    return AttemptEnd::kBroken;
  }
  return this->kind == AnswerKind::kSuccess ? AttemptEnd::kAnswered : AttemptEnd::kFailed;
}

void Gateway::Flow::FinishAttempt(AttemptEnd aEnd)
{
  this->mayHaveRun = this->mayHaveRun || !HasNotRun(aEnd);
  const direct::EndpointInfo* endpoint = this->gateway.dispatcher.EndpointOf(this->number);
  if (aEnd != AttemptEnd::kAnswered) {
    LogEvent(LogLevel::kInfo, "attempt_failed",
             { { "request", this->request.id },
               { "fingerprint", std::to_string(this->spec.fingerprint) },
               { "endpoint", endpoint == nullptr ? "" : endpoint->id },
               { "born_ms", std::to_string(endpoint == nullptr ? 0 : endpoint->bornMs) },
               { "end", std::string(ToString(aEnd)) },
               { "status", std::to_string(this->hasHead ? this->head.status : 0) },
               { "delivered", std::to_string(this->deliveredId.value_or(0)) } });
  }
  if (!HasNotRun(aEnd)) {
    // A refusal of the request itself, 4xx, is no fault of the version.
    const bool isRefusal = aEnd == AttemptEnd::kFailed && this->head.status < 500;
    this->NoteRunEnd(aEnd != AttemptEnd::kAnswered && !isRefusal);
  }
  const bool goesOn =
    this->gateway.dispatcher.OnAttemptEnd(this->gateway.Now(), this->number, aEnd);
  if (goesOn) {
    this->gateway.AfterInput();
    return;
  }
  switch (aEnd) {
    case AttemptEnd::kAnswered:
      this->PassAnswer();
      break;
    case AttemptEnd::kFailed:
      if (!this->streaming) {
        this->PassAnswer();
        break;
      }
      [[fallthrough]];
    default:
      this->EndWithout(GiveUpReason::kFailed,
                       this->gateway.dispatcher.RetryAfter(this->gateway.Now(), this->spec.service,
                                                           this->spec.rank));
      break;
  }
  this->gateway.AfterInput();
}

// Remembers when the caller got the first part of its answer.
void Gateway::Flow::NoteFirst()
{
  if (this->firstAfter == Duration::zero()) {
    this->firstAfter = this->gateway.Now() - this->ingress.readAt;
    this->gateway.metrics.ObserveFirst(this->spec.rank, this->firstAfter);
  }
}

// Passes on the rest of a whole answer and ends the request.
void Gateway::Flow::PassAnswer()
{
  const bool isStreamed = this->kind == AnswerKind::kSuccess && this->IsStream();
  if (isStreamed) {
    this->BeginStream();
    this->exchange->WriteBody(this->events.Rest());
    this->exchange->FinishBody();
  } else {
    this->exchange->Respond(this->head.status, this->head.reason,
                            this->gateway.dialect.AnswerFields(this->head), this->body);
  }
  const bool isSuccess = this->kind == AnswerKind::kSuccess;
  this->NoteFirst();
  this->gateway.metrics.CountAnswer(isSuccess);
  LogEvent(LogLevel::kInfo, "answered",
           { { "request", this->request.id },
             { "status", std::to_string(this->head.status) },
             { "events", std::to_string(this->events.EventCount()) },
             { "first_ms", std::to_string(this->firstAfter / std::chrono::milliseconds(1)) },
             { "total_ms", std::to_string((this->gateway.Now() - this->ingress.readAt) /
                                          std::chrono::milliseconds(1)) } });
  this->gateway.Remove(*this);
}

} // namespace caraway::gateway
