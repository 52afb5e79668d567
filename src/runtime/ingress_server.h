// HTTP server for callers: reads whole requests, passes answers on as they come, and notices
// callers that leave.
#pragma once

#include "runtime/clock.h"
#include "runtime/http_reader.h"
#include "runtime/tcp_socket.h"
#include "runtime/timer.h"

#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <system_error>
#include <unordered_set>
#include <vector>

namespace caraway {

// What a caller may send and how long it may take.
struct IngressLimits
{
  std::uint32_t headBytes = 16 * 1024;
  std::uint64_t bodyBytes = 4 << 20;
  Duration headTimeout = std::chrono::seconds(3);  // from the first byte to the end of the request
  Duration idleTimeout = std::chrono::seconds(15); // between two requests
};

struct IngressRequest
{
  RequestHead head;
  std::string body;
  TimePoint firstByteAt{};
  TimePoint readAt{}; // the last byte was read
};

// One request on a connection and its answer. Exactly one of Respond, or BeginBody followed by
// FinishBody or Abort, ends it; after the caller is gone all calls do nothing.
class IngressExchange
{
public:
  virtual ~IngressExchange() = default;
  // The whole answer; Content-Length is added.
  virtual void Respond(std::uint16_t aStatus, std::string_view aReason, const HeaderFields& aFields,
                       std::string_view aBody) = 0;
  // Head of an answer that follows in parts; chunked unless its length is known.
  virtual void BeginBody(std::uint16_t aStatus, std::string_view aReason,
                         const HeaderFields& aFields, std::optional<std::uint64_t> aLength) = 0;
  virtual void WriteBody(std::string_view aData) = 0;
  virtual void FinishBody() = 0;
  // Ends the answer so that it cannot be taken for complete.
  virtual void Abort() = 0;
};

class IngressHandler
{
public:
  virtual ~IngressHandler() = default;
  virtual void OnRequest(const std::shared_ptr<IngressExchange>& aExchange,
                         IngressRequest aRequest) = 0;
  // The caller left before its answer was complete.
  virtual void OnCallerGone(IngressExchange& aExchange) = 0;
};

class IngressServer
{
public:
  IngressServer(Poller& aPoller, const Clock& aClock, IngressHandler& aHandler);
  ~IngressServer();
  IngressServer(const IngressServer&) = delete;
  IngressServer& operator=(const IngressServer&) = delete;

  std::error_code Listen(const Address& aAddress);
  std::uint16_t Port() const { return this->listener.Port(); }
  // In force for requests that are read from now on.
  void SetLimits(const IngressLimits& aLimits) { this->limits = aLimits; }
  const IngressLimits& Limits() const { return this->limits; }
  // Each answer from now on ends its connection.
  void BeginLeaving() { this->leaving = true; }
  // Takes no new connection and closes the idle ones.
  void StopListening();
  std::size_t ConnectionCount() const { return this->connections.size(); }

private:
  class Connection;

  void Accept(int aFd);
  void Sweep();
  void ReadWaiting();

  Poller& poller;
  const Clock& clock;
  IngressHandler& handler;
  IngressLimits limits;
  bool leaving = false;
  bool stopped = false;
  std::unordered_set<std::shared_ptr<Connection>> connections;
  // Connections whose next request is in their buffer already. They are read from the main loop,
  // not from inside the answer before.
  std::vector<std::weak_ptr<Connection>> waiting;
  TcpListener listener;
  Timer sweep;
  Timer readWaiting;
};

} // namespace caraway
