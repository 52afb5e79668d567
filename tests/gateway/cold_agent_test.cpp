// An agent whose engine's process is new, or seen again after silence.
#include "direct/cold_news.h"
#include "fixture.h"
#include "gateway/endpoint_agent.h"

#include <boost/test/unit_test.hpp>

namespace caraway::gateway {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;
using Connection = ScriptedEndpoint::Connection;

const direct::ColdLimits kLimits{ seconds(3), 10, 20 };

struct ColdReports final : ReportReader
{
  std::string WriteReportRequest() const override
  {
    return "GET /report HTTP/1.1\r\nId: r\r\n\r\n";
  }
  std::optional<EndpointReport> ReadReport(const ResponseHead&, std::string_view) const override
  {
    return EndpointReport{ this->bornMs, false };
  }
  direct::EndpointNotice ParseNotice(const ResponseHead&) const override
  {
    direct::EndpointNotice notice;
    notice.coldRemaining = this->coldRemaining;
    return notice;
  }
  std::int64_t bornMs = 0;
  std::optional<milliseconds> coldRemaining;
};

struct ColdAgentFixture : GatewayFixture
{
  ColdAgentFixture()
  {
    this->clock.Advance(std::chrono::minutes(2));
    this->reader.bornMs = this->WallMs() - 60000;
    AgentSettings agentSettings;
    agentSettings.listen = { "127.0.0.1", 0 };
    agentSettings.endpoint = { "127.0.0.1", this->endpoint.listener.Port() };
    agentSettings.reportPeriod = milliseconds(2); // of the timer, beside the paused clock
    this->agent.emplace(agentSettings, Peer{ NodeId{ 3 }, Incarnation{ 1 } }, this->poller,
                        this->clock, this->reader);
  }

  bool StartAgent()
  {
    return !this->agent->Start() && RunUntil([&] { return this->agent->State().isReachable; });
  }

  std::int64_t WallMs() const { return this->clock.Read().wall.time_since_epoch().count(); }

  bool IsCold() const
  {
    return this->agent->MetricsText().find("caraway_agent_endpoint_cold 1") != std::string::npos;
  }

  // An entry tells the limits and what it knows about the process, and waits for aDone.
  bool Tell(const direct::ColdState& aState, const std::function<bool()>& aDone)
  {
    struct : PeerMessageHandler
    {
      void OnPeerMessage(const Address&, const Peer&, const direct::DirectMessage&) override {}
      void OnPeerMessagesDone() override {}
    } ignored;
    PeerNet entry(this->poller, Peer{ NodeId{ 4 }, Incarnation{ 1 } }, ignored);
    if (entry.Bind({ "127.0.0.1", 0 })) {
      return false;
    }
    entry.Send({ "127.0.0.1", this->agent->Port() },
               direct::NewsOf(this->clock.Read().steady, aState, kLimits, this->reader.bornMs));
    entry.Flush();
    return RunUntil(aDone);
  }

  ScriptedEndpoint endpoint{ this->poller, [](Connection& aTo, const RequestHead& aHead) {
                              aTo.Write(CompleteResponse(aHead, "ok"));
                            } };
  ColdReports reader;
  std::optional<EndpointAgent> agent;
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(cold_agent, ColdAgentFixture)

BOOST_AUTO_TEST_CASE(an_engine_that_has_run_for_long_is_warm_until_an_entry_says_otherwise)
{
  BOOST_REQUIRE(this->StartAgent());
  const auto hasEntry = [&] {
    return this->agent->MetricsText().find("caraway_agent_entries 1") != std::string::npos;
  };
  BOOST_REQUIRE(this->Tell({}, hasEntry));
  BOOST_TEST(!this->IsCold());
  const TimePoint now = this->clock.Read().steady;
  direct::ColdState state;
  state.Add({ now + milliseconds(300), now, now });
  BOOST_TEST(this->Tell(state, [&] { return this->IsCold(); }));
  BOOST_TEST(AdvanceUntil(this->clock, [&] { return !this->IsCold(); }));
  BOOST_TEST((this->clock.Read().steady - now >= milliseconds(300)));
}

BOOST_AUTO_TEST_CASE(a_new_process_is_cold_until_it_says_otherwise)
{
  BOOST_REQUIRE(this->StartAgent());
  this->reader.bornMs = this->WallMs();
  this->clock.Advance(milliseconds(300));
  BOOST_TEST(this->Tell({}, [&] { return this->IsCold(); }));
  const TimePoint now = this->clock.Read().steady;
  this->reader.coldRemaining = milliseconds(0);
  BOOST_TEST(AdvanceUntil(this->clock, [&] { return !this->IsCold(); }));
  BOOST_TEST((this->clock.Read().steady - now < seconds(2)));
  this->reader.coldRemaining = milliseconds(1500); // again
  BOOST_TEST(AdvanceUntil(this->clock, [&] { return this->IsCold(); }));
}

// The agent starts anew beside an engine that has just started.
BOOST_AUTO_TEST_CASE(a_young_process_is_cold_for_an_agent_that_starts_later)
{
  this->reader.bornMs = this->WallMs() - 1000;
  BOOST_REQUIRE(this->StartAgent());
  BOOST_TEST(this->Tell({}, [&] { return this->IsCold(); }));
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace caraway::gateway
