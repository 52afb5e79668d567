// Configurations of a store that is restored from an older copy.
#include "../gateway/fixture.h"
#include "fake_store.h"
#include "platform/operator_feed.h"

#include <string>

namespace caraway::platform {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr const char* kTopic = "keyed.op";

// An entry at 127.0.0.2 that reads its configuration from a store, and another entry at 127.0.0.1
// that sends what the test says.
struct RestoredConfig
  : gateway::GatewayFixture
  , gateway::PeerMessageHandler
{
  RestoredConfig()
    : GatewayFixture(gateway::GatewaySettings().leaveNotice, "127.0.0.2")
    , peer(this->poller, Peer{ NodeId{ 2 }, Incarnation{ 1 } }, *this)
    , feed(*this->gateway, this->store, this->clock, this->random, seconds(5))
  {
    BOOST_REQUIRE(!this->peer.Bind({ "127.0.0.1", 0 }));
    this->gateway->RestoreUsage("");
    this->AddEndpoint([](gateway::ScriptedEndpoint::Connection& aTo, const RequestHead& aHead) {
      aTo.Write(gateway::CompleteResponse(aHead, "hello"));
    });
  }
  void OnPeerMessage(const Address&, const Peer&, const direct::DirectMessage& aMessage) override
  {
    if (const auto* state = std::get_if<direct::EntryState>(&aMessage)) {
      this->heard = *state;
    }
  }
  void OnPeerMessagesDone() override {}

  // Writes a configuration with one route, /vVERSION/, and one key, kVERSION.
  void WriteConfig(int aVersion)
  {
    const std::string number = std::to_string(aVersion);
    this->store.Write(kTopic, "config",
                      R"({"version":)" + number +
                        R"(,"routes":[{"name":"r","host":"h","path-prefix":"/v)" + number +
                        R"(/","route-type":"safe","timeout-ms":5000,"target-latency-ms":500,)"
                        R"("priority":1,"service":"pool","max-attempts":2}],)"
                        R"("services":[{"name":"pool","max-connections":10}],)"
                        R"("limits":{"max-header-bytes":8000,"max-body-bytes":100,)"
                        R"("header-timeout-ms":2000,"idle-timeout-ms":9000},)"
                        R"("tenants":[{"name":"t","api-keys":["k)" +
                        number + R"("],"priority":1}]})");
  }
  // Answers the call to the store that comes next.
  void Step()
  {
    this->clock.Advance(milliseconds(200));
    BOOST_REQUIRE(RunUntil([this] { return this->store.HasCall(); }));
    this->clock.Advance(milliseconds(1));
    this->store.Answer();
  }
  void Steps(int aCount)
  {
    for (int i = 0; i < aCount; i++) {
      this->Step();
    }
  }
  // Status of a request that only the configuration aVersion allows.
  int StatusOf(int aVersion)
  {
    const std::string number = std::to_string(aVersion);
    const std::string answer = this->SendAndWait(
      Request("/v" + number + "/x", "r" + std::to_string(++this->lastId), "", "k" + number),
      "\r\n\r\n");
    return std::stoi(answer.substr(std::string("HTTP/1.1 ").size(), 3));
  }
  void Tell(const direct::EntryState& aState)
  {
    direct::EntryState state = aState;
    state.sentAtUs = this->clock.Read().steady.time_since_epoch().count();
    state.echoUs = state.sentAtUs;
    this->heard.reset();
    this->peer.Send({ "127.0.0.2", this->gateway->PeerPort() }, state);
    this->peer.Flush();
    BOOST_REQUIRE(RunUntil([&] { return this->heard && this->heard->echoUs == state.sentAtUs; }));
  }

  FakeStore store{ this->clock };
  std::optional<direct::EntryState> heard; // last state of the entry under test
  gateway::PeerNet peer;
  OperatorFeed feed;
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(restored_config, RestoredConfig)

BOOST_AUTO_TEST_CASE(a_newer_configuration_at_an_offset_given_out_again_comes_into_force)
{
  for (const int version : { 2, 4, 8, 11 }) {
    this->WriteConfig(version);
  }
  this->feed.Start();
  this->Steps(2);
  this->store.Restore(kTopic, 2);
  this->WriteConfig(11);
  this->Steps(3);
  this->WriteConfig(14);
  this->Steps(2);
  BOOST_TEST(this->StatusOf(14) == 200);
  BOOST_TEST(this->StatusOf(11) != 200);
}

BOOST_AUTO_TEST_CASE(an_older_configuration_of_a_restored_store_does_not_come_into_force)
{
  for (const int version : { 2, 4, 8, 11 }) {
    this->WriteConfig(version);
  }
  this->feed.Start();
  this->Steps(2);
  this->store.Restore(kTopic, 2);
  for (int i = 0; i < 12; i++) {
    this->Step();
    BOOST_TEST(this->StatusOf(11) == 200);
    BOOST_TEST(this->StatusOf(4) != 200);
  }
  // Longer offsets than before the restore do not make it newer.
  for (int i = 0; i < 4; i++) {
    this->WriteConfig(4);
    this->Steps(2);
    BOOST_TEST(this->StatusOf(11) == 200);
  }
}

BOOST_AUTO_TEST_CASE(an_entry_with_an_older_configuration_than_another_denies_nothing_for_good)
{
  this->WriteConfig(4);
  this->feed.Start();
  this->Steps(2);
  direct::EntryState state;
  state.configVersion = 11;
  this->Tell(state);
  for (int i = 0; i < 24; i++) {
    this->Step();
    if (i % 8 == 0) {
      this->Tell(state);
    }
    BOOST_TEST(this->StatusOf(11) == 503);
  }
  // Its own configuration is not known to be the newest, so its keys expire.
  BOOST_TEST(this->StatusOf(4) == 503);
  BOOST_TEST(!this->gateway->IsReady());
  this->WriteConfig(11);
  this->Steps(2);
  BOOST_TEST(this->StatusOf(11) == 200);
  BOOST_TEST(this->gateway->IsReady());
}

BOOST_AUTO_TEST_CASE(an_entry_that_starts_serves_nothing_by_an_older_configuration_than_another_has)
{
  this->WriteConfig(4);
  this->feed.Start();
  this->Steps(2);
  BOOST_TEST(this->StatusOf(4) == 200);
  direct::EntryState state;
  state.configVersion = 11;
  this->Tell(state);
  BOOST_TEST(this->StatusOf(4) == 503);
  BOOST_TEST(!this->gateway->IsReady());
  this->WriteConfig(11);
  this->Steps(2);
  BOOST_TEST(this->StatusOf(11) == 200);
  BOOST_TEST(this->gateway->IsReady());
}

BOOST_AUTO_TEST_CASE(nothing_is_denied_for_good_until_a_restored_store_was_written_again)
{
  this->WriteConfig(4);
  this->feed.Start();
  this->Steps(20);
  BOOST_TEST(this->StatusOf(11) == 404);
  this->store.Restore(kTopic, 1);
  this->Steps(2);
  for (int i = 0; i < 10; i++) {
    BOOST_TEST(this->StatusOf(11) == 503);
    BOOST_TEST(this->StatusOf(4) == 200);
    this->Step();
  }
  this->Steps(10);
  BOOST_TEST(this->StatusOf(11) == 404);
}

BOOST_AUTO_TEST_CASE(an_entry_that_starts_denies_nothing_for_good_by_a_copy)
{
  this->WriteConfig(4);
  this->feed.Start();
  for (int i = 0; i < 10; i++) {
    this->Step();
    BOOST_TEST(this->StatusOf(11) == 503);
  }
  this->Steps(10);
  BOOST_TEST(this->StatusOf(11) == 404);
}

BOOST_AUTO_TEST_CASE(a_store_that_was_just_restored_does_not_confirm_keys)
{
  this->WriteConfig(4);
  this->feed.Start();
  this->Steps(2);
  this->clock.Advance(seconds(4));
  this->store.Restore(kTopic, 1);
  this->Steps(3);
  BOOST_TEST(this->StatusOf(4) == 503);
  this->Steps(4);
  BOOST_TEST(this->StatusOf(4) == 200);
}

BOOST_AUTO_TEST_CASE(entries_confirm_configurations_by_version_not_by_offset)
{
  for (const int version : { 2, 4 }) {
    this->WriteConfig(version);
  }
  this->feed.Start();
  this->Steps(2);
  this->clock.Advance(seconds(10));
  direct::EntryState state;
  state.configVersion = 1; // the offset of version 4
  this->Tell(state);
  BOOST_TEST((this->gateway->ConfigAge() >= seconds(10)));
  state.configVersion = 4;
  this->Tell(state);
  this->Tell(state);
  BOOST_TEST((this->gateway->ConfigAge() < seconds(1)));
}

BOOST_AUTO_TEST_CASE(an_entry_that_is_told_of_a_new_era_reads_the_store)
{
  this->WriteConfig(4);
  this->feed.Start();
  this->Steps(2);
  bool wasAsked = false;
  this->gateway->SetHooks([&] { wasAsked = true; }, [] {});
  direct::EntryState state;
  state.configVersion = 4;
  state.storeEra = 1;
  this->Tell(state);
  BOOST_TEST(!wasAsked);
  state.storeEra = 2;
  this->Tell(state);
  BOOST_TEST(wasAsked);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace caraway::platform
