#define BOOST_TEST_MODULE runtime
#include "runtime/log.h"

#include <boost/test/unit_test.hpp>

namespace {

// Keeps the log out of the test's report; only violations are of interest.
struct QuietLog
{
  QuietLog() { caraway::StartLog(caraway::LogLevel::kError, "test"); }
};

} // namespace

BOOST_GLOBAL_FIXTURE(QuietLog);
