// Evacuations as the operator orders them in the platform's store.
#include "../gateway/fixture.h"
#include "fake_store.h"
#include "platform/entry_state.h"
#include "platform/operator_feed.h"
#include "platform/wire_names.h"

#include <boost/test/unit_test.hpp>

namespace caraway::platform {

namespace {

using gateway::Contains;
using Connection = gateway::ScriptedEndpoint::Connection;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr const char* kTopic = wire::kOperatorTopic;

// An entry with the endpoints e1 in the failure domain "a" and e2 in "b". Each step is a call to
// the store and its answer.
struct EvacuationFeed : gateway::GatewayFixture
{
  EvacuationFeed()
  {
    this->Configure();
    for (const char* domain : { "a", "b" }) {
      this->AddEndpoint([](Connection& aTo, const RequestHead& aHead) {
        aTo.Write(gateway::CompleteResponse(aHead, "hello"));
      });
      this->endpointInfos["e" + std::to_string(this->endpoints.size())].failureDomain = domain;
    }
    this->gateway->SetEndpoints(this->endpointInfos);
  }
  void Order(const std::string& aDomain) { this->store.Write(kTopic, "evacuate/" + aDomain, "{}"); }
  void TakeBack(const std::string& aDomain) { this->store.Delete(kTopic, "evacuate/" + aDomain); }
  void Steps(int aCount)
  {
    for (int i = 0; i < aCount; i++) {
      this->clock.Advance(milliseconds(200));
      BOOST_REQUIRE(RunUntil([this] { return this->store.HasCall(); }));
      this->store.Answer();
      this->gateway->ConfirmConfig(1, this->clock.Read().steady);
    }
  }
  // Sends requests; returns which of the endpoints got any, and "x" for a request refused with 503.
  std::string Reached()
  {
    for (const auto& endpoint : this->endpoints) {
      endpoint->requests.clear();
    }
    std::string reached;
    for (int i = 0; i < 12; i++) {
      const std::string answer =
        this->SendAndWait(Request("/safe/x", "r" + std::to_string(++this->lastId)), "\r\n\r\n");
      if (Contains(answer, "HTTP/1.1 503") && Contains(answer, "Retry-After: ") &&
          !Contains(reached, "x")) {
        reached += "x";
      }
    }
    return (this->endpoints.front()->requests.empty() ? "" : "a") +
           std::string(this->endpoints.back()->requests.empty() ? "" : "b") + reached;
  }

  FakeStore store{ this->clock };
  OperatorFeed feed{ *this->gateway, this->store, this->clock, this->random, seconds(5) };
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(evacuation_feed, EvacuationFeed)

BOOST_AUTO_TEST_CASE(an_order_holds_until_its_key_is_removed)
{
  this->feed.Start();
  this->Steps(2);
  BOOST_TEST(this->Reached() == "ab");
  this->Order("a");
  this->Steps(1);
  BOOST_TEST(this->Reached() == "b");
  BOOST_TEST(Contains(this->gateway->MetricsText(), "caraway_entry_evacuated_failure_domains 1"));
  this->TakeBack("a");
  this->Steps(1);
  BOOST_TEST(Contains(this->Reached(), "a"));
}

BOOST_AUTO_TEST_CASE(an_entry_that_starts_reads_the_orders_before_it_serves)
{
  this->Order("b");
  this->Order("a");
  this->TakeBack("b");
  this->feed.Start();
  this->Steps(1);
  BOOST_TEST(this->Reached() == "b");
}

BOOST_AUTO_TEST_CASE(requests_are_refused_while_all_domains_are_evacuated)
{
  this->Order("a");
  this->Order("b");
  this->feed.Start();
  this->Steps(1);
  BOOST_TEST(this->Reached() == "x");
}

// The records are gone when the entry reads on.
BOOST_AUTO_TEST_CASE(a_removal_that_the_store_has_trimmed_is_seen_in_the_snapshot)
{
  this->Order("a");
  this->feed.Start();
  this->Steps(1);
  this->TakeBack("a");
  this->Order("other");
  this->store.firstOffset = 3;
  this->Steps(2);
  BOOST_TEST(Contains(this->Reached(), "a"));
}

BOOST_AUTO_TEST_CASE(an_order_that_a_restored_store_lacks_is_not_taken_back_at_once)
{
  this->store.Write(kTopic, "other", "x");
  this->Order("a");
  this->feed.Start();
  this->Steps(2);
  this->store.Restore(kTopic, 1);
  this->Steps(4);
  BOOST_TEST(this->Reached() == "b");
  BOOST_TEST(AdvanceUntil(this->clock, [this] {
    if (this->store.HasCall()) {
      this->store.Answer();
    }
    return Contains(this->gateway->MetricsText(), "caraway_entry_evacuated_failure_domains 0");
  }));
}

BOOST_AUTO_TEST_CASE(an_order_that_is_written_again_after_a_restore_stays)
{
  this->store.Write(kTopic, "other", "x");
  this->Order("a");
  this->feed.Start();
  this->Steps(2);
  this->store.Restore(kTopic, 1);
  this->Steps(2);
  this->Order("a");
  this->Steps(20); // four seconds
  BOOST_TEST(this->Reached() == "b");
  this->TakeBack("a");
  this->Steps(1);
  BOOST_TEST(Contains(this->Reached(), "a"));
}

// No call is answered any more.
BOOST_AUTO_TEST_CASE(an_order_holds_while_the_store_is_away)
{
  this->Order("a");
  this->feed.Start();
  this->Steps(1);
  this->feed.OnReachabilityChanged(false);
  this->clock.Advance(seconds(60));
  this->gateway->ConfirmConfig(1, this->clock.Read().steady);
  BOOST_TEST(this->Reached() == "b");
}

BOOST_AUTO_TEST_CASE(endpoints_lie_in_the_region_of_their_failure_domain)
{
  auto config = std::make_shared<direct::ServiceConfig>(*this->config);
  config->version = 2;
  config->accounts[0].regions = { "south" };
  this->gateway->SetConfig(2, config);
  this->gateway->ConfirmConfig(2, this->clock.Read().steady);
  EndpointFeed endpointFeed(*this->gateway, this->store, this->clock, this->random, seconds(2),
                            { { "a", "north" }, { "b", "south" } });
  std::vector<KeyedRecord> records;
  for (const auto& [id, info] : this->endpointInfos) {
    records.push_back({ records.size(), id,
                        R"({"service":"pool","address":"127.0.0.1:)" + std::to_string(info.port) +
                          R"(","zone":")" + info.failureDomain +
                          R"(","version":"","slots":4,"state":"ready","seq":1,"born":1})" });
  }
  endpointFeed.OnSnapshot(records);
  endpointFeed.OnCaughtUp(this->clock.Read().steady);
  BOOST_TEST(this->Reached() == "b");
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace caraway::platform
