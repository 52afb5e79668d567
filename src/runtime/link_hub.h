// All links of one process: listens, connects with jittered backoff, identifies each peer by its
// Hello, and drops envelopes addressed to another incarnation of this process.
#pragma once

#include "core/random.h"
#include "runtime/address.h"
#include "runtime/link.h"
#include "runtime/tcp_socket.h"

#include <cstddef>
#include <deque>
#include <map>
#include <memory>
#include <string>
#include <system_error>
#include <vector>

namespace caraway {

// Callbacks of a link hub. They run on the main loop, never inside Send.
class LinkHandler
{
public:
  virtual ~LinkHandler() = default;
  virtual void OnPeerUp(Peer aPeer, const Hello& aHello) = 0;
  virtual void OnPeerDown(NodeId aNode, LinkEnd aEnd) = 0;
  // Called for every message except the first Hello of a link; later Hellos are passed here.
  virtual void OnPeerMessage(Peer aFrom, const Message& aMessage) = 0;
  // A link was closed because its peer violated the protocol, or an envelope was dropped.
  virtual void OnRefusedFrame(std::string_view aCause) = 0;
};

class LinkHub final : public LinkOwner
{
public:
  LinkHub(const LinkOptions& aOptions, const ClusterKey& aKey, Peer aSelf, const Clock& aClock,
          Random& aRandom, Poller& aPoller, LinkHandler& aHandler);
  ~LinkHub() override;
  LinkHub(const LinkHub&) = delete;
  LinkHub& operator=(const LinkHub&) = delete;

  // Accepts connections at aAddress; port 0 selects an ephemeral port.
  std::error_code Listen(const Address& aAddress);
  // Port of the listener; 0 before Listen.
  std::uint16_t Port() const { return this->listener.Port(); }

  // Keeps a connection to aAddress, reconnecting as needed, until StopDialing.
  void Dial(const Address& aAddress);
  void StopDialing(const Address& aAddress);
  std::vector<Address> DialedAddresses() const;
  // True if the link to a dialed address has completed its handshake.
  bool IsUp(const Address& aAddress) const;
  // True if the sockets have accepted everything that was sent.
  bool IsFlushed() const;

  // Sets the Hello of this process and sends it to all peers if it has changed.
  void Announce(const Hello& aHello);

  // Sends to a peer; false if it is not connected.
  bool Send(NodeId aTo, const Message& aMessage);

  bool IsConnected(NodeId aNode) const { return this->peers.contains(aNode); }
  std::size_t PeerCount() const { return this->peers.size(); }

  void OnLinkReady(Link& aLink) override;
  void OnLinkPending(Link& aLink) override;
  void OnLinkEnvelope(Link& aLink, const Envelope& aEnvelope) override;
  void OnLinkEnd(Link& aLink, LinkEnd aEnd) override;

private:
  struct Dialer;

  void Accept(int aFd);
  void MakeRoom();
  static int HasPending(GSource* aSource, int* aTimeout);
  static int FlushPending(GSource* aSource, GSourceFunc aFunction, void* aData);
  static void OnConnected(GObject* aSource, GAsyncResult* aResult, void* aData);
  void Connect(Dialer& aDialer);
  void ScheduleReconnect(Dialer& aDialer);
  std::shared_ptr<Link> AddLink(Direction aDirection, ObjectPtr<GSocketConnection> aConnection);
  void HandleFirstHello(Link& aLink, const Envelope& aEnvelope);
  bool ResolveDuplicate(Link& aLink, const Envelope& aEnvelope);
  void SendHello(Link& aLink);

  LinkOptions options;
  ClusterKey key;
  Peer self;
  const Clock& clock;
  Random& random;
  LinkHandler& handler;
  std::string encodedHello; // encoded localHello, to detect changes
  Hello localHello;
  TcpListener listener;
  std::deque<std::weak_ptr<Link>> unknownLinks; // accepted, handshake not completed; oldest first
  std::size_t maxUnknownLinks;
  ObjectPtr<GSocketClient> client;
  std::map<Link*, std::shared_ptr<Link>> links;
  std::map<NodeId, Link*> peers;
  std::vector<std::weak_ptr<Link>> pendingLinks; // links with queued frames
  GSource* flushSource;
  std::map<Address, std::unique_ptr<Dialer>> dialers;
};

} // namespace caraway
