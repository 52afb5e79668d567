#define BOOST_TEST_MODULE platform
#include "runtime/log.h"

#include <boost/test/unit_test.hpp>

namespace {

// Limits the log to errors, to keep test output readable.
struct QuietLog
{
  QuietLog() { caraway::StartLog(caraway::LogLevel::kError, "test"); }
};

} // namespace

BOOST_GLOBAL_FIXTURE(QuietLog);
