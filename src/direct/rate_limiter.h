// Token bucket that spaces the requests to one endpoint. Requests that were sent without asking put
// it into debt, so that the mean rate holds. Beside the rate there may be a bound on the requests
// in any second.
#pragma once

#include "core/types.h"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>

namespace caraway::direct {

class RateLimiter
{
public:
  // Sets the requests per second; nullopt: no limit. A limiter starts without tokens, as another
  // process may have spent them.
  void SetRate(TimePoint aNow, std::optional<double> aPerSecond);
  std::optional<double> Rate() const { return this->rate; }
  // Sets the most requests in any second; nullopt: no bound.
  void SetMaxInSecond(std::optional<std::uint32_t> aCount);
  std::optional<std::uint32_t> MaxInSecond() const { return this->maxInSecond; }

  // Records that a request was sent.
  void Charge(TimePoint aNow);
  // Returns whether one more request may be sent, if aPending others may yet be.
  bool Allows(TimePoint aNow, std::size_t aPending) const;
  // Time from which Allows returns true if nothing is charged until then.
  TimePoint NextAllowed(TimePoint aNow, std::size_t aPending) const;

private:
  double Burst() const;
  double TokensAt(TimePoint aNow) const;
  // Time from which the bound on any second allows one more request.
  TimePoint NextInSecond(TimePoint aNow, std::size_t aPending) const;

  std::optional<double> rate;
  double tokens = 0; // at the time updatedAt
  TimePoint updatedAt{};
  std::optional<std::uint32_t> maxInSecond;
  std::deque<TimePoint> charges; // of the last second
};

} // namespace caraway::direct
