// Endpoints that name the request rate that they accept from all processes together.
#include "fixture.h"
#include "gateway/endpoint_agent.h"

#include <boost/test/unit_test.hpp>

#include <algorithm>

namespace caraway::gateway {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;
using Connection = ScriptedEndpoint::Connection;

constexpr Duration kWindow = seconds(4);
constexpr Duration kNamedBefore = seconds(3); // the bound holds from here on
constexpr double kFactor = 1.5;
constexpr double kSlack = 5;

// Returns the highest number of arrivals in kWindow, of those that come kNamedBefore after the
// first.
std::size_t MostInWindow(const std::vector<TimePoint>& aTimes)
{
  std::vector<TimePoint> times(aTimes);
  std::erase_if(times, [&](TimePoint aTime) { return aTime < aTimes.front() + milliseconds(500); });
  std::size_t most = 0;
  for (auto last = times.begin(); last != times.end(); ++last) {
    if (*last >= aTimes.front() + kNamedBefore) {
      const auto first = std::lower_bound(times.begin(), last, *last - kWindow);
      most = std::max(most, static_cast<std::size_t>(last - first) + 1);
    }
  }
  return most;
}

double Allowed(double aRate)
{
  return kFactor * aRate * SecondsOf(kWindow) + kSlack;
}

std::string WithRate(std::string aAnswer, const std::string& aRate)
{
  return aAnswer.insert(aAnswer.find("Proof: "), "Rate: " + aRate + "\r\n");
}

struct NamedRateFixture : GatewayFixture
{
  // Sends a request every 50 ms for aTime on the paused clock.
  void SendSteadily(Duration aTime)
  {
    constexpr Duration kPeriod = milliseconds(50);
    constexpr int kTurns = 20; // of the main loop, enough for a call that need not wait
    const TimePoint end = this->clock.Read().steady + aTime;
    while (this->clock.Read().steady < end) {
      this->clock.Advance(kPeriod);
      this->gateway->ConfirmConfig(1, this->clock.Read().steady);
      this->clients.emplace_back(this->gateway->Port());
      this->clients.back().Send(
        Request("/safe/x", "r" + std::to_string(this->clients.size()), "body"));
      for (int turn = 0; turn<kTurns&& this->OpenCalls()> 0; turn++) {
        g_main_context_iteration(nullptr, FALSE);
      }
    }
  }

  std::size_t OpenCalls() const
  {
    return static_cast<std::size_t>(
      std::count_if(this->clients.begin(), this->clients.end(), [](const RawTcpClient& aClient) {
        return aClient.Received().find("\r\n\r\n") == std::string::npos;
      }));
  }

  std::list<RawTcpClient> clients;
};

struct Reports final : ReportReader
{
  std::string WriteReportRequest() const override
  {
    return "GET /report HTTP/1.1\r\nId: r\r\n\r\n";
  }
  std::optional<EndpointReport> ReadReport(const ResponseHead&, std::string_view) const override
  {
    return EndpointReport{ 1, false };
  }
  direct::EndpointNotice ParseNotice(const ResponseHead& aHead) const override
  {
    return TestProtocol().ParseNotice(aHead);
  }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(named_rates, NamedRateFixture)

BOOST_AUTO_TEST_CASE(calls_stay_within_the_rate_that_an_endpoint_names)
{
  this->Configure();
  std::vector<TimePoint> arrivals;
  this->AddEndpoint([&](Connection& aTo, const RequestHead& aHead) {
    arrivals.push_back(this->clock.Read().steady);
    aTo.Write(WithRate(CompleteResponse(aHead, "ok"), "3.3"));
  });
  this->SendSteadily(seconds(10));
  const auto most = static_cast<double>(MostInWindow(arrivals));
  BOOST_TEST(most <= Allowed(3.3));
  BOOST_TEST(most >= 3.3); // at least the calls of one second in four
}

// The agent asks for a report every 200 ms, which is 20 requests in 4 s.
BOOST_AUTO_TEST_CASE(status_reports_stay_within_the_rate_that_an_endpoint_names)
{
  std::vector<TimePoint> arrivals;
  ScriptedEndpoint endpoint(this->poller, [&](Connection& aTo, const RequestHead& aHead) {
    arrivals.push_back(this->clock.Read().steady);
    aTo.Write(WithRate(CompleteResponse(aHead, "ok"), "1.5"));
  });
  constexpr Duration kReportPeriod = milliseconds(200);
  AgentSettings agentSettings;
  agentSettings.listen = { "127.0.0.1", 0 };
  agentSettings.endpoint = { "127.0.0.1", endpoint.listener.Port() };
  agentSettings.reportPeriod = milliseconds(2); // of the timer, which runs beside the paused clock
  const Reports reports;
  EndpointAgent agent(agentSettings, Peer{ NodeId{ 3 }, Incarnation{ 1 } }, this->poller,
                      this->clock, reports);
  BOOST_REQUIRE(!agent.Start());
  const TimePoint end = this->clock.Read().steady + seconds(10);
  while (this->clock.Read().steady < end) {
    const std::size_t before = arrivals.size();
    bool isTick = false;
    Timer tick([&] { isTick = true; });
    tick.ArmAfter(agentSettings.reportPeriod * 3);
    RunUntil([&] { return isTick || arrivals.size() > before; });
    this->clock.Advance(kReportPeriod);
  }
  BOOST_REQUIRE(!arrivals.empty());
  BOOST_TEST(static_cast<double>(MostInWindow(arrivals)) <= Allowed(1.5));
  BOOST_TEST(agent.State().isReachable);
}

// Reports were rare while a rate was named, so the last one is old when an entry tells its end.
BOOST_AUTO_TEST_CASE(an_agent_that_is_told_the_end_of_a_rate_keeps_its_endpoint)
{
  std::size_t reports = 0;
  std::string rate = "0.5";
  ScriptedEndpoint endpoint(this->poller, [&](Connection& aTo, const RequestHead& aHead) {
    reports++;
    const std::string answer = CompleteResponse(aHead, "ok");
    aTo.Write(rate.empty() ? answer : WithRate(answer, rate));
  });
  AgentSettings agentSettings;
  agentSettings.listen = { "127.0.0.1", 0 };
  agentSettings.endpoint = { "127.0.0.1", endpoint.listener.Port() };
  const Reports reader;
  EndpointAgent agent(agentSettings, Peer{ NodeId{ 3 }, Incarnation{ 1 } }, this->poller,
                      this->clock, reader);
  BOOST_REQUIRE(!agent.Start());
  BOOST_REQUIRE(RunUntil([&] { return agent.State().isReachable; }));
  this->clock.Advance(seconds(2));
  rate.clear();
  struct : PeerMessageHandler
  {
    void OnPeerMessage(const Address&, const Peer&, const direct::DirectMessage&) override {}
    void OnPeerMessagesDone() override {}
  } ignored;
  PeerNet entry(this->poller, Peer{ NodeId{ 4 }, Incarnation{ 1 } }, ignored);
  BOOST_REQUIRE(!entry.Bind({ "127.0.0.1", 0 }));
  entry.Send({ "127.0.0.1", agent.Port() }, direct::RateNews{});
  entry.Flush();
  bool wasLost = false;
  const std::size_t before = reports;
  BOOST_TEST(AdvanceUntil(this->clock, [&] {
    wasLost = wasLost || !agent.State().isReachable;
    return wasLost || reports > before + 1;
  }));
  BOOST_TEST(!wasLost);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace caraway::gateway
