#include "direct/endpoint_table.h"

#include <utility>
#include <vector>

namespace caraway::direct {

namespace {

// Endpoints that are remembered after they left; more than leave in the time that a copy is old.
constexpr std::size_t kMaxDeparted = 4096;

// True if aNew is an older registration than aOld.
bool IsOlder(const EndpointInfo& aNew, const EndpointInfo& aOld)
{
  return std::pair(aNew.bornMs, aNew.sequence) < std::pair(aOld.bornMs, aOld.sequence);
}

} // namespace

bool EndpointTable::Put(const EndpointInfo& aInfo)
{
  const auto found = this->endpoints.find(aInfo.id);
  if (found != this->endpoints.end() && IsOlder(aInfo, found->second)) {
    return false;
  }
  const auto left = this->barred.find(aInfo.id);
  if (left != this->barred.end()) {
    if (!IsOlder(left->second, aInfo)) {
      this->withheld.insert_or_assign(aInfo.id, aInfo);
      return false;
    }
    this->barred.erase(left);
    this->withheld.erase(aInfo.id);
  }
  this->Insert(aInfo);
  return true;
}

// An address belongs to the endpoint whose process started last.
void EndpointTable::Insert(const EndpointInfo& aInfo)
{
  std::vector<std::string> replaced;
  for (const auto& [id, info] : this->endpoints) {
    if (id != aInfo.id && info.host == aInfo.host && info.port == aInfo.port &&
        info.bornMs < aInfo.bornMs) {
      replaced.push_back(id);
    }
  }
  for (const std::string& id : replaced) {
    this->Remove(id);
  }
  this->endpoints.insert_or_assign(aInfo.id, aInfo);
}

bool EndpointTable::Remove(const std::string& aId)
{
  this->withheld.erase(aId);
  const auto found = this->endpoints.find(aId);
  if (found == this->endpoints.end()) {
    return false;
  }
  this->departed.push_back(std::move(found->second));
  if (this->departed.size() > kMaxDeparted) {
    this->departed.pop_front();
  }
  this->endpoints.erase(found);
  return true;
}

void EndpointTable::OnRestored()
{
  for (const EndpointInfo& info : this->departed) {
    if (!this->endpoints.contains(info.id)) {
      this->barred.insert_or_assign(info.id, info);
    }
  }
  this->departed.clear();
}

bool EndpointTable::ReleaseWithheld()
{
  this->barred.clear();
  for (const auto& [id, info] : this->withheld) {
    this->Insert(info);
  }
  return !std::exchange(this->withheld, {}).empty();
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
