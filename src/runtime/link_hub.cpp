#include "runtime/link_hub.h"

#include <unistd.h>

#include <algorithm>
#include <utility>

namespace caraway {

namespace {

// Connections from processes that are not yet authenticated may use this part of the descriptors.
constexpr std::size_t kUnknownLinksPart = 8;
constexpr std::size_t kMinUnknownLinks = 8;

// Main loop source that flushes the pending links of a hub. It needs no timer or wake-up, because
// the loop checks it before each poll.
struct FlushSource
{
  GSource base;
  LinkHub* hub;
};

} // namespace

// Maintains one outgoing connection.
struct LinkHub::Dialer
{
  Dialer(LinkHub& aHub, Address aAddress)
    : hub(aHub)
    , address(std::move(aAddress))
    , backoff(aHub.options.minBackoff)
    , reconnectTimer([this] { this->hub.Connect(*this); })
  {
  }

  LinkHub& hub;
  Address address;
  Duration backoff;
  Link* link = nullptr;
  ObjectPtr<GCancellable> cancellable;
  Timer reconnectTimer;
};

LinkHub::LinkHub(const LinkOptions& aOptions, const ClusterKey& aKey, Peer aSelf,
                 const Clock& aClock, Random& aRandom, Poller& aPoller, LinkHandler& aHandler)
  : options(aOptions)
  , key(aKey)
  , self(aSelf)
  , clock(aClock)
  , random(aRandom)
  , handler(aHandler)
  , listener(aPoller, [this](int aFd) { this->Accept(aFd); })
  , maxUnknownLinks(std::max<std::size_t>(kMinUnknownLinks, DescriptorLimit() / kUnknownLinksPart))
  , client(g_socket_client_new())
{
  g_socket_client_set_enable_proxy(this->client.get(), FALSE);
  static GSourceFuncs functions = {
    &LinkHub::HasPending, nullptr, &LinkHub::FlushPending, nullptr, nullptr, nullptr
  };
  this->flushSource = g_source_new(&functions, sizeof(FlushSource));
  reinterpret_cast<FlushSource*>(this->flushSource)->hub = this;
  g_source_attach(this->flushSource, g_main_context_get_thread_default());
}

LinkHub::~LinkHub()
{
  g_source_destroy(this->flushSource);
  g_source_unref(this->flushSource);
  for (const auto& [address, dialer] : this->dialers) {
    if (dialer->cancellable) {
      g_cancellable_cancel(dialer->cancellable.get());
    }
  }
}

std::error_code LinkHub::Listen(const Address& aAddress)
{
  return this->listener.Listen(aAddress);
}

void LinkHub::Dial(const Address& aAddress)
{
  auto& dialer = this->dialers[aAddress];
  if (!dialer) {
    dialer = std::make_unique<Dialer>(*this, aAddress);
    this->Connect(*dialer);
  }
}

void LinkHub::StopDialing(const Address& aAddress)
{
  const auto found = this->dialers.find(aAddress);
  if (found == this->dialers.end()) {
    return;
  }
  const std::unique_ptr<Dialer> dialer = std::move(found->second);
  this->dialers.erase(found);
  if (dialer->cancellable) {
    g_cancellable_cancel(dialer->cancellable.get());
  }
  if (dialer->link != nullptr) {
    dialer->link->End(LinkEnd::kLocal);
  }
}

std::vector<Address> LinkHub::DialedAddresses() const
{
  std::vector<Address> addresses;
  for (const auto& [address, dialer] : this->dialers) {
    addresses.push_back(address);
  }
  return addresses;
}

bool LinkHub::IsUp(const Address& aAddress) const
{
  const auto found = this->dialers.find(aAddress);
  return found != this->dialers.end() && found->second->link != nullptr &&
         found->second->link->Remote().has_value();
}

bool LinkHub::IsFlushed() const
{
  return std::all_of(this->links.begin(), this->links.end(),
                     [](const auto& aItem) { return aItem.second->IsFlushed(); });
}

void LinkHub::Announce(const Hello& aHello)
{
  const std::string encoded = EncodeEnvelope(Envelope{ {}, {}, aHello });
  if (encoded == this->encodedHello) {
    return;
  }
  this->encodedHello = encoded;
  this->localHello = aHello;
  for (const auto& [link, owned] : this->links) {
    this->SendHello(*link);
  }
}

bool LinkHub::Send(NodeId aTo, const Message& aMessage)
{
  const auto found = this->peers.find(aTo);
  if (found == this->peers.end()) {
    return false;
  }
  found->second->Send(Envelope{ this->self, *found->second->Remote(), aMessage });
  return true;
}

void LinkHub::Accept(int aFd)
{
  GError* raw = nullptr;
  const ObjectPtr<GSocket> socket(g_socket_new_from_fd(aFd, &raw));
  const ErrorPtr error(raw);
  if (!socket) {
    close(aFd);
    return;
  }
  this->MakeRoom();
  this->unknownLinks.push_back(this->AddLink(
    Direction::kFromListener,
    ObjectPtr<GSocketConnection>(g_socket_connection_factory_create_connection(socket.get()))));
}

// Closes the connection that has been without a handshake for the longest time, so that clients
// that send none keep out no peer.
void LinkHub::MakeRoom()
{
  std::erase_if(this->unknownLinks, [](const std::weak_ptr<Link>& aLink) {
    const std::shared_ptr<Link> link = aLink.lock();
    return link == nullptr || link->Remote().has_value();
  });
  if (this->unknownLinks.size() >= this->maxUnknownLinks) {
    const std::shared_ptr<Link> oldest = this->unknownLinks.front().lock();
    this->unknownLinks.pop_front();
    oldest->End(LinkEnd::kNoRoom);
  }
}

// Starts one connection attempt.
void LinkHub::Connect(Dialer& aDialer)
{
  aDialer.cancellable.reset(g_cancellable_new());
  const ObjectPtr<GSocketAddress> address(
    g_inet_socket_address_new_from_string(aDialer.address.host.c_str(), aDialer.address.port));
  g_socket_client_connect_async(this->client.get(), G_SOCKET_CONNECTABLE(address.get()),
                                aDialer.cancellable.get(), &LinkHub::OnConnected, &aDialer);
}

// The dialer of a cancelled attempt no longer exists, so the result is checked before aData is
// used.
void LinkHub::OnConnected(GObject* aSource, GAsyncResult* aResult, void* aData)
{
  GError* raw = nullptr;
  ObjectPtr<GSocketConnection> connection(
    g_socket_client_connect_finish(G_SOCKET_CLIENT(aSource), aResult, &raw));
  const ErrorPtr error(raw);
  if (g_error_matches(error.get(), G_IO_ERROR, G_IO_ERROR_CANCELLED)) {
    return;
  }
  auto& dialer = *static_cast<Dialer*>(aData);
  dialer.cancellable.reset();
  if (!connection) {
    dialer.hub.ScheduleReconnect(dialer);
    return;
  }
  dialer.link = dialer.hub.AddLink(Direction::kFromDialer, std::move(connection)).get();
}

// Schedules a connection attempt after a random delay between half the backoff and the backoff,
// then doubles the backoff.
void LinkHub::ScheduleReconnect(Dialer& aDialer)
{
  const auto bound = static_cast<std::uint64_t>(aDialer.backoff.count());
  const Duration jitter(static_cast<Duration::rep>(this->random.Below(bound / 2 + 1)));
  aDialer.reconnectTimer.ArmAfter(aDialer.backoff / 2 + jitter);
  aDialer.backoff = std::min(aDialer.backoff * 2, this->options.maxBackoff);
}

std::shared_ptr<Link> LinkHub::AddLink(Direction aDirection,
                                       ObjectPtr<GSocketConnection> aConnection)
{
  auto link = std::make_shared<Link>(this->options, this->key, aDirection, std::move(aConnection),
                                     this->clock, *this);
  this->links[link.get()] = link;
  link->Start();
  return link;
}

int LinkHub::HasPending(GSource* aSource, int* aTimeout)
{
  *aTimeout = -1;
  return !reinterpret_cast<FlushSource*>(aSource)->hub->pendingLinks.empty();
}

// Writes all messages of one main loop iteration with one system call per link.
int LinkHub::FlushPending(GSource* aSource, GSourceFunc, void*)
{
  LinkHub* hub = reinterpret_cast<FlushSource*>(aSource)->hub;
  const std::vector<std::weak_ptr<Link>> links = std::exchange(hub->pendingLinks, {});
  for (const std::weak_ptr<Link>& weak : links) {
    if (const std::shared_ptr<Link> link = weak.lock()) {
      link->Flush();
    }
  }
  return G_SOURCE_CONTINUE;
}

void LinkHub::OnLinkPending(Link& aLink)
{
  this->pendingLinks.push_back(aLink.weak_from_this());
}

void LinkHub::OnLinkReady(Link& aLink)
{
  this->SendHello(aLink);
}

void LinkHub::SendHello(Link& aLink)
{
  aLink.Send(Envelope{ this->self, aLink.Remote().value_or(Peer{}), this->localHello });
}

void LinkHub::OnLinkEnvelope(Link& aLink, const Envelope& aEnvelope)
{
  if (!aLink.Remote()) {
    this->HandleFirstHello(aLink, aEnvelope);
    return;
  }
  if (aEnvelope.from != *aLink.Remote()) {
    aLink.End(LinkEnd::kWrongSender);
    return;
  }
  const bool isHello = std::holds_alternative<Hello>(aEnvelope.message);
  const bool isUnaddressed = isHello && aEnvelope.to == Peer{};
  if (!isUnaddressed && aEnvelope.to != this->self) {
    this->handler.OnRefusedFrame("other_incarnation");
    return;
  }
  this->handler.OnPeerMessage(aEnvelope.from, aEnvelope.message);
}

// Handles the first message of a link, which must be a valid Hello.
void LinkHub::HandleFirstHello(Link& aLink, const Envelope& aEnvelope)
{
  const auto* first = std::get_if<Hello>(&aEnvelope.message);
  if (first == nullptr || aEnvelope.from.node == this->self.node ||
      NodeIdOf(first->name) != aEnvelope.from.node) {
    aLink.End(LinkEnd::kWrongSender);
    return;
  }
  if (!this->ResolveDuplicate(aLink, aEnvelope)) {
    return;
  }
  aLink.SetRemote(aEnvelope.from);
  this->peers[aEnvelope.from.node] = &aLink;
  for (const auto& [address, dialer] : this->dialers) {
    if (dialer->link == &aLink) {
      dialer->backoff = this->options.minBackoff;
    }
  }
  this->handler.OnPeerUp(aEnvelope.from, *first);
}

// Resolves two links to the same node: the later incarnation wins; for the same incarnation, the
// later connection. False if aLink was closed.
bool LinkHub::ResolveDuplicate(Link& aLink, const Envelope& aEnvelope)
{
  const auto found = this->peers.find(aEnvelope.from.node);
  if (found == this->peers.end()) {
    return true;
  }
  if (aEnvelope.from.incarnation < found->second->Remote()->incarnation) {
    aLink.End(LinkEnd::kOldIncarnation);
    return false;
  }
  found->second->End(LinkEnd::kReplaced);
  return true;
}

void LinkHub::OnLinkEnd(Link& aLink, LinkEnd aEnd)
{
  for (const auto& [address, dialer] : this->dialers) {
    if (dialer->link == &aLink) {
      dialer->link = nullptr;
      const bool isSuperseded = aEnd == LinkEnd::kReplaced || aEnd == LinkEnd::kOldIncarnation;
      dialer->backoff = isSuperseded ? this->options.maxBackoff : dialer->backoff;
      this->ScheduleReconnect(*dialer);
    }
  }
  const std::optional<Peer> remote = aLink.Remote();
  this->links.erase(&aLink);
  if (IsProtocolViolation(aEnd) || aEnd == LinkEnd::kNoRoom) {
    this->handler.OnRefusedFrame(ToString(aEnd));
  }
  if (!remote) {
    return;
  }
  const auto found = this->peers.find(remote->node);
  if (found != this->peers.end() && found->second == &aLink) {
    this->peers.erase(found);
    this->handler.OnPeerDown(remote->node, aEnd);
  }
}

} // namespace caraway
