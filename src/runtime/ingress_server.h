// HTTP server for callers: reads complete requests, forwards answers as they arrive, and detects
// callers that disconnect.
#pragma once

#include "runtime/body_memory.h"
#include "runtime/clock.h"
#include "runtime/http_reader.h"
#include "runtime/memory_account.h"
#include "runtime/tcp_socket.h"
#include "runtime/timer.h"

#include <deque>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <system_error>
#include <unordered_set>
#include <vector>

namespace caraway {

// Size and time limits for requests of callers.
struct IngressLimits
{
  std::uint32_t headBytes = 16 * 1024;
  std::uint64_t bodyBytes = 4 << 20;
  Duration headTimeout = std::chrono::seconds(3);  // from the first byte to the end of the request
  Duration idleTimeout = std::chrono::seconds(15); // between two requests
};

// Connections that were refused or closed for others, since the start.
struct IngressRefusals
{
  std::uint64_t connections = 0; // for lack of descriptors
  std::uint64_t reading = 0;     // for lack of memory for requests that are read
  std::string lastHost;          // IP address of the caller of the last one
};

struct IngressRequest
{
  RequestHead head;
  std::string body;
  std::shared_ptr<void> bodyHold; // the body counts as held until this is released
  MemoryShare headShare;          // likewise the head
  TimePoint firstByteAt{};
  TimePoint readAt{}; // when the last byte was read
};

// One request on a connection and its answer. It is ended either by Respond, or by BeginBody
// followed by FinishBody or Abort. After the caller has disconnected, all calls do nothing.
class IngressExchange
{
public:
  virtual ~IngressExchange() = default;
  // Sends a complete answer; Content-Length is added.
  virtual void Respond(std::uint16_t aStatus, std::string_view aReason, const HeaderFields& aFields,
                       std::string_view aBody) = 0;
  // Sends the head of an answer whose body follows in parts; chunked if the length is unknown.
  virtual void BeginBody(std::uint16_t aStatus, std::string_view aReason,
                         const HeaderFields& aFields, std::optional<std::uint64_t> aLength) = 0;
  virtual void WriteBody(std::string_view aData) = 0;
  virtual void FinishBody() = 0;
  // Closes the connection before the end of the answer, so that the caller sees it as incomplete.
  virtual void Abort() = 0;
};

// Connections of callers for a process with that many descriptors. The platform keeps a part for
// files; of the others, a part is left for endpoints, the store and other servers.
std::size_t MaxConnectionsOf(std::uint32_t aDescriptors);

class IngressHandler
{
public:
  virtual ~IngressHandler() = default;
  // The head of a request whose body has not arrived. False if the request is answered by its head:
  // the body is not read, and the connection is closed after the answer.
  virtual bool OnHead(IngressExchange& aExchange, const RequestHead& aHead);
  // A request could not be read, for the reason that aStatus (HTTP) and aReason name. The
  // connection is closed after the answer.
  virtual void OnUnreadable(IngressExchange& aExchange, std::uint16_t aStatus,
                            std::string_view aReason);
  virtual void OnRequest(const std::shared_ptr<IngressExchange>& aExchange,
                         IngressRequest aRequest) = 0;
  // There is no room for the body of a request, which was not read.
  virtual void OnNoRoom(IngressExchange& aExchange, const RequestHead& aHead);
  // The caller disconnected before its answer was complete.
  virtual void OnCallerGone(IngressExchange& aExchange) = 0;
};

class IngressServer
{
public:
  // aAccount: what the process holds for connections; nullptr: that of this server only, with the
  // limits of the smallest VM. aFilters: of accepted connections; nullptr: none.
  IngressServer(Poller& aPoller, const Clock& aClock, IngressHandler& aHandler,
                std::shared_ptr<MemoryAccount> aAccount = nullptr,
                WireFilterFactory* aFilters = nullptr);
  ~IngressServer();
  IngressServer(const IngressServer&) = delete;
  IngressServer& operator=(const IngressServer&) = delete;

  std::error_code Listen(const Address& aAddress);
  std::uint16_t Port() const { return this->listener.Port(); }
  // Applies to requests whose reading starts after this call.
  void SetLimits(const IngressLimits& aLimits) { this->limits = aLimits; }
  const IngressLimits& Limits() const { return this->limits; }
  // Closes each connection after the next answer that begins on it.
  void BeginLeaving() { this->isLeaving = true; }
  // Accepts no new connections and closes idle ones.
  void StopListening();
  // Above aCount connections, the one that is idle for the longest time is closed for a new one.
  void SetMaxConnections(std::size_t aCount) { this->maxConnections = aCount; }
  const IngressRefusals& Refusals() const { return this->refusals; }
  std::size_t ConnectionCount() const { return this->connections.size(); }
  // True while the body of a request is read, or an answer has not been sent completely.
  bool IsBusy() const;

private:
  class Connection;

  void Accept(int aFd);
  // False if all connections hold too much output and this one, with aPending bytes, a notable
  // part.
  bool MayHoldOutput(std::size_t aPending) const;
  bool CloseOne();
  void LimitReading();
  void LogRefusals();
  void Sweep();
  void ReadBuffered();
  // Whether a body of aBytes may be read now.
  bool HasRoomFor(std::size_t aBytes) const;
  // Makes room for a body that does not wait; false if there is none.
  bool MakeRoomForSmallBody(std::size_t aBytes);
  void ResumePaused();

  Poller& poller;
  const Clock& clock;
  IngressHandler& handler;
  IngressLimits limits;
  bool isLeaving = false;
  bool isStopped = false;
  std::size_t maxConnections = SIZE_MAX;
  IngressRefusals refusals;
  std::uint64_t loggedRefusals = 0;
  std::shared_ptr<MemoryAccount> account;
  WireFilterFactory* filters;
  std::shared_ptr<BodyMemory> bodyMemory;
  // Connections that wait for room for a body, in order of arrival.
  std::deque<std::weak_ptr<Connection>> pausedConnections;
  std::unordered_set<std::shared_ptr<Connection>> connections;
  // Connections whose next request is already buffered. They are read from the main loop, not
  // while the previous answer is being sent.
  std::vector<std::weak_ptr<Connection>> bufferedConnections;
  TcpListener listener;
  Timer sweepTimer;
  Timer bufferedReadTimer;
};

} // namespace caraway
