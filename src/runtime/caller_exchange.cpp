#include "runtime/caller_exchange.h"

#include "core/uuid.h"
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
  , readLimit([this] {
    this->owner.Refuse(*this, Rejection{ 408, "half_sent", "the request did not arrive in time" });
  })
  , refusal([this] {
    const Rejection rejection = *this->pendingRejection; // outlives the exchange
    this->owner.Refuse(*this, rejection);
  })
{
  this->readLimit.ArmAfter(this->limits.readWithin);
  this->chunkSignal =
    g_signal_connect(aMessage, "got-chunk", G_CALLBACK(&CallerExchange::OnGotChunk), this);
  this->wroteSignal =
    g_signal_connect(aMessage, "wrote-body-data", G_CALLBACK(&CallerExchange::OnWrote), this);
}

CallerExchange::~CallerExchange()
{
  this->StopWatching();
  g_signal_handler_disconnect(this->message.get(), this->chunkSignal);
  g_signal_handler_disconnect(this->message.get(), this->wroteSignal);
}

void CallerExchange::OnHead()
{
  this->headSeen = true;
  this->head = this->ReadHead();
  const auto route = RouteOf(this->head.method, this->head.path);
  if (const auto* rejection = std::get_if<Rejection>(&route)) {
    this->RefuseLater(*rejection);
    return;
  }
  if (!HasBody(std::get<CallRoute>(route))) {
    return;
  }
  const auto known = Authenticate(this->host.Config(), this->head.authorization);
  if (const auto* rejection = std::get_if<Rejection>(&known)) {
    this->RefuseLater(*rejection);
    return;
  }
  SoupMessageHeaders* headers = soup_server_message_get_request_headers(this->message.get());
  const goffset length = soup_message_headers_get_content_length(headers);
  if (length > static_cast<goffset>(this->limits.maxBodyBytes)) {
    this->RefuseLater(Rejection{ 413, "too_large", "the body is too large" });
  }
}

void CallerExchange::OnRequest()
{
  this->readLimit.Cancel();
  if (this->pendingRejection) {
    return;
  }
  const auto route = RouteOf(this->head.method, this->head.path);
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

// A caller that is gone before its final answer is reported to the host.
void CallerExchange::OnFinished()
{
  this->readLimit.Cancel();
  this->refusal.Cancel();
  this->Gone();
}

// Takes the place of the body limit for requests that do not say their length.
void CallerExchange::OnGotChunk(SoupServerMessage*, GBytes* aChunk, void* aData)
{
  auto* self = static_cast<CallerExchange*>(aData);
  self->received += g_bytes_get_size(aChunk);
  if (self->received > self->limits.maxBodyBytes) {
    self->RefuseLater(Rejection{ 413, "too_large", "the body is too large" });
  }
}

void CallerExchange::OnWrote(SoupServerMessage*, guint aBytes, void* aData)
{
  auto* self = static_cast<CallerExchange*>(aData);
  self->unread -= std::min<std::size_t>(self->unread, aBytes);
}

// The connection can only be taken from libsoup outside of its read loop.
void CallerExchange::RefuseLater(const Rejection& aRejection)
{
  if (this->pendingRejection) {
    return;
  }
  this->pendingRejection = aRejection;
  soup_server_message_pause(this->message.get());
  this->refusal.ArmAfter(Duration::zero());
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
  const auto known = Authenticate(config, this->head.authorization);
  if (const auto* rejection = std::get_if<Rejection>(&known)) {
    this->Reject(*rejection);
    return;
  }
  const Account& caller = *std::get<const Account*>(known);
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
  if (!aCall.chosenId) {
    submission.id = MakeUuid7(this->host.Time().wall, this->random);
  }
  this->id = submission.id;
  this->chosenId = aCall.chosenId;
  this->account = submission.account;
  this->tier = submission.tier;
  this->startWithin = submission.startWithin;
  this->endWithin = submission.endWithin;
  if (submission.kind == WorkKind::kCompletion) {
    this->form = aCall.stream ? Form::kEvents : Form::kWhole;
    this->format.emplace(this->id, submission.pool, submission.maxTokens);
  }
  this->Wait();
  if (!this->host.Submit(std::move(submission), *this)) {
    this->StopWatching();
    this->Reject(Rejection{ 409, "request_in_use", "a request with this identifier is running" });
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
  this->chosenId = true;
  this->account = resume.account;
  this->tier = aAccount.highestTier;
  this->nextNumber = resume.nextChunk;
  this->agent = this->head.agent;
  if (this->head.accept.find(kJson) == std::string::npos) {
    this->form = Form::kEvents;
    this->format.emplace(this->id, "", 0);
  }
  this->Wait();
  if (!this->host.Resume(resume.id, resume.account, resume.nextChunk, resume.agent, *this)) {
    this->StopWatching();
    this->Reject(Rejection{ 409, "request_in_use", "another caller waits for this answer" });
    soup_server_message_unpause(this->message.get());
  }
}

// Holds the answer back until there is something to send.
void CallerExchange::Wait()
{
  this->state = State::kWaiting;
  this->submittedAt = this->host.Time().steady;
  soup_server_message_pause(this->message.get());
  this->WatchHangUp();
}

void CallerExchange::OnAgent(const std::string& aName)
{
  this->agent = aName;
}

void CallerExchange::OnChunk(const std::string& aData)
{
  const TimePoint now = this->host.Time().steady;
  if (!this->firstAfter) {
    this->firstAfter = now - this->submittedAt;
    this->metrics.ObserveFirstToken(this->tier, *this->firstAfter);
  } else {
    this->metrics.ObserveInterToken(this->tier, now - this->chunkAt);
  }
  this->chunkAt = now;
  if (this->form != Form::kEvents) {
    this->collected += aData;
    return;
  }
  if (this->state == State::kWaiting) {
    this->StartStream();
  }
  this->Write(this->format->Event(this->nextNumber++, aData));
}

void CallerExchange::OnFinal(const FinalAnswer& aAnswer)
{
  this->CountResult(aAnswer);
  this->StopWatching();
  const bool answered = aAnswer.outcome == Outcome::kAnswered;
  const bool events = this->form == Form::kEvents;
  if (this->state == State::kStreaming || (events && answered)) {
    if (this->state == State::kWaiting) {
      this->StartStream();
    }
    this->Write(this->format->LastEvent(aAnswer));
    soup_message_body_complete(soup_server_message_get_response_body(this->message.get()));
  } else if (answered) {
    this->SendWhole(aAnswer);
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

// Appends to a streamed answer. A caller that leaves too much unread is cut off, so that its answer
// does not fill the memory of the entry.
void CallerExchange::Write(const std::string& aData)
{
  this->unread += aData.size();
  if (this->unread > this->limits.maxUnreadBytes) {
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

void CallerExchange::SendWhole(const FinalAnswer& aAnswer)
{
  this->SetAnswerHeaders();
  soup_message_headers_replace(soup_server_message_get_response_headers(this->message.get()),
                               "Caraway-Outcome", "answered");
  const std::string body =
    this->form == Form::kWhole ? this->format->Whole(this->collected, aAnswer) : this->collected;
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
  const Duration whole = this->host.Time().steady - this->submittedAt;
  const bool startKept =
    this->startWithin == Duration::zero() || this->firstAfter.value_or(whole) <= this->startWithin;
  const bool endKept = this->endWithin == Duration::zero() || whole <= this->endWithin;
  const bool answered = aAnswer.outcome == Outcome::kAnswered;
  this->metrics.CountResult({ this->account, this->tier, aAnswer.outcome, aAnswer.reason,
                              answered && startKept && endKept });
}

// libsoup does not look at a paused connection, so the closing of the caller's side is watched
// here.
void CallerExchange::WatchHangUp()
{
  GSocket* socket = soup_server_message_get_socket(this->message.get());
  if (socket == nullptr) {
    return;
  }
  this->hangUpWatch =
    g_unix_fd_add(g_socket_get_fd(socket), static_cast<GIOCondition>(POLLRDHUP | POLLHUP | POLLERR),
                  &CallerExchange::OnHangUp, this);
}

void CallerExchange::StopWatching()
{
  if (this->hangUpWatch != 0) {
    g_source_remove(this->hangUpWatch);
    this->hangUpWatch = 0;
  }
}

int CallerExchange::OnHangUp(int, GIOCondition, void* aData)
{
  auto* self = static_cast<CallerExchange*>(aData);
  self->hangUpWatch = 0;
  self->Gone();
  self->owner.Drop(*self);
  return G_SOURCE_REMOVE;
}

// A caller may come back for its answer if it knows the identifier.
void CallerExchange::Gone()
{
  this->StopWatching();
  if (this->state != State::kWaiting && this->state != State::kStreaming) {
    return;
  }
  const bool mayResume = this->chosenId || this->state == State::kStreaming;
  this->state = State::kEnded;
  this->host.CallerGone(this->id, mayResume);
}

} // namespace caraway
