#include "standins/faults.h"

#include <nlohmann/json.hpp>

#include <unistd.h>

namespace caraway {

namespace {

constexpr int kCrashStatus = 70;

} // namespace

void Crash()
{
  _exit(kCrashStatus);
}

void ApplyFaults(const nlohmann::json& aJson, EndpointFaults& aFaults)
{
  if (aJson.value("crash", false)) {
    Crash();
  }
  aFaults.slowFactor = aJson.value("slow_factor", aFaults.slowFactor);
  aFaults.stall = aJson.value("stall", aFaults.stall);
  aFaults.failRatio = aJson.value("fail_ratio", aFaults.failRatio);
  aFaults.closeAfterReading = aJson.value("close_after_reading", aFaults.closeAfterReading);
  aFaults.crashOn = aJson.value("crash_on", aFaults.crashOn);
  if (aJson.contains("delay_ms")) {
    aFaults.delay = std::chrono::milliseconds(aJson["delay_ms"].get<std::int64_t>());
  }
}

void AddBadVersionOptions(boost::program_options::options_description& aOptions, BadVersion& aBad)
{
  namespace po = boost::program_options;
  aOptions.add_options()("bad", po::value(&aBad.kind)->default_value(aBad.kind),
                         "how the version is bad: none, fail or slow")(
    "bad-after-ms", po::value(&aBad.afterMs)->default_value(aBad.afterMs),
    "good for this long after the start")("bad-load",
                                          po::value(&aBad.load)->default_value(aBad.load),
                                          "bad only with more requests than this running")(
    "bad-route", po::value(&aBad.route), "bad only on routes that contain this text")(
    "bad-fail-ratio", po::value(&aBad.failRatio)->default_value(aBad.failRatio),
    "share of requests that a failing version fails")(
    "bad-slow-factor", po::value(&aBad.slowFactor)->default_value(aBad.slowFactor),
    "how much slower a slow version is");
}

FaultPlan::FaultPlan(const BadVersion& aBad, TimePoint aStart, std::uint64_t aSeed)
  : bad(aBad)
  , start(aStart)
  , random(aSeed)
{
}

Fate FaultPlan::Decide(TimePoint aNow, const std::string& aRoute, std::uint32_t aRunning)
{
  Fate fate;
  double failRatio = this->faults.failRatio;
  if (this->IsBad(aNow, aRoute, aRunning)) {
    if (this->bad.kind == "fail") {
      failRatio = std::max(failRatio, this->bad.failRatio);
    } else if (this->bad.kind == "slow") {
      fate.slowFactor = std::max(1U, this->bad.slowFactor);
    }
  }
  fate.fails = this->random.Unit() < failRatio;
  return fate;
}

bool FaultPlan::IsBad(TimePoint aNow, const std::string& aRoute, std::uint32_t aRunning) const
{
  const bool inTime = aNow - this->start >= std::chrono::milliseconds(this->bad.afterMs);
  const bool loaded = this->bad.load == 0 || aRunning > this->bad.load;
  return inTime && loaded && aRoute.find(this->bad.route) != std::string::npos;
}

} // namespace caraway
