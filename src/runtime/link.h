// Authenticated connection between two processes: handshake, frames, heartbeats and a bounded send
// queue. Runs on the GLib main loop.
#pragma once

#include "core/messages.h"
#include "runtime/clock.h"
#include "runtime/frame.h"
#include "runtime/glib_ptr.h"
#include "runtime/timer.h"

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace caraway {

struct LinkOptions
{
  Duration heartbeatInterval = std::chrono::milliseconds(500); // max. time between two frames sent
  Duration peerTimeout = std::chrono::seconds(2);              // max. time without a frame received
  Duration handshakeTimeout = std::chrono::seconds(2);         // from connect to the first Hello
  Duration minBackoff = std::chrono::milliseconds(50);         // before the first reconnect
  Duration maxBackoff = std::chrono::seconds(2);               // max. delay between reconnects
  std::uint32_t maxFrameBytes = 4 << 20;
  std::uint32_t maxQueueBytes = 16 << 20; // max. unsent bytes; above it, the link is closed
};

// Reason why a link was closed.
enum class LinkEnd : std::uint8_t
{
  kClosedByPeer,
  kSocketError,
  kSilent,           // no frame received within the peer timeout
  kQueueFull,        // the peer does not read fast enough
  kHandshakeTimeout, // no Hello within the handshake timeout
  kWrongMac,         // wrong key, or frame modified, replayed or out of sequence
  kOversize,         // frame larger than the limit
  kMalformed,        // payload is not an envelope
  kWrongSender,      // sender changed within the connection, or is this process itself
  kOldIncarnation,   // a later incarnation of the sender is already connected
  kReplaced,         // the same process opened a new connection
  kNoRoom,           // closed before its handshake for a newer connection
  kLocal,            // closed by this process
};

std::string_view ToString(LinkEnd aEnd);

// True for reasons that a correct peer never causes.
bool IsProtocolViolation(LinkEnd aEnd);

class Link;

// Callbacks of a link. They run on the main loop, never inside Link::Send.
class LinkOwner
{
public:
  virtual ~LinkOwner() = default;
  // The nonces are exchanged; frames may be sent.
  virtual void OnLinkReady(Link& aLink) = 0;
  // Frames are queued; the owner must call Flush from the main loop.
  virtual void OnLinkPending(Link& aLink) = 0;
  virtual void OnLinkEnvelope(Link& aLink, const Envelope& aEnvelope) = 0;
  // The last callback for aLink.
  virtual void OnLinkEnd(Link& aLink, LinkEnd aEnd) = 0;
};

class Link : public std::enable_shared_from_this<Link>
{
public:
  Link(const LinkOptions& aOptions, const ClusterKey& aKey, Direction aDirection,
       ObjectPtr<GSocketConnection> aConnection, const Clock& aClock, LinkOwner& aOwner);
  ~Link();
  Link(const Link&) = delete;
  Link& operator=(const Link&) = delete;

  // Sends the nonce and starts reading.
  void Start();
  // Queues an envelope. If the queue is full or the socket fails, the link is closed later, from
  // the main loop.
  void Send(const Envelope& aEnvelope);
  // Writes as much of the queue as the socket accepts.
  void Flush();
  // Closes the link and calls OnLinkEnd.
  void End(LinkEnd aEnd);

  // True if the socket has accepted all queued bytes.
  bool IsFlushed() const { return this->sentBytes == this->output.size(); }

  // The remote peer; set once its first Hello has been accepted.
  const std::optional<Peer>& Remote() const { return this->remote; }
  void SetRemote(Peer aPeer) { this->remote = aPeer; }
  Direction LocalDirection() const { return this->direction; }

private:
  static int OnReadable(GSocket* aSocket, GIOCondition aCondition, void* aData);
  static int OnWritable(GSocket* aSocket, GIOCondition aCondition, void* aData);
  void Read();
  bool ReadNonce();
  void ReadFrames();
  bool ReadFrame(std::size_t& aOffset);
  bool HandlePayload(std::string_view aPayload, std::string_view aMac);
  void AppendPayload(std::string_view aPayload);
  void RequestFlush();
  void WatchWritable();
  void OnTick();
  Direction RemoteDirection() const;

  LinkOptions options;
  ClusterKey key;
  Direction direction;
  ObjectPtr<GSocketConnection> connection;
  GSocket* socket; // owned by the connection
  const Clock& clock;
  LinkOwner& owner;

  Nonce localNonce;
  std::optional<SessionKey> session;
  std::optional<Peer> remote;
  std::string input;
  std::string output;
  std::size_t sentBytes = 0; // leading bytes of output accepted by the socket
  std::uint64_t sendSequence = 0;
  std::uint64_t receiveSequence = 0;
  TimePoint startedAt;
  TimePoint lastReceivedAt;
  TimePoint lastTickAt;
  bool hasSentSinceTick = false;
  bool isFlushRequested = false;
  bool hasEnded = false;
  GSource* readSource = nullptr;
  GSource* writeSource = nullptr;
  Timer tick;
};

} // namespace caraway
