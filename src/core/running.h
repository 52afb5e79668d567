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
  std::uint32_t prefillAhead = 0; // prompt tokens that waited for prefill when it was dispatched
  std::uint32_t outputEstimate = 0;
  std::uint32_t outputTokens = 0; // so far
  std::uint64_t fingerprint = 0;
  bool isAlone = false; // suspect: nothing else runs beside it
  bool hasStarted = false;
  bool isStalled = false; // counted as a stall and still running
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

// Table of running requests with their sums. Rows change through the table only.
class RunningTable
{
public:
  void Add(Running aRunning);
  const Running* Find(const RequestId& aId) const;
  // Removes and returns the request's row.
  std::optional<Running> Take(const RequestId& aId);
  // Counts aTokens of output and returns the time since the last progress; the row must be there.
  Duration OnProgress(TimePoint aNow, const RequestId& aId, std::uint32_t aTokens);
  void MarkStalled(const RequestId& aId);

  const std::vector<Running>& Rows() const { return this->rows; }
  std::uint32_t Size() const { return static_cast<std::uint32_t>(this->rows.size()); }
  // Prompt and output tokens of all rows; an output counts at least as estimated.
  std::uint64_t Tokens() const { return this->tokens; }
  // Prompt tokens of those that wait for their first token.
  std::uint32_t PendingPrompt() const { return this->pendingPrompt; }
  // Latest dispatch or progress of any row.
  TimePoint LastProgress() const { return this->lastProgress; }

private:
  Running* Row(const RequestId& aId);

  std::vector<Running> rows;
  std::uint64_t tokens = 0;
  std::uint32_t pendingPrompt = 0;
  TimePoint lastProgress{};
};

} // namespace caraway
