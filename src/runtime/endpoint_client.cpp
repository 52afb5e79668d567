#include "runtime/endpoint_client.h"

#include "core/uuid.h"
#include "runtime/sse_reader.h"

#include <glib.h>
#include <nlohmann/json.hpp>

#include <memory>
#include <string_view>
#include <utility>

namespace caraway {

namespace {

using Json = nlohmann::json;

constexpr Duration kControlTimeout = std::chrono::seconds(5);
constexpr std::size_t kMaxErrorBodyBytes = 65536; // kept of an error response body
constexpr std::uint16_t kFirstErrorStatus = 400;
constexpr std::uint16_t kFirstServerError = 500;
constexpr std::uint16_t kStatusOk = 200;
constexpr std::string_view kDoneMarker = "[DONE]";

// Request body for a stream with token usage, whether or not the caller asked for one.
std::string WithStreaming(const std::string& aBody)
{
  Json body = Json::parse(aBody, nullptr, false);
  if (!body.is_object()) {
    return aBody;
  }
  body["stream"] = true;
  body["stream_options"] = Json{ { "include_usage", true } };
  return body.dump(-1, ' ', false, Json::error_handler_t::replace);
}

// Percent-encodes a decoded path, so that the endpoint decodes the same path and no query.
std::string EncodePath(const std::string& aPath)
{
  const std::unique_ptr<char, decltype(&g_free)> encoded(
    g_uri_escape_string(aPath.c_str(), "/:@!$&'()*+,;=", FALSE), &g_free);
  return encoded.get();
}

// Completion text from the events of one read.
struct StreamedText
{
  std::uint32_t tokens = 0;
  std::string text;
};

} // namespace

// One request in progress at the endpoint.
class EndpointClient::ActiveRequest
{
public:
  ActiveRequest(RequestId aId, WorkKind aKind, EndpointClient& aOwner)
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
      const std::size_t room = kMaxErrorBodyBytes - this->result.body.size();
      this->isBodyCut |= aData.size() > room;
      this->result.body.append(aData.substr(0, room));
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
    this->result.end = this->ClassifyEnd(aEnd);
    this->owner.OnEnd(this->id, this->result);
  }

private:
  WorkEnd ClassifyEnd(const HttpEnd& aEnd) const
  {
    if (!aEnd.sent) {
      return WorkEnd::kUnsent;
    }
    if (this->hasFailed) {
      return WorkEnd::kError;
    }
    if (this->hasDoneMarker) {
      return WorkEnd::kComplete;
    }
    if (aEnd.error) {
      return WorkEnd::kBroken;
    }
    if (aEnd.status >= kFirstErrorStatus) {
      const bool isPassedOn = aEnd.status < kFirstServerError;
      return isPassedOn && this->isBodyCut ? WorkEnd::kBroken : WorkEnd::kError;
    }
    return this->kind == WorkKind::kCompletion ? WorkEnd::kBroken : WorkEnd::kComplete;
  }

  // Delivers the text of all events completed by this read as one chunk.
  void ReadStream(std::string_view aData)
  {
    StreamedText streamed;
    const bool isWithinLimit =
      this->reader.Feed(aData, [&](std::string_view aValue) { this->ReadValue(aValue, streamed); });
    this->hasFailed |= !isWithinLimit;
    if (streamed.tokens > 0) {
      this->owner.handler.OnWorkChunk(this->id, streamed.tokens, streamed.text);
    }
  }

  void ReadValue(std::string_view aValue, StreamedText& aStreamed)
  {
    if (aValue == kDoneMarker) {
      this->hasDoneMarker = true;
      return;
    }
    this->ReadEvent(Json::parse(aValue, nullptr, false), aStreamed);
  }

  void ReadEvent(const Json& aEvent, StreamedText& aStreamed)
  {
    if (!aEvent.is_object() || aEvent.contains("error")) {
      this->hasFailed = true;
      return;
    }
    const auto usage = aEvent.find("usage");
    if (usage != aEvent.end() && usage->is_object()) {
      this->result.promptTokens = usage->value("prompt_tokens", 0U);
      this->result.outputTokens = usage->value("completion_tokens", 0U);
    }
    const Json::json_pointer contentPath("/choices/0/delta/content");
    if (!aEvent.contains(contentPath) || !aEvent[contentPath].is_string()) {
      return;
    }
    const auto& text = aEvent[contentPath].get_ref<const std::string&>();
    if (!text.empty()) {
      aStreamed.tokens += 1;
      aStreamed.text += text;
    }
  }

  RequestId id;
  WorkKind kind;
  EndpointClient& owner;
  WorkResult result;
  SseReader reader;
  bool hasDoneMarker = false;
  bool isBodyCut = false; // the body of an error exceeds its limit
  bool hasFailed = false; // the stream contained an error or is malformed
};

EndpointClient::EndpointClient(std::string aAddress, EndpointHandler& aHandler)
  : address(std::move(aAddress))
  , handler(aHandler)
  , streamSession(Duration::zero())
  , controlSession(kControlTimeout)
{
}

EndpointClient::~EndpointClient() = default;

void EndpointClient::Dispatch(const RequestId& aId, WorkKind aKind, const std::string& aRoute,
                              const std::string& aBody)
{
  HttpRequest request;
  request.method = "POST";
  request.address = this->address;
  request.path = EncodePath(aRoute);
  request.headers = { { "Caraway-Request-Id", FormatUuid(aId) } };
  request.body = aKind == WorkKind::kCompletion ? WithStreaming(aBody) : aBody;
  const auto activeRequest = std::make_shared<ActiveRequest>(aId, aKind, *this);
  this->activeRequests[aId] = activeRequest;
  HttpHandlers handlers;
  handlers.head = [activeRequest](const ResponseHead& aHead) {
    activeRequest->OnHead(aHead.status);
  };
  handlers.data = [activeRequest](std::string_view aData) { activeRequest->OnData(aData); };
  handlers.end = [activeRequest](const HttpEnd& aEnd) { activeRequest->OnEnd(aEnd); };
  activeRequest->call = this->streamSession.Start(request, std::move(handlers));
}

void EndpointClient::Abort(const RequestId& aId)
{
  const auto found = this->activeRequests.find(aId);
  if (found == this->activeRequests.end()) {
    return;
  }
  const std::shared_ptr<ActiveRequest> activeRequest = found->second;
  this->activeRequests.erase(found);
  CancelCall(activeRequest->call);
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
  this->controlSession.Start(request, std::move(handlers));
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
  this->controlSession.Start(request, std::move(handlers));
}

void EndpointClient::OnEnd(const RequestId& aId, const WorkResult& aResult)
{
  this->activeRequests.erase(aId);
  this->handler.OnWorkEnd(aId, aResult);
}

} // namespace caraway
