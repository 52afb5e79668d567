// Budget for sending a request to a further endpoint, kept by each entry for itself: a share of the
// requests that it took, and its part of a fixed number, so that the sum over all entries stays
// within the bound without agreement. A process that starts does not know what its earlier life
// took from the fixed number, so it uses a small part of it until that is out of the window.
#pragma once

#include "core/types.h"

#include <deque>
#include <map>
#include <string>
#include <string_view>

namespace caraway::direct {

struct RetryBudgetOptions
{
  double ratio = 0.2; // repeats for each request
  double extra = 50;  // repeats in a window beyond that, over all entries
  Duration window = std::chrono::seconds(10);
  // Part of the bound that is used; the rest covers requests that cross a window's edge.
  double useShare = 0.8;
  // Entries that share the extra repeats, at the least: some may not be heard.
  std::uint32_t minEntries = 5;
  // Part of its extra repeats that an entry uses in the first window after its start.
  double startShare = 0.25;
};

class RetryBudget
{
public:
  // aStart: start of the process.
  RetryBudget(const RetryBudgetOptions& aOptions, TimePoint aStart);

  // A caller's request for the service was taken.
  void OnRequest(TimePoint aNow, std::string_view aService);
  // Takes one repeat; false if the budget is used up. aEntries: entries known to live.
  bool Take(TimePoint aNow, std::string_view aService, std::uint32_t aEntries);

private:
  struct Row
  {
    std::deque<TimePoint> requests;
    std::deque<TimePoint> repeats;
  };

  void Expire(TimePoint aNow, std::deque<TimePoint>& aTimes) const;

  RetryBudgetOptions options;
  TimePoint start;
  std::map<std::string, Row, std::less<>> services;
};

} // namespace caraway::direct
