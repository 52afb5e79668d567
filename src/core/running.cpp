#include "core/running.h"

#include <algorithm>

namespace caraway {

void RunningTable::Add(RunningRequest aRunning)
{
  this->tokens += aRunning.Tokens();
  this->pendingPrompt += aRunning.hasStarted ? 0 : aRunning.promptTokens;
  this->lastProgress = std::max(this->lastProgress, aRunning.lastProgress);
  this->rows.push_back(std::move(aRunning));
}

const RunningRequest* RunningTable::Find(const RequestId& aId) const
{
  const auto found = std::find_if(this->rows.begin(), this->rows.end(),
                                  [&aId](const RunningRequest& aRow) { return aRow.id == aId; });
  return found == this->rows.end() ? nullptr : &*found;
}

std::optional<RunningRequest> RunningTable::Take(const RequestId& aId)
{
  RunningRequest* row = this->MutableRow(aId);
  if (row == nullptr) {
    return std::nullopt;
  }
  this->tokens -= row->Tokens();
  this->pendingPrompt -= row->hasStarted ? 0 : row->promptTokens;
  RunningRequest taken = std::move(*row);
  if (row != &this->rows.back()) {
    *row = std::move(this->rows.back());
  }
  this->rows.pop_back();
  return taken;
}

Duration RunningTable::OnProgress(TimePoint aNow, const RequestId& aId, std::uint32_t aTokens)
{
  RunningRequest& row = *this->MutableRow(aId);
  const Duration gap = aNow - row.lastProgress;
  this->tokens -= row.Tokens();
  this->pendingPrompt -= row.hasStarted ? 0 : row.promptTokens;
  row.hasStarted = true;
  row.isStalled = false;
  row.lastProgress = aNow;
  row.outputTokens += aTokens;
  this->tokens += row.Tokens();
  this->lastProgress = std::max(this->lastProgress, aNow);
  return gap;
}

void RunningTable::MarkStalled(const RequestId& aId)
{
  this->MutableRow(aId)->isStalled = true;
}

RunningRequest* RunningTable::MutableRow(const RequestId& aId)
{
  const auto found = std::find_if(this->rows.begin(), this->rows.end(),
                                  [&aId](const RunningRequest& aRow) { return aRow.id == aId; });
  return found == this->rows.end() ? nullptr : &*found;
}

} // namespace caraway
