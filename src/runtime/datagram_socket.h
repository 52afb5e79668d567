// UDP socket for messages between processes. Datagrams may be lost; protocols on top of it send
// their state repeatedly.
#pragma once

#include "runtime/address.h"
#include "runtime/poller.h"

#include <cstdint>
#include <string_view>
#include <system_error>

namespace caraway {

class DatagramHandler
{
public:
  virtual ~DatagramHandler() = default;
  virtual void OnDatagram(const Address& aFrom, std::string_view aData) = 0;
};

class DatagramSocket final : public IoHandler
{
public:
  DatagramSocket(Poller& aPoller, DatagramHandler& aHandler);
  ~DatagramSocket() override;
  DatagramSocket(const DatagramSocket&) = delete;
  DatagramSocket& operator=(const DatagramSocket&) = delete;

  // Port 0 selects an ephemeral port.
  std::error_code Bind(const Address& aAddress);
  std::uint16_t Port() const { return this->port; }
  // Sends without blocking; drops the datagram if the send queue is full.
  void Send(const Address& aTo, std::string_view aData);
  std::uint64_t DroppedCount() const { return this->droppedCount; }

  void OnIo(std::uint32_t aEvents) override;

private:
  Poller& poller;
  DatagramHandler& handler;
  int fd = -1;
  std::uint16_t port = 0;
  std::uint64_t droppedCount = 0; // datagrams that the kernel did not accept
};

} // namespace caraway
