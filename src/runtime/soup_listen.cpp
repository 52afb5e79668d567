#include "runtime/soup_listen.h"

#include "runtime/error.h"

namespace caraway {

namespace {

ObjectPtr<GSocket> ListenSocket(const Address& aAddress, GError** aError)
{
  const ObjectPtr<GSocketAddress> address(
    g_inet_socket_address_new_from_string(aAddress.host.c_str(), aAddress.port));
  ObjectPtr<GSocket> socket(g_socket_new(g_socket_address_get_family(address.get()),
                                         G_SOCKET_TYPE_STREAM, G_SOCKET_PROTOCOL_TCP, aError));
  if (socket == nullptr) {
    return socket;
  }
  g_socket_set_listen_backlog(socket.get(), kListenBacklog);
  const bool isListening = g_socket_bind(socket.get(), address.get(), TRUE, aError) != FALSE &&
                           g_socket_listen(socket.get(), aError) != FALSE;
  if (!isListening) {
    socket.reset();
  }
  return socket;
}

} // namespace

std::error_code ListenAt(SoupServer* aServer, const Address& aAddress, bool aTls)
{
  GError* raw = nullptr;
  const ObjectPtr<GSocket> socket = ListenSocket(aAddress, &raw);
  const auto options = static_cast<SoupServerListenOptions>(aTls ? SOUP_SERVER_LISTEN_HTTPS : 0);
  const bool hasSucceeded =
    socket != nullptr && soup_server_listen_socket(aServer, socket.get(), options, &raw) != FALSE;
  const ErrorPtr error(raw);
  return hasSucceeded ? std::error_code{} : ToErrorCode(error.get());
}

std::uint16_t PortOf(SoupServer* aServer)
{
  GSList* uris = soup_server_get_uris(aServer);
  const int port = uris != nullptr ? g_uri_get_port(static_cast<GUri*>(uris->data)) : 0;
  g_slist_free_full(uris, reinterpret_cast<GDestroyNotify>(g_uri_unref));
  return static_cast<std::uint16_t>(port);
}

void Reply(SoupServerMessage* aMessage, std::uint16_t aStatus, const char* aType,
           const std::string& aBody)
{
  soup_server_message_set_status(aMessage, aStatus, nullptr);
  soup_server_message_set_response(aMessage, aType, SOUP_MEMORY_COPY, aBody.data(), aBody.size());
}

} // namespace caraway
