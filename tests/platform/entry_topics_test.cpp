// What an entry writes to the store itself, and move orders, while the store is restored from an
// older copy.
#include "../gateway/fixture.h"
#include "fake_store.h"
#include "platform/entry_state.h"
#include "platform/operator_feed.h"
#include "platform/wire_names.h"

#include <boost/test/unit_test.hpp>

namespace caraway::platform {

namespace {

using gateway::CompleteResponse;
using std::chrono::milliseconds;
using Connection = gateway::ScriptedEndpoint::Connection;

struct EntryTopicsFixture : gateway::GatewayFixture
{
  // Answers all calls, also those that the answers lead to.
  void AnswerAll()
  {
    while (this->store.HasCall()) {
      this->store.Answer();
    }
  }

  void Order(const std::string& aVersion)
  {
    this->store.Write(wire::kOperatorTopic, "rollout/pool",
                      R"({"service":"pool","target":")" + aVersion + R"(","duration-s":12})");
  }

  FakeStore store{ this->clock };
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(entry_topics, EntryTopicsFixture)

BOOST_AUTO_TEST_CASE(an_entry_registers_again_after_the_store_is_restored)
{
  EntryTopic topic(*this->gateway, this->store, this->clock, "10.0.0.1");
  topic.Start();
  this->AnswerAll();
  this->store.Restore(wire::kEntriesTopic, 0);
  this->store.ReadLatest(wire::kOperatorTopic, "", [](const LatestResponse&) {});
  this->AnswerAll();
  BOOST_TEST(RunUntil([&] { return this->store.HasCall(); }));
  this->AnswerAll();
  BOOST_REQUIRE(this->store.topics[wire::kEntriesTopic].size() == 1U);
  BOOST_TEST(this->store.topics[wire::kEntriesTopic][0].key == "10.0.0.1");
}

// Regression: the order was rewritten at another offset, and the failing version got calls again.
BOOST_AUTO_TEST_CASE(a_rolled_back_version_gets_no_requests_when_its_order_is_rewritten)
{
  this->Configure();
  const auto script = [](int aStatus) {
    return [aStatus](Connection& aTo, const RequestHead& aHead) {
      aTo.Write(CompleteResponse(aHead, "answer", aStatus));
    };
  };
  this->AddEndpoint(script(200), "v1");
  gateway::ScriptedEndpoint& failing = this->AddEndpoint(script(500), "v2");
  OperatorFeed feed(*this->gateway, this->store, this->clock, this->random, seconds(5));
  feed.Start();
  this->AnswerAll();
  this->Order("v2");
  const auto order = [&] {
    const std::vector<KeyedRecord>& records = this->store.topics[wire::kOperatorTopic];
    return records.back();
  };
  feed.OnRecord(order());
  const auto send = [&](int aCount) {
    for (int i = 0; i < aCount; i++) {
      this->SendAndWait(Request("/once/x", "r" + std::to_string(++this->lastId)), "answer");
    }
  };
  send(300);
  const std::size_t seen = failing.requests.size();
  BOOST_REQUIRE(seen > 0);
  this->store.Restore(wire::kOperatorTopic, 0);
  this->store.Write(wire::kOperatorTopic, "other", "x");
  this->Order("v2");
  this->store.ReadLatest(wire::kOperatorTopic, "", [](const LatestResponse&) {});
  this->store.Answer();
  this->store.Answer();
  feed.OnRecord(order());
  send(60);
  BOOST_TEST(failing.requests.size() == seen);
}

// Regression: with the next order, the rolled-back version counted as an old one again.
BOOST_AUTO_TEST_CASE(a_rolled_back_version_gets_no_requests_after_the_next_order)
{
  this->Configure();
  // The failure rate of an endpoint that is slow does not keep calls away from it.
  const auto script = [this](Duration aTime) {
    return [this, aTime](Connection& aTo, const RequestHead& aHead) {
      this->clock.Advance(aTime);
      aTo.Write(CompleteResponse(aHead, "answer"));
    };
  };
  this->AddEndpoint(script(milliseconds(10)), "v1");
  gateway::ScriptedEndpoint& slow = this->AddEndpoint(script(milliseconds(40)), "v2");
  gateway::ScriptedEndpoint& third = this->AddEndpoint(script(milliseconds(10)), "v3");
  OperatorFeed feed(*this->gateway, this->store, this->clock, this->random, seconds(5));
  feed.Start();
  this->AnswerAll();
  const auto send = [&](int aCount) {
    for (int i = 0; i < aCount; i++) {
      this->gateway->ConfirmConfig(1, this->clock.Read().steady);
      this->SendAndWait(Request("/once/x", "r" + std::to_string(++this->lastId)), "answer");
    }
  };
  this->Order("v2");
  feed.OnRecord(this->store.topics[wire::kOperatorTopic].back());
  send(400);
  const std::size_t seen = slow.requests.size();
  BOOST_REQUIRE(seen > 0);
  third.requests.clear();
  this->Order("v3");
  feed.OnRecord(this->store.topics[wire::kOperatorTopic].back());
  send(100);
  BOOST_TEST(slow.requests.size() == seen);
  BOOST_TEST(third.requests.size() > 0U);
  BOOST_TEST(third.requests.size() < 40U);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace caraway::platform
