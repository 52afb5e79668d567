#include "direct/retry_budget.h"

#include <algorithm>

namespace caraway::direct {

RetryBudget::RetryBudget(const RetryBudgetOptions& aOptions, TimePoint aStart)
  : options(aOptions)
  , start(aStart)
{
}

void RetryBudget::Expire(TimePoint aNow, std::deque<TimePoint>& aTimes) const
{
  while (!aTimes.empty() && aNow - aTimes.front() > this->options.window) {
    aTimes.pop_front();
  }
}

void RetryBudget::OnRequest(TimePoint aNow, std::string_view aService)
{
  auto found = this->services.find(aService);
  if (found == this->services.end()) {
    found = this->services.emplace(std::string(aService), Row{}).first;
  }
  this->Expire(aNow, found->second.requests);
  found->second.requests.push_back(aNow);
}

bool RetryBudget::Take(TimePoint aNow, std::string_view aService, std::uint32_t aEntries)
{
  const auto found = this->services.find(aService);
  if (found == this->services.end()) {
    return false;
  }
  Row& row = found->second;
  this->Expire(aNow, row.requests);
  this->Expire(aNow, row.retries);
  const double entries = std::max(aEntries, this->options.minEntries);
  const bool isFirstWindow = aNow - this->start <= this->options.window;
  const double extra = this->options.extra * (isFirstWindow ? this->options.startShare : 1);
  const double bound =
    this->options.useShare *
    (this->options.ratio * static_cast<double>(row.requests.size()) + extra / entries);
  if (static_cast<double>(row.retries.size()) + 1 > bound) {
    return false;
  }
  row.retries.push_back(aNow);
  return true;
}

} // namespace caraway::direct
