// The platform's log and VM list under a paused clock.
#include "runtime/clock.h"
#include "standins/platform_model.h"

#include <boost/test/unit_test.hpp>

using namespace caraway;
using std::chrono::milliseconds;

BOOST_AUTO_TEST_SUITE(platform_model)

BOOST_AUTO_TEST_CASE(a_batch_takes_consecutive_offsets)
{
  PlatformLog log;
  BOOST_TEST(log.Append({ "a", "b" }) == 0);
  BOOST_TEST(log.Append({ "c" }) == 2);
  const auto records = log.Read(1, 10);
  BOOST_REQUIRE_EQUAL(records.size(), 2);
  BOOST_TEST(records[0].offset == 1);
  BOOST_TEST(records[1].data == "c");
  BOOST_TEST(log.Read(3, 10).empty());
  BOOST_TEST(log.Read(0, 1).size() == 1);
}

BOOST_AUTO_TEST_CASE(retention_moves_the_oldest_offset_and_never_the_next)
{
  PlatformLog log;
  log.Append({ "a", "b", "c" });
  log.Retain(1);
  BOOST_TEST(log.Oldest() == 2);
  BOOST_TEST(log.Next() == 3);
  BOOST_TEST(log.Read(1, 10).empty());
  BOOST_TEST(log.Append({ "d" }) == 3);
  BOOST_TEST(log.Oldest() == 3);
}

BOOST_AUTO_TEST_CASE(the_vm_list_shows_a_change_after_its_lag)
{
  PausedClock clock{ Now{} };
  PlatformVms vms;
  vms.SetLag(milliseconds(100));
  vms.Put(clock.Read().steady, "a", "{}");
  BOOST_TEST(vms.List(clock.Read().steady).empty());
  clock.Advance(milliseconds(100));
  BOOST_TEST(vms.List(clock.Read().steady).size() == 1);
  vms.Put(clock.Read().steady, "a", "");
  BOOST_TEST(vms.List(clock.Read().steady).size() == 1);
  clock.Advance(milliseconds(100));
  BOOST_TEST(vms.List(clock.Read().steady).empty());
}

BOOST_AUTO_TEST_SUITE_END()
