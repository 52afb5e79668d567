// One authenticated connection between two processes of the system: handshake, frames, heartbeat
// and a bounded send queue. Runs on the GLib main loop.
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
  Duration heartbeatInterval = std::chrono::milliseconds(500); // longest silence of a live sender
  Duration peerTimeout = std::chrono::seconds(2);      // silence after which a peer counts as dead
  Duration handshakeTimeout = std::chrono::seconds(2); // from the connection to the first Hello
  Duration minBackoff = std::chrono::milliseconds(50); // before the first reconnection
  Duration maxBackoff = std::chrono::seconds(2);       // longest wait between reconnections
  std::uint32_t maxFrameBytes = 4 << 20;
  std::uint32_t maxQueueBytes = 16 << 20; // unsent bytes after which the link is dropped
};

// Why a link ended.
enum class LinkEnd : std::uint8_t
{
  kClosedByPeer,
  kSocketError,
  kSilent,           // no frame within the peer timeout
  kQueueFull,        // the peer does not read
  kHandshakeTimeout, // no Hello in time
  kWrongMac,         // wrong key, tampered, replayed or out of sequence
  kOversize,         // frame above the limit
  kMalformed,        // not an envelope
  kWrongSender,      // the sender changed on one connection, or is this process itself
  kOldIncarnation,   // the sender is an earlier life of a process that is already connected
  kReplaced,         // the same process connected again
  kLocal,            // this process no longer wants the link
};

std::string_view ToString(LinkEnd aEnd);

// True for ends that a correct peer never causes: its frame was refused.
bool IsProtocolViolation(LinkEnd aEnd);

class Link;

// Receives what a link reports. Calls come from the main loop, never from inside Link::Send.
class LinkOwner
{
public:
  virtual ~LinkOwner() = default;
  // The handshake is complete; the first frame may be sent.
  virtual void OnLinkReady(Link& aLink) = 0;
  // Frames are queued: the owner calls Flush from the main loop.
  virtual void OnLinkPending(Link& aLink) = 0;
  virtual void OnLinkEnvelope(Link& aLink, const Envelope& aEnvelope) = 0;
  // Last call for aLink.
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

  // Sends the nonce and starts to read.
  void Start();
  // Queues an envelope. A full queue or broken socket ends the link later, from the main loop.
  void Send(const Envelope& aEnvelope);
  // Writes what is queued, as far as the socket takes it.
  void Flush();
  // Ends the link and reports it.
  void End(LinkEnd aEnd);

  // True when the socket took everything that was queued.
  bool IsFlushed() const { return this->sentBytes == this->output.size(); }

  // The other end, known since its first Hello.
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
  std::size_t sentBytes = 0; // bytes at the front of output that the socket took
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
