// Calls stay away from evacuated failure domains and inside the regions allowed for them.
#include "direct/dispatcher.h"

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <vector>

namespace caraway::direct {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

struct Port : DispatchPort
{
  void StartAttempt(CallNumber aCall, const EndpointInfo& aEndpoint) override
  {
    this->started.emplace_back(aCall, aEndpoint.failureDomain);
  }
  void GiveUp(CallNumber aCall, GiveUpReason aReason, Duration aRetryAfter) override
  {
    this->givenUp.emplace_back(aCall, aReason);
    this->retryAfter = aRetryAfter;
  }
  void SendToAgent(const std::string& aHost, const DirectMessage& aMessage) override
  {
    this->sent.emplace_back(aHost, aMessage);
  }
  void SendToOwner(const std::string&, const QueueEnvelope&) override {}
  void OnQueueChange(const EndpointInfo&, std::string_view, bool, Duration) override {}
  void ProbeEndpoint(const EndpointInfo&) override {}
  void OnEndpointDied(const EndpointInfo&, std::string_view, std::size_t) override {}
  void OnSuspect(const SuspectUpdate&) override {}
  void OnNamedRate(const EndpointInfo&, std::optional<double>, std::string_view) override {}

  template<class Message>
  std::size_t CountSent(const std::string& aHost) const
  {
    return static_cast<std::size_t>(
      std::count_if(this->sent.begin(), this->sent.end(), [&](const auto& aRow) {
        return aRow.first == aHost && std::holds_alternative<Message>(aRow.second);
      }));
  }

  std::vector<std::pair<CallNumber, std::string>> started; // with the failure domain
  std::vector<std::pair<CallNumber, GiveUpReason>> givenUp;
  Duration retryAfter{};
  std::vector<std::pair<std::string, DirectMessage>> sent;
};

// One endpoint with two slots in each of the domains "a", "b" and "c". "a" and "b" lie in the
// region "north", "c" in "south".
struct Fixture
{
  Fixture()
  {
    RetryBudgetOptions budgetOptions;
    budgetOptions.extra = 1000;
    this->budget = std::make_unique<RetryBudget>(budgetOptions, TimePoint{});
    this->dispatcher =
      std::make_unique<Dispatcher>(DispatchOptions(), Peer{ NodeId{ 1 }, Incarnation{ 1 } }, "a",
                                   this->random, *this->budget, this->port);
    for (const char* domain : { "a", "b", "c" }) {
      EndpointInfo info;
      info.id = std::string("e-") + domain;
      info.service = "pool";
      info.host = domain;
      info.port = 80;
      info.slots = 2;
      info.failureDomain = domain;
      info.region = info.failureDomain == "c" ? "south" : "north";
      this->all[info.id] = info;
    }
    this->List(false);
  }
  void List(bool aHasAgents)
  {
    this->dispatcher->SetEndpoints(this->now, this->all,
                                   [aHasAgents](const std::string&) { return aHasAgents; });
  }
  void ReportAgentsLive(std::uint32_t aLimit)
  {
    for (const auto& [id, info] : this->all) {
      AgentState state;
      state.isReachable = true;
      state.limit = aLimit;
      this->dispatcher->OnAgentState(this->now, info.host, state);
    }
  }
  CallSpec Submit(CallKind aKind = CallKind::kOnce, const AllowedRegions& aRegions = {})
  {
    CallSpec spec;
    spec.number = ++this->lastCall;
    spec.kind = aKind;
    spec.isResumable = aKind == CallKind::kStream;
    spec.service = "pool";
    spec.maxRuns = aKind == CallKind::kOnce ? 1 : 4;
    spec.objective = milliseconds(500);
    spec.arrived = this->now;
    spec.deadline = this->now + seconds(4);
    spec.regions = aRegions;
    this->dispatcher->Submit(this->now, spec);
    return spec;
  }
  void Advance(Duration aBy)
  {
    const TimePoint end = this->now + aBy;
    while (this->now < end) {
      this->now = std::min(end, this->now + milliseconds(5));
      this->dispatcher->OnTimer(this->now);
    }
  }
  void Evacuate(const std::set<std::string>& aDomains)
  {
    this->dispatcher->SetEvacuatedDomains(this->now, aDomains);
  }
  bool HasStartedIn(const std::string& aDomain) const
  {
    return std::any_of(this->port.started.begin(), this->port.started.end(),
                       [&](const auto& aRow) { return aRow.second == aDomain; });
  }

  std::unique_ptr<RetryBudget> budget;
  Random random{ 1 };
  Port port;
  TimePoint now{ seconds(100) };
  std::map<std::string, EndpointInfo> all;
  std::unique_ptr<Dispatcher> dispatcher;
  CallNumber lastCall = 0;
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(dispatcher_domains, Fixture)

BOOST_AUTO_TEST_CASE(an_evacuated_domain_gets_no_call_until_it_is_taken_back)
{
  this->Evacuate({ "a", "b" });
  for (int i = 0; i < 20; i++) {
    const CallSpec spec = this->Submit();
    this->dispatcher->OnAttemptEnd(this->now, spec.number, AttemptEnd::kAnswered);
  }
  BOOST_TEST(this->port.started.size() == 20U);
  BOOST_TEST(!this->HasStartedIn("a"));
  BOOST_TEST(!this->HasStartedIn("b"));
  this->Evacuate({});
  for (int i = 0; i < 20; i++) {
    this->Submit();
  }
  BOOST_TEST(this->HasStartedIn("a"));
  BOOST_TEST(this->HasStartedIn("b"));
}

// The agents have no free slot; "a" and "b" are told to forget the calls, and offers that were on
// their way are declined.
BOOST_AUTO_TEST_CASE(queued_calls_move_off_an_evacuated_domain_and_running_ones_finish)
{
  this->List(true);
  this->ReportAgentsLive(2);
  const CallNumber running = this->Submit().number;
  this->dispatcher->OnOffer(this->now, "a", running);
  BOOST_REQUIRE(this->HasStartedIn("a"));
  this->Evacuate({ "c" });
  for (int i = 0; i < 10; i++) {
    this->Submit();
  }
  this->port.sent.clear();
  this->Evacuate({ "a", "b" });
  BOOST_TEST(this->port.CountSent<WithdrawSlot>("a") == 10U);
  BOOST_TEST(this->port.CountSent<WithdrawSlot>("b") == 10U);
  BOOST_TEST(this->port.CountSent<ReserveSlot>("c") == 10U);
  for (CallNumber call = running + 1; call <= this->lastCall; call++) {
    this->dispatcher->OnOffer(this->now, "a", call);
    this->dispatcher->OnOffer(this->now, "b", call);
  }
  BOOST_TEST(this->port.started.size() == 1U);
  for (CallNumber call = running + 1; call <= this->lastCall; call++) {
    this->dispatcher->OnOffer(this->now, "c", call);
  }
  BOOST_TEST(this->port.started.size() == 11U);
  BOOST_TEST(!this->dispatcher->OnAttemptEnd(this->now, running, AttemptEnd::kAnswered));
  BOOST_TEST(this->port.givenUp.empty());
}

BOOST_AUTO_TEST_CASE(a_call_is_refused_at_once_if_all_domains_are_evacuated)
{
  this->Evacuate({ "a", "b", "c" });
  this->Submit();
  this->Advance(milliseconds(5));
  BOOST_TEST(this->port.started.empty());
  BOOST_REQUIRE(this->port.givenUp.size() == 1U);
  BOOST_TEST((this->port.givenUp[0].second == GiveUpReason::kNoEndpoint));
  BOOST_TEST((this->port.retryAfter > Duration::zero()));
}

BOOST_AUTO_TEST_CASE(queued_calls_are_refused_if_the_last_domain_is_evacuated)
{
  this->List(true);
  this->ReportAgentsLive(2);
  this->Submit();
  this->Evacuate({ "a", "b", "c" });
  this->Advance(milliseconds(5));
  BOOST_TEST(this->port.givenUp.size() == 1U);
  BOOST_TEST(this->port.started.empty());
}

// Regression: the call had no timer left after its reservations were withdrawn.
BOOST_AUTO_TEST_CASE(a_call_that_may_use_no_endpoint_any_more_is_still_given_up_in_time)
{
  this->List(true);
  this->ReportAgentsLive(2);
  const CallSpec spec = this->Submit();
  this->Advance(milliseconds(5));
  this->dispatcher->SetBannedVersions(this->now, { { "pool", { "" } } });
  this->Advance(spec.deadline - this->now);
  BOOST_TEST(this->port.givenUp.size() == 1U);
}

BOOST_AUTO_TEST_CASE(a_retry_or_resume_goes_to_no_evacuated_domain)
{
  for (const CallKind kind : { CallKind::kSafe, CallKind::kStream }) {
    this->Evacuate({});
    const CallSpec spec = this->Submit(kind);
    this->port.started.clear();
    this->Evacuate({ "a", "b" });
    BOOST_TEST(this->dispatcher->OnAttemptEnd(this->now, spec.number, AttemptEnd::kBroken));
    this->Advance(milliseconds(50));
    BOOST_TEST(!this->HasStartedIn("a"));
    BOOST_TEST(!this->HasStartedIn("b"));
    this->dispatcher->Cancel(this->now, spec.number);
  }
}

// The host then passes on the endpoint's own answer.
BOOST_AUTO_TEST_CASE(a_failed_call_is_not_queued_again_if_all_domains_are_evacuated)
{
  const CallSpec spec = this->Submit(CallKind::kSafe);
  this->Evacuate({ "a", "b", "c" });
  BOOST_TEST(!this->dispatcher->OnAttemptEnd(this->now, spec.number, AttemptEnd::kFailed));
}

BOOST_AUTO_TEST_CASE(calls_stay_in_their_regions_also_when_retried)
{
  for (int i = 0; i < 12; i++) {
    const CallSpec spec =
      this->Submit(i % 2 == 0 ? CallKind::kSafe : CallKind::kStream, AllowedRegions({ "south" }));
    this->dispatcher->OnAttemptEnd(this->now, spec.number, AttemptEnd::kBroken);
    this->Advance(milliseconds(20));
    this->dispatcher->Cancel(this->now, spec.number);
  }
  BOOST_TEST(this->HasStartedIn("c"));
  BOOST_TEST(!this->HasStartedIn("a"));
  BOOST_TEST(!this->HasStartedIn("b"));
}

BOOST_AUTO_TEST_CASE(a_call_is_refused_if_its_region_is_gone)
{
  this->Evacuate({ "c" });
  this->Submit(CallKind::kOnce, AllowedRegions({ "south" }));
  this->Submit(CallKind::kOnce, AllowedRegions({ "west" }));
  this->Submit(CallKind::kOnce, AllowedRegions(std::vector<std::string>()));
  this->Advance(milliseconds(5));
  BOOST_TEST(this->port.started.empty());
  BOOST_TEST(this->port.givenUp.size() == 3U);
  BOOST_TEST((this->port.retryAfter > Duration::zero()));
}

BOOST_AUTO_TEST_CASE(an_endpoint_whose_region_is_unknown_is_in_no_region)
{
  for (auto& [id, info] : this->all) {
    info.region.clear();
  }
  this->List(false);
  this->Submit(CallKind::kOnce, AllowedRegions({ "north", "" }));
  this->Advance(milliseconds(5));
  BOOST_TEST(this->port.started.empty());
  this->Submit();
  BOOST_TEST(this->port.started.size() == 1U);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(regions)

BOOST_AUTO_TEST_CASE(regions_of_route_and_account_both_bind)
{
  BOOST_TEST(!IntersectRegions({}, {}));
  BOOST_TEST((IntersectRegions({ "n", "s" }, {}) == AllowedRegions({ "n", "s" })));
  BOOST_TEST((IntersectRegions({}, { "s" }) == AllowedRegions({ "s" })));
  BOOST_TEST((IntersectRegions({ "n", "s" }, { "s", "w" }) == AllowedRegions({ "s" })));
  BOOST_TEST(IntersectRegions({ "n" }, { "w" })->empty());
}

// Operators evacuate domains whose endpoints have restarted, so their figures of before don't hold.
BOOST_FIXTURE_TEST_CASE(endpoints_of_a_domain_that_is_taken_back_count_as_cold, Fixture)
{
  for (auto& [id, info] : this->all) {
    info.coldLimits = { seconds(3), 10, 20 };
  }
  this->List(true);
  this->Evacuate({ "a", "b" });
  BOOST_TEST(this->dispatcher->ColdEndpointCount() == 0U);
  this->Advance(seconds(1));
  this->Evacuate({ "b" });
  BOOST_TEST(this->dispatcher->ColdEndpointCount() == 1U);
  this->Advance(seconds(4));
  BOOST_TEST(this->dispatcher->ColdEndpointCount() == 0U);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace caraway::direct
