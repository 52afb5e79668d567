// The list of endpoints after the platform's store was restored from an older copy.
#include "direct/endpoint_table.h"

#include <boost/test/unit_test.hpp>

namespace caraway::direct {

namespace {

EndpointInfo Registration(std::uint64_t aSequence, std::int64_t aBornMs = 100)
{
  EndpointInfo info;
  info.id = "a";
  info.host = "10.0.0.1";
  info.port = 80;
  info.bornMs = aBornMs;
  info.sequence = aSequence;
  return info;
}

} // namespace

BOOST_AUTO_TEST_SUITE(restored_endpoint_list)

BOOST_AUTO_TEST_CASE(an_endpoint_that_left_is_not_listed_again_from_an_older_copy)
{
  EndpointTable table;
  table.Put(Registration(5));
  table.Remove("a");
  table.OnRestored();
  BOOST_TEST(!table.Put(Registration(4)));
  BOOST_TEST(!table.Put(Registration(5)));
  BOOST_TEST(table.All().empty());
}

BOOST_AUTO_TEST_CASE(a_draining_endpoint_is_not_ready_again_from_an_older_copy)
{
  EndpointTable table;
  EndpointInfo draining = Registration(6);
  draining.isLeaving = true;
  table.Put(draining);
  table.OnRestored();
  BOOST_TEST(!table.Put(Registration(5)));
  table.Remove("a");
  table.OnRestored();
  BOOST_TEST(!table.Put(Registration(5)));
  BOOST_TEST(table.All().empty());
}

BOOST_AUTO_TEST_CASE(a_newer_registration_of_an_endpoint_that_left_is_listed)
{
  EndpointTable table;
  table.Put(Registration(5));
  table.Remove("a");
  table.OnRestored();
  BOOST_TEST(table.Put(Registration(6)));
  table.Remove("a");
  table.OnRestored();
  BOOST_TEST(table.Put(Registration(1, 200))); // a restarted process under the same ID
}

// Without a restore, an expired registration is renewed as it was.
BOOST_AUTO_TEST_CASE(an_expired_registration_may_return_unchanged)
{
  EndpointTable table;
  table.Put(Registration(5));
  table.Remove("a");
  BOOST_TEST(table.Put(Registration(5)));
}

BOOST_AUTO_TEST_CASE(an_endpoint_that_stays_listed_after_a_restore_is_used_again)
{
  EndpointTable table;
  table.Put(Registration(5));
  table.Remove("a");
  table.OnRestored();
  table.Put(Registration(5));
  BOOST_TEST(table.Withheld().size() == 1U);
  BOOST_TEST(table.ReleaseWithheld());
  BOOST_TEST(table.All().contains("a"));
}

BOOST_AUTO_TEST_CASE(an_endpoint_that_the_restored_list_drops_is_not_used_again)
{
  EndpointTable table;
  table.Put(Registration(5));
  table.Remove("a");
  table.OnRestored();
  table.Put(Registration(5));
  table.Remove("a");
  BOOST_TEST(!table.ReleaseWithheld());
  BOOST_TEST(table.All().empty());
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace caraway::direct
