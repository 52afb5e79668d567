#include "loop.h"

#include "core/uuid.h"
#include "runtime/admin_server.h"
#include "runtime/log.h"
#include "runtime/membership.h"
#include "runtime/observer.h"

#include <boost/test/unit_test.hpp>
#include <nlohmann/json.hpp>

#include <algorithm>

namespace caraway {

namespace {

Event EventOf(std::uint64_t aRequest, EventKind aKind = EventKind::kAccepted)
{
  Event event;
  event.kind = aKind;
  event.request = RequestId{ aRequest, 1 };
  event.account = "school";
  return event;
}

// Admin view of a process without work.
struct IdleView : AdminView
{
  std::string StatusJson() const override { return R"({"role":"test"})"; }
  const ConfigState& Config() const override { return this->config; }
  void BeginLeaving() override { this->leaving = true; }
  bool IsLeaving() const override { return this->leaving; }
  bool IsDone() const override { return true; }

  ConfigState config;
  bool leaving = false;
};

struct AdminSite
{
  AdminSite()
    : clock(Now{ TimePoint(std::chrono::seconds(1)), WallTime(std::chrono::milliseconds(5000)) })
    , timeline(100)
    , observer(this->clock, this->metrics, this->timeline)
    , server("node-1", this->view, this->clock, this->observer, this->metrics, this->poller,
             std::make_shared<MemoryAccount>())
  {
    BOOST_REQUIRE(!this->server.Start({ "127.0.0.1", 0 }));
  }

  std::string Ask(const std::string& aMethod, const std::string& aPath)
  {
    RawTcpClient client(this->server.Port());
    client.Send(aMethod + " " + aPath + " HTTP/1.1\r\nHost: x\r\nConnection: close\r\n" +
                "Content-Length: 0\r\n\r\n");
    BOOST_REQUIRE(RunUntil([&] { return client.IsClosed(); }));
    return client.Received();
  }

  nlohmann::json AskJson(const std::string& aPath)
  {
    const std::string answer = this->Ask("GET", aPath);
    return nlohmann::json::parse(answer.substr(answer.find("\r\n\r\n") + 4));
  }

  IdleView view;
  PausedClock clock;
  Metrics metrics;
  Timeline timeline;
  Observer observer;
  Poller poller;
  AdminServer server;
};

Vm EntryVm(int aNumber)
{
  Vm vm;
  vm.name = "entry-" + std::to_string(aNumber);
  vm.role = Role::kEntry;
  vm.address = "127.0.0.1";
  vm.port = static_cast<std::uint16_t>(1000 + aNumber);
  return vm;
}

} // namespace

BOOST_AUTO_TEST_SUITE(observe)

BOOST_AUTO_TEST_CASE(timeline_keeps_the_last_events_and_filters_them)
{
  Timeline timeline(3);
  for (std::uint64_t i = 1; i <= 5; ++i) {
    timeline.Add(WallTime{}, EventOf(i % 2));
  }
  BOOST_TEST(timeline.LastSequence() == 5U);
  TimelineQuery query;
  BOOST_TEST(timeline.Select(query).size() == 3U);
  BOOST_TEST(timeline.Select(query).front().sequence == 3U);
  query.after = 4;
  BOOST_TEST(timeline.Select(query).size() == 1U);
  query = {};
  query.request = RequestId{ 1, 1 };
  BOOST_TEST(timeline.Select(query).size() == 2U);
  query.max = 1;
  BOOST_TEST(timeline.Select(query).size() == 1U);
  query.account = "other";
  BOOST_TEST(timeline.Select(query).empty());
}

BOOST_AUTO_TEST_CASE(ambiguous_log_values_are_quoted)
{
  std::string line;
  AppendField(line, "a", "plain-1.5");
  AppendField(line, "b", "two words");
  AppendField(line, "c", "x\"y\\z\n");
  AppendField(line, "d", "");
  BOOST_TEST(line == R"( a=plain-1.5 b="two words" c="x\"y\\z\x0a" d="")");
}

BOOST_AUTO_TEST_CASE(violations_are_counted)
{
  AdminSite site;
  site.observer.Note(EventOf(1, EventKind::kViolation));
  BOOST_TEST(site.metrics.Violations() == 1);
  BOOST_TEST(site.Ask("GET", "/metrics").find("caraway_violations_total 1") != std::string::npos);
}

BOOST_AUTO_TEST_CASE(events_are_listed_with_names_and_numbers)
{
  AdminSite site;
  Event event = EventOf(1);
  event.peer = NodeIdOf("agent-1");
  event.fields.push_back({ "tier", "2" });
  site.observer.SetPeerName(event.peer, "agent-1");
  site.observer.Note(event);
  site.observer.Note(EventOf(2));
  const auto json =
    site.AskJson("/events?after=0&request=" + FormatUuid(event.request) + "&max=10");
  BOOST_REQUIRE(json["events"].size() == 1U);
  const auto& listed = json["events"][0];
  BOOST_TEST(listed["seq"] == 1);
  BOOST_TEST(listed["wall_ms"] == 5000);
  BOOST_TEST(listed["node"] == "node-1");
  BOOST_TEST(listed["peer"] == "agent-1");
  BOOST_TEST(listed["tier"] == "2");
}

BOOST_AUTO_TEST_CASE(operators_read_the_state_and_start_a_drain)
{
  AdminSite site;
  BOOST_TEST(site.AskJson("/status")["role"] == "test");
  BOOST_TEST(site.AskJson("/config")["offset"] == 0);
  BOOST_TEST(site.AskJson("/clock")["steady_us"] == 1000000);
  BOOST_TEST(site.Ask("GET", "/drain").starts_with("HTTP/1.1 405"));
  BOOST_TEST(!site.view.leaving);
  BOOST_TEST(site.Ask("POST", "/drain").starts_with("HTTP/1.1 200"));
  BOOST_TEST(site.view.leaving);
  BOOST_TEST(site.Ask("GET", "/none").starts_with("HTTP/1.1 404"));
}

BOOST_AUTO_TEST_CASE(entries_form_a_connected_graph_without_duplicate_links)
{
  for (const int count : { 1, 2, 3, 4, 5, 8, 40 }) {
    std::vector<Vm> vms;
    vms.reserve(static_cast<std::size_t>(count));
    for (int i = 0; i < count; ++i) {
      vms.push_back(EntryVm(i));
    }
    std::set<std::pair<int, int>> pairs;
    std::vector<int> degree(static_cast<std::size_t>(count), 0);
    for (int from = 0; from < count; ++from) {
      for (const Address& address : ChoosePeers(vms[static_cast<std::size_t>(from)].name, vms)) {
        const int to = address.port - 1000;
        BOOST_TEST(from != to);
        BOOST_TEST(pairs.insert(std::minmax(from, to)).second);
        ++degree[static_cast<std::size_t>(from)];
        ++degree[static_cast<std::size_t>(to)];
      }
    }
    const int least = std::min(count - 1, static_cast<int>(kEntryPeerCount));
    BOOST_TEST(*std::min_element(degree.begin(), degree.end()) >= least);
  }
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace caraway
