// Endpoints as the platform's list names them. The list lags behind, so it proposes; what attempts
// show decides (see Dispatcher).
#pragma once

#include "core/types.h"

#include <cstdint>
#include <map>
#include <string>

namespace caraway::direct {

struct EndpointInfo
{
  std::string id; // of one life of the endpoint's process, unless it starts again under its id
  std::string service;
  std::string host; // IP number
  std::uint16_t port = 0;
  std::string failureDomain;
  std::string version; // of its software
  std::uint32_t slots = 1;
  bool isLeaving = false;
  std::int64_t bornMs = 0;    // start of its process, Unix time; 0: not said
  std::uint64_t sequence = 0; // of its registration; grows with each change in one life

  friend bool operator==(const EndpointInfo&, const EndpointInfo&) = default;
};

// What an answer says about its endpoint, whatever request it belongs to.
struct EndpointNotice
{
  bool isLeaving = false; // it stops soon: nothing new may be sent to it
  Duration rest{};        // it wants no request from this process for so long; zero: any
};

class EndpointTable
{
public:
  // Adds or replaces an endpoint. False if the registration is older than the one known.
  bool Put(const EndpointInfo& aInfo);
  bool Remove(const std::string& aId);

  const std::map<std::string, EndpointInfo>& All() const { return this->endpoints; }

private:
  std::map<std::string, EndpointInfo> endpoints;
};

// Hash of what decides where calls may go; heartbeats alone do not change it.
std::uint64_t HashOf(const std::map<std::string, EndpointInfo>& aAll);

} // namespace caraway::direct
