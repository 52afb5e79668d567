#include "runtime/caller_exchange.h"

#include "core/uuid.h"
#include "runtime/framing.h"
#include "runtime/soup_listen.h"

#include <glib-unix.h>
#include <poll.h>

#include <utility>

namespace caraway {

namespace {

constexpr const char* kJson = "application/json";

bool HasBody(CallRoute aRoute)
{
  return aRoute == CallRoute::kCompletion || aRoute == CallRoute::kService;
}

// The fields as received: libsoup accepts several lengths, signs and unknown codings.
HeaderFields FieldsOf(SoupMessageHeaders* aHeaders)
{
  HeaderFields fields;
  SoupMessageHeadersIter iterator;
  const char* name = nullptr;
  const char* value = nullptr;
  soup_message_headers_iter_init(&iterator, aHeaders);
  while (soup_message_headers_iter_next(&iterator, &name, &value) != FALSE) {
    fields.push_back({ name, value });
  }
  return fields;
}

} // namespace

CallerExchange::CallerExchange(SoupServerMessage* aMessage, const CallerLimits& aLimits,
                               EntryHost& aHost, Metrics& aMetrics, Random& aRandom,
                               ExchangeOwner& aOwner)
  : message(ShareObject(aMessage))
  , limits(aLimits)
  , host(aHost)
  , metrics(aMetrics)
  , random(aRandom)
  , owner(aOwner)
  , readTimer([this] {
    this->owner.Refuse(
      *this, Rejection{ 408, "half_sent", "the request was not received within the read timeout" });
  })
  , refusalTimer([this] {
    const Rejection rejection = *this->pendingRejection; // copied, as Refuse destroys the exchange
    this->owner.Refuse(*this, rejection);
  })
{
  this->readTimer.ArmAfter(this->limits.readTimeout);
  this->disconnectSignal =
    g_signal_connect(aMessage, "disconnected", G_CALLBACK(&CallerExchange::OnSoupDisconnect), this);
  this->chunkSignal =
    g_signal_connect(aMessage, "got-chunk", G_CALLBACK(&CallerExchange::OnGotChunk), this);
  this->wroteSignal =
    g_signal_connect(aMessage, "wrote-body-data", G_CALLBACK(&CallerExchange::OnWrote), this);
}

CallerExchange::~CallerExchange()
{
  this->StopWatching();
  g_signal_handler_disconnect(this->message.get(), this->disconnectSignal);
  g_signal_handler_disconnect(this->message.get(), this->chunkSignal);
  g_signal_handler_disconnect(this->message.get(), this->wroteSignal);
}

void CallerExchange::OnHead()
{
  this->hasHead = true;
  this->head = this->ReadHead();
  SoupMessageHeaders* headers = soup_server_message_get_request_headers(this->message.get());
  const bool isHttp11 = soup_server_message_get_http_version(this->message.get()) == SOUP_HTTP_1_1;
  const HeaderFields fields = FieldsOf(headers);
  // libsoup skips fields and chunk lines that it can't read, so that only a stated length tells
  // where the next request begins.
  if (!FindField(fields, "Content-Length").has_value()) {
    soup_message_headers_replace(soup_server_message_get_response_headers(this->message.get()),
                                 "Connection", "close");
  }
  if (!IsFramingUnambiguous(fields, isHttp11)) {
    this->ScheduleRefusal(
      Rejection{ 400, "malformed", "the length of the request body is ambiguous" });
    return;
  }
  const auto route = FindRoute(this->head.method, this->head.path);
  if (const auto* rejection = std::get_if<Rejection>(&route)) {
    this->ScheduleRefusal(*rejection);
    return;
  }
  if (!HasBody(std::get<CallRoute>(route))) {
    return;
  }
  const auto authenticated = Authenticate(this->host.Config(), this->head.authorization);
  if (const auto* rejection = std::get_if<Rejection>(&authenticated)) {
    this->ScheduleRefusal(*rejection);
    return;
  }
  const goffset length = soup_message_headers_get_content_length(headers);
  if (length > static_cast<goffset>(this->limits.maxBodyBytes)) {
    this->ScheduleRefusal(Rejection{ 413, "too_large", "the request body exceeds the size limit" });
  }
}

void CallerExchange::OnRequest()
{
  this->readTimer.Cancel();
  if (this->pendingRejection) {
    return;
  }
  const auto route = FindRoute(this->head.method, this->head.path);
  if (const auto* rejection = std::get_if<Rejection>(&route)) {
    this->Reject(*rejection);
    return;
  }
  switch (std::get<CallRoute>(route)) {
    case CallRoute::kHealth:
      Reply(this->message.get(), 200, "text/plain", "ok\n");
      break;
    case CallRoute::kReady:
      Reply(this->message.get(), this->host.IsReady() ? 200 : 503, "text/plain",
            this->host.IsReady() ? "ready\n" : "not ready\n");
      break;
    default:
      this->RunCall(std::get<CallRoute>(route));
  }
}

// Reports a caller that disconnected before its final answer to the host.
void CallerExchange::OnFinished()
{
  this->readTimer.Cancel();
  this->refusalTimer.Cancel();
  this->ReportDisconnect();
}

// libsoup does not finish or abort a call whose request line it has not parsed.
void CallerExchange::OnSoupDisconnect(SoupServerMessage*, void* aData)
{
  auto* self = static_cast<CallerExchange*>(aData);
  self->owner.OnDisconnected(*self);
}

// Enforces the body limit for requests without a Content-Length.
void CallerExchange::OnGotChunk(SoupServerMessage*, GBytes* aChunk, void* aData)
{
  auto* self = static_cast<CallerExchange*>(aData);
  self->receivedBytes += g_bytes_get_size(aChunk);
  if (self->receivedBytes > self->limits.maxBodyBytes) {
    self->ScheduleRefusal(Rejection{ 413, "too_large", "the request body exceeds the size limit" });
  }
}

void CallerExchange::OnWrote(SoupServerMessage*, guint aBytes, void* aData)
{
  auto* self = static_cast<CallerExchange*>(aData);
  self->unsentBytes -= std::min<std::size_t>(self->unsentBytes, aBytes);
}

// Defers the refusal, since the connection can only be taken from libsoup outside its read loop.
void CallerExchange::ScheduleRefusal(const Rejection& aRejection)
{
  if (this->pendingRejection) {
    return;
  }
  this->pendingRejection = aRejection;
  soup_server_message_pause(this->message.get());
  this->refusalTimer.ArmAfter(Duration::zero());
}

void CallerExchange::Reject(const Rejection& aRejection)
{
  this->metrics.CountRejected(aRejection.status);
  this->state = State::kEnded;
  soup_message_headers_replace(soup_server_message_get_response_headers(this->message.get()),
                               "Caraway-Outcome", "not_run");
  Reply(this->message.get(), aRejection.status, kJson, RejectionJson(aRejection));
}

CallHead CallerExchange::ReadHead() const
{
  SoupServerMessage* from = this->message.get();
  CallHead read;
  read.method = soup_server_message_get_method(from);
  read.path = g_uri_get_path(soup_server_message_get_uri(from));
  read.authorization = HeaderOf(from, "Authorization");
  read.tier = HeaderOf(from, "Caraway-Tier");
  read.startWithinMs = HeaderOf(from, "Caraway-Start-Within-Ms");
  read.endWithinMs = HeaderOf(from, "Caraway-End-Within-Ms");
  read.requestId = HeaderOf(from, "Caraway-Request-Id");
  read.idempotencyKey = HeaderOf(from, "Idempotency-Key");
  read.lastEventId = HeaderOf(from, "Last-Event-ID");
  read.agent = HeaderOf(from, "Caraway-Agent");
  read.accept = HeaderOf(from, "Accept");
  return read;
}

std::string CallerExchange::ReadBody() const
{
  SoupMessageBody* body = soup_server_message_get_request_body(this->message.get());
  GBytes* bytes = soup_message_body_flatten(body);
  gsize size = 0;
  const auto* data = static_cast<const char*>(g_bytes_get_data(bytes, &size));
  std::string text(data != nullptr ? data : "", size);
  g_bytes_unref(bytes);
  return text;
}

void CallerExchange::RunCall(CallRoute aRoute)
{
  const ConfigState& config = this->host.Config();
  const auto authenticated = Authenticate(config, this->head.authorization);
  if (const auto* rejection = std::get_if<Rejection>(&authenticated)) {
    this->Reject(*rejection);
    return;
  }
  const Account& caller = *std::get<const Account*>(authenticated);
  if (aRoute == CallRoute::kResume) {
    this->RunResume(caller);
    return;
  }
  const bool completion = aRoute == CallRoute::kCompletion;
  const std::string body = this->ReadBody();
  auto parsed = completion ? ParseCompletion(config, caller, this->head, body)
                           : ParseService(config, caller, this->head, body);
  if (const auto* rejection = std::get_if<Rejection>(&parsed)) {
    this->Reject(*rejection);
    return;
  }
  this->Submit(std::get<ParsedCall>(std::move(parsed)));
}

void CallerExchange::Submit(ParsedCall aCall)
{
  Submission& submission = aCall.submission;
  if (!aCall.isIdFromCaller) {
    submission.id = MakeUuid7(this->host.CurrentTime().wall, this->random);
  }
  this->id = submission.id;
  this->isIdFromCaller = aCall.isIdFromCaller;
  this->account = submission.account;
  this->tier = submission.tier;
  this->startWithin = submission.startWithin;
  this->endWithin = submission.endWithin;
  if (submission.kind == WorkKind::kCompletion) {
    this->bodyFormat = aCall.stream ? BodyFormat::kEvents : BodyFormat::kSingleJson;
    this->format.emplace(this->id, submission.pool, submission.maxTokens);
  }
  this->AwaitAnswer();
  if (!this->host.Submit(std::move(submission), *this)) {
    this->StopWatching();
    this->Reject(
      Rejection{ 409, "request_in_use", "a request with this identifier is already running" });
    soup_server_message_unpause(this->message.get());
  }
}

void CallerExchange::RunResume(const Account& aAccount)
{
  const auto parsed = ParseResume(aAccount, this->head);
  if (const auto* rejection = std::get_if<Rejection>(&parsed)) {
    this->Reject(*rejection);
    return;
  }
  const auto& resume = std::get<ParsedResume>(parsed);
  this->id = resume.id;
  this->isIdFromCaller = true;
  this->account = resume.account;
  this->tier = aAccount.highestTier;
  this->nextEventNumber = resume.nextChunk;
  this->agent = this->head.agent;
  if (this->head.accept.find(kJson) == std::string::npos) {
    this->bodyFormat = BodyFormat::kEvents;
    this->format.emplace(this->id, "", 0);
  }
  this->AwaitAnswer();
  if (!this->host.Resume(resume.id, resume.account, resume.nextChunk, resume.agent, *this)) {
    this->StopWatching();
    this->Reject(
      Rejection{ 409, "request_in_use", "another caller is already waiting for this answer" });
    soup_server_message_unpause(this->message.get());
  }
}

// Pauses the message until there is something to send, and watches for a disconnect.
void CallerExchange::AwaitAnswer()
{
  this->state = State::kWaiting;
  this->submittedAt = this->host.CurrentTime().steady;
  soup_server_message_pause(this->message.get());
  this->WatchDisconnect();
}

void CallerExchange::OnAgent(const std::string& aName)
{
  this->agent = aName;
}

void CallerExchange::OnChunk(const std::string& aData)
{
  const TimePoint now = this->host.CurrentTime().steady;
  if (!this->firstLatency) {
    this->firstLatency = now - this->submittedAt;
    this->metrics.ObserveFirstToken(this->tier, *this->firstLatency);
  } else {
    this->metrics.ObserveInterToken(this->tier, now - this->lastChunkAt);
  }
  this->lastChunkAt = now;
  if (this->bodyFormat != BodyFormat::kEvents) {
    this->bufferedAnswer += aData;
    return;
  }
  if (this->state == State::kWaiting) {
    this->StartStream();
  }
  this->Write(this->format->Event(this->nextEventNumber++, aData));
}

void CallerExchange::OnFinal(const FinalAnswer& aAnswer)
{
  this->CountResult(aAnswer);
  this->StopWatching();
  const bool isAnswered = aAnswer.outcome == Outcome::kAnswered;
  const bool isEventStream = this->bodyFormat == BodyFormat::kEvents;
  if (this->state == State::kStreaming || (isEventStream && isAnswered)) {
    if (this->state == State::kWaiting) {
      this->StartStream();
    }
    this->Write(this->format->LastEvent(aAnswer));
    soup_message_body_complete(soup_server_message_get_response_body(this->message.get()));
  } else if (isAnswered) {
    this->SendComplete(aAnswer);
  } else {
    this->SendRefusal(aAnswer);
  }
  this->state = State::kEnded;
  soup_server_message_unpause(this->message.get());
}

void CallerExchange::StartStream()
{
  this->state = State::kStreaming;
  SoupServerMessage* to = this->message.get();
  SoupMessageHeaders* headers = soup_server_message_get_response_headers(to);
  soup_server_message_set_status(to, 200, nullptr);
  soup_message_headers_set_encoding(headers, SOUP_ENCODING_CHUNKED);
  soup_message_headers_set_content_type(headers, "text/event-stream", nullptr);
  soup_message_headers_replace(headers, "Cache-Control", "no-store");
  this->SetAnswerHeaders();
  soup_message_body_set_accumulate(soup_server_message_get_response_body(to), FALSE);
}

// Appends to a streamed answer. Disconnects a caller that reads too slowly, to bound the memory
// used for unsent answers.
void CallerExchange::Write(const std::string& aData)
{
  this->unsentBytes += aData.size();
  if (this->unsentBytes > this->limits.maxUnsentBytes) {
    GSocket* socket = soup_server_message_get_socket(this->message.get());
    if (socket != nullptr) {
      g_socket_shutdown(socket, TRUE, TRUE, nullptr);
    }
    return;
  }
  soup_message_body_append(soup_server_message_get_response_body(this->message.get()),
                           SOUP_MEMORY_COPY, aData.data(), aData.size());
  soup_server_message_unpause(this->message.get());
}

void CallerExchange::SetAnswerHeaders()
{
  SoupMessageHeaders* headers = soup_server_message_get_response_headers(this->message.get());
  soup_message_headers_replace(headers, "Caraway-Request-Id", FormatUuid(this->id).c_str());
  if (this->host.IsLeaving()) {
    soup_message_headers_replace(headers, "Connection", "close");
  }
  if (!this->agent.empty()) {
    soup_message_headers_replace(headers, "Caraway-Agent", this->agent.c_str());
  }
}

void CallerExchange::SendComplete(const FinalAnswer& aAnswer)
{
  this->SetAnswerHeaders();
  soup_message_headers_replace(soup_server_message_get_response_headers(this->message.get()),
                               "Caraway-Outcome", "answered");
  const std::string body = this->bodyFormat == BodyFormat::kSingleJson
                             ? this->format->CompleteJson(this->bufferedAnswer, aAnswer)
                             : this->bufferedAnswer;
  Reply(this->message.get(), HttpStatusOf(aAnswer), kJson, body);
}

void CallerExchange::SendRefusal(const FinalAnswer& aAnswer)
{
  this->SetAnswerHeaders();
  SoupMessageHeaders* headers = soup_server_message_get_response_headers(this->message.get());
  soup_message_headers_replace(headers, "Caraway-Outcome",
                               std::string(ToString(aAnswer.outcome)).c_str());
  if (aAnswer.retryAfter > Duration::zero()) {
    const auto wait = std::chrono::ceil<std::chrono::milliseconds>(aAnswer.retryAfter);
    soup_message_headers_replace(headers, "Retry-After",
                                 RetryAfterSeconds(aAnswer.retryAfter).c_str());
    soup_message_headers_replace(headers, "Caraway-Retry-After-Ms",
                                 std::to_string(wait.count()).c_str());
  }
  Reply(this->message.get(), HttpStatusOf(aAnswer), kJson, RefusalJson(aAnswer));
}

void CallerExchange::CountResult(const FinalAnswer& aAnswer)
{
  const Duration totalTime = this->host.CurrentTime().steady - this->submittedAt;
  const bool hasStartedInTime = this->startWithin == Duration::zero() ||
                                this->firstLatency.value_or(totalTime) <= this->startWithin;
  const bool hasEndedInTime = this->endWithin == Duration::zero() || totalTime <= this->endWithin;
  const bool isAnswered = aAnswer.outcome == Outcome::kAnswered;
  this->metrics.CountResult({ this->account, this->tier, aAnswer.outcome, aAnswer.reason,
                              isAnswered && hasStartedInTime && hasEndedInTime });
}

// libsoup does not poll a paused connection, so a disconnect of the caller is detected here.
void CallerExchange::WatchDisconnect()
{
  GSocket* socket = soup_server_message_get_socket(this->message.get());
  if (socket == nullptr) {
    return;
  }
  this->disconnectWatch =
    g_unix_fd_add(g_socket_get_fd(socket), static_cast<GIOCondition>(POLLRDHUP | POLLHUP | POLLERR),
                  &CallerExchange::OnDisconnect, this);
}

void CallerExchange::StopWatching()
{
  if (this->disconnectWatch != 0) {
    g_source_remove(this->disconnectWatch);
    this->disconnectWatch = 0;
  }
}

int CallerExchange::OnDisconnect(int, GIOCondition, void* aData)
{
  auto* self = static_cast<CallerExchange*>(aData);
  self->disconnectWatch = 0;
  self->ReportDisconnect();
  self->owner.Drop(*self);
  return G_SOURCE_REMOVE;
}

// The answer may be resumed if the caller knows the identifier: it chose it, or it was sent in the
// headers of the stream.
void CallerExchange::ReportDisconnect()
{
  this->StopWatching();
  if (this->state != State::kWaiting && this->state != State::kStreaming) {
    return;
  }
  const bool mayResume = this->isIdFromCaller || this->state == State::kStreaming;
  this->state = State::kEnded;
  this->host.OnCallerGone(this->id, mayResume);
}

} // namespace caraway
