// The store's client on the loopback interface.
#include "../gateway/fixture.h"
#include "platform/store_client.h"

#include <string>

namespace caraway::platform {

namespace {

struct StoreFixture
{
  StoreFixture()
    : server(this->poller,
             [this](gateway::ScriptedEndpoint::Connection& aTo, const RequestHead&) {
               aTo.Write("HTTP/1.1 " + std::to_string(this->status) + " X\r\n" + this->field +
                         "Content-Length: 2\r\n\r\n{}");
             })
    , store({ "127.0.0.1", this->server.listener.Port() }, this->poller, this->clock)
  {
  }
  StoreResult Append()
  {
    std::optional<StoreResult> result;
    this->store.Append("keyed.t", "k", "v", std::nullopt,
                       [&](StoreResult aResult, std::uint64_t) { result = aResult; });
    BOOST_REQUIRE(RunUntil([&] { return result.has_value(); }));
    return *result;
  }

  PausedClock clock{ Now{ TimePoint{ std::chrono::seconds(1000) }, {} } };
  Poller poller;
  int status = 200;
  std::string field;
  gateway::ScriptedEndpoint server;
  StoreClient store;
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(store_client, StoreFixture)

BOOST_AUTO_TEST_CASE(the_era_is_read_from_every_answer)
{
  std::uint64_t era = 3;
  for (const int answer : { 200, 410, 412, 409, 503, 429, 507 }) {
    this->status = answer;
    this->field = "store-era: " + std::to_string(++era) + "\r\n";
    this->Append();
    BOOST_TEST(this->store.Era().Current().value_or(0) == era);
  }
}

BOOST_AUTO_TEST_CASE(an_answer_without_a_readable_era_keeps_the_era)
{
  this->field = "Store-Era: 4\r\n";
  this->Append();
  for (const char* text : { "", "Store-Era: \r\n", "Store-Era: four\r\n", "Store-Era: -5\r\n" }) {
    this->field = text;
    BOOST_TEST((this->Append() == StoreResult::kDone));
    BOOST_TEST(this->store.Era().Current().value_or(0) == 4U);
  }
}

BOOST_AUTO_TEST_CASE(an_answer_from_before_a_restore_is_stale)
{
  StoreEra& era = this->store.Era();
  const TimePoint before = this->clock.Read().steady;
  this->clock.Advance(std::chrono::seconds(1));
  const TimePoint now = this->clock.Read().steady;
  BOOST_TEST(era.OnAnswer("4", before, before));
  BOOST_TEST(era.OnAnswer("5", now, now));
  BOOST_TEST(!era.OnAnswer("4", before, now));
  BOOST_TEST(era.Current().value_or(0) == 5U);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace caraway::platform
