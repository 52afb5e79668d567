#include "runtime/link.h"

#include <algorithm>
#include <array>
#include <cstring>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <utility>

namespace caraway {

namespace {

constexpr std::size_t kReadBytes = 65536;
// Limit of the first frame, whose sender is not yet authenticated.
constexpr std::uint32_t kMaxHelloBytes = 4096;
// If more than this many heartbeat intervals pass between ticks, this process itself was paused.
constexpr int kPauseHeartbeats = 2;

constexpr std::array<std::string_view, 13> kLinkEndNames = {
  "closed_by_peer", "socket_error", "silent",    "queue_full",   "handshake_timeout",
  "wrong_mac",      "oversize",     "malformed", "wrong_sender", "old_incarnation",
  "replaced",       "no_room",      "local",
};

void DestroySource(GSource*& aSource)
{
  if (aSource != nullptr) {
    g_source_destroy(aSource);
    g_source_unref(aSource);
    aSource = nullptr;
  }
}

} // namespace

std::string_view ToString(LinkEnd aEnd)
{
  return kLinkEndNames.at(static_cast<std::size_t>(aEnd));
}

bool IsProtocolViolation(LinkEnd aEnd)
{
  switch (aEnd) {
    case LinkEnd::kHandshakeTimeout:
    case LinkEnd::kWrongMac:
    case LinkEnd::kOversize:
    case LinkEnd::kMalformed:
    case LinkEnd::kWrongSender:
    case LinkEnd::kOldIncarnation:
      return true;
    default:
      return false;
  }
}

Link::Link(const LinkOptions& aOptions, const ClusterKey& aKey, Direction aDirection,
           ObjectPtr<GSocketConnection> aConnection, const Clock& aClock, LinkOwner& aOwner)
  : options(aOptions)
  , key(aKey)
  , direction(aDirection)
  , connection(std::move(aConnection))
  , socket(g_socket_connection_get_socket(this->connection.get()))
  , clock(aClock)
  , owner(aOwner)
  , localNonce(GenerateNonce())
  , tick([this] { this->OnTick(); })
{
}

Link::~Link()
{
  DestroySource(this->readSource);
  DestroySource(this->writeSource);
}

void Link::Start()
{
  g_socket_set_blocking(this->socket, FALSE);
  g_socket_set_option(this->socket, IPPROTO_TCP, TCP_NODELAY, 1, nullptr);
  this->startedAt = this->clock.Read().steady;
  this->lastReceivedAt = this->startedAt;
  this->lastTickAt = this->startedAt;
  this->output.assign(reinterpret_cast<const char*>(this->localNonce.data()),
                      this->localNonce.size());
  this->readSource = g_socket_create_source(this->socket, G_IO_IN, nullptr);
  g_source_set_callback(this->readSource, G_SOURCE_FUNC(&Link::OnReadable), this, nullptr);
  g_source_attach(this->readSource, g_main_context_get_thread_default());
  this->RequestFlush();
  this->tick.ArmAfter(this->options.heartbeatInterval);
}

void Link::Send(const Envelope& aEnvelope)
{
  if (this->hasEnded || !this->session) {
    return;
  }
  this->AppendPayload(EncodeEnvelope(aEnvelope));
}

// Queues one payload as a frame. The flush happens in the next main loop iteration, so that
// messages sent together share one system call.
void Link::AppendPayload(std::string_view aPayload)
{
  AppendFrame(this->output, *this->session, this->direction, this->sendSequence++, aPayload);
  this->hasSentSinceTick = true;
  this->RequestFlush();
}

void Link::RequestFlush()
{
  if (!this->isFlushRequested) {
    this->isFlushRequested = true;
    this->owner.OnLinkPending(*this);
  }
}

void Link::End(LinkEnd aEnd)
{
  if (this->hasEnded) {
    return;
  }
  const auto keep = this->shared_from_this();
  this->hasEnded = true;
  this->tick.Cancel();
  DestroySource(this->readSource);
  DestroySource(this->writeSource);
  g_socket_close(this->socket, nullptr);
  this->owner.OnLinkEnd(*this, aEnd);
}

int Link::OnReadable(GSocket*, GIOCondition, void* aData)
{
  const auto link = static_cast<Link*>(aData)->shared_from_this();
  link->Read();
  return link->hasEnded ? G_SOURCE_REMOVE : G_SOURCE_CONTINUE;
}

int Link::OnWritable(GSocket*, GIOCondition, void* aData)
{
  const auto link = static_cast<Link*>(aData)->shared_from_this();
  DestroySource(link->writeSource);
  link->Flush();
  return G_SOURCE_REMOVE;
}

void Link::Read()
{
  static std::array<char, kReadBytes> buffer; // shared by all links, which run on one main loop
  GError* raw = nullptr;
  const gssize count = g_socket_receive(this->socket, buffer.data(), buffer.size(), nullptr, &raw);
  const ErrorPtr error(raw);
  if (count == 0) {
    this->End(LinkEnd::kClosedByPeer);
    return;
  }
  if (count < 0) {
    if (!g_error_matches(error.get(), G_IO_ERROR, G_IO_ERROR_WOULD_BLOCK)) {
      this->End(LinkEnd::kSocketError);
    }
    return;
  }
  this->input.append(buffer.data(), static_cast<std::size_t>(count));
  if (this->session || this->ReadNonce()) {
    this->ReadFrames();
  }
}

// Reads the peer's nonce, the first bytes on the connection. False while it is incomplete.
bool Link::ReadNonce()
{
  if (this->input.size() < kNonceBytes) {
    return false;
  }
  Nonce remoteNonce{};
  std::memcpy(remoteNonce.data(), this->input.data(), remoteNonce.size());
  this->input.erase(0, kNonceBytes);
  const bool isDialer = this->direction == Direction::kFromDialer;
  this->session.emplace(this->key, isDialer ? this->localNonce : remoteNonce,
                        isDialer ? remoteNonce : this->localNonce);
  this->owner.OnLinkReady(*this);
  return !this->hasEnded;
}

void Link::ReadFrames()
{
  std::size_t offset = 0;
  while (!this->hasEnded && this->ReadFrame(offset)) {
  }
  this->input.erase(0, offset);
}

// Handles the frame at aOffset and advances aOffset past it. False if the frame is incomplete or
// the link has ended.
bool Link::ReadFrame(std::size_t& aOffset)
{
  const std::string_view rest = std::string_view(this->input).substr(aOffset);
  if (rest.size() < kFrameLengthBytes) {
    return false;
  }
  const std::uint32_t length = ReadFrameLength(rest);
  const std::uint32_t limit = this->remote ? this->options.maxFrameBytes : kMaxHelloBytes;
  if (length > limit) {
    this->End(LinkEnd::kOversize);
    return false;
  }
  const std::size_t frameBytes = kFrameLengthBytes + length + kMacBytes;
  if (rest.size() < frameBytes) {
    return false;
  }
  aOffset += frameBytes;
  return this->HandlePayload(rest.substr(kFrameLengthBytes, length),
                             rest.substr(kFrameLengthBytes + length, kMacBytes));
}

bool Link::HandlePayload(std::string_view aPayload, std::string_view aMac)
{
  const Mac expected =
    this->session->ComputeMac(this->RemoteDirection(), this->receiveSequence, aPayload);
  if (!MacsEqual(expected, aMac)) {
    this->End(LinkEnd::kWrongMac);
    return false;
  }
  ++this->receiveSequence;
  this->lastReceivedAt = this->clock.Read().steady;
  if (aPayload.empty()) {
    return true;
  }
  const std::optional<Envelope> envelope = DecodeEnvelope(aPayload);
  if (!envelope) {
    this->End(LinkEnd::kMalformed);
    return false;
  }
  this->owner.OnLinkEnvelope(*this, *envelope);
  return !this->hasEnded;
}

void Link::Flush()
{
  const auto keep = this->shared_from_this();
  this->isFlushRequested = false;
  while (!this->hasEnded && this->sentBytes < this->output.size()) {
    GError* raw = nullptr;
    const gssize count = g_socket_send(this->socket, this->output.data() + this->sentBytes,
                                       this->output.size() - this->sentBytes, nullptr, &raw);
    const ErrorPtr error(raw);
    if (count < 0) {
      if (!g_error_matches(error.get(), G_IO_ERROR, G_IO_ERROR_WOULD_BLOCK)) {
        this->End(LinkEnd::kSocketError);
        return;
      }
      this->WatchWritable();
      return;
    }
    this->sentBytes += static_cast<std::size_t>(count);
  }
  this->output.clear();
  this->sentBytes = 0;
}

// Waits until the socket is writable; closes the link if too many bytes are unsent.
void Link::WatchWritable()
{
  if (this->output.size() - this->sentBytes > this->options.maxQueueBytes) {
    this->End(LinkEnd::kQueueFull);
    return;
  }
  if (this->sentBytes >= kReadBytes) {
    this->output.erase(0, this->sentBytes);
    this->sentBytes = 0;
  }
  if (this->writeSource != nullptr) {
    return;
  }
  this->writeSource = g_socket_create_source(this->socket, G_IO_OUT, nullptr);
  g_source_set_callback(this->writeSource, G_SOURCE_FUNC(&Link::OnWritable), this, nullptr);
  g_source_attach(this->writeSource, g_main_context_get_thread_default());
}

// Sends a heartbeat if nothing else was sent, and closes the link if the peer timeout has expired.
// After a pause of this process, frames of the peer may still be unread in the socket, so the
// timeout is restarted.
void Link::OnTick()
{
  const auto keep = this->shared_from_this();
  const TimePoint now = this->clock.Read().steady;
  const bool wasPaused =
    now - this->lastTickAt > kPauseHeartbeats * this->options.heartbeatInterval;
  this->lastTickAt = now;
  if (wasPaused) {
    this->lastReceivedAt = now;
  }
  if (!this->remote && now - this->startedAt > this->options.handshakeTimeout) {
    this->End(LinkEnd::kHandshakeTimeout);
    return;
  }
  if (now - this->lastReceivedAt > this->options.peerTimeout) {
    this->End(LinkEnd::kSilent);
    return;
  }
  if (this->session && !this->hasSentSinceTick) {
    this->AppendPayload({});
  }
  this->hasSentSinceTick = false;
  this->tick.ArmAfter(this->options.heartbeatInterval);
}

Direction Link::RemoteDirection() const
{
  return this->direction == Direction::kFromDialer ? Direction::kFromListener
                                                   : Direction::kFromDialer;
}

} // namespace caraway
