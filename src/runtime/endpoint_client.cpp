#include "runtime/endpoint_client.h"

#include "core/uuid.h"
#include "runtime/sse_reader.h"

#include <nlohmann/json.hpp>

#include <string_view>
#include <utility>

namespace caraway {

namespace {

using Json = nlohmann::json;

constexpr Duration kControlTimeout = std::chrono::seconds(5);
constexpr std::size_t kMaxErrorBody = 65536; // bytes kept of an error's body
constexpr std::uint16_t kFirstErrorStatus = 400;
constexpr std::uint16_t kFirstServerError = 500;
constexpr std::uint16_t kStatusOk = 200;
constexpr std::string_view kDone = "[DONE]";

// Engines are always asked for a stream with usage, whatever the caller asked for.
std::string AsStream(const std::string& aBody)
{
  Json body = Json::parse(aBody, nullptr, false);
  if (!body.is_object()) {
    return aBody;
  }
  body["stream"] = true;
  body["stream_options"] = Json{ { "include_usage", true } };
  return body.dump(-1, ' ', false, Json::error_handler_t::replace);
}

// Part of a completion gathered from the events of one read.
struct Gathered
{
  std::uint32_t tokens = 0;
  std::string text;
};

} // namespace

// One request at the endpoint.
class EndpointClient::Work
{
public:
  Work(RequestId aId, WorkKind aKind, EndpointClient& aOwner)
    : id(aId)
    , kind(aKind)
    , owner(aOwner)
  {
  }

  std::weak_ptr<HttpCall> call;

  void OnHead(std::uint16_t aStatus) { this->result.status = aStatus; }

  void OnData(std::string_view aData)
  {
    if (this->result.status >= kFirstErrorStatus) {
      this->result.body.append(
        aData.substr(0, kMaxErrorBody - std::min(kMaxErrorBody, this->result.body.size())));
      return;
    }
    if (this->kind == WorkKind::kCompletion) {
      this->ReadStream(aData);
      return;
    }
    this->result.body.append(aData);
  }

  void OnEnd(const HttpEnd& aEnd)
  {
    this->result.end = this->EndOf(aEnd);
    this->owner.OnEnd(this->id, this->result);
  }

private:
  WorkEnd EndOf(const HttpEnd& aEnd) const
  {
    if (!aEnd.sent) {
      return WorkEnd::kUnsent;
    }
    if (this->failed || aEnd.status >= kFirstErrorStatus) {
      return WorkEnd::kError;
    }
    if (this->done) {
      return WorkEnd::kComplete;
    }
    const bool whole = !aEnd.error && this->kind != WorkKind::kCompletion;
    return whole ? WorkEnd::kComplete : WorkEnd::kBroken;
  }

  // Passes on the text of all events that the read completed as one chunk.
  void ReadStream(std::string_view aData)
  {
    Gathered gathered;
    const bool fits =
      this->reader.Feed(aData, [&](std::string_view aValue) { this->ReadValue(aValue, gathered); });
    this->failed |= !fits;
    if (gathered.tokens > 0) {
      this->owner.handler.OnWorkChunk(this->id, gathered.tokens, gathered.text);
    }
  }

  void ReadValue(std::string_view aValue, Gathered& aGathered)
  {
    if (aValue == kDone) {
      this->done = true;
      return;
    }
    this->ReadEvent(Json::parse(aValue, nullptr, false), aGathered);
  }

  void ReadEvent(const Json& aEvent, Gathered& aGathered)
  {
    if (!aEvent.is_object() || aEvent.contains("error")) {
      this->failed = true;
      return;
    }
    const auto usage = aEvent.find("usage");
    if (usage != aEvent.end() && usage->is_object()) {
      this->result.promptTokens = usage->value("prompt_tokens", 0U);
      this->result.outputTokens = usage->value("completion_tokens", 0U);
    }
    const Json::json_pointer place("/choices/0/delta/content");
    if (!aEvent.contains(place) || !aEvent[place].is_string()) {
      return;
    }
    const auto& text = aEvent[place].get_ref<const std::string&>();
    if (!text.empty()) {
      aGathered.tokens += 1;
      aGathered.text += text;
    }
  }

  RequestId id;
  WorkKind kind;
  EndpointClient& owner;
  WorkResult result;
  SseReader reader;
  bool done = false;
  bool failed = false; // the stream carried an error or is malformed
};

EndpointClient::EndpointClient(std::string aAddress, EndpointHandler& aHandler)
  : address(std::move(aAddress))
  , handler(aHandler)
  , streams(Duration::zero())
  , controls(kControlTimeout)
{
}

EndpointClient::~EndpointClient() = default;

void EndpointClient::Dispatch(const RequestId& aId, WorkKind aKind, const std::string& aRoute,
                              const std::string& aBody)
{
  HttpRequest request;
  request.method = "POST";
  request.address = this->address;
  request.path = aRoute;
  request.headers = { { "Caraway-Request-Id", FormatUuid(aId) } };
  request.body = aKind == WorkKind::kCompletion ? AsStream(aBody) : aBody;
  const auto work = std::make_shared<Work>(aId, aKind, *this);
  this->works[aId] = work;
  HttpHandlers handlers;
  handlers.head = [work](std::uint16_t aStatus, SoupMessageHeaders*) { work->OnHead(aStatus); };
  handlers.data = [work](std::string_view aData) { work->OnData(aData); };
  handlers.end = [work](const HttpEnd& aEnd) { work->OnEnd(aEnd); };
  work->call = this->streams.Start(request, std::move(handlers));
}

void EndpointClient::Abort(const RequestId& aId)
{
  const auto found = this->works.find(aId);
  if (found == this->works.end()) {
    return;
  }
  const std::shared_ptr<Work> work = found->second;
  this->works.erase(found);
  CancelCall(work->call);
}

void EndpointClient::Probe()
{
  HttpRequest request;
  request.address = this->address;
  request.path = "/health";
  HttpHandlers handlers;
  handlers.end = [this](const HttpEnd& aEnd) {
    this->handler.OnProbe(!aEnd.error && aEnd.status < kFirstServerError);
  };
  this->controls.Start(request, std::move(handlers));
}

void EndpointClient::Order(LogOffset aFencing, const std::string& aBody)
{
  const Json order = Json::parse(aBody, nullptr, false);
  HttpRequest request;
  request.method = "POST";
  request.address = this->address;
  request.path = "/orders";
  request.body =
    Json{ { "fencing", aFencing }, { "order", order.is_discarded() ? Json() : order } }.dump();
  HttpHandlers handlers;
  handlers.end = [this, aFencing](const HttpEnd& aEnd) {
    this->handler.OnOrderDone(aFencing, !aEnd.error && aEnd.status == kStatusOk);
  };
  this->controls.Start(request, std::move(handlers));
}

void EndpointClient::OnEnd(const RequestId& aId, const WorkResult& aResult)
{
  this->works.erase(aId);
  this->handler.OnWorkEnd(aId, aResult);
}

} // namespace caraway
