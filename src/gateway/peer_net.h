// Datagrams between the processes of the system: collects all messages of one turn for a process
// and sends them together.
#pragma once

#include "direct/messages.h"
#include "runtime/datagram_socket.h"

#include <map>
#include <string>
#include <system_error>
#include <vector>

namespace caraway::gateway {

class PeerMessageHandler
{
public:
  virtual ~PeerMessageHandler() = default;
  virtual void OnPeerMessage(const Address& aFrom, const Peer& aPeer,
                             const direct::DirectMessage& aMessage) = 0;
  // All messages of a datagram were handled.
  virtual void OnPeerMessagesDone() = 0;
};

class PeerNet final : public DatagramHandler
{
public:
  PeerNet(Poller& aPoller, const Peer& aSelf, PeerMessageHandler& aHandler);

  std::error_code Bind(const Address& aAddress) { return this->socket.Bind(aAddress); }
  std::uint16_t Port() const { return this->socket.Port(); }
  void Send(const Address& aTo, const direct::DirectMessage& aMessage);
  // Sends what was collected.
  void Flush();
  // Datagrams that could not be read.
  std::uint64_t Refused() const { return this->refused; }

  void OnDatagram(const Address& aFrom, std::string_view aData) override;

private:
  Peer self;
  PeerMessageHandler& handler;
  DatagramSocket socket;
  std::map<Address, std::vector<direct::DirectMessage>> pending;
  std::uint64_t refused = 0;
};

} // namespace caraway::gateway
