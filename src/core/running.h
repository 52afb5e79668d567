// Dispatched requests of an agent whose work has not ended.
#pragma once

#include "core/queue.h"

#include <algorithm>
#include <vector>

namespace caraway {

struct RunningRequest
{
  RequestId id;
  std::string account;
  std::string route;
  Tier tier = kLowestTier;
  WorkKind kind = WorkKind::kCompletion;
  std::uint32_t promptTokens = 0;
  std::uint32_t prefillAhead = 0; // prompt tokens waiting for prefill at dispatch
  std::uint32_t outputEstimate = 0;
  std::uint32_t outputTokens = 0; // so far
  std::uint64_t fingerprint = 0;
  bool isExclusive = false; // a suspect, which must run alone
  bool hasStarted = false;
  bool isStalled = false; // already counted as stalled but still running
  TimePoint dispatched;
  TimePoint lastProgress; // time of the last chunk, or of the dispatch

  // Whether the work may be preempted for a higher tier or cancelled by its entry.
  bool IsCancellable() const { return this->kind != WorkKind::kOnce; }
  std::uint64_t Tokens() const
  {
    return std::uint64_t{ this->promptTokens } +
           std::max(this->outputEstimate, this->outputTokens) + 1;
  }
};

// Table of running requests with their totals. Only the table modifies its rows, so that the totals
// stay consistent.
class RunningTable
{
public:
  void Add(RunningRequest aRunning);
  const RunningRequest* Find(const RequestId& aId) const;
  // Removes and returns the request's row.
  std::optional<RunningRequest> Take(const RequestId& aId);
  // Adds aTokens of output and returns the time since the last progress. The request must be in the
  // table.
  Duration OnProgress(TimePoint aNow, const RequestId& aId, std::uint32_t aTokens);
  void MarkStalled(const RequestId& aId);

  const std::vector<RunningRequest>& Rows() const { return this->rows; }
  std::uint32_t Size() const { return static_cast<std::uint32_t>(this->rows.size()); }
  // Prompt and output tokens of all rows, with the larger of estimated and actual output.
  std::uint64_t Tokens() const { return this->tokens; }
  // Prompt tokens of requests without a first token.
  std::uint32_t PendingPrompt() const { return this->pendingPrompt; }
  // Latest dispatch or progress of any row.
  TimePoint LastProgress() const { return this->lastProgress; }

private:
  RunningRequest* MutableRow(const RequestId& aId);

  std::vector<RunningRequest> rows;
  std::uint64_t tokens = 0;
  std::uint32_t pendingPrompt = 0;
  TimePoint lastProgress{};
};

} // namespace caraway
