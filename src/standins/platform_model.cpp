#include "standins/platform_model.h"

#include <algorithm>

namespace caraway {

LogOffset PlatformLog::Append(const std::vector<std::string>& aRecords)
{
  const LogOffset first = this->Next();
  this->records.insert(this->records.end(), aRecords.begin(), aRecords.end());
  this->Trim();
  return first;
}

std::vector<LogRecord> PlatformLog::Read(LogOffset aFrom, std::size_t aMax) const
{
  std::vector<LogRecord> found;
  if (aFrom < this->oldest) {
    return found;
  }
  const LogOffset end = std::min(this->Next(), aFrom + aMax);
  for (LogOffset offset = aFrom; offset < end; ++offset) {
    found.push_back({ offset, this->records[offset - this->oldest] });
  }
  return found;
}

void PlatformLog::Retain(std::size_t aCount)
{
  this->retained = aCount;
  this->Trim();
}

void PlatformLog::Trim()
{
  while (this->records.size() > this->retained) {
    this->records.pop_front();
    ++this->oldest;
  }
}

void PlatformVms::Put(TimePoint aNow, const std::string& aName, const std::string& aVm)
{
  this->pending.push_back({ aNow + this->lag, aName, aVm });
}

std::vector<std::string> PlatformVms::List(TimePoint aNow)
{
  while (!this->pending.empty() && this->pending.front().visibleAt <= aNow) {
    const Change& change = this->pending.front();
    if (change.vm.empty()) {
      this->visible.erase(change.name);
    } else {
      this->visible[change.name] = change.vm;
    }
    this->pending.pop_front();
  }
  std::vector<std::string> list;
  for (const auto& [name, vm] : this->visible) {
    list.push_back(vm);
  }
  return list;
}

} // namespace caraway
