#include "gateway/peer_net.h"

#include <utility>

namespace caraway::gateway {

PeerNet::PeerNet(Poller& aPoller, const Peer& aSelf, PeerMessageHandler& aHandler)
  : self(aSelf)
  , handler(aHandler)
  , socket(aPoller, *this)
{
}

void PeerNet::Send(const Address& aTo, const direct::DirectMessage& aMessage)
{
  this->pending[aTo].push_back(aMessage);
}

void PeerNet::Flush()
{
  for (auto& [address, messages] : this->pending) {
    if (!messages.empty()) {
      this->socket.Send(address, direct::EncodeDatagram({ this->self, std::move(messages) }));
    }
  }
  this->pending.clear();
}

void PeerNet::OnDatagram(const Address& aFrom, std::string_view aData)
{
  const std::optional<direct::Datagram> datagram = direct::DecodeDatagram(aData);
  if (!datagram) {
    this->malformedCount++;
    return;
  }
  for (const direct::DirectMessage& message : datagram->messages) {
    this->handler.OnPeerMessage(aFrom, datagram->from, message);
  }
  this->handler.OnPeerMessagesDone();
}

} // namespace caraway::gateway
