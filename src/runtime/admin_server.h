// HTTP server for operators: metrics, status, timeline, configuration, clock, drain.
#pragma once

#include "runtime/address.h"
#include "runtime/admin_view.h"
#include "runtime/ingress_server.h"
#include "runtime/observer.h"

#include <map>
#include <string>
#include <system_error>

namespace caraway {

class AdminServer final : private IngressHandler
{
public:
  // aMemory: of the connections of the process.
  AdminServer(std::string aNode, AdminView& aView, const Clock& aClock, const Observer& aObserver,
              Metrics& aMetrics, Poller& aPoller, std::shared_ptr<MemoryAccount> aMemory);
  ~AdminServer() override = default;
  AdminServer(const AdminServer&) = delete;
  AdminServer& operator=(const AdminServer&) = delete;

  std::error_code Start(const Address& aAddress) { return this->server.Listen(aAddress); }
  std::uint16_t Port() const { return this->server.Port(); }

private:
  using Query = std::map<std::string, std::string>;

  struct Page
  {
    std::uint16_t status = 200;
    std::string body;
    const char* type = "application/json";
  };

  void OnRequest(const std::shared_ptr<IngressExchange>& aExchange,
                 IngressRequest aRequest) override;
  void OnCallerGone(IngressExchange&) override {}
  Page Answer(const std::string& aMethod, const std::string& aPath, const Query& aQuery);
  std::string MetricsText() const;
  std::string EventsJson(const Query& aQuery) const;
  std::string ConfigJson() const;
  std::string ClockJson() const;

  std::string node;
  AdminView& view;
  const Clock& clock;
  const Observer& observer;
  Metrics& metrics;
  std::shared_ptr<MemoryAccount> memory;
  IngressServer server;
};

} // namespace caraway
