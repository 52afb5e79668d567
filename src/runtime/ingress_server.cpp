#include "runtime/ingress_server.h"

#include <sys/socket.h>

#include <charconv>
#include <utility>

namespace caraway {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr Duration kSweepPeriod = milliseconds(250); // precision of the timeouts
// Time for the caller to read the last answer and close before the connection is dropped.
constexpr Duration kLingerTime = seconds(1);
// Limits of pending output, of one caller and of all, above which a caller that reads too slowly is
// disconnected. A caller with less than kMinDisconnectBytes is not.
constexpr std::size_t kMaxPendingOutputBytes = 8 << 20;
constexpr std::size_t kMaxTotalOutputBytes = 12 << 20;
constexpr std::size_t kMinDisconnectBytes = 64 << 10;
// Total size of request bodies that are read or at work, above which connections are not read.
// While it is sent to an endpoint, a body takes twice its size.
constexpr std::size_t kMaxHeldBodyBytes = 24 << 20;
// Bodies up to this size do not wait, so that a few callers that announce large ones and send
// nothing cannot delay them.
constexpr std::size_t kMaxSmallBodyBytes = 64 << 10;
// Bodies that did not wait are refused above this total.
constexpr std::size_t kMaxHeldBytes = kMaxHeldBodyBytes + (8 << 20);

void AppendNumber(std::string& aText, std::uint64_t aNumber, int aBase = 10)
{
  char digits[24];
  const auto end = std::to_chars(digits, digits + sizeof(digits), aNumber, aBase).ptr;
  aText.append(digits, end);
}

void AppendHead(std::string& aOut, std::uint16_t aStatus, std::string_view aReason,
                const HeaderFields& aFields)
{
  aOut += "HTTP/1.1 ";
  AppendNumber(aOut, aStatus);
  aOut += ' ';
  aOut += aReason;
  aOut += "\r\n";
  for (const HeaderField& field : aFields) {
    aOut += field.name;
    aOut += ": ";
    aOut += field.value;
    aOut += "\r\n";
  }
}

} // namespace

// Reads a request, sends its answer, and lingers after the last answer until the caller closes.
class IngressServer::Connection final
  : public TcpOwner
  , public IngressExchange
  , public std::enable_shared_from_this<IngressServer::Connection>
{
public:
  Connection(IngressServer& aServer, int aFd)
    : server(aServer)
    , socket(aServer.poller, *this)
    , since(aServer.clock.Read().steady)
  {
    this->socket.Adopt(aFd);
  }

  void OnInput() override
  {
    const auto self = this->shared_from_this();
    if (this->state == State::kLingering) {
      this->socket.Input().clear();
      return;
    }
    this->ReadRequest();
  }

  void OnInputEnd(bool) override
  {
    const auto self = this->shared_from_this();
    const bool wasAnswering = this->state == State::kAnswering;
    this->Drop(false);
    if (wasAnswering) {
      this->server.handler.OnCallerGone(*this);
    }
  }

  void Respond(std::uint16_t aStatus, std::string_view aReason, const HeaderFields& aFields,
               std::string_view aBody) override
  {
    this->BeginBody(aStatus, aReason, aFields, aBody.size());
    this->WriteBody(aBody);
    this->FinishBody();
  }

  void BeginBody(std::uint16_t aStatus, std::string_view aReason, const HeaderFields& aFields,
                 std::optional<std::uint64_t> aLength) override
  {
    if (this->state != State::kAnswering) {
      return;
    }
    this->isClosing = this->isClosing || this->server.isLeaving;
    this->isChunked = !aLength.has_value();
    this->isHeadOnly = this->isHeadRequest;
    AppendHead(this->unsentOutput, aStatus, aReason, aFields);
    if (this->isChunked) {
      this->unsentOutput += "Transfer-Encoding: chunked\r\n";
    } else {
      this->unsentOutput += "Content-Length: ";
      AppendNumber(this->unsentOutput, *aLength);
      this->unsentOutput += "\r\n";
    }
    if (this->isClosing) {
      this->unsentOutput += "Connection: close\r\n";
    }
    this->unsentOutput += "\r\n";
  }

  void WriteBody(std::string_view aData) override
  {
    if (this->state != State::kAnswering) {
      return;
    }
    if (!this->isHeadOnly && !aData.empty()) {
      if (this->isChunked) {
        AppendNumber(this->unsentOutput, aData.size(), 16);
        this->unsentOutput += "\r\n";
      }
      this->unsentOutput += aData;
      if (this->isChunked) {
        this->unsentOutput += "\r\n";
      }
    }
    this->Send();
    if (!this->server.MayHoldOutput(this->socket.PendingOutput())) {
      this->OnInputEnd(true);
    }
  }

  void FinishBody() override
  {
    if (this->state != State::kAnswering) {
      return;
    }
    if (this->isChunked && !this->isHeadOnly) {
      this->unsentOutput += "0\r\n\r\n";
    }
    this->Send();
    this->EndAnswer();
  }

  void Abort() override
  {
    if (this->state != State::kAnswering) {
      return;
    }
    this->unsentOutput.clear();
    this->Drop(false);
  }

  std::size_t PendingOutput() const { return this->socket.PendingOutput(); }
  bool IsIdle() const { return this->state == State::kReading && !this->hasBytes; }

  // Drops idle and lingering connections and rejects requests that exceeded their timeout.
  void CheckTimeouts(TimePoint aNow)
  {
    const IngressLimits& limits = this->server.limits;
    const bool hasLingered = this->state == State::kLingering && aNow - this->since > kLingerTime;
    const bool hasIdledTooLong = this->IsIdle() && aNow - this->since > limits.idleTimeout;
    if (hasLingered || hasIdledTooLong) {
      this->Drop(false);
    } else if (this->state == State::kReading && this->hasBytes &&
               aNow - this->readingSince > limits.headTimeout) {
      if (this->isPaused) {
        this->RejectForRoom();
      } else {
        this->Reject(408, "Request Timeout");
      }
    }
  }

  void Drop(bool aAbort)
  {
    this->state = State::kClosed;
    this->EndPause();
    this->bodyHold.reset();
    this->socket.Close(aAbort);
    this->server.connections.erase(this->shared_from_this());
  }

  void ReadRequest()
  {
    if (this->state != State::kReading || this->socket.Input().empty()) {
      return;
    }
    const TimePoint now = this->server.clock.Read().steady;
    if (!this->hasBytes) {
      this->hasBytes = true;
      this->since = now;
      this->readingSince = now;
      this->reader = std::make_unique<RequestReader>(this->server.limits.headBytes,
                                                     this->server.limits.bodyBytes);
    }
    const ReadState result = this->reader->Read(this->socket.Input());
    switch (result) {
      case ReadState::kMore:
        if (this->reader->IsHeadDone() && this->bodyHold == nullptr) {
          this->BeginBodyOrPause();
        }
        return;
      case ReadState::kDone:
        this->Deliver(now);
        return;
      case ReadState::kHeadTooBig:
        this->Reject(431, "Request Header Fields Too Large");
        return;
      case ReadState::kBodyTooBig:
        this->Reject(413, "Content Too Large");
        return;
      case ReadState::kMalformed:
        this->Reject(400, "Bad Request");
        return;
    }
  }

  // Reads the body if there is room for it now.
  bool Resume()
  {
    if (!this->isPaused) {
      return true; // it was rejected or dropped
    }
    if (!this->server.HasRoomFor(this->BodySize())) {
      return false;
    }
    this->isPaused = false;
    this->readingSince = this->server.clock.Read().steady;
    this->BeginBody();
    this->socket.SetReading(true);
    return true;
  }

private:
  enum class State : std::uint8_t
  {
    kReading,
    kAnswering,
    kLingering,
    kClosed,
  };

  // Size of the body by its head; the largest one if the head does not tell.
  std::size_t BodySize() const
  {
    const HeaderField* length = FindField(this->reader->Head().fields, "Content-Length");
    std::uint64_t size = this->server.limits.bodyBytes;
    if (length != nullptr) {
      std::from_chars(length->value.data(), length->value.data() + length->value.size(), size);
    }
    return static_cast<std::size_t>(size);
  }

  // Waits until there is room for the body; meanwhile, the rest of it stays in the kernel.
  void BeginBodyOrPause()
  {
    const std::size_t size = this->BodySize();
    const bool isFirst = this->server.pausedConnections.empty();
    if (size <= kMaxSmallBodyBytes || (isFirst && this->server.HasRoomFor(size))) {
      this->BeginBody();
      return;
    }
    if (!this->isPaused) {
      this->isPaused = true;
      this->readingSince = this->server.clock.Read().steady;
      this->socket.SetReading(false);
      this->server.pausedConnections.push_back(this->weak_from_this());
      this->server.bufferedReadTimer.ArmAfter(Duration::zero());
    }
  }

  // Lets the connections behind this one try again.
  void EndPause()
  {
    if (std::exchange(this->isPaused, false)) {
      this->server.bufferedReadTimer.ArmAfter(Duration::zero());
    }
  }

  void BeginBody()
  {
    const std::size_t size = this->BodySize();
    this->bodyHold = this->server.bodyMemory->Hold(size);
    if (FindField(this->reader->Head().fields, "Content-Length") != nullptr) {
      this->reader->Body().reserve(size);
    }
    this->SendContinueIfExpected();
  }

  // Stops reading while the request is answered, so that further data stays in the kernel.
  void Deliver(TimePoint aNow)
  {
    const std::size_t size = this->reader->Body().size();
    const bool hasWaited = this->bodyHold != nullptr && size > kMaxSmallBodyBytes;
    if (size > 0 && !hasWaited && this->server.bodyMemory->Held() + size > kMaxHeldBytes) {
      this->RejectForRoom();
      return;
    }
    IngressRequest request;
    if (size > 0) {
      request.bodyHold = this->server.bodyMemory->Hold(size);
    }
    this->bodyHold.reset();
    request.firstByteAt = this->since;
    request.readAt = aNow;
    this->isClosing = !this->reader->KeepsAlive();
    request.head = std::move(this->reader->Head());
    request.body = std::move(this->reader->Body());
    this->isHeadRequest = request.head.method == "HEAD";
    this->reader.reset();
    this->isExpectChecked = false;
    this->hasBytes = false;
    this->state = State::kAnswering;
    this->socket.SetReading(false);
    this->server.handler.OnRequest(this->shared_from_this(), std::move(request));
  }

  void SendContinueIfExpected()
  {
    if (this->isExpectChecked || !this->reader->IsHeadDone()) {
      return;
    }
    this->isExpectChecked = true;
    const HeaderField* expect = FindField(this->reader->Head().fields, "Expect");
    if (expect != nullptr && FieldNamesEqual(expect->value, "100-continue")) {
      this->socket.Write("HTTP/1.1 100 Continue\r\n\r\n");
    }
  }

  // Answers a request that could not be read, and closes the connection.
  void Reject(std::uint16_t aStatus, std::string_view aReason)
  {
    this->state = State::kAnswering;
    this->isClosing = true;
    this->bodyHold.reset();
    this->Respond(aStatus, aReason, {}, "");
  }

  void RejectForRoom()
  {
    const auto self = this->shared_from_this();
    this->state = State::kAnswering;
    this->isClosing = true;
    this->EndPause();
    this->bodyHold.reset();
    const RequestHead head = std::move(this->reader->Head());
    this->reader.reset();
    this->server.handler.OnNoRoom(*this, head);
  }

  void Send()
  {
    this->socket.Write(this->unsentOutput);
    this->unsentOutput.clear();
  }

  void EndAnswer()
  {
    this->since = this->server.clock.Read().steady;
    if (this->isClosing) {
      this->state = State::kLingering;
      this->socket.ShutdownOutput();
      this->socket.SetReading(true);
      return;
    }
    this->state = State::kReading;
    this->socket.SetReading(true);
    this->socket.ReleaseBuffers();
    if (this->server.isStopped) {
      this->Drop(false);
    } else if (!this->socket.Input().empty()) {
      this->server.bufferedConnections.push_back(this->weak_from_this());
      this->server.bufferedReadTimer.ArmAfter(Duration::zero());
    }
  }

  IngressServer& server;
  TcpSocket socket;
  State state = State::kReading;
  TimePoint since;          // start of the state; while a request is read, time of its first byte
  TimePoint readingSince{}; // start of the time for reading a request, or for waiting for room
  std::shared_ptr<void> bodyHold; // while the body is read
  std::unique_ptr<RequestReader> reader;
  std::string unsentOutput; // output not yet passed to the socket
  bool hasBytes = false;
  bool isExpectChecked = false;
  bool isPaused = false; // until there is room for the body
  bool isClosing = false;
  bool isChunked = false;
  bool isHeadOnly = false;
  bool isHeadRequest = false;
};

void IngressHandler::OnNoRoom(IngressExchange& aExchange, const RequestHead&)
{
  aExchange.Respond(503, "Service Unavailable", { { "Retry-After", "1" } }, "");
}

IngressServer::IngressServer(Poller& aPoller, const Clock& aClock, IngressHandler& aHandler)
  : poller(aPoller)
  , clock(aClock)
  , handler(aHandler)
  , bodyMemory(std::make_shared<BodyMemory>([this] {
    if (!this->pausedConnections.empty()) {
      this->bufferedReadTimer.ArmAfter(Duration::zero());
    }
  }))
  , listener(aPoller, [this](int aFd) { this->Accept(aFd); })
  , sweepTimer([this] { this->Sweep(); })
  , bufferedReadTimer([this] { this->ReadBuffered(); })
{
}

// Bodies that are released from now on resume no connection.
IngressServer::~IngressServer()
{
  this->bodyMemory.reset();
}

std::error_code IngressServer::Listen(const Address& aAddress)
{
  this->sweepTimer.ArmAfter(kSweepPeriod);
  return this->listener.Listen(aAddress);
}

void IngressServer::StopListening()
{
  this->isStopped = true;
  this->listener.Close();
  const std::vector<std::shared_ptr<Connection>> open(this->connections.begin(),
                                                      this->connections.end());
  for (const std::shared_ptr<Connection>& connection : open) {
    if (connection->IsIdle()) {
      connection->Drop(false);
    }
  }
}

// A body that exceeds the total alone is read when there is no other.
bool IngressServer::HasRoomFor(std::size_t aBytes) const
{
  const std::size_t held = this->bodyMemory->Held();
  return held == 0 || held + aBytes <= kMaxHeldBodyBytes;
}

void IngressServer::ResumePaused()
{
  while (!this->pausedConnections.empty()) {
    const std::shared_ptr<Connection> connection = this->pausedConnections.front().lock();
    if (connection != nullptr && !connection->Resume()) {
      return;
    }
    this->pausedConnections.pop_front();
  }
}

void IngressServer::Accept(int aFd)
{
  this->connections.insert(std::make_shared<Connection>(*this, aFd));
}

bool IngressServer::MayHoldOutput(std::size_t aPending) const
{
  if (aPending < kMinDisconnectBytes) {
    return true;
  }
  std::size_t total = 0;
  for (const std::shared_ptr<Connection>& connection : this->connections) {
    total += connection->PendingOutput();
  }
  return aPending <= kMaxPendingOutputBytes && total <= kMaxTotalOutputBytes;
}

void IngressServer::ReadBuffered()
{
  const std::vector<std::weak_ptr<Connection>> connections =
    std::exchange(this->bufferedConnections, {});
  for (const std::weak_ptr<Connection>& weak : connections) {
    if (const std::shared_ptr<Connection> connection = weak.lock()) {
      connection->ReadRequest();
    }
  }
  this->ResumePaused();
}

void IngressServer::Sweep()
{
  const TimePoint now = this->clock.Read().steady;
  const std::vector<std::shared_ptr<Connection>> open(this->connections.begin(),
                                                      this->connections.end());
  for (const std::shared_ptr<Connection>& connection : open) {
    connection->CheckTimeouts(now);
  }
  this->sweepTimer.ArmAfter(kSweepPeriod);
}

} // namespace caraway
