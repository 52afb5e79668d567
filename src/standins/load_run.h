// Open-loop load run over HTTP: requests are sent at their planned times, whatever the answers do.
#pragma once

#include "core/random.h"
#include "runtime/clock.h"
#include "runtime/http_call.h"
#include "runtime/timer.h"
#include "standins/load_answer.h"
#include "standins/load_report.h"

#include <fstream>
#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace caraway {

// Deadlines that callers ask for, by tier.
struct LoadDeadlines
{
  Duration startWithin = std::chrono::seconds(2); // first token
  Duration endWithin = std::chrono::seconds(30);  // whole answer
};

struct LoadTarget
{
  std::vector<std::string> addresses; // ip:port, taken in turn
  bool isEntry = true;                // or else engines, called directly
  bool followRetryAfter = false;      // sends a refused request again, once, when told to
  LoadDeadlines deadlines;
};

class LoadRun
{
public:
  // aOutcomes gets one line for each try: request id, tier, kind, result, reason.
  LoadRun(const LoadOptions& aOptions, const LoadTarget& aTarget, const Clock& aClock,
          LoadReport& aReport, std::ostream& aOutcomes, std::function<void()> aDone);

  void Start();

private:
  struct Flight;

  void SendDue();
  void Send(std::size_t aIndex, bool aIsRetry);
  HttpRequest RequestOf(const Flight& aFlight);
  void OnHead(Flight& aFlight, const ResponseHead& aHead);
  void OnData(Flight& aFlight, std::string_view aData);
  void OnEnd(Flight& aFlight, const HttpEnd& aEnd);
  void Record(const Flight& aFlight, LoadResult aResult);
  void FinishIfIdle();

  LoadOptions options;
  LoadTarget target;
  const Clock& clock;
  LoadReport& report;
  std::ostream& outcomes;
  std::function<void()> done;
  std::vector<LoadRequest> plan;
  Random random;
  HttpSession session;
  Timer timer;
  TimePoint start;
  std::size_t next = 0; // of the plan
  std::size_t sent = 0;
  std::size_t open = 0; // running, or waiting for a retry
};

} // namespace caraway
