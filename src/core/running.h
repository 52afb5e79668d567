// Requests that an agent has dispatched and whose work has not ended.
#pragma once

#include "core/queue.h"

#include <algorithm>
#include <vector>

namespace caraway {

struct Running
{
  RequestId id;
  std::string account;
  std::string route;
  Tier tier = kLowestTier;
  WorkKind kind = WorkKind::kCompletion;
  std::uint32_t promptTokens = 0;
  std::uint32_t outputEstimate = 0;
  std::uint32_t outputTokens = 0; // so far
  std::uint64_t fingerprint = 0;
  bool isAlone = false; // suspect: nothing else runs beside it
  bool hasStarted = false;
  TimePoint dispatched;
  TimePoint lastProgress; // last chunk, or the dispatch

  // Work that may be stopped for a higher tier or for its entry's sake.
  bool IsCuttable() const { return this->kind != WorkKind::kOnce; }
  std::uint64_t Tokens() const
  {
    return std::uint64_t{ this->promptTokens } +
           std::max(this->outputEstimate, this->outputTokens) + 1;
  }
};

class RunningTable
{
public:
  Running& Add(Running aRunning);
  Running* Find(const RequestId& aId);
  // Removes and returns the request's row.
  std::optional<Running> Take(const RequestId& aId);

  const std::vector<Running>& Rows() const { return this->rows; }
  std::uint32_t Size() const { return static_cast<std::uint32_t>(this->rows.size()); }
  // Prompt and output tokens of all rows; an output counts at least as estimated.
  std::uint64_t Tokens() const;
  // Prompt tokens of those that wait for their first token.
  std::uint32_t PendingPrompt() const;

private:
  std::vector<Running> rows;
};

} // namespace caraway
