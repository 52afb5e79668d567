#include "../core/property.h"
#include "gateway/event_splitter.h"

#include <boost/test/unit_test.hpp>

namespace caraway::gateway {

BOOST_AUTO_TEST_SUITE(event_splitter)

BOOST_AUTO_TEST_CASE(emits_complete_events_only)
{
  EventSplitter events;
  BOOST_TEST(events.Add("id: 1\nda") == "");
  BOOST_TEST(events.Add("ta: a\n\nid: 2\n") == "id: 1\ndata: a\n\n");
  BOOST_TEST(events.LastId().value() == 1U);
  BOOST_TEST(events.PartialEvent() == "id: 2\n");
  BOOST_TEST(events.Add("data: b\n\n") == "id: 2\ndata: b\n\n");
  BOOST_TEST(events.LastId().value() == 2U);
  BOOST_TEST(events.EventCount() == 2U);
}

BOOST_AUTO_TEST_CASE(accepts_lf_and_crlf)
{
  EventSplitter events;
  BOOST_TEST(events.Add("id:7\r\ndata: a\r\n\r\nid: 8\ndata: b\n\n").size() == 32U);
  BOOST_TEST(events.LastId().value() == 8U);
}

BOOST_AUTO_TEST_CASE(blank_lines_after_an_event_are_not_inside_an_event)
{
  EventSplitter events;
  BOOST_TEST(!events.IsInsideEvent());
  events.Add("data: a\n\n\r\n");
  BOOST_TEST(!events.IsInsideEvent());
  events.Add("d");
  BOOST_TEST(events.IsInsideEvent());
  events.Add("ata: b\n");
  BOOST_TEST(events.IsInsideEvent());
  events.Add("\n");
  BOOST_TEST(!events.IsInsideEvent());
}

// However the input is split, the emitted events and the remainder add up to the input.
BOOST_AUTO_TEST_CASE(output_and_remainder_equal_the_input)
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
    RC_ASSERT(passed + events.PartialEvent() == sent);
  });
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace caraway::gateway
