#include "direct/endpoint_table.h"

namespace caraway::direct {

namespace {

// True unless aNew is an older registration than aOld.
bool IsNewer(const EndpointInfo& aNew, const EndpointInfo& aOld)
{
  if (aNew.bornMs != aOld.bornMs) {
    return aNew.bornMs > aOld.bornMs;
  }
  return aNew.sequence >= aOld.sequence;
}

} // namespace

bool EndpointTable::Put(const EndpointInfo& aInfo)
{
  const auto found = this->endpoints.find(aInfo.id);
  if (found != this->endpoints.end() && !IsNewer(aInfo, found->second)) {
    return false;
  }
  // An address belongs to the endpoint whose process started last.
  std::erase_if(this->endpoints, [&](const auto& aRow) {
    return aRow.first != aInfo.id && aRow.second.host == aInfo.host &&
           aRow.second.port == aInfo.port && aRow.second.bornMs < aInfo.bornMs;
  });
  this->endpoints.insert_or_assign(aInfo.id, aInfo);
  return true;
}

bool EndpointTable::Remove(const std::string& aId)
{
  return this->endpoints.erase(aId) > 0;
}

std::uint64_t HashOf(const std::map<std::string, EndpointInfo>& aAll)
{
  std::uint64_t hash = 0;
  for (const auto& [id, info] : aAll) {
    hash = caraway::HashOf(id, hash);
    hash = caraway::HashOf(info.service, hash);
    hash = caraway::HashOf(info.host, hash + info.port);
    hash = caraway::HashOf(info.version, hash + (info.isLeaving ? 1 : 0));
  }
  return hash;
}

} // namespace caraway::direct
