// HTTP calls over libsoup on the GLib main loop: never resent, never redirected, no proxy.
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
  std::string path;    // with its query
  std::vector<HttpHeader> headers;
  std::string body; // JSON; none is sent if empty
  // Opens a connection for this call alone. Calls that must not arrive twice need it: libsoup
  // resends a request when a kept-alive connection turns out closed.
  bool freshConnection = true;
};

// How a call ended.
struct HttpEnd
{
  // None: the answer was read to its end. libsoup takes a connection that closes between two chunks
  // for the end of a chunked body: a stream needs an end mark of its own.
  std::error_code error;
  bool sent = false; // bytes of the request may have left this process
  std::uint16_t status = 0;
};

// Receives the parts of an answer. All are called from the main loop, `end` last and once.
struct HttpHandlers
{
  std::function<void(std::uint16_t aStatus, SoupMessageHeaders* aHeaders)> head;
  std::function<void(std::string_view aData)> data;
  std::function<void(const HttpEnd&)> end;
};

// One running call. Owned by its session's main loop operations; a caller keeps a weak reference.
class HttpCall;

class HttpSession
{
public:
  // aIoTimeout: silence on a connection after which a call fails, rounded up to seconds; zero:
  // none.
  explicit HttpSession(Duration aIoTimeout);
  // Cancels all calls; their handlers are not called any more.
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
