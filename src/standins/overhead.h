// Time that the system adds to a request's first token: the same request is sent directly to an
// engine and through an entry, in pairs, one at a time, in alternating order.
#pragma once

#include "core/random.h"
#include "runtime/clock.h"
#include "runtime/http_call.h"
#include "standins/load_answer.h"

#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace caraway {

struct OverheadOptions
{
  std::string engine; // ip:port
  std::string entry;  // ip:port
  std::uint32_t pairs = 200;
};

// First-token times of one pair, both in one run.
struct OverheadPair
{
  Duration direct{};
  Duration through{};
};

class OverheadRun
{
public:
  // aLoad gives the requests (seed, lengths, model and the account's key).
  OverheadRun(const OverheadOptions& aOptions, const LoadOptions& aLoad, const Clock& aClock,
              std::function<void()> aDone);

  void Start() { this->SendNext(); }
  // Answers that were not whole.
  std::uint32_t Failures() const { return this->failures; }
  // Quantiles of both times and of their differences, as one line of key=value pairs.
  std::string Summary() const;

private:
  struct Flight;

  void SendNext();
  HttpRequest RequestOf(const Flight& aFlight);
  HttpHandlers HandlersOf(const std::shared_ptr<Flight>& aFlight);

  OverheadOptions options;
  LoadOptions load;
  const Clock& clock;
  std::function<void()> done;
  std::vector<LoadRequest> plan;
  std::vector<OverheadPair> pairs;
  Random random;
  HttpSession session;
  std::size_t sent = 0; // requests, two for each pair
  std::uint32_t failures = 0;
};

} // namespace caraway
