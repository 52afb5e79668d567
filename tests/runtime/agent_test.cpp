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
  settings.endpoint = { "127.0.0.1", 1 }; // no listener at this port
  settings.clusterKey = TestKey();
  return settings;
}

// An agent and an entry with a link to it.
struct AgentFixture : LinkHandler
{
  AgentFixture()
    : settings(AgentSettingsForTest())
    , context(this->settings)
    , host(this->settings, this->context.self, this->context.clock, this->context.random,
           this->context.poller, this->context.observer)
    , self{ NodeIdOf("entry"), Incarnation{ 1 } }
    , hub(LinkOptions{}, TestKey(), this->self, this->context.clock, this->context.random,
          this->context.poller, *this)
  {
    BOOST_REQUIRE(!this->host.Start());
    Hello hello;
    hello.name = "entry";
    this->hub.Announce(hello);
    this->hub.Dial({ "127.0.0.1", this->host.Port() });
    BOOST_REQUIRE(RunUntil([&] { return this->lastHello.has_value(); }));
  }

  void OnPeerUp(Peer, const Hello& aHello) override { this->lastHello = aHello; }
  void OnPeerDown(NodeId, LinkEnd) override {}
  void OnRefusedFrame(std::string_view) override {}
  void OnPeerMessage(Peer, const Message& aMessage) override
  {
    if (const auto* hello = std::get_if<Hello>(&aMessage)) {
      this->lastHello = *hello;
    }
  }

  AgentSettings settings;
  ProcessContext context;
  AgentHost host;
  Peer self;
  LinkHub hub;
  std::optional<Hello> lastHello; // last one received from the agent
};

} // namespace

BOOST_AUTO_TEST_SUITE(agent)

BOOST_AUTO_TEST_CASE(hello_contains_the_settings)
{
  AgentFixture fixture;
  BOOST_TEST((fixture.lastHello->role == Role::kAgent));
  BOOST_TEST(fixture.lastHello->name == "agent-a");
  BOOST_TEST(fixture.lastHello->failureDomain == "brno-a");
  BOOST_TEST(fixture.lastHello->pool == "model-a");
  BOOST_TEST(fixture.lastHello->version == "v1");
  BOOST_TEST(!fixture.lastHello->leaving);
}

BOOST_AUTO_TEST_CASE(drained_agent_announces_leaving)
{
  AgentFixture fixture;
  ConfigTail tail;
  tail.next = 1;
  tail.records = { LogRecord{
    0, R"({"schema_version":2,"kind":"drain","name":"agent-a","change_id":"c1",)"
       R"("base_revision":null,"body":{"drained":true}})" } };
  fixture.hub.Send(NodeIdOf("agent-a"), tail);
  BOOST_REQUIRE(RunUntil([&] { return fixture.lastHello->configOffset == 1; }));
  BOOST_TEST(fixture.lastHello->leaving);
  BOOST_TEST(!fixture.host.IsLeaving()); // the process keeps running
}

BOOST_AUTO_TEST_CASE(leaving_agent_announces_leaving_and_finishes)
{
  AgentFixture fixture;
  fixture.host.BeginLeaving();
  BOOST_REQUIRE(RunUntil([&] { return fixture.lastHello->leaving; }));
  BOOST_REQUIRE(RunUntil([&] { return fixture.host.IsDone(); }));
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace caraway
