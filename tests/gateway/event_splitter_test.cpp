#include "../core/property.h"
#include "gateway/event_splitter.h"

#include <boost/test/unit_test.hpp>

namespace caraway::gateway {

BOOST_AUTO_TEST_SUITE(event_splitter)

BOOST_AUTO_TEST_CASE(passes_whole_events_only)
{
  EventSplitter events;
  BOOST_TEST(events.Add("id: 1\nda") == "");
  BOOST_TEST(events.Add("ta: a\n\nid: 2\n") == "id: 1\ndata: a\n\n");
  BOOST_TEST(events.LastId().value() == 1U);
  BOOST_TEST(events.Rest() == "id: 2\n");
  BOOST_TEST(events.Add("data: b\n\n") == "id: 2\ndata: b\n\n");
  BOOST_TEST(events.LastId().value() == 2U);
  BOOST_TEST(events.EventCount() == 2U);
}

BOOST_AUTO_TEST_CASE(reads_both_line_ends)
{
  EventSplitter events;
  BOOST_TEST(events.Add("id:7\r\ndata: a\r\n\r\nid: 8\ndata: b\n\n").size() == 32U);
  BOOST_TEST(events.LastId().value() == 8U);
}

// However the bytes are cut, what is passed on and what is left are the whole input.
BOOST_AUTO_TEST_CASE(loses_and_invents_nothing)
{
  test::CheckProperty("events", [](const std::vector<std::string>& aParts) {
    EventSplitter events;
    std::string sent;
    std::string passed;
    for (const std::string& part : aParts) {
      const std::string data = part + "\n\nid: 3\n";
      sent += data;
      passed += events.Add(data);
    }
    RC_ASSERT(passed + events.Rest() == sent);
  });
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace caraway::gateway
