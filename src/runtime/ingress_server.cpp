#include "runtime/ingress_server.h"

#include <sys/socket.h>

#include <charconv>
#include <utility>

namespace caraway {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr Duration kSweepPeriod = milliseconds(250); // precision of the timeouts
// Time for the other end to read the last answer and close before the connection is dropped.
constexpr Duration kLingerTime = seconds(1);
// Unread output after which a caller that does not read is dropped.
constexpr std::size_t kMaxPendingOutput = 8 << 20;

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

// States: reading a request, waiting for or passing on its answer, lingering after the last answer.
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
    this->closing = this->closing || this->server.leaving;
    this->chunked = !aLength.has_value();
    this->headOnly = this->isHeadRequest;
    AppendHead(this->scratch, aStatus, aReason, aFields);
    if (this->chunked) {
      this->scratch += "Transfer-Encoding: chunked\r\n";
    } else {
      this->scratch += "Content-Length: ";
      AppendNumber(this->scratch, *aLength);
      this->scratch += "\r\n";
    }
    if (this->closing) {
      this->scratch += "Connection: close\r\n";
    }
    this->scratch += "\r\n";
  }

  void WriteBody(std::string_view aData) override
  {
    if (this->state != State::kAnswering) {
      return;
    }
    if (!this->headOnly && !aData.empty()) {
      if (this->chunked) {
        AppendNumber(this->scratch, aData.size(), 16);
        this->scratch += "\r\n";
      }
      this->scratch += aData;
      if (this->chunked) {
        this->scratch += "\r\n";
      }
    }
    this->Send();
    if (this->socket.PendingOutput() > kMaxPendingOutput) {
      this->OnInputEnd(true);
    }
  }

  void FinishBody() override
  {
    if (this->state != State::kAnswering) {
      return;
    }
    if (this->chunked && !this->headOnly) {
      this->scratch += "0\r\n\r\n";
    }
    this->Send();
    this->EndAnswer();
  }

  void Abort() override
  {
    if (this->state != State::kAnswering) {
      return;
    }
    this->scratch.clear();
    this->Drop(false);
  }

  bool IsIdle() const { return this->state == State::kReading && !this->hasBytes; }

  // Ends what has lasted too long.
  void CheckTimeouts(TimePoint aNow)
  {
    const IngressLimits& limits = this->server.limits;
    const bool hasLingered = this->state == State::kLingering && aNow - this->since > kLingerTime;
    const bool isForgotten = this->IsIdle() && aNow - this->since > limits.idleTimeout;
    if (hasLingered || isForgotten) {
      this->Drop(false);
    } else if (this->state == State::kReading && this->hasBytes &&
               aNow - this->since > limits.headTimeout) {
      this->Reject(408, "Request Timeout");
    }
  }

  void Drop(bool aAbort)
  {
    this->state = State::kClosed;
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
      this->reader = std::make_unique<RequestReader>(this->server.limits.headBytes,
                                                     this->server.limits.bodyBytes);
    }
    const ReadState result = this->reader->Read(this->socket.Input());
    switch (result) {
      case ReadState::kMore:
        this->ContinueIfAsked();
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

private:
  enum class State : std::uint8_t
  {
    kReading,
    kAnswering,
    kLingering,
    kClosed,
  };

  // Reading stops while the request is answered: what follows it waits in the kernel.
  void Deliver(TimePoint aNow)
  {
    IngressRequest request;
    request.firstByteAt = this->since;
    request.readAt = aNow;
    this->closing = !this->reader->KeepsAlive();
    request.head = std::move(this->reader->Head());
    request.body = std::move(this->reader->Body());
    this->isHeadRequest = request.head.method == "HEAD";
    this->reader.reset();
    this->continued = false;
    this->hasBytes = false;
    this->state = State::kAnswering;
    this->socket.SetReading(false);
    this->server.handler.OnRequest(this->shared_from_this(), std::move(request));
  }

  void ContinueIfAsked()
  {
    if (this->continued || !this->reader->IsHeadDone()) {
      return;
    }
    this->continued = true;
    const HeaderField* expect = FindField(this->reader->Head().fields, "Expect");
    if (expect != nullptr && SameFieldName(expect->value, "100-continue")) {
      this->socket.Write("HTTP/1.1 100 Continue\r\n\r\n");
    }
  }

  // Answers a request that could not be read; the connection ends with it.
  void Reject(std::uint16_t aStatus, std::string_view aReason)
  {
    this->state = State::kAnswering;
    this->closing = true;
    this->Respond(aStatus, aReason, {}, "");
  }

  void Send()
  {
    this->socket.Write(this->scratch);
    this->scratch.clear();
  }

  void EndAnswer()
  {
    this->since = this->server.clock.Read().steady;
    if (this->closing) {
      this->state = State::kLingering;
      this->socket.ShutdownOutput();
      this->socket.SetReading(true);
      return;
    }
    this->state = State::kReading;
    this->socket.SetReading(true);
    if (this->server.stopped) {
      this->Drop(false);
    } else if (!this->socket.Input().empty()) {
      this->server.waiting.push_back(this->weak_from_this());
      this->server.readWaiting.ArmAfter(Duration::zero());
    }
  }

  IngressServer& server;
  TcpSocket socket;
  State state = State::kReading;
  TimePoint since; // of the state; while reading, of the first byte
  std::unique_ptr<RequestReader> reader;
  std::string scratch; // output that is not handed to the socket yet
  bool hasBytes = false;
  bool continued = false;
  bool closing = false;
  bool chunked = false;
  bool headOnly = false;
  bool isHeadRequest = false;
};

IngressServer::IngressServer(Poller& aPoller, const Clock& aClock, IngressHandler& aHandler)
  : poller(aPoller)
  , clock(aClock)
  , handler(aHandler)
  , listener(aPoller, [this](int aFd) { this->Accept(aFd); })
  , sweep([this] { this->Sweep(); })
  , readWaiting([this] { this->ReadWaiting(); })
{
}

IngressServer::~IngressServer() = default;

std::error_code IngressServer::Listen(const Address& aAddress)
{
  this->sweep.ArmAfter(kSweepPeriod);
  return this->listener.Listen(aAddress);
}

void IngressServer::StopListening()
{
  this->stopped = true;
  this->listener.Close();
  const std::vector<std::shared_ptr<Connection>> open(this->connections.begin(),
                                                      this->connections.end());
  for (const std::shared_ptr<Connection>& connection : open) {
    if (connection->IsIdle()) {
      connection->Drop(false);
    }
  }
}

void IngressServer::Accept(int aFd)
{
  this->connections.insert(std::make_shared<Connection>(*this, aFd));
}

void IngressServer::ReadWaiting()
{
  const std::vector<std::weak_ptr<Connection>> connections = std::exchange(this->waiting, {});
  for (const std::weak_ptr<Connection>& weak : connections) {
    if (const std::shared_ptr<Connection> connection = weak.lock()) {
      connection->ReadRequest();
    }
  }
}

void IngressServer::Sweep()
{
  const TimePoint now = this->clock.Read().steady;
  const std::vector<std::shared_ptr<Connection>> open(this->connections.begin(),
                                                      this->connections.end());
  for (const std::shared_ptr<Connection>& connection : open) {
    connection->CheckTimeouts(now);
  }
  this->sweep.ArmAfter(kSweepPeriod);
}

} // namespace caraway
