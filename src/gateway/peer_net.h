// Datagrams between entries and agents. All messages to one process are batched per event loop
// turn.
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
  // Called after all messages of a datagram were handled.
  virtual void OnPeerMessagesDone() = 0;
};

class PeerNet final : public DatagramHandler
{
public:
  PeerNet(Poller& aPoller, const Peer& aSelf, PeerMessageHandler& aHandler);

  std::error_code Bind(const Address& aAddress) { return this->socket.Bind(aAddress); }
  std::uint16_t Port() const { return this->socket.Port(); }
  void Send(const Address& aTo, const direct::DirectMessage& aMessage);
  // Sends the batched messages.
  void Flush();
  // Number of received datagrams that could not be decoded.
  std::uint64_t MalformedCount() const { return this->malformedCount; }

  void OnDatagram(const Address& aFrom, std::string_view aData) override;

private:
  Peer self;
  PeerMessageHandler& handler;
  DatagramSocket socket;
  std::map<Address, std::vector<direct::DirectMessage>> pending;
  std::uint64_t malformedCount = 0;
};

} // namespace caraway::gateway
