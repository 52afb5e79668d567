#include "direct/service_config.h"

namespace caraway::direct {

void ServiceConfig::BuildIndex()
{
  this->hosts.clear();
  for (std::size_t index = 0; index < this->routes.size(); index++) {
    const Route& route = this->routes[index];
    this->hosts[route.host].emplace(route.pathPrefix, index);
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
