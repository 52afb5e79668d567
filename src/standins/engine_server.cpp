#include "standins/engine_server.h"

#include "standins/answer.h"
#include "standins/delayed.h"

#include <nlohmann/json.hpp>

#include <cstdlib>
#include <utility>

namespace caraway {

namespace {

using Json = nlohmann::json;

constexpr std::uint16_t kOk = 200;
constexpr std::uint16_t kBadRequest = 400;
constexpr std::uint16_t kNotFound = 404;
constexpr std::uint16_t kConflict = 409;
constexpr std::uint16_t kFailed = 500;
constexpr std::size_t kMaxCacheEvents = 4096;
constexpr std::uint64_t kPercent = 100;

std::string ErrorBody(const char* aText)
{
  return Json{ { "error", { { "message", aText } } } }.dump();
}

// Text of a message, whose content is a string or an array of parts.
std::string TextOf(const Json& aMessage)
{
  const Json& content = aMessage.at("content");
  if (content.is_string()) {
    return content.get<std::string>();
  }
  std::string text;
  for (const Json& part : content) {
    text += part.value("text", "");
  }
  return text;
}

// What a chat request asks for.
struct ChatRequest
{
  std::string prompt;          // all messages
  std::string lastUserMessage; // from which the answer is derived
  std::uint32_t maxTokens = 0;
};

ChatRequest ParseChat(const std::string& aBody)
{
  const Json body = Json::parse(aBody);
  ChatRequest request;
  for (const Json& message : body.at("messages")) {
    const std::string text = TextOf(message);
    request.prompt += text;
    if (message.at("role") == "user") {
      request.lastUserMessage = text;
    }
  }
  request.maxTokens = body.value("max_completion_tokens", body.value("max_tokens", 0U));
  return request;
}

// The tokens are hexadecimal digits and spaces: nothing in them needs escaping.
std::string TokenEvent(const std::string& aToken)
{
  return R"(data: {"object":"chat.completion.chunk","choices":[{"index":0,"delta":{"content":")" +
         aToken + "\"},\"finish_reason\":null}]}\n\n";
}

std::string FinalEvents(std::uint32_t aPromptTokens, std::uint32_t aOutputTokens)
{
  const Json stop{ { "object", "chat.completion.chunk" },
                   { "choices", Json::array({ { { "index", 0 },
                                                { "delta", Json::object() },
                                                { "finish_reason", "stop" } } }) } };
  const Json usage{ { "object", "chat.completion.chunk" },
                    { "choices", Json::array() },
                    { "usage",
                      { { "prompt_tokens", aPromptTokens },
                        { "completion_tokens", aOutputTokens },
                        { "total_tokens", aPromptTokens + aOutputTokens } } } };
  return "data: " + stop.dump() + "\n\ndata: " + usage.dump() + "\n\ndata: [DONE]\n\n";
}

} // namespace

EngineServer::EngineServer(const EngineOptions& aEngine, const EngineServerOptions& aOptions,
                           FaultPlan& aPlan, const Clock& aClock)
  : options(aOptions)
  , plan(aPlan)
  , clock(aClock)
  , model(aEngine)
  , timer([this] { this->Step(); })
{
  this->ReportLoad();
}

void EngineServer::Handle(const Exchange& aExchange)
{
  const std::string& path = aExchange->Path();
  const bool isPost = aExchange->Method() == "POST";
  if (isPost && path == "/fault") {
    this->SetFaults(aExchange);
  } else if (isPost && path == "/orders") {
    this->TakeOrder(aExchange);
  } else if (isPost) {
    this->Complete(aExchange);
  } else if (path == "/health") {
    aExchange->Answer(kOk, "{}");
  } else if (path == "/metrics") {
    aExchange->Answer(kOk, this->Metrics(), "text/plain");
  } else if (path == "/cache_events") {
    const std::string after = aExchange->Query("after");
    aExchange->Answer(kOk, this->CacheEvents(std::strtoull(after.c_str(), nullptr, 10)));
  } else if (path == "/counts") {
    aExchange->Answer(kOk, this->Counts());
  } else {
    aExchange->Answer(kNotFound, ErrorBody("no such call"));
  }
}

void EngineServer::Complete(const Exchange& aExchange)
{
  ++this->arrivals;
  ++this->arrivalsById[aExchange->Header("Caraway-Request-Id")];
  const EndpointFaults& faults = this->plan.Faults();
  if (!faults.crashOn.empty() && aExchange->Body().find(faults.crashOn) != std::string::npos) {
    Crash();
  }
  if (faults.closeAfterReading) {
    aExchange->Drop();
    return;
  }
  const Fate fate =
    this->plan.Decide(this->clock.Read().steady, aExchange->Path(), this->model.Load().running);
  // Half of the failures show at once, the others in the middle of the answer.
  if (fate.fails && this->arrivals % 2 == 0) {
    aExchange->Answer(kFailed, ErrorBody("internal error"));
    return;
  }
  this->Generate(aExchange, fate);
}

void EngineServer::Generate(const Exchange& aExchange, const Fate& aFate)
{
  const ChatRequest chat = ParseChat(aExchange->Body());
  EngineRequest request;
  request.key = ++this->lastKey;
  request.prompt = chat.prompt;
  request.outputTokens = ExpectedCount(chat.lastUserMessage, chat.maxTokens);
  request.stepsPerToken = aFate.slowFactor;
  Stream stream{ aExchange, chat.lastUserMessage, CountTokens(chat.prompt), request.outputTokens };
  if (aFate.fails) {
    stream.breakAt = request.outputTokens / 2;
  }
  this->streams.emplace(request.key, std::move(stream));
  aExchange->OnGone([this, key = request.key] { this->Cancel(key); });
  aExchange->StartStream("text/event-stream");
  this->model.Add(this->clock.Read().steady, request);
  this->Wake();
}

void EngineServer::Cancel(std::uint64_t aKey)
{
  this->streams.erase(aKey);
  this->model.Cancel(aKey);
  this->Wake();
}

void EngineServer::Step()
{
  const TimePoint now = this->clock.Read().steady;
  while (this->model.NextStep() <= now) {
    for (const EngineToken& token : this->model.Advance(now)) {
      this->Emit(token);
    }
  }
  this->GatherCacheEvents();
  this->Wake();
}

void EngineServer::Emit(const EngineToken& aToken)
{
  const auto found = this->streams.find(aToken.key);
  if (found == this->streams.end()) {
    return;
  }
  const Stream& stream = found->second;
  if (aToken.index >= stream.breakAt) {
    const Exchange broken = stream.exchange;
    this->Cancel(aToken.key);
    broken->Drop();
    return;
  }
  std::string text = TokenEvent(ExpectedToken(stream.message, aToken.index));
  if (aToken.last) {
    text += FinalEvents(stream.promptTokens, stream.outputTokens);
  }
  stream.exchange->Write(text);
  if (aToken.last) {
    stream.exchange->EndStream();
    this->streams.erase(found);
  }
}

void EngineServer::Wake()
{
  const TimePoint next = this->model.NextStep();
  if (next == kNever) {
    this->timer.Cancel();
    return;
  }
  this->timer.ArmAfter(std::max(Duration::zero(), next - this->clock.Read().steady));
}

void EngineServer::TakeOrder(const Exchange& aExchange)
{
  const Json body = Json::parse(aExchange->Body());
  const auto fencing = body.at("fencing").get<std::uint64_t>();
  if (this->options.checksFencing && fencing < this->lastFencing) {
    ++this->ordersRefused;
    aExchange->Answer(kConflict, ErrorBody("older fencing number"));
    return;
  }
  ++this->ordersTaken;
  this->lastFencing = fencing;
  aExchange->Answer(kOk, "{}");
}

void EngineServer::SetFaults(const Exchange& aExchange)
{
  EndpointFaults& faults = this->plan.Faults();
  ApplyFaults(Json::parse(aExchange->Body()), faults);
  this->model.SetSlowFactor(faults.slowFactor);
  this->model.SetStalled(this->clock.Read().steady, faults.stall);
  this->Wake();
  aExchange->Answer(kOk, "{}");
}

void EngineServer::ReportLoad()
{
  this->reported = this->model.Load();
  CallAfter(this->options.loadLag, [this] { this->ReportLoad(); });
}

// Takes the model's new cache events; some are lost on their way to the route.
void EngineServer::GatherCacheEvents()
{
  const TimePoint publishAt = this->clock.Read().steady + this->options.cacheLag;
  for (const CacheEvent& event : this->model.CacheEvents(this->lastCacheEvent)) {
    this->lastCacheEvent = event.sequence;
    const bool lost = HashOf("gap", event.sequence) % kPercent < this->options.cacheGapPercent;
    if (!lost) {
      this->cacheEvents.push_back({ publishAt, event });
    }
  }
  while (this->cacheEvents.size() > kMaxCacheEvents) {
    this->cacheEvents.pop_front();
  }
}

std::string EngineServer::Metrics() const
{
  return "engine_running_requests " + std::to_string(this->reported.running) +
         "\nengine_waiting_requests " + std::to_string(this->reported.waiting) +
         "\nengine_kv_used_ratio " + std::to_string(this->reported.kvUsedRatio) + "\n";
}

std::string EngineServer::CacheEvents(std::uint64_t aAfter) const
{
  const TimePoint now = this->clock.Read().steady;
  Json list = Json::array();
  for (const DatedCacheEvent& dated : this->cacheEvents) {
    if (dated.event.sequence > aAfter && dated.publishAt <= now) {
      list.push_back({ { "seq", dated.event.sequence },
                       { "kind", dated.event.stored ? "stored" : "removed" },
                       { "block", dated.event.block } });
    }
  }
  return Json{ { "events", std::move(list) } }.dump();
}

std::string EngineServer::Counts() const
{
  const EngineTotals& totals = this->model.Totals();
  const EngineLoad load = this->model.Load();
  return Json{
    { "arrivals", this->arrivals },
    { "by_request", this->arrivalsById },
    { "completed", totals.completed },
    { "cancelled", totals.cancelled },
    { "prefill_tokens", totals.prefillTokens },
    { "wasted_prefill_tokens", totals.wastedPrefillTokens },
    { "running", load.running },
    { "waiting", load.waiting },
    { "orders_taken", this->ordersTaken },
    { "orders_refused", this->ordersRefused },
    { "fencing", this->lastFencing }
  }.dump();
}

} // namespace caraway
