// HTTP server of the stand-ins on the GLib main loop: whole answers, streamed answers, and
// connections closed on purpose.
#pragma once

#include "runtime/http_call.h"

#include <libsoup/soup.h>

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>

namespace caraway {

// One request and its answer.
class HttpExchange
{
public:
  explicit HttpExchange(SoupServerMessage* aMessage, const char* aPath, GHashTable* aQuery);
  ~HttpExchange();
  HttpExchange(const HttpExchange&) = delete;
  HttpExchange& operator=(const HttpExchange&) = delete;

  const std::string& Method() const { return this->method; }
  const std::string& Path() const { return this->path; }
  const std::string& Body() const { return this->body; }
  // Value of a request header, empty if absent.
  std::string Header(const char* aName) const;
  // Value of a query parameter, empty if absent.
  std::string Query(const std::string& aName) const;

  // Gives the whole answer.
  void Answer(std::uint16_t aStatus, const std::string& aBody,
              const char* aType = "application/json");
  // Gives an answer in parts: one StartStream, any number of Write, one EndStream.
  void StartStream(const char* aType);
  void Write(const std::string& aData);
  void EndStream();
  // Closes the connection without finishing the answer.
  void Drop();

  // Called once if the other side closes its connection before the answer ended.
  void OnGone(std::function<void()> aGone);
  // The connection has ended: called by the service.
  void Finish();

private:
  static gboolean OnReadable(GSocket* aSocket, GIOCondition aCondition, gpointer aSelf);

  void Watch();
  void Gone();

  SoupServerMessage* message;
  std::string method;
  std::string path;
  std::string body;
  std::map<std::string, std::string> query;
  std::function<void()> gone;
  GSource* watch = nullptr; // of the socket, while the answer is open
  bool ended = false;
};

class HttpService
{
public:
  // A handler may throw nlohmann::json::exception for a malformed body: it is answered 400.
  using Handler = std::function<void(const std::shared_ptr<HttpExchange>&)>;

  explicit HttpService(Handler aHandler);
  ~HttpService();
  HttpService(const HttpService&) = delete;
  HttpService& operator=(const HttpService&) = delete;

  // Listens on ip:port, port 0 for one from the kernel; returns the port, or nothing on failure.
  std::optional<std::uint16_t> Listen(const std::string& aAddress);

private:
  static void OnRequest(SoupServer* aServer, SoupServerMessage* aMessage, const char* aPath,
                        GHashTable* aQuery, gpointer aSelf);
  static void OnFinished(SoupServerMessage* aMessage, gpointer aSelf);

  Handler handler;
  SoupServer* server;
  std::map<SoupServerMessage*, std::shared_ptr<HttpExchange>> exchanges;
};

} // namespace caraway
