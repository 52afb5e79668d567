// HTTP server for operators: metrics, status, timeline, configuration, clock, drain.
#pragma once

#include "runtime/address.h"
#include "runtime/admin_view.h"
#include "runtime/clock.h"
#include "runtime/glib_ptr.h"
#include "runtime/observer.h"

#include <libsoup/soup.h>

#include <functional>
#include <map>
#include <string>
#include <system_error>

namespace caraway {

class AdminServer
{
public:
  AdminServer(std::string aNode, AdminView& aView, const Clock& aClock, const Observer& aObserver,
              const Metrics& aMetrics);
  ~AdminServer();
  AdminServer(const AdminServer&) = delete;
  AdminServer& operator=(const AdminServer&) = delete;

  std::error_code Start(const Address& aAddress);
  std::uint16_t Port() const;

private:
  using Query = std::map<std::string, std::string>;

  static void OnRequest(SoupServer* aServer, SoupServerMessage* aMessage, const char* aPath,
                        GHashTable* aQuery, void* aData);
  void Answer(SoupServerMessage* aMessage, const std::string& aPath, const Query& aQuery);
  std::string EventsJson(const Query& aQuery) const;
  std::string ConfigJson() const;
  std::string ClockJson() const;

  std::string node;
  AdminView& view;
  const Clock& clock;
  const Observer& observer;
  const Metrics& metrics;
  ObjectPtr<SoupServer> server;
};

} // namespace caraway
