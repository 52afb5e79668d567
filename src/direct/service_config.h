// Operator configuration, loaded as one document: routes, services, accounts and limits. A newer
// document replaces all of it.
#pragma once

#include "direct/call.h"
#include "direct/queue_order.h"
#include "direct/shared_quota.h"

#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace caraway::direct {

struct ServiceWeight
{
  std::string service;
  double weight = 1;
};

struct Route
{
  std::string name;
  std::string host;
  std::string pathPrefix; // begins and ends with a slash
  CallKind kind = CallKind::kOnce;
  bool isResumable = false;
  bool isPublic = false; // needs no key
  Duration timeout{};    // maximum response time; zero: none
  Duration objective{};
  Tier tier = kLowestTier;
  std::uint32_t maxRuns = 1;
  std::vector<ServiceWeight> services; // one or more
  std::vector<std::string> regions;    // in which requests may run; empty: any
  Duration maxEventGap{};              // longest pause of a stream that is still on time; zero: any
};

struct ServiceSpec
{
  std::string name;
  std::uint32_t engineSlots = 0;  // concurrent requests per engine; 0: a plain service
  std::uint64_t engineTokens = 0; // memory of an engine; 0: unknown
  // A process is cold for coldTime after its start, and accepts coldRate requests per second then;
  // zero: no limit.
  Duration coldTime{};
  double coldRate = 0;
};

struct AccountSpec
{
  std::string name;
  std::uint64_t hash = 0;    // of the name
  std::optional<Tier> tier;  // takes precedence over the route's tier
  bool countsTokens = false; // quota in tokens instead of requests
  double defaultTokens = 1;  // for a request without token counts
  QuotaLimit quota;
  // Of its quota, relative to kMeanAccountWeight; 0 unless all accounts have quotas in tokens.
  std::uint16_t weight = 0;
  std::vector<std::string> regions; // in which requests may run; empty: any
};

struct CallerLimits
{
  std::uint32_t headBytes = 16 * 1024;
  std::uint64_t bodyBytes = 4 << 20;
  Duration headTimeout = std::chrono::seconds(3);
  Duration idleTimeout = std::chrono::seconds(15);
};

class ServiceConfig
{
public:
  std::uint64_t version = 0;
  std::vector<Route> routes;
  std::map<std::string, ServiceSpec, std::less<>> services;
  std::vector<AccountSpec> accounts;
  std::unordered_map<std::string, std::size_t> accountOfKey; // key to index in accounts
  CallerLimits limits;
  bool hasAccounts = false; // requests need a key

  // Prepares the lookups; called once after the fields are set.
  void BuildIndex();
  // Route with the longest prefix of aPath among those of aHost; nullptr if there is none.
  const Route* FindRoute(std::string_view aHost, std::string_view aPath) const;
  const AccountSpec* FindAccount(std::string_view aKey) const;
  const ServiceSpec* FindService(std::string_view aName) const;
  const QueueOrders& Orders() const { return this->orders; }

private:
  void SetWeights();

  // Routes of one host by their prefix.
  using HostRoutes = std::unordered_map<std::string, std::size_t>;
  std::unordered_map<std::string, HostRoutes> hosts;
  QueueOrders orders;
};

} // namespace caraway::direct
