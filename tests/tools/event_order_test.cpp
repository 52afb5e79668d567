#include "fakes.h"
#include "tools/event_order.h"
#include "tools/event_page.h"
#include "tools/time_text.h"

#include <boost/test/unit_test.hpp>

namespace caraway {

namespace {

using std::chrono::milliseconds;

ReportedEvent MakeEvent(const char* aNode, std::uint64_t aSequence, std::int64_t aWall,
                        const char* aKind, const char* aRequest = "", const char* aPeer = "")
{
  ReportedEvent event;
  event.node = aNode;
  event.sequence = aSequence;
  event.wall = WallTime(milliseconds(aWall));
  event.kind = aKind;
  event.request = aRequest;
  event.peer = aPeer;
  return event;
}

std::string OrderAsText(std::vector<ReportedEvent> aEvents)
{
  OrderEvents(aEvents);
  std::string text;
  for (const ReportedEvent& event : aEvents) {
    text += (text.empty() ? "" : " ") + event.node + ":" + event.kind;
  }
  return text;
}

} // namespace

BOOST_AUTO_TEST_SUITE(event_order)

BOOST_AUTO_TEST_CASE(sends_precede_receipts_despite_clock_skew)
{
  // The agent's clock is 5 s behind the entry's.
  const std::vector<ReportedEvent> events = {
    MakeEvent("agent", 1, 1001, "offered", "r", "entry"),
    MakeEvent("agent", 2, 1003, "dispatched", "r", "entry"),
    MakeEvent("agent", 3, 1010, "first_token", "r"),
    MakeEvent("agent", 4, 1020, "finished", "r"),
    MakeEvent("entry", 1, 6000, "accepted", "r"),
    MakeEvent("entry", 2, 6000, "reserved", "r"),
    MakeEvent("entry", 3, 6002, "granted", "r", "agent"),
    MakeEvent("entry", 4, 6011, "first_token", "r", "agent"),
    MakeEvent("entry", 5, 6021, "finished", "r", "agent"),
  };
  BOOST_TEST(OrderAsText(events) == "entry:accepted entry:reserved agent:offered entry:granted "
                                    "agent:dispatched agent:first_token entry:first_token "
                                    "agent:finished entry:finished");
}

BOOST_AUTO_TEST_CASE(order_is_correct_when_a_clock_is_ahead)
{
  const std::vector<ReportedEvent> events = {
    MakeEvent("agent", 1, 9001, "offered", "r", "entry"),
    MakeEvent("agent", 2, 9003, "dispatched", "r", "entry"),
    MakeEvent("entry", 1, 6000, "reserved", "r"),
    MakeEvent("entry", 2, 6002, "granted", "r", "agent"),
    MakeEvent("entry", 3, 6009, "cancelled", "r", "agent"),
    MakeEvent("agent", 3, 9010, "cancelled", "r"),
  };
  BOOST_TEST(OrderAsText(events) == "entry:reserved agent:offered entry:granted agent:dispatched "
                                    "entry:cancelled agent:cancelled");
}

BOOST_AUTO_TEST_CASE(events_of_one_process_keep_their_sequence)
{
  BOOST_TEST(OrderAsText({ MakeEvent("a", 2, 10, "second"), MakeEvent("a", 1, 50, "first"),
                           MakeEvent("b", 1, 20, "other") }) == "b:other a:first a:second");
}

BOOST_AUTO_TEST_CASE(contradictory_events_are_all_kept)
{
  // The agent reports its dispatch before its offer, although the entry's grant comes between them.
  const std::vector<ReportedEvent> events = {
    MakeEvent("agent", 1, 5, "dispatched", "r", "entry"),
    MakeEvent("agent", 2, 6, "offered", "r", "entry"),
    MakeEvent("entry", 1, 7, "granted", "r", "agent"),
  };
  std::vector<ReportedEvent> ordered = events;
  OrderEvents(ordered);
  BOOST_TEST(ordered.size() == events.size());
}

BOOST_AUTO_TEST_CASE(the_page_escapes_caller_text)
{
  auto events = ReadEvents(
    R"({"events":[{"node":"e","seq":1,"wall_ms":5,"kind":"finished","account":"<b>"}],"last":1})",
    milliseconds(10));
  BOOST_REQUIRE(events.size() == 1U);
  BOOST_TEST((events[0].wall == WallTime(milliseconds(15))));
  OrderEvents(events);
  const std::string page = RenderEventPage(events);
  BOOST_TEST(page.find("account=&lt;b&gt;") != std::string::npos);
  BOOST_TEST(page.find("<b>") == std::string::npos);
}

BOOST_AUTO_TEST_CASE(malformed_responses_yield_no_events)
{
  for (const char* text : { "", "[]", "{}", R"({"events":3})", R"({"events":[3]})" }) {
    BOOST_TEST(ReadEvents(text, milliseconds(0)).empty());
  }
}

BOOST_FIXTURE_TEST_CASE(events_command_merges_all_processes, test::CommandFixture)
{
  Vm entry;
  entry.name = "entry";
  Vm agent;
  agent.name = "agent";
  agent.role = Role::kAgent;
  platform.vms = { entry, agent };
  const auto wall = waiter.now.wall.time_since_epoch().count();
  fleet.answer = [&](const Vm& aVm, const std::string& aPath) {
    // The agent's clock is 1 s ahead, as its /clock reports.
    const auto nodeTime = wall + (aVm.name == "agent" ? 1000 : 0);
    if (aPath == "/clock") {
      return NodeAnswer{ {}, 200, R"({"wall_ms":)" + std::to_string(nodeTime) + "}" };
    }
    const std::string kind = aVm.name == "agent" ? "offered" : "reserved";
    return NodeAnswer{ {},
                       200,
                       R"({"events":[{"node":")" + aVm.name + R"(","seq":1,"wall_ms":)" +
                         std::to_string(nodeTime + 5) + R"(,"kind":")" + kind +
                         R"(","request":"r"}],"last":1})" };
  };
  BOOST_TEST(Run({ "events" }) == kExitOk);
  const std::string text = out.str();
  BOOST_TEST(text.find("reserved") < text.find("offered"));
  const std::string time = FormatTime(waiter.now.wall + milliseconds(5));
  BOOST_TEST(OutputContains(time + " agent offered"));
  BOOST_TEST(Run({ "events", "--kind", "offered", "--json" }) == kExitOk);
  BOOST_TEST(!OutputContains("reserved"));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(time_text)

BOOST_AUTO_TEST_CASE(relative_and_iso_times_are_parsed)
{
  const WallTime now(milliseconds(1764816512345));
  BOOST_TEST((ParseTime("90s", now) == now + std::chrono::seconds(90)));
  BOOST_TEST((ParseTime("20m", now) == now + std::chrono::minutes(20)));
  BOOST_TEST((ParseTime(FormatTime(now), now) == now));
  for (const char* text : { "", "m", "-5m", "5d", "tomorrow", "99999999999999999999s" }) {
    BOOST_TEST(!ParseTime(text, now).has_value(), text);
  }
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace caraway
