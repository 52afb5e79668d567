// Test helpers: running the main loop until a condition holds, and a raw TCP client.
#pragma once

#include "core/types.h"
#include "runtime/clock.h"
#include "runtime/glib_ptr.h"
#include "runtime/timer.h"

#include <boost/test/unit_test.hpp>

#include <functional>
#include <string>

namespace caraway {

// Runs the main loop until aDone returns true. The time limit only stops tests that hang.
inline bool RunUntil(const std::function<bool()>& aDone)
{
  constexpr Duration kHangLimit = std::chrono::seconds(60);
  bool hasTimedOut = false;
  Timer limit([&] { hasTimedOut = true; });
  limit.ArmAfter(kHangLimit);
  while (!aDone() && !hasTimedOut) {
    g_main_context_iteration(nullptr, TRUE);
  }
  return aDone();
}

// Like RunUntil, and advances aClock together with the timers, which follow the machine's clock.
inline bool AdvanceUntil(PausedClock& aClock, const std::function<bool()>& aDone)
{
  constexpr Duration kStep = std::chrono::milliseconds(1);
  Timer step([&] {
    aClock.Advance(kStep);
    step.ArmAfter(kStep);
  });
  step.ArmAfter(kStep);
  return RunUntil(aDone);
}

// Raw TCP connection to a listener on 127.0.0.1 that reads on the main loop.
class RawTcpClient
{
public:
  explicit RawTcpClient(std::uint16_t aPort)
    : client(g_socket_client_new())
    , connection(
        g_socket_client_connect_to_host(this->client.get(), "127.0.0.1", aPort, nullptr, nullptr))
    , socket(g_socket_connection_get_socket(this->connection.get()))
  {
    g_socket_set_blocking(this->socket, FALSE);
    this->source = g_socket_create_source(this->socket, G_IO_IN, nullptr);
    g_source_set_callback(this->source, G_SOURCE_FUNC(&RawTcpClient::OnReadable), this, nullptr);
    g_source_attach(this->source, nullptr);
  }

  ~RawTcpClient()
  {
    g_source_destroy(this->source);
    g_source_unref(this->source);
  }
  RawTcpClient(const RawTcpClient&) = delete;
  RawTcpClient& operator=(const RawTcpClient&) = delete;

  // Sends as much as the socket accepts; returns the number of bytes sent.
  std::size_t Send(const std::string& aBytes)
  {
    const gssize count =
      g_socket_send(this->socket, aBytes.data(), aBytes.size(), nullptr, nullptr);
    return count > 0 ? static_cast<std::size_t>(count) : 0;
  }

  void Close() { g_socket_close(this->socket, nullptr); }
  bool IsClosed() const { return this->isClosed; }
  const std::string& Received() const { return this->received; }

private:
  static int OnReadable(GSocket* aSocket, GIOCondition, void* aData)
  {
    auto* self = static_cast<RawTcpClient*>(aData);
    std::array<char, 65536> buffer{};
    const gssize count = g_socket_receive(aSocket, buffer.data(), buffer.size(), nullptr, nullptr);
    if (count <= 0) {
      self->isClosed = true;
      return G_SOURCE_REMOVE;
    }
    self->received.append(buffer.data(), static_cast<std::size_t>(count));
    return G_SOURCE_CONTINUE;
  }

  ObjectPtr<GSocketClient> client;
  ObjectPtr<GSocketConnection> connection;
  GSocket* socket;
  GSource* source = nullptr;
  std::string received;
  bool isClosed = false;
};

} // namespace caraway
