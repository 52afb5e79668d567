// UDP between processes of the system. A datagram may be lost; the protocols above it repeat state.
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

  // Port 0 lets the kernel choose one.
  std::error_code Bind(const Address& aAddress);
  std::uint16_t Port() const { return this->port; }
  // Sends without waiting; a full queue loses the datagram.
  void Send(const Address& aTo, std::string_view aData);
  std::uint64_t DroppedCount() const { return this->droppedCount; }

  void OnIo(std::uint32_t aEvents) override;

private:
  Poller& poller;
  DatagramHandler& handler;
  int fd = -1;
  std::uint16_t port = 0;
  std::uint64_t droppedCount = 0; // datagrams that the kernel did not take
};

} // namespace caraway
