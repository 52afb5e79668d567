// Faults of the stand-ins for endpoints: set while they run, or built into a bad version.
#pragma once

#include "core/random.h"
#include "core/types.h"

#include <boost/program_options.hpp>
#include <nlohmann/json_fwd.hpp>

#include <string>

namespace caraway {

// Set by POST /fault.
struct EndpointFaults
{
  double slowFactor = 1; // multiplies the times of the endpoint
  bool stall = false;    // takes requests and makes no progress
  double failRatio = 0;  // share of requests that fail
  bool closeAfterReading = false;
  std::string crashOn; // the process ends when a body contains this text
  Duration delay{};    // plain services: time of one call
};

// Takes over the members of aJson; ends the process if it asks for a crash.
void ApplyFaults(const nlohmann::json& aJson, EndpointFaults& aFaults);

// Ends the process as a crash would: no clean-up, no answers.
[[noreturn]] void Crash();

// How an endpoint version is bad.
struct BadVersion
{
  std::string kind = "none";    // none, fail, slow
  std::uint32_t afterMs = 0;    // good for this long first, in milliseconds
  std::uint32_t load = 0;       // bad only with more requests than this running
  std::string route;            // bad only on routes that contain this text
  double failRatio = 0.5;       // of kind fail: share of requests that fail
  std::uint32_t slowFactor = 8; // of kind slow
};

void AddBadVersionOptions(boost::program_options::options_description& aOptions, BadVersion& aBad);

// What an arriving request meets.
struct Fate
{
  bool fails = false;
  std::uint32_t slowFactor = 1;
};

// Decides on arrivals from the faults and the version's badness.
class FaultPlan
{
public:
  FaultPlan(const BadVersion& aBad, TimePoint aStart, std::uint64_t aSeed);

  EndpointFaults& Faults() { return this->faults; }
  const EndpointFaults& Faults() const { return this->faults; }
  Fate Decide(TimePoint aNow, const std::string& aRoute, std::uint32_t aRunning);

private:
  bool IsBad(TimePoint aNow, const std::string& aRoute, std::uint32_t aRunning) const;

  BadVersion bad;
  TimePoint start;
  Random random;
  EndpointFaults faults;
};

} // namespace caraway
