// HTTP client for endpoints: reuses idle connections, sends every request at most once, and reports
// at which stage an exchange ended.
#pragma once

#include "runtime/clock.h"
#include "runtime/http_reader.h"
#include "runtime/tcp_socket.h"
#include "runtime/timer.h"

#include <list>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <unordered_set>

namespace caraway {

struct EndpointRequest
{
  Address address;
  std::string bytes; // serialized head and body
  bool isHead = false;
  // A connection that was idle for longer is not reused. Zero: always opens a new connection.
  Duration maxIdle = std::chrono::seconds(4);
  Duration connectTimeout = std::chrono::milliseconds(500);
  // Header field that answers echo from the request. An answer with another value, or without the
  // field on a reused connection, belongs to an earlier request and is skipped. Empty: answers are
  // not checked.
  std::string correlationField;
  std::string correlationValue;
  // Limit of the answer's decoded body; a longer body ends the exchange as malformed. The default
  // is far above any answer of the supported protocols.
  std::uint64_t maxBodyBytes = 4 << 20;
};

// How an exchange ended.
enum class ExchangeEnd : std::uint8_t
{
  kComplete,  // the answer was read completely
  kUnsent,    // no byte of the request left this process
  kBroken,    // the connection ended before the answer was complete
  kMalformed, // the answer is not valid HTTP or exceeds its limits
};

std::string_view ToString(ExchangeEnd aEnd);

// The connection that an exchange used.
enum class ConnectionUse : std::uint8_t
{
  kNone, // it was not established
  kNew,
  kKept, // it had carried earlier requests
};

std::string_view ToString(ConnectionUse aUse);

// Evidence for logs of whose answer an exchange received.
struct ExchangeTrace
{
  ConnectionUse connection = ConnectionUse::kNone;
  unsigned skippedAnswers = 0; // interim answers and answers to other requests
};

// Receives the parts of an answer from the main loop; OnEnd is the last call.
class ExchangeHandler
{
public:
  virtual ~ExchangeHandler() = default;
  virtual void OnHead(const ResponseHead& aHead) = 0;
  virtual void OnBody(std::string_view aData) = 0;
  virtual void OnEnd(ExchangeEnd aEnd) = 0;
};

class EndpointExchange;

class EndpointPool
{
public:
  EndpointPool(Poller& aPoller, const Clock& aClock);
  ~EndpointPool();
  EndpointPool(const EndpointPool&) = delete;
  EndpointPool& operator=(const EndpointPool&) = delete;

  // Starts an exchange. aHandler must outlive it, until OnEnd or Cancel; it is not called before
  // this returns.
  std::weak_ptr<EndpointExchange> Send(EndpointRequest aRequest, ExchangeHandler& aHandler);
  // Closes the connection of an exchange; its handler is no longer called.
  void Cancel(const std::weak_ptr<EndpointExchange>& aExchange);
  // Can be called until the exchange has ended, from OnEnd too.
  static ExchangeTrace TraceOf(const std::weak_ptr<EndpointExchange>& aExchange);
  // Closes all idle connections to an endpoint.
  void CloseIdle(const Address& aAddress);
  std::size_t IdleCount() const;
  std::uint64_t ConnectionsOpened() const { return this->openedCount; }

private:
  friend class EndpointExchange;

  class IdleConnection;

  void StoreIdle(EndpointExchange& aExchange, Duration aIdleTime);
  // Moves an idle connection to the exchange; returns false if there is none that it may use.
  bool TakeIdle(EndpointExchange& aExchange);
  void Sweep();

  Poller& poller;
  const Clock& clock;
  std::unordered_set<std::shared_ptr<EndpointExchange>> exchanges;
  std::map<Address, std::list<std::unique_ptr<IdleConnection>>> idle;
  std::uint64_t openedCount = 0;
  Timer sweepTimer;
};

} // namespace caraway
