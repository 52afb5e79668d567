// HTTP calls with libsoup on the GLib main loop, without redirects or a proxy. Calls with their own
// connection are never resent.
#pragma once

#include "core/types.h"

#include <libsoup/soup.h>

#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <system_error>
#include <unordered_set>
#include <vector>

namespace caraway {

struct HttpHeader
{
  std::string name;
  std::string value;
};

struct HttpRequest
{
  std::string method = "GET";
  std::string address; // ip:port
  std::string path;    // including the query
  std::vector<HttpHeader> headers;
  std::string body; // JSON; no body is sent if empty
  // Opens a new connection for this call only. Required for calls that must not arrive twice, as
  // libsoup resends a request if a reused connection was closed by the server.
  bool hasOwnConnection = true;
};

// How a call ended.
struct HttpEnd
{
  // No error if the answer was read to its end. libsoup treats a connection closed between two
  // chunks as the end of a chunked body, so a stream needs its own end marker.
  std::error_code error;
  bool sent = false; // bytes of the request may have left this process
  std::uint16_t status = 0;
};

// Receives the parts of an answer. Called from the main loop; `end` is called once, last.
struct HttpHandlers
{
  std::function<void(std::uint16_t aStatus, SoupMessageHeaders* aHeaders)> head;
  std::function<void(std::string_view aData)> data;
  std::function<void(const HttpEnd&)> end;
};

// One call in progress. Owned by its session and its pending main loop operations; users hold a
// weak reference.
class HttpCall;

class HttpSession
{
public:
  // aIoTimeout: time without data on a connection after which a call fails, rounded up to seconds;
  // zero disables the timeout.
  explicit HttpSession(Duration aIoTimeout);
  // Cancels all calls; their handlers are no longer called.
  ~HttpSession();
  HttpSession(const HttpSession&) = delete;
  HttpSession& operator=(const HttpSession&) = delete;

  // Starts a call. Handlers are not called before this returns.
  std::weak_ptr<HttpCall> Start(const HttpRequest& aRequest, HttpHandlers aHandlers);

private:
  friend class HttpCall;

  SoupSession* session;
  std::unordered_set<std::shared_ptr<HttpCall>> calls;
};

// Closes the call's connection. Its handlers are not called afterwards.
void CancelCall(const std::weak_ptr<HttpCall>& aCall);

} // namespace caraway
