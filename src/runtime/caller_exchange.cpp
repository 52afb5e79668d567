#include "runtime/caller_exchange.h"

#include "core/uuid.h"

#include <libsoup/soup.h>

#include <utility>

namespace caraway {

namespace {

constexpr const char* kJson = "application/json";

// Path of a request target in origin or absolute form, decoded; nullopt if it has none, or leads
// upwards.
std::optional<std::string> PathOf(std::string_view aTarget)
{
  std::string_view rest = aTarget.substr(0, aTarget.find_first_of("?#"));
  if (!rest.starts_with('/')) {
    const std::size_t scheme = rest.find("://");
    if (scheme == std::string_view::npos) {
      return std::nullopt;
    }
    const std::size_t slash = rest.find('/', scheme + 3);
    rest = slash == std::string_view::npos ? "/" : rest.substr(slash);
  }
  const std::unique_ptr<char, decltype(&g_free)> decoded(
    g_uri_unescape_segment(rest.data(), rest.data() + rest.size(), nullptr), &g_free);
  if (decoded == nullptr) {
    return std::nullopt;
  }
  const std::string path = decoded.get();
  const bool leadsUpwards = path.find("/../") != std::string::npos || path.ends_with("/..");
  return leadsUpwards ? std::nullopt : std::optional(path);
}

// Values of a request's head that calls use.
CallHead ReadCallHead(const RequestHead& aHead, const std::string& aPath)
{
  CallHead read;
  read.method = aHead.method;
  read.path = aPath;
  const std::pair<std::string_view, std::string*> values[] = {
    { "Authorization", &read.authorization },
    { "Caraway-Tier", &read.tier },
    { "Caraway-Start-Within-Ms", &read.startWithinMs },
    { "Caraway-End-Within-Ms", &read.endWithinMs },
    { "Caraway-Request-Id", &read.requestId },
    { "Idempotency-Key", &read.idempotencyKey },
    { "Last-Event-ID", &read.lastEventId },
    { "Caraway-Agent", &read.agent },
    { "Accept", &read.accept },
  };
  for (const auto& [name, value] : values) {
    if (auto field = FindField(aHead.fields, name)) {
      *value = std::move(field->value);
    }
  }
  return read;
}

} // namespace

std::variant<AdmittedCall, Rejection> AdmitByHead(const ConfigState& aConfig,
                                                  const RequestHead& aHead)
{
  const std::optional<std::string> path = PathOf(aHead.target);
  if (!path) {
    return Rejection{ 400, "malformed", "the request target is not a path" };
  }
  const auto route = FindRoute(aHead.method, *path);
  if (const auto* rejection = std::get_if<Rejection>(&route)) {
    return *rejection;
  }
  AdmittedCall call{ ReadCallHead(aHead, *path), std::get<CallRoute>(route) };
  if (call.route == CallRoute::kHealth || call.route == CallRoute::kReady) {
    return call;
  }
  const auto authenticated = Authenticate(aConfig, call.head.authorization);
  if (const auto* rejection = std::get_if<Rejection>(&authenticated)) {
    return *rejection;
  }
  call.account = std::get<const Account*>(authenticated);
  return call;
}

void SendRejection(IngressExchange& aConnection, const Rejection& aRejection)
{
  HeaderFields fields{ { "Content-Type", kJson }, { "Caraway-Outcome", "not_run" } };
  if (aRejection.status == 503) {
    fields.push_back({ "Retry-After", RetryAfterSeconds(std::chrono::seconds(1)) });
  }
  aConnection.Respond(aRejection.status, soup_status_get_phrase(aRejection.status), fields,
                      RejectionJson(aRejection));
}

CallerExchange::CallerExchange(std::shared_ptr<IngressExchange> aConnection,
                               IngressRequest aRequest, EntryHost& aHost, Metrics& aMetrics,
                               Random& aRandom, ExchangeOwner& aOwner)
  : connection(std::move(aConnection))
  , request(std::move(aRequest))
  , host(aHost)
  , metrics(aMetrics)
  , random(aRandom)
  , owner(aOwner)
{
}

void CallerExchange::Run()
{
  auto admitted = AdmitByHead(this->host.Config(), this->request.head);
  if (const auto* rejection = std::get_if<Rejection>(&admitted)) {
    this->Reject(*rejection);
    return;
  }
  auto& call = std::get<AdmittedCall>(admitted);
  this->head = std::move(call.head);
  if (call.route == CallRoute::kHealth) {
    this->Send(200, { { "Content-Type", "text/plain" } }, "ok\n");
  } else if (call.route == CallRoute::kReady) {
    const bool isReady = this->host.IsReady();
    this->Send(isReady ? 200 : 503, { { "Content-Type", "text/plain" } },
               isReady ? "ready\n" : "not ready\n");
  } else {
    this->RunCall(call.route, *call.account);
  }
}

void CallerExchange::Reject(const Rejection& aRejection)
{
  this->metrics.CountRejected(aRejection.status);
  this->owner.BeforeAnswer();
  SendRejection(*this->connection, aRejection);
  this->End();
}

void CallerExchange::RunCall(CallRoute aRoute, const Account& aAccount)
{
  if (aRoute == CallRoute::kResume) {
    this->RunResume(aAccount);
    return;
  }
  const ConfigState& config = this->host.Config();
  const bool completion = aRoute == CallRoute::kCompletion;
  const std::string body = std::move(this->request.body);
  auto parsed = completion ? ParseCompletion(config, aAccount, this->head, body)
                           : ParseService(config, aAccount, this->head, body);
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
  this->submittedAt = this->host.CurrentTime().steady;
  this->isSubmitted = true;
  if (!this->host.Submit(std::move(submission), *this)) {
    this->isSubmitted = false;
    this->Reject(
      Rejection{ 409, "request_in_use", "a request with this identifier is already running" });
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
  this->submittedAt = this->host.CurrentTime().steady;
  this->isSubmitted = true;
  if (!this->host.Resume(resume.id, resume.account, resume.nextChunk, resume.agent, *this)) {
    this->isSubmitted = false;
    this->Reject(
      Rejection{ 409, "request_in_use", "another caller is already waiting for this answer" });
  }
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
  this->connection->WriteBody(this->format->Event(this->nextEventNumber++, aData));
}

void CallerExchange::OnFinal(const FinalAnswer& aAnswer)
{
  this->isSubmitted = false;
  this->CountResult(aAnswer);
  const bool isAnswered = aAnswer.outcome == Outcome::kAnswered;
  const bool isEventStream = this->bodyFormat == BodyFormat::kEvents;
  if (this->state == State::kStreaming || (isEventStream && isAnswered)) {
    if (this->state == State::kWaiting) {
      this->StartStream();
    }
    this->connection->WriteBody(this->format->LastEvent(aAnswer));
    this->connection->FinishBody();
    this->End();
  } else if (isAnswered) {
    this->SendComplete(aAnswer);
  } else {
    this->SendRefusal(aAnswer);
  }
}

void CallerExchange::StartStream()
{
  this->state = State::kStreaming;
  HeaderFields fields = this->AnswerFields("text/event-stream");
  fields.push_back({ "Cache-Control", "no-store" });
  this->owner.BeforeAnswer();
  this->connection->BeginBody(200, soup_status_get_phrase(200), fields, std::nullopt);
}

HeaderFields CallerExchange::AnswerFields(const char* aType) const
{
  HeaderFields fields{ { "Content-Type", aType }, { "Caraway-Request-Id", FormatUuid(this->id) } };
  if (!this->agent.empty()) {
    fields.push_back({ "Caraway-Agent", this->agent });
  }
  return fields;
}

void CallerExchange::SendComplete(const FinalAnswer& aAnswer)
{
  HeaderFields fields = this->AnswerFields(kJson);
  fields.push_back({ "Caraway-Outcome", "answered" });
  const std::string body = this->bodyFormat == BodyFormat::kSingleJson
                             ? this->format->CompleteJson(this->bufferedAnswer, aAnswer)
                             : std::move(this->bufferedAnswer);
  this->Send(HttpStatusOf(aAnswer), fields, body);
}

void CallerExchange::SendRefusal(const FinalAnswer& aAnswer)
{
  HeaderFields fields = this->AnswerFields(kJson);
  fields.push_back({ "Caraway-Outcome", ToString(aAnswer.outcome) });
  if (aAnswer.retryAfter > Duration::zero()) {
    const auto wait = std::chrono::ceil<std::chrono::milliseconds>(aAnswer.retryAfter);
    fields.push_back({ "Retry-After", RetryAfterSeconds(aAnswer.retryAfter) });
    fields.push_back({ "Caraway-Retry-After-Ms", std::to_string(wait.count()) });
  }
  this->Send(HttpStatusOf(aAnswer), fields, RefusalJson(aAnswer));
}

void CallerExchange::Send(std::uint16_t aStatus, const HeaderFields& aFields,
                          std::string_view aBody)
{
  this->owner.BeforeAnswer();
  this->connection->Respond(aStatus, soup_status_get_phrase(aStatus), aFields, aBody);
  this->End();
}

void CallerExchange::End()
{
  this->state = State::kEnded;
  this->owner.OnEnded(*this);
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

// The answer may be resumed if the caller knows the identifier: it chose it, or it was sent in the
// headers of the stream.
void CallerExchange::OnCallerGone()
{
  if (this->state == State::kEnded) {
    return;
  }
  const bool mayResume = this->isIdFromCaller || this->state == State::kStreaming;
  if (std::exchange(this->isSubmitted, false)) {
    this->host.OnCallerGone(this->id, mayResume);
  }
  this->End();
}

} // namespace caraway
