#define BOOST_TEST_MODULE platform
#include "runtime/log.h"

#include <boost/test/unit_test.hpp>

namespace {

// Keeps the log out of the test's report.
struct QuietLog
{
  QuietLog() { caraway::StartLog(caraway::LogLevel::kError, "test"); }
};

} // namespace

BOOST_GLOBAL_FIXTURE(QuietLog);
