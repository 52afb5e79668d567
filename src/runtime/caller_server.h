// HTTP server for callers of caraway-entry.
#pragma once

#include "runtime/caller_exchange.h"
#include "runtime/ingress_server.h"
#include "runtime/process.h"
#include "runtime/settings.h"
#include "runtime/tls_filter.h"

#include <memory>
#include <optional>
#include <system_error>
#include <unordered_map>
#include <vector>

namespace caraway {

class CallerServer final
  : public IngressHandler
  , public ExchangeOwner
{
public:
  CallerServer(const EntrySettings& aSettings, EntryHost& aHost, ProcessContext& aContext);
  ~CallerServer() override = default;
  CallerServer(const CallerServer&) = delete;
  CallerServer& operator=(const CallerServer&) = delete;

  std::error_code Start();
  std::uint16_t Port() const { return this->server.Port(); }
  // Accepts no further connections; calls in progress continue.
  void StopListening() { this->server.StopListening(); }
  // True when no call is in progress.
  bool IsIdle() const;

private:
  bool OnHead(IngressExchange& aExchange, const RequestHead& aHead) override;
  void OnUnreadable(IngressExchange& aExchange, std::uint16_t aStatus,
                    std::string_view aReason) override;
  void OnNoRoom(IngressExchange& aExchange, const RequestHead& aHead) override;
  void OnRequest(const std::shared_ptr<IngressExchange>& aExchange,
                 IngressRequest aRequest) override;
  void OnCallerGone(IngressExchange& aExchange) override;

  void BeforeAnswer() override;
  void OnEnded(CallerExchange& aExchange) override;
  void Refuse(IngressExchange& aExchange, const Rejection& aRejection);
  void Settle();

  EntrySettings settings;
  EntryHost& host;
  ProcessContext& context;
  std::optional<TlsFilterFactory> tls;
  IngressServer server;
  std::unordered_map<IngressExchange*, std::unique_ptr<CallerExchange>> exchanges;
  // Calls may end, and callers disconnect, in a call of the host or of the exchange itself; what
  // follows is done from the main loop.
  std::vector<IngressExchange*> goneCallers;
  std::vector<std::unique_ptr<CallerExchange>> ended;
  Timer settleTimer;
};

} // namespace caraway
