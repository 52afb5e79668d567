#define BOOST_TEST_MODULE gateway
#include "runtime/log.h"

#include <boost/test/unit_test.hpp>

namespace {

// Keeps log lines below error level out of the test output.
struct QuietLog
{
  QuietLog() { caraway::StartLog(caraway::LogLevel::kError, "test"); }
};

} // namespace

BOOST_GLOBAL_FIXTURE(QuietLog);
