// HTTP server for callers, based on libsoup.
#pragma once

#include "runtime/caller_exchange.h"
#include "runtime/refused_connection.h"
#include "runtime/settings.h"

#include <list>
#include <memory>
#include <system_error>
#include <unordered_map>

namespace caraway {

class CallerServer final : public ExchangeOwner
{
public:
  CallerServer(const EntrySettings& aSettings, EntryHost& aHost, Metrics& aMetrics,
               Random& aRandom);
  ~CallerServer() override;
  CallerServer(const CallerServer&) = delete;
  CallerServer& operator=(const CallerServer&) = delete;

  std::error_code Start();
  std::uint16_t Port() const { return this->port; }
  // Accepts no further connections; calls in progress continue.
  void StopListening();
  // True when no call is in progress.
  bool IsIdle() const;

  void Refuse(CallerExchange& aExchange, const Rejection& aRejection) override;
  void Drop(CallerExchange& aExchange) override;
  void OnDisconnected(CallerExchange& aExchange) override;

private:
  static void OnStarted(SoupServer* aServer, SoupServerMessage* aMessage, void* aData);
  static void OnHead(SoupServer* aServer, SoupServerMessage* aMessage, const char* aPath,
                     GHashTable* aQuery, void* aData);
  static void OnRequest(SoupServer* aServer, SoupServerMessage* aMessage, const char* aPath,
                        GHashTable* aQuery, void* aData);
  static void OnEnded(SoupServer* aServer, SoupServerMessage* aMessage, void* aData);
  void End(SoupServerMessage* aMessage);
  ObjectPtr<GIOStream> TakeConnection(CallerExchange& aExchange);
  CallerExchange* Find(SoupServerMessage* aMessage) const;

  EntrySettings settings;
  EntryHost& host;
  Metrics& metrics;
  Random& random;
  CallerLimits limits;
  ObjectPtr<SoupServer> server;
  std::uint16_t port = 0;
  std::unordered_map<SoupServerMessage*, std::unique_ptr<CallerExchange>> exchanges;
  std::list<std::unique_ptr<RefusedConnection>> refused;
};

} // namespace caraway
