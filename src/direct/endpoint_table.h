// Endpoints in the platform's list. The list lags behind, so the results of attempts take
// precedence over it (see Dispatcher).
#pragma once

#include "core/types.h"
#include "direct/cold_rate.h"

#include <chrono>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>

namespace caraway::direct {

struct EndpointInfo
{
  std::string id; // unique per endpoint process, unless it restarts under the same id
  std::string service;
  std::string host; // IP address
  std::uint16_t port = 0;
  std::string failureDomain;
  std::string region;  // of the failure domain; empty if unknown
  std::string version; // of its software
  std::uint32_t slots = 1;
  bool isLeaving = false;
  std::int64_t bornMs = 0;    // start of the process, Unix time; 0: unknown
  std::uint64_t sequence = 0; // of the registration; increases with each change by one process
  // How much longer the endpoint stays cold, as of the registration.
  std::chrono::milliseconds coldRemaining{};
  ColdLimits coldLimits; // of its service, from the configuration

  friend bool operator==(const EndpointInfo&, const EndpointInfo&) = default;
};

// Load of an endpoint as announced in a response.
struct EndpointLoad
{
  std::uint32_t running = 0; // requests
  std::uint32_t waiting = 0;
  std::uint32_t slots = 0;
  double slowness = 1; // how long work takes on its VM right now; 1: as usual

  friend bool operator==(const EndpointLoad&, const EndpointLoad&) = default;
};

// State of an endpoint as announced in a response to any request.
struct EndpointNotice
{
  bool isLeaving = false; // it stops soon; no new requests may be sent
  Duration rest{};        // back-off requested from this process; zero: none
  // Requests per second that it accepts from all processes together; nullopt: no limit.
  std::optional<double> maxRate;
  bool isRateKnown = true; // false if the answer does not show whether there is a limit
  std::optional<EndpointLoad> load;
  std::optional<std::chrono::milliseconds> coldRemaining; // nullopt: the response does not tell
};

class EndpointTable
{
public:
  // Adds or replaces an endpoint. Returns false if the registration is older than the known one, or
  // is withheld after OnRestored.
  bool Put(const EndpointInfo& aInfo);
  // Also forgets a withheld registration. Returns false if the endpoint is not listed.
  bool Remove(const std::string& aId);
  // The list was restored from an older copy. Until ReleaseWithheld, a registration of an endpoint
  // that had left is withheld unless it is newer than the last one known.
  void OnRestored();
  // Adds the endpoints that are still listed then. Returns true if there are any.
  bool ReleaseWithheld();

  const std::map<std::string, EndpointInfo>& All() const { return this->endpoints; }
  const std::map<std::string, EndpointInfo>& Withheld() const { return this->withheld; }

private:
  void Insert(const EndpointInfo& aInfo);

  std::map<std::string, EndpointInfo> endpoints;
  std::deque<EndpointInfo> departed;            // oldest first
  std::map<std::string, EndpointInfo> barred;   // last known before OnRestored
  std::map<std::string, EndpointInfo> withheld; // of those, registrations in the restored list
};

// Hash of the fields that affect routing; heartbeats alone do not change it.
std::uint64_t HashOf(const std::map<std::string, EndpointInfo>& aAll);

} // namespace caraway::direct
