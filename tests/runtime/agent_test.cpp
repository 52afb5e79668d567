#include "fake_platform.h"
#include "loop.h"

#include "runtime/agent_host.h"
#include "runtime/process.h"

#include <boost/test/unit_test.hpp>

namespace caraway {

namespace {

AgentSettings AgentSettingsForTest()
{
  AgentSettings settings;
  settings.name = "agent-a";
  settings.region = "r";
  settings.failureDomain = "brno-a";
  settings.pool = "model-a";
  settings.version = "v1";
  settings.listen = { "127.0.0.1", 0 };
  settings.endpoint = { "127.0.0.1", 1 }; // nothing listens there
  settings.clusterKey = TestKey();
  return settings;
}

// An agent and an entry that is linked to it.
struct AgentSite : LinkHandler
{
  AgentSite()
    : settings(AgentSettingsForTest())
    , context(this->settings)
    , host(this->settings, this->context.self, this->context.clock, this->context.random,
           this->context.observer)
    , self{ NodeIdOf("entry"), Incarnation{ 1 } }
    , hub(LinkOptions{}, TestKey(), this->self, this->context.clock, this->context.random, *this)
  {
    BOOST_REQUIRE(!this->host.Start());
    Hello hello;
    hello.name = "entry";
    this->hub.Announce(hello);
    this->hub.Dial({ "127.0.0.1", this->host.Port() });
    BOOST_REQUIRE(RunUntil([&] { return this->last.has_value(); }));
  }

  void OnPeerUp(Peer, const Hello& aHello) override { this->last = aHello; }
  void OnPeerDown(NodeId, LinkEnd) override {}
  void OnRefusedFrame(std::string_view) override {}
  void OnPeerMessage(Peer, const Message& aMessage) override
  {
    if (const auto* hello = std::get_if<Hello>(&aMessage)) {
      this->last = *hello;
    }
  }

  AgentSettings settings;
  ProcessContext context;
  AgentHost host;
  Peer self;
  LinkHub hub;
  std::optional<Hello> last; // from the agent
};

} // namespace

BOOST_AUTO_TEST_SUITE(agent)

BOOST_AUTO_TEST_CASE(hello_tells_what_the_settings_say)
{
  AgentSite site;
  BOOST_TEST((site.last->role == Role::kAgent));
  BOOST_TEST(site.last->name == "agent-a");
  BOOST_TEST(site.last->failureDomain == "brno-a");
  BOOST_TEST(site.last->pool == "model-a");
  BOOST_TEST(site.last->version == "v1");
  BOOST_TEST(!site.last->leaving);
}

BOOST_AUTO_TEST_CASE(drained_agent_tells_its_entries)
{
  AgentSite site;
  ConfigTail tail;
  tail.next = 1;
  tail.records = { LogRecord{
    0, R"({"schema_version":2,"kind":"drain","name":"agent-a","change_id":"c1",)"
       R"("base_revision":null,"body":{"drained":true}})" } };
  site.hub.Send(NodeIdOf("agent-a"), tail);
  BOOST_REQUIRE(RunUntil([&] { return site.last->configOffset == 1; }));
  BOOST_TEST(site.last->leaving);
  BOOST_TEST(!site.host.IsLeaving()); // the process itself stays
}

BOOST_AUTO_TEST_CASE(leaving_agent_tells_its_entries_and_is_done)
{
  AgentSite site;
  site.host.BeginLeaving();
  BOOST_REQUIRE(RunUntil([&] { return site.last->leaving; }));
  BOOST_REQUIRE(RunUntil([&] { return site.host.IsDone(); }));
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace caraway
