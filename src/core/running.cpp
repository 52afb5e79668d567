#include "core/running.h"

#include <algorithm>

namespace caraway {

Running& RunningTable::Add(Running aRunning)
{
  this->rows.push_back(std::move(aRunning));
  return this->rows.back();
}

Running* RunningTable::Find(const RequestId& aId)
{
  const auto found = std::find_if(this->rows.begin(), this->rows.end(),
                                  [&aId](const Running& aRow) { return aRow.id == aId; });
  return found == this->rows.end() ? nullptr : &*found;
}

std::optional<Running> RunningTable::Take(const RequestId& aId)
{
  Running* row = this->Find(aId);
  if (row == nullptr) {
    return std::nullopt;
  }
  Running taken = std::move(*row);
  if (row != &this->rows.back()) {
    *row = std::move(this->rows.back());
  }
  this->rows.pop_back();
  return taken;
}

std::uint64_t RunningTable::Tokens() const
{
  std::uint64_t sum = 0;
  for (const Running& row : this->rows) {
    sum += row.Tokens();
  }
  return sum;
}

std::uint32_t RunningTable::PendingPrompt() const
{
  std::uint32_t sum = 0;
  for (const Running& row : this->rows) {
    sum += row.hasStarted ? 0 : row.promptTokens;
  }
  return sum;
}

} // namespace caraway
