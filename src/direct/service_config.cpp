#include "direct/service_config.h"

#include "direct/fair_share.h"

#include <algorithm>

namespace caraway::direct {

void ServiceConfig::BuildIndex()
{
  this->SetWeights();
  this->hosts.clear();
  this->orders = {};
  for (std::size_t index = 0; index < this->routes.size(); index++) {
    const Route& route = this->routes[index];
    this->hosts[route.host].emplace(route.pathPrefix, index);
    for (const ServiceWeight& part : route.services) {
      this->orders.Add(part.service, route.tier, route.objective);
    }
  }
}

// The quotas say how much of the engines each account may use. Quotas in different units do not
// compare, so there are no weights then.
void ServiceConfig::SetWeights()
{
  double total = 0;
  for (const AccountSpec& account : this->accounts) {
    if (!account.countsTokens || account.quota.ratePerSecond <= 0) {
      return;
    }
    total += account.quota.ratePerSecond;
  }
  for (AccountSpec& account : this->accounts) {
    const double share =
      account.quota.ratePerSecond * static_cast<double>(this->accounts.size()) / total;
    account.weight =
      static_cast<std::uint16_t>(std::clamp(share * kMeanAccountWeight, 1.0, 65535.0));
  }
}

// Tries the prefixes of the path from the longest to the shortest; each ends with a slash.
const Route* ServiceConfig::FindRoute(std::string_view aHost, std::string_view aPath) const
{
  const auto host = this->hosts.find(std::string(aHost));
  if (host == this->hosts.end()) {
    return nullptr;
  }
  std::size_t end = aPath.find('?');
  end = end == std::string_view::npos ? aPath.size() : end;
  while (end > 0) {
    const std::size_t slash = aPath.rfind('/', end - 1);
    if (slash == std::string_view::npos) {
      return nullptr;
    }
    const auto found = host->second.find(std::string(aPath.substr(0, slash + 1)));
    if (found != host->second.end()) {
      return &this->routes[found->second];
    }
    end = slash;
  }
  return nullptr;
}

const AccountSpec* ServiceConfig::FindAccount(std::string_view aKey) const
{
  const auto found = this->accountOfKey.find(std::string(aKey));
  return found == this->accountOfKey.end() ? nullptr : &this->accounts[found->second];
}

const ServiceSpec* ServiceConfig::FindService(std::string_view aName) const
{
  const auto found = this->services.find(aName);
  return found == this->services.end() ? nullptr : &found->second;
}

} // namespace caraway::direct
