#include "runtime/http_call.h"

#include <utility>

namespace caraway {

namespace {

constexpr gsize kReadBytes = 16384;
constexpr int kMaxConnections = 20000;

guint SecondsRoundedUp(Duration aTime)
{
  return static_cast<guint>(std::chrono::ceil<std::chrono::seconds>(aTime).count());
}

std::error_code ToErrorCode(const GError* aError)
{
  if (aError->domain != G_IO_ERROR) {
    return std::make_error_code(std::errc::protocol_error);
  }
  switch (aError->code) {
    case G_IO_ERROR_TIMED_OUT:
      return std::make_error_code(std::errc::timed_out);
    case G_IO_ERROR_CONNECTION_REFUSED:
      return std::make_error_code(std::errc::connection_refused);
    case G_IO_ERROR_CANCELLED:
      return std::make_error_code(std::errc::operation_canceled);
    default:
      return std::make_error_code(std::errc::connection_reset);
  }
}

SoupMessage* MakeMessage(const HttpRequest& aRequest)
{
  const std::string uri = "http://" + aRequest.address + aRequest.path;
  SoupMessage* message = soup_message_new(aRequest.method.c_str(), uri.c_str());
  if (message == nullptr) {
    return nullptr;
  }
  SoupMessageHeaders* headers = soup_message_get_request_headers(message);
  for (const HttpHeader& header : aRequest.headers) {
    soup_message_headers_replace(headers, header.name.c_str(), header.value.c_str());
  }
  if (!aRequest.body.empty()) {
    GBytes* bytes = g_bytes_new(aRequest.body.data(), aRequest.body.size());
    soup_message_set_request_body_from_bytes(message, "application/json", bytes);
    g_bytes_unref(bytes);
  }
  guint flags = SOUP_MESSAGE_NO_REDIRECT | SOUP_MESSAGE_DO_NOT_USE_AUTH_CACHE;
  if (aRequest.freshConnection) {
    flags |= SOUP_MESSAGE_NEW_CONNECTION;
    soup_message_headers_replace(headers, "Connection", "close");
  }
  soup_message_set_flags(message, static_cast<SoupMessageFlags>(flags));
  return message;
}

} // namespace

class HttpCall : public std::enable_shared_from_this<HttpCall>
{
public:
  HttpCall(HttpSession& aSession, HttpHandlers aHandlers)
    : owner(&aSession)
    , handlers(std::make_shared<HttpHandlers>(std::move(aHandlers)))
    , cancellable(g_cancellable_new())
  {
  }

  ~HttpCall()
  {
    g_clear_object(&this->stream);
    g_clear_object(&this->message);
    g_object_unref(this->cancellable);
  }

  HttpCall(const HttpCall&) = delete;
  HttpCall& operator=(const HttpCall&) = delete;

  void Start(SoupSession* aSession, const HttpRequest& aRequest)
  {
    this->message = MakeMessage(aRequest);
    if (this->message == nullptr) {
      g_idle_add(&HttpCall::OnBadAddress, this->Keep());
      return;
    }
    g_signal_connect(this->message, "starting", G_CALLBACK(&HttpCall::OnStarting), this);
    if (aRequest.freshConnection) {
      g_signal_connect(this->message, "restarted", G_CALLBACK(&HttpCall::OnRestarted), this);
    }
    soup_session_send_async(aSession, this->message, G_PRIORITY_DEFAULT, this->cancellable,
                            &HttpCall::OnSent, this->Keep());
  }

  // Stops the call without a word to its handlers.
  void Cancel()
  {
    this->handlers.reset();
    this->Detach();
    g_cancellable_cancel(this->cancellable);
  }

  void Detach()
  {
    if (this->owner != nullptr) {
      std::exchange(this->owner, nullptr)->calls.erase(this->shared_from_this());
    }
  }

  void Orphan() { this->owner = nullptr; }

private:
  // Reference held by a pending operation of the main loop.
  using Reference = std::shared_ptr<HttpCall>;

  Reference* Keep() { return new Reference(this->shared_from_this()); }

  static Reference Take(gpointer aData)
  {
    const std::unique_ptr<Reference> held(static_cast<Reference*>(aData));
    return *held;
  }

  static gboolean OnBadAddress(gpointer aData)
  {
    Take(aData)->End(std::make_error_code(std::errc::invalid_argument));
    return G_SOURCE_REMOVE;
  }

  static void OnStarting(SoupMessage*, gpointer aData)
  {
    static_cast<HttpCall*>(aData)->sent = true;
  }

  // libsoup is about to send the request again: the second try is stopped before it is sent.
  static void OnRestarted(SoupMessage*, gpointer aData)
  {
    g_cancellable_cancel(static_cast<HttpCall*>(aData)->cancellable);
  }

  static void OnSent(GObject* aSource, GAsyncResult* aResult, gpointer aData)
  {
    const Reference call = Take(aData);
    GError* error = nullptr;
    call->stream = soup_session_send_finish(SOUP_SESSION(aSource), aResult, &error);
    if (call->stream == nullptr) {
      call->EndWith(error);
      return;
    }
    call->status = static_cast<std::uint16_t>(soup_message_get_status(call->message));
    const auto handlers = call->handlers;
    if (handlers != nullptr && handlers->head) {
      handlers->head(call->status, soup_message_get_response_headers(call->message));
    }
    call->Read();
  }

  void Read()
  {
    g_input_stream_read_bytes_async(this->stream, kReadBytes, G_PRIORITY_DEFAULT, this->cancellable,
                                    &HttpCall::OnRead, this->Keep());
  }

  static void OnRead(GObject* aSource, GAsyncResult* aResult, gpointer aData)
  {
    const Reference call = Take(aData);
    GError* error = nullptr;
    GBytes* bytes = g_input_stream_read_bytes_finish(G_INPUT_STREAM(aSource), aResult, &error);
    if (bytes == nullptr) {
      call->EndWith(error);
      return;
    }
    gsize size = 0;
    const auto* data = static_cast<const char*>(g_bytes_get_data(bytes, &size));
    const auto handlers = call->handlers;
    if (size > 0 && handlers != nullptr && handlers->data) {
      handlers->data(std::string_view(data, size));
    }
    g_bytes_unref(bytes);
    if (size == 0) {
      call->End(std::error_code());
      return;
    }
    call->Read();
  }

  void EndWith(GError* aError)
  {
    const std::error_code error = ToErrorCode(aError);
    g_error_free(aError);
    this->End(error);
  }

  void End(std::error_code aError)
  {
    this->Detach();
    if (this->message != nullptr) {
      g_signal_handlers_disconnect_by_data(this->message, this);
    }
    const auto taken = std::exchange(this->handlers, nullptr);
    if (taken != nullptr && taken->end) {
      taken->end(HttpEnd{ aError, this->sent, this->status });
    }
  }

  HttpSession* owner;
  std::shared_ptr<HttpHandlers> handlers; // a running handler may cancel the call
  GCancellable* cancellable;
  SoupMessage* message = nullptr;
  GInputStream* stream = nullptr;
  bool sent = false;
  std::uint16_t status = 0;
};

HttpSession::HttpSession(Duration aIoTimeout)
  : session(soup_session_new_with_options("max-conns", kMaxConnections, "max-conns-per-host",
                                          kMaxConnections, "timeout", SecondsRoundedUp(aIoTimeout),
                                          "proxy-resolver", nullptr, nullptr))
{
  soup_session_remove_feature_by_type(this->session, SOUP_TYPE_CONTENT_DECODER);
  soup_session_remove_feature_by_type(this->session, SOUP_TYPE_AUTH_MANAGER);
}

HttpSession::~HttpSession()
{
  const auto running = std::exchange(this->calls, {});
  for (const std::shared_ptr<HttpCall>& call : running) {
    call->Orphan();
    call->Cancel();
  }
  g_object_unref(this->session);
}

std::weak_ptr<HttpCall> HttpSession::Start(const HttpRequest& aRequest, HttpHandlers aHandlers)
{
  const auto call = std::make_shared<HttpCall>(*this, std::move(aHandlers));
  this->calls.insert(call);
  call->Start(this->session, aRequest);
  return call;
}

void CancelCall(const std::weak_ptr<HttpCall>& aCall)
{
  if (const std::shared_ptr<HttpCall> call = aCall.lock()) {
    call->Cancel();
  }
}

} // namespace caraway
