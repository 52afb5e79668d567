#include "standins/http_service.h"

#include "runtime/address.h"
#include "runtime/soup_listen.h"

#include <nlohmann/json.hpp>

#include <sys/socket.h>

#include <cerrno>
#include <utility>

namespace caraway {

HttpExchange::HttpExchange(SoupServerMessage* aMessage, const char* aPath, GHashTable* aQuery)
  : message(aMessage)
  , method(soup_server_message_get_method(aMessage))
  , path(aPath)
{
  GBytes* bytes = soup_message_body_flatten(soup_server_message_get_request_body(aMessage));
  gsize size = 0;
  const auto* data = static_cast<const char*>(g_bytes_get_data(bytes, &size));
  this->body.assign(data == nullptr ? "" : data, size);
  g_bytes_unref(bytes);
  if (aQuery == nullptr) {
    return;
  }
  GHashTableIter iterator;
  gpointer key = nullptr;
  gpointer value = nullptr;
  g_hash_table_iter_init(&iterator, aQuery);
  while (g_hash_table_iter_next(&iterator, &key, &value)) {
    this->query[static_cast<const char*>(key)] = static_cast<const char*>(value);
  }
}

HttpExchange::~HttpExchange()
{
  this->Finish();
}

std::string HttpExchange::Header(const char* aName) const
{
  if (this->message == nullptr) {
    return "";
  }
  SoupMessageHeaders* headers = soup_server_message_get_request_headers(this->message);
  const char* value = soup_message_headers_get_one(headers, aName);
  return value == nullptr ? "" : value;
}

std::string HttpExchange::Query(const std::string& aName) const
{
  const auto found = this->query.find(aName);
  return found == this->query.end() ? "" : found->second;
}

void HttpExchange::Answer(std::uint16_t aStatus, const std::string& aBody, const char* aType)
{
  if (this->message == nullptr || this->ended) {
    return;
  }
  this->ended = true;
  soup_server_message_set_status(this->message, aStatus, nullptr);
  soup_server_message_set_response(this->message, aType, SOUP_MEMORY_COPY, aBody.data(),
                                   aBody.size());
  soup_server_message_unpause(this->message);
}

void HttpExchange::StartStream(const char* aType)
{
  if (this->message == nullptr || this->ended) {
    return;
  }
  soup_server_message_set_status(this->message, SOUP_STATUS_OK, nullptr);
  SoupMessageHeaders* headers = soup_server_message_get_response_headers(this->message);
  soup_message_headers_set_encoding(headers, SOUP_ENCODING_CHUNKED);
  soup_message_headers_set_content_type(headers, aType, nullptr);
  soup_message_body_set_accumulate(soup_server_message_get_response_body(this->message), FALSE);
  soup_server_message_unpause(this->message);
}

void HttpExchange::Write(const std::string& aData)
{
  if (this->message == nullptr || this->ended) {
    return;
  }
  soup_message_body_append(soup_server_message_get_response_body(this->message), SOUP_MEMORY_COPY,
                           aData.data(), aData.size());
  soup_server_message_unpause(this->message);
}

void HttpExchange::EndStream()
{
  if (this->message == nullptr || this->ended) {
    return;
  }
  this->ended = true;
  soup_message_body_complete(soup_server_message_get_response_body(this->message));
  soup_server_message_unpause(this->message);
}

void HttpExchange::Drop()
{
  if (this->message == nullptr) {
    return;
  }
  this->ended = true;
  if (GSocket* socket = soup_server_message_get_socket(this->message)) {
    g_socket_shutdown(socket, TRUE, TRUE, nullptr);
  }
  soup_server_message_unpause(this->message);
}

void HttpExchange::OnGone(std::function<void()> aGone)
{
  this->gone = std::move(aGone);
  this->Watch();
}

// A paused answer does not read its socket, so that a close would go unseen while nothing is
// written.
void HttpExchange::Watch()
{
  GSocket* socket =
    this->message == nullptr ? nullptr : soup_server_message_get_socket(this->message);
  if (socket == nullptr || this->watch != nullptr) {
    return;
  }
  this->watch = g_socket_create_source(socket, G_IO_IN, nullptr);
  const GSocketSourceFunc callback = &HttpExchange::OnReadable;
  g_source_set_callback(this->watch, G_SOURCE_FUNC(callback), this, nullptr);
  g_source_attach(this->watch, nullptr);
}

gboolean HttpExchange::OnReadable(GSocket* aSocket, GIOCondition, gpointer aSelf)
{
  auto* self = static_cast<HttpExchange*>(aSelf);
  char byte = 0;
  const ssize_t size = recv(g_socket_get_fd(aSocket), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
  const bool isReset = size < 0 && errno != EAGAIN && errno != EWOULDBLOCK;
  g_clear_pointer(&self->watch, g_source_unref);
  if (size == 0 || isReset) {
    self->Gone();
  }
  return G_SOURCE_REMOVE;
}

void HttpExchange::Gone()
{
  if (this->ended) {
    return;
  }
  const std::function<void()> callback = std::exchange(this->gone, nullptr);
  this->Drop();
  if (callback) {
    callback();
  }
}

void HttpExchange::Finish()
{
  if (this->watch != nullptr) {
    g_source_destroy(this->watch);
    g_clear_pointer(&this->watch, g_source_unref);
  }
  const std::function<void()> callback = std::exchange(this->gone, nullptr);
  this->message = nullptr;
  if (!std::exchange(this->ended, true) && callback) {
    callback();
  }
}

HttpService::HttpService(Handler aHandler)
  : handler(std::move(aHandler))
  , server(soup_server_new(nullptr, nullptr))
{
  soup_server_add_handler(this->server, nullptr, &HttpService::OnRequest, this, nullptr);
}

HttpService::~HttpService()
{
  for (const auto& [message, exchange] : std::exchange(this->exchanges, {})) {
    g_signal_handlers_disconnect_by_data(message, this);
    exchange->OnGone(nullptr);
    exchange->Finish();
  }
  soup_server_disconnect(this->server);
  g_object_unref(this->server);
}

std::optional<std::uint16_t> HttpService::Listen(const std::string& aAddress)
{
  const std::optional<Address> address = ParseAddress(aAddress);
  if (!address || ListenAt(this->server, *address, false)) {
    return std::nullopt;
  }
  return PortOf(this->server);
}

void HttpService::OnRequest(SoupServer*, SoupServerMessage* aMessage, const char* aPath,
                            GHashTable* aQuery, gpointer aSelf)
{
  auto* self = static_cast<HttpService*>(aSelf);
  const auto exchange = std::make_shared<HttpExchange>(aMessage, aPath, aQuery);
  self->exchanges[aMessage] = exchange;
  g_signal_connect(aMessage, "finished", G_CALLBACK(&HttpService::OnFinished), aSelf);
  soup_server_message_pause(aMessage);
  try {
    self->handler(exchange);
  } catch (const nlohmann::json::exception& error) {
    exchange->Answer(SOUP_STATUS_BAD_REQUEST, nlohmann::json{ { "error", error.what() } }.dump());
  }
}

void HttpService::OnFinished(SoupServerMessage* aMessage, gpointer aSelf)
{
  auto* self = static_cast<HttpService*>(aSelf);
  const auto node = self->exchanges.extract(aMessage);
  if (!node.empty()) {
    node.mapped()->Finish();
  }
}

} // namespace caraway
