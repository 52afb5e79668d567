// Retry budget of one entry: a ratio of the requests it accepted plus its share of a fixed number,
// so that the total over all entries stays within the limit without coordination. A started process
// does not know the retries of its predecessor, so it uses a reduced share in its first window.
#pragma once

#include "core/types.h"

#include <deque>
#include <map>
#include <string>
#include <string_view>

namespace caraway::direct {

struct RetryBudgetOptions
{
  double ratio = 0.2; // retries per request
  double extra = 50;  // additional retries per window, over all entries
  Duration window = std::chrono::seconds(10);
  // Share of the limit that is used; the rest covers requests that cross a window boundary.
  double useShare = 0.8;
  // Minimum number of entries assumed to share the extra retries: some may be unreachable.
  std::uint32_t minEntries = 5;
  // Share of its extra retries that an entry uses in the first window after its start.
  double startShare = 0.25;
};

class RetryBudget
{
public:
  // aStart: start of the process.
  RetryBudget(const RetryBudgetOptions& aOptions, TimePoint aStart);

  // Records an accepted request for the service.
  void OnRequest(TimePoint aNow, std::string_view aService);
  // Takes one retry; returns false if the budget is exhausted. aEntries: known live entries.
  bool Take(TimePoint aNow, std::string_view aService, std::uint32_t aEntries);

private:
  struct Row
  {
    std::deque<TimePoint> requests;
    std::deque<TimePoint> retries;
  };

  void Expire(TimePoint aNow, std::deque<TimePoint>& aTimes) const;

  RetryBudgetOptions options;
  TimePoint start;
  std::map<std::string, Row, std::less<>> services;
};

} // namespace caraway::direct
