// Runs RapidCheck properties with a fixed seed, so that runs of the test program are reproducible.
// CARAWAY_SEED sets another seed and CARAWAY_RUNS another number of runs.
#pragma once

#include <boost/test/unit_test.hpp>
#include <rapidcheck.h>

#include <cstdlib>
#include <string>

namespace caraway::test {

inline std::uint64_t EnvironmentOr(const char* aName, std::uint64_t aDefault)
{
  const char* value = std::getenv(aName);
  return value == nullptr ? aDefault : std::stoull(value);
}

template<class Testable>
void CheckProperty(const char* aName, Testable aTestable, int aRuns = 100)
{
  const std::uint64_t seed = EnvironmentOr("CARAWAY_SEED", 20261204);
  setenv("RC_PARAMS", ("seed=" + std::to_string(seed)).c_str(), 0); // read and printed once
  rc::detail::TestParams params;
  params.seed = seed;
  params.maxSuccess = static_cast<int>(EnvironmentOr("CARAWAY_RUNS", aRuns));
  rc::detail::TestMetadata metadata;
  metadata.id = aName;
  const auto result = rc::detail::checkTestable(std::move(aTestable), metadata, params);
  rc::detail::SuccessResult success;
  const bool passed = result.match(success);
  if (!passed) {
    rc::detail::printResultMessage(result, std::cerr);
  }
  BOOST_TEST(passed, aName);
}

} // namespace caraway::test
