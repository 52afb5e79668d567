#define BOOST_TEST_MODULE runtime
#include "runtime/log.h"

#include <boost/test/unit_test.hpp>

namespace {

// Limits the log to errors, so that the test output shows only invariant violations.
struct QuietLog
{
  QuietLog() { caraway::StartLog(caraway::LogLevel::kError, "test"); }
};

} // namespace

BOOST_GLOBAL_FIXTURE(QuietLog);
