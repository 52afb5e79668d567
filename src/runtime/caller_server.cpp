#include "runtime/caller_server.h"

#include "runtime/error.h"
#include "runtime/soup_listen.h"

#include <algorithm>
#include <utility>

namespace caraway {

CallerServer::CallerServer(const EntrySettings& aSettings, EntryHost& aHost, Metrics& aMetrics,
                           Random& aRandom)
  : settings(aSettings)
  , host(aHost)
  , metrics(aMetrics)
  , random(aRandom)
  , server(soup_server_new("server-header", "caraway-entry", nullptr))
{
  this->limits.maxBodyBytes = aSettings.maxBodyBytes;
  this->limits.readTimeout = std::chrono::milliseconds(aSettings.requestReadMs);
  SoupServer* soup = this->server.get();
  g_signal_connect(soup, "request-started", G_CALLBACK(&CallerServer::OnStarted), this);
  g_signal_connect(soup, "request-finished", G_CALLBACK(&CallerServer::OnEnded), this);
  g_signal_connect(soup, "request-aborted", G_CALLBACK(&CallerServer::OnEnded), this);
  soup_server_add_early_handler(soup, nullptr, &CallerServer::OnHead, this, nullptr);
  soup_server_add_handler(soup, nullptr, &CallerServer::OnRequest, this, nullptr);
}

CallerServer::~CallerServer()
{
  g_signal_handlers_disconnect_by_data(this->server.get(), this);
  this->exchanges.clear();
  soup_server_disconnect(this->server.get());
}

std::error_code CallerServer::Start()
{
  const bool isTls = this->settings.tls.has_value();
  if (isTls) {
    GError* raw = nullptr;
    const ObjectPtr<GTlsCertificate> certificate(g_tls_certificate_new_from_files(
      this->settings.tls->certificateFile.c_str(), this->settings.tls->keyFile.c_str(), &raw));
    const ErrorPtr error(raw);
    if (!certificate) {
      return ToErrorCode(error.get());
    }
    soup_server_set_tls_certificate(this->server.get(), certificate.get());
  }
  const std::error_code error = ListenAt(this->server.get(), this->settings.listen, isTls);
  this->port = PortOf(this->server.get());
  return error;
}

// Closes the listening sockets directly, as soup_server_disconnect would also abort calls in
// progress.
void CallerServer::StopListening()
{
  GSList* listeners = soup_server_get_listeners(this->server.get());
  for (GSList* item = listeners; item != nullptr; item = item->next) {
    g_socket_close(G_SOCKET(item->data), nullptr);
  }
  g_slist_free(listeners);
}

bool CallerServer::IsIdle() const
{
  return this->refused.empty() &&
         std::none_of(this->exchanges.begin(), this->exchanges.end(),
                      [](const auto& aItem) { return aItem.second->IsBusy(); });
}

// Answers on the raw connection, because libsoup would first read the rest of the request.
void CallerServer::Refuse(CallerExchange& aExchange, const Rejection& aRejection)
{
  this->metrics.CountRejected(aRejection.status);
  GSocket* raw = soup_server_message_get_socket(aExchange.Message());
  ObjectPtr<GSocket> socket = raw != nullptr ? ShareObject(raw) : nullptr;
  ObjectPtr<GIOStream> stream = this->TakeConnection(aExchange);
  if (!stream) {
    return;
  }
  const auto place = this->refused.emplace(this->refused.end());
  *place = std::make_unique<RefusedConnection>(std::move(stream), std::move(socket), aRejection,
                                               [this, place] { this->refused.erase(place); });
}

void CallerServer::Drop(CallerExchange& aExchange)
{
  const ObjectPtr<GIOStream> stream = this->TakeConnection(aExchange);
  if (stream) {
    g_io_stream_close_async(stream.get(), G_PRIORITY_DEFAULT, nullptr, nullptr, nullptr);
  }
}

// Ends the exchange and takes its connection from libsoup.
ObjectPtr<GIOStream> CallerServer::TakeConnection(CallerExchange& aExchange)
{
  const auto found = this->exchanges.find(aExchange.Message());
  if (found == this->exchanges.end()) {
    return nullptr;
  }
  const std::unique_ptr<CallerExchange> exchange = std::move(found->second);
  this->exchanges.erase(found);
  exchange->OnFinished();
  return ObjectPtr<GIOStream>(soup_server_message_steal_connection(exchange->Message()));
}

void CallerServer::OnStarted(SoupServer*, SoupServerMessage* aMessage, void* aData)
{
  auto* self = static_cast<CallerServer*>(aData);
  self->exchanges[aMessage] = std::make_unique<CallerExchange>(aMessage, self->limits, self->host,
                                                               self->metrics, self->random, *self);
}

void CallerServer::OnDisconnected(CallerExchange& aExchange)
{
  this->End(aExchange.Message());
}

void CallerServer::OnHead(SoupServer*, SoupServerMessage* aMessage, const char*, GHashTable*,
                          void* aData)
{
  if (CallerExchange* exchange = static_cast<CallerServer*>(aData)->Find(aMessage)) {
    exchange->OnHead();
  }
}

void CallerServer::OnRequest(SoupServer*, SoupServerMessage* aMessage, const char*, GHashTable*,
                             void* aData)
{
  if (CallerExchange* exchange = static_cast<CallerServer*>(aData)->Find(aMessage)) {
    exchange->OnRequest();
  }
}

void CallerServer::OnEnded(SoupServer*, SoupServerMessage* aMessage, void* aData)
{
  static_cast<CallerServer*>(aData)->End(aMessage);
}

void CallerServer::End(SoupServerMessage* aMessage)
{
  const auto found = this->exchanges.find(aMessage);
  if (found == this->exchanges.end()) {
    return;
  }
  const std::unique_ptr<CallerExchange> exchange = std::move(found->second);
  this->exchanges.erase(found);
  exchange->OnFinished();
}

CallerExchange* CallerServer::Find(SoupServerMessage* aMessage) const
{
  const auto found = this->exchanges.find(aMessage);
  return found != this->exchanges.end() ? found->second.get() : nullptr;
}

} // namespace caraway
