// HTTP calls on the GLib main loop, without redirects or a proxy. An answer that ends early is an
// error, wherever it was cut. Calls with their own connection are never resent.
#pragma once

#include "runtime/clock.h"
#include "runtime/endpoint_pool.h"
#include "runtime/poller.h"

#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <system_error>
#include <unordered_set>
#include <vector>

namespace caraway {

struct HttpRequest
{
  std::string method = "GET";
  std::string address; // ip:port
  std::string path;    // including the query, percent-encoded
  HeaderFields headers;
  std::string body; // JSON; no body is sent if empty
  // Opens a new connection for this call only. Required for calls that must not arrive twice, as
  // a request is resent if the server closed a reused connection.
  bool hasOwnConnection = true;
};

// How a call ended.
struct HttpEnd
{
  std::error_code error; // none if the answer was read to its end
  bool sent = false;     // bytes of the request may have left this process
  std::uint16_t status = 0;
};

// Receives the parts of an answer. Called from the main loop; `end` is called once, last.
struct HttpHandlers
{
  std::function<void(const ResponseHead& aHead)> head;
  std::function<void(std::string_view aData)> data;
  std::function<void(const HttpEnd&)> end;
};

// One call in progress. Owned by its session; users hold a weak reference.
class HttpCall;

class HttpSession
{
public:
  // aIoTimeout: time without data on a connection after which a call fails; zero disables the
  // timeout.
  explicit HttpSession(Duration aIoTimeout);
  // Cancels all calls; their handlers are no longer called.
  ~HttpSession();
  HttpSession(const HttpSession&) = delete;
  HttpSession& operator=(const HttpSession&) = delete;

  // Starts a call. Handlers are not called before this returns.
  std::weak_ptr<HttpCall> Start(const HttpRequest& aRequest, HttpHandlers aHandlers);

private:
  friend class HttpCall;

  Duration ioTimeout;
  SystemClock clock;
  Poller poller;
  EndpointPool pool;
  std::unordered_set<std::shared_ptr<HttpCall>> calls;
};

// Closes the call's connection. Its handlers are not called afterwards.
void CancelCall(const std::weak_ptr<HttpCall>& aCall);

} // namespace caraway
