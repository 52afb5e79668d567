#include "direct/dispatcher.h"

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <set>
#include <vector>

namespace caraway::direct {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// Records the dispatcher's calls.
struct Port : DispatchPort
{
  void StartAttempt(CallNumber aCall, const EndpointInfo& aEndpoint) override
  {
    this->started.emplace_back(aCall, aEndpoint.id);
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
  void SendToOwner(const std::string& aHost, const QueueEnvelope& aMessage) override
  {
    this->sentToOwners.emplace_back(aHost, aMessage);
  }
  void OnQueueChange(const EndpointInfo&, std::string_view, bool, Duration) override {}
  void ProbeEndpoint(const EndpointInfo& aEndpoint) override
  {
    this->probed.push_back(aEndpoint.id);
  }
  void OnEndpointDied(const EndpointInfo&, std::string_view, std::size_t) override {}
  void OnSuspect(const SuspectUpdate&) override {}
  void OnNamedRate(const EndpointInfo&, std::optional<double>, std::string_view) override {}

  template<class Message>
  std::vector<std::string> HostsOf() const
  {
    std::vector<std::string> hosts;
    for (const auto& [host, message] : this->sent) {
      if (std::holds_alternative<Message>(message)) {
        hosts.push_back(host);
      }
    }
    return hosts;
  }

  std::vector<std::string> probed;
  std::vector<std::pair<CallNumber, std::string>> started;
  std::vector<std::pair<CallNumber, GiveUpReason>> givenUp;
  Duration retryAfter{};
  std::vector<std::pair<std::string, DirectMessage>> sent;
  std::vector<std::pair<std::string, QueueEnvelope>> sentToOwners;
};

struct Fixture
{
  Fixture()
  {
    this->budgetOptions.extra = 1000;
    this->budget = std::make_unique<RetryBudget>(this->budgetOptions, TimePoint{});
    this->dispatcher =
      std::make_unique<Dispatcher>(this->options, Peer{ NodeId{ 1 }, Incarnation{ 1 } }, "here",
                                   this->random, *this->budget, this->port);
  }

  void ListEndpoints(int aCount, bool aHasAgents, std::uint32_t aSlots = 2)
  {
    for (int index = 1; index <= aCount; index++) {
      EndpointInfo info;
      info.id = "e" + std::to_string(index);
      info.service = "pool";
      info.host = "10.0.0." + std::to_string(index);
      info.port = 80;
      info.slots = aSlots;
      info.failureDomain = "here";
      info.bornMs = 1000;
      this->all[info.id] = info;
    }
    this->hasAgents = aHasAgents;
    this->Apply();
  }
  void Apply()
  {
    this->dispatcher->SetEndpoints(this->now, this->all,
                                   [this](const std::string&) { return this->hasAgents; });
  }
  void ReportAgentsLive(std::uint32_t aLimit = 2)
  {
    for (const auto& [id, info] : this->all) {
      AgentState state;
      state.isReachable = true;
      state.endpointBornMs = info.bornMs;
      state.limit = aLimit;
      this->dispatcher->OnAgentState(this->now, info.host, state);
    }
  }
  CallSpec Spec(CallNumber aNumber, CallKind aKind = CallKind::kOnce) const
  {
    CallSpec spec;
    spec.number = aNumber;
    spec.kind = aKind;
    spec.service = "pool";
    spec.maxRuns = aKind == CallKind::kOnce ? 1 : 2;
    spec.objective = milliseconds(500);
    spec.arrived = this->now;
    spec.deadline = this->now + seconds(4);
    spec.promptTokens = 1000;
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

  DispatchOptions options;
  RetryBudgetOptions budgetOptions;
  std::unique_ptr<RetryBudget> budget;
  Random random{ 1 };
  Port port;
  TimePoint now{ seconds(100) };
  std::map<std::string, EndpointInfo> all;
  bool hasAgents = false;
  std::unique_ptr<Dispatcher> dispatcher;
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(dispatcher, Fixture)

BOOST_AUTO_TEST_CASE(without_agents_the_local_queue_uses_its_share_of_the_slots)
{
  this->dispatcher->SetEntryCount(2);
  this->ListEndpoints(1, false, 4);
  for (CallNumber call = 1; call <= 6; call++) {
    this->dispatcher->Submit(this->now, this->Spec(call));
  }
  BOOST_TEST(this->port.started.size() == 4U); // 1.7 x 4 / 2, rounded up
  BOOST_TEST(!this->dispatcher->OnAttemptEnd(this->now, 1, AttemptEnd::kAnswered));
  BOOST_TEST(this->port.started.size() == 5U);
}

BOOST_AUTO_TEST_CASE(the_first_offer_is_accepted_and_other_reservations_are_withdrawn)
{
  this->ListEndpoints(3, true);
  this->ReportAgentsLive();
  this->dispatcher->Submit(this->now, this->Spec(1));
  BOOST_TEST(this->port.HostsOf<ReserveSlot>().size() == 2U);
  this->Advance(milliseconds(10));
  BOOST_TEST(this->port.HostsOf<ReserveSlot>().size() == 3U);
  this->dispatcher->OnOffer(this->now, "10.0.0.2", 1);
  this->dispatcher->OnOffer(this->now, "10.0.0.3", 1);
  BOOST_TEST(this->port.started.size() == 1U);
  BOOST_TEST(this->port.started[0].second == "e2");
  // One withdrawal per other reservation, and one that declines the second offer.
  BOOST_TEST(this->port.HostsOf<WithdrawSlot>().size() == 3U);
  BOOST_TEST(this->port.HostsOf<UseSlot>() == std::vector<std::string>{ "10.0.0.2" });
}

// With prompt lengths that differ a hundredfold and engines of different speed, a long prompt must
// go to an engine that prefills it in time, even if this entry has no measurements of that engine.
BOOST_AUTO_TEST_CASE(a_long_prompt_goes_to_the_engine_with_the_fastest_prefill)
{
  this->ListEndpoints(3, true);
  for (const auto& [id, info] : this->all) {
    AgentState state;
    state.isReachable = true;
    state.endpointBornMs = info.bornMs;
    state.limit = 2;
    state.firstEventBaseUs = 10000;
    state.firstEventPer1000Us = id == "e2" ? 15000 : 45000;
    this->dispatcher->OnAgentState(this->now, info.host, state);
  }
  CallSpec spec = this->Spec(1, CallKind::kStream);
  spec.promptTokens = 15000;
  this->dispatcher->Submit(this->now, spec);
  BOOST_TEST(this->port.HostsOf<ReserveSlot>().at(0) == "10.0.0.2");
}

BOOST_AUTO_TEST_CASE(a_timed_out_agent_is_replaced_by_the_local_queue_until_it_returns)
{
  this->ListEndpoints(1, true);
  this->ReportAgentsLive();
  this->dispatcher->Submit(this->now, this->Spec(1));
  BOOST_TEST(this->port.started.empty());
  this->Advance(this->options.activeAgentTimeout + this->options.holdPeriod + milliseconds(10));
  BOOST_TEST(this->port.started.size() == 1U);
  this->ReportAgentsLive();
  this->dispatcher->Submit(this->now, this->Spec(2));
  BOOST_TEST(this->port.started.size() == 1U);
}

// Without an agent, the entry uses the queue's owner; once the owner has timed out, it uses its
// local queue.
BOOST_AUTO_TEST_CASE(without_an_agent_the_queue_owner_is_used)
{
  this->ListEndpoints(1, false, 4);
  this->dispatcher->SetOwners(this->now, { { "e1", "10.9.9.9" } });
  for (std::uint32_t round = 0; round < this->options.idleHoldPeriods; round++) {
    this->Advance(this->options.holdPeriod);
  }
  BOOST_REQUIRE(!this->port.sentToOwners.empty());
  BOOST_TEST(this->port.sentToOwners[0].first == "10.9.9.9");
  AgentState state;
  state.isReachable = true;
  state.limit = 4;
  const std::uint64_t endpoint = this->port.sentToOwners[0].second.endpoint;
  this->dispatcher->OnOwnerMessage(this->now, "10.8.8.8", { endpoint, state }); // not the owner
  this->dispatcher->Submit(this->now, this->Spec(1));
  BOOST_TEST(this->port.started.size() == 1U); // through the local queue
  this->dispatcher->OnOwnerMessage(this->now, "10.9.9.9", { endpoint, state });
  this->dispatcher->Submit(this->now, this->Spec(2));
  BOOST_TEST(this->port.started.size() == 1U);
  this->dispatcher->OnOwnerMessage(this->now, "10.9.9.9", { endpoint, OfferSlot{ 2 } });
  BOOST_TEST(this->port.started.size() == 2U);
  this->dispatcher->Submit(this->now, this->Spec(3));
  this->Advance(this->options.activeAgentTimeout + this->options.holdPeriod + milliseconds(10));
  BOOST_TEST(this->port.started.size() == 3U);
}

// In a large pool an entry uses endpoints outside its subset only if none in it is usable.
BOOST_AUTO_TEST_CASE(endpoints_outside_the_subset_are_a_fallback)
{
  this->ListEndpoints(200, false);
  for (CallNumber call = 1; call <= 60; call++) {
    this->dispatcher->Submit(this->now, this->Spec(call));
  }
  std::set<std::string> used;
  for (const auto& [call, endpoint] : this->port.started) {
    used.insert(endpoint);
  }
  BOOST_TEST(used.size() <= this->options.subset.subsetSize);
  for (const std::string& id : used) {
    this->all[id].isLeaving = true;
  }
  this->Apply();
  const std::size_t before = this->port.started.size();
  this->dispatcher->Submit(this->now, this->Spec(100));
  BOOST_TEST(this->port.started.size() == before + 1);
}

BOOST_AUTO_TEST_CASE(a_misdirected_attempt_is_retried_elsewhere)
{
  this->ListEndpoints(2, false);
  this->dispatcher->Submit(this->now, this->Spec(1));
  const std::string first = this->port.started[0].second;
  BOOST_TEST(this->dispatcher->OnAttemptEnd(this->now, 1, AttemptEnd::kMisdirected));
  BOOST_REQUIRE(this->port.started.size() == 2U);
  BOOST_TEST(this->port.started[1].second != first);
}

// A call that must run at most once is not sent again if it may have run.
BOOST_AUTO_TEST_CASE(a_broken_call_is_retried_only_if_repeatable)
{
  this->ListEndpoints(2, false);
  this->dispatcher->Submit(this->now, this->Spec(1, CallKind::kOnce));
  BOOST_TEST(!this->dispatcher->OnAttemptEnd(this->now, 1, AttemptEnd::kBroken));
  this->Advance(seconds(3));
  this->dispatcher->Submit(this->now, this->Spec(2, CallKind::kSafe));
  BOOST_TEST(this->dispatcher->OnAttemptEnd(this->now, 2, AttemptEnd::kBroken));
  BOOST_TEST(!this->dispatcher->OnAttemptEnd(this->now, 2, AttemptEnd::kBroken));
  this->Advance(seconds(3));
  CallSpec stream = this->Spec(3, CallKind::kStream);
  this->dispatcher->Submit(this->now, stream);
  BOOST_TEST(!this->dispatcher->OnAttemptEnd(this->now, 3, AttemptEnd::kBroken));
  this->Advance(seconds(3));
  stream.number = 4;
  stream.arrived = this->now;
  stream.deadline = this->now + seconds(4);
  stream.isResumable = true;
  this->dispatcher->Submit(this->now, stream);
  BOOST_TEST(this->dispatcher->OnAttemptEnd(this->now, 4, AttemptEnd::kBroken));
}

BOOST_AUTO_TEST_CASE(a_leaving_endpoint_gets_no_new_calls)
{
  this->ListEndpoints(2, false, 1);
  this->all["e1"].isLeaving = true;
  this->all["e1"].sequence++;
  this->Apply();
  for (CallNumber call = 1; call <= 4; call++) {
    this->dispatcher->Submit(this->now, this->Spec(call));
  }
  for (const auto& [call, endpoint] : this->port.started) {
    BOOST_TEST(endpoint == "e2");
  }
}

BOOST_AUTO_TEST_CASE(an_agent_report_of_a_leaving_endpoint_suffices)
{
  this->ListEndpoints(1, true);
  this->ReportAgentsLive();
  AgentState state;
  state.isReachable = true;
  state.isLeaving = true;
  state.endpointBornMs = 1000;
  this->dispatcher->OnAgentState(this->now, "10.0.0.1", state);
  this->dispatcher->Submit(this->now, this->Spec(1));
  this->dispatcher->OnOffer(this->now, "10.0.0.1", 1);
  BOOST_TEST(this->port.started.empty());
}

BOOST_AUTO_TEST_CASE(a_call_without_a_slot_is_given_up_once_with_a_retry_time)
{
  this->ListEndpoints(1, true);
  this->ReportAgentsLive();
  this->dispatcher->Submit(this->now, this->Spec(1));
  for (int step = 0; step < 25; step++) {
    this->Advance(milliseconds(200));
    this->ReportAgentsLive();
  }
  BOOST_REQUIRE(this->port.givenUp.size() == 1U);
  BOOST_TEST((this->port.givenUp[0].second == GiveUpReason::kOverload));
  BOOST_TEST((this->port.retryAfter > Duration::zero()));
  BOOST_TEST(this->dispatcher->CallCount() == 0U);
}

BOOST_AUTO_TEST_CASE(a_call_without_endpoints_starts_when_one_is_listed)
{
  this->dispatcher->Submit(this->now, this->Spec(1));
  BOOST_TEST(this->port.started.empty());
  this->ListEndpoints(1, false);
  BOOST_TEST(this->port.started.size() == 1U);
}

BOOST_AUTO_TEST_CASE(a_running_call_ends_at_its_deadline)
{
  this->ListEndpoints(1, false);
  this->dispatcher->Submit(this->now, this->Spec(1));
  this->Advance(seconds(5));
  BOOST_REQUIRE(this->port.givenUp.size() == 1U);
  BOOST_TEST((this->port.givenUp[0].second == GiveUpReason::kDeadline));
}

BOOST_AUTO_TEST_CASE(a_cancelled_call_frees_its_slot)
{
  this->ListEndpoints(1, false, 1);
  this->dispatcher->Submit(this->now, this->Spec(1));
  const std::size_t slots = this->port.started.size();
  CallNumber call = 2;
  while (this->port.started.size() == slots + call - 2) {
    this->dispatcher->Submit(this->now, this->Spec(call++));
  }
  const std::size_t before = this->port.started.size();
  this->dispatcher->Cancel(this->now, 1);
  BOOST_TEST(this->port.started.size() == before + 1);
}

BOOST_AUTO_TEST_CASE(the_retry_budget_limits_retries)
{
  this->budgetOptions.extra = 0;
  this->budgetOptions.ratio = 0.1;
  this->budgetOptions.useShare = 1;
  this->budget = std::make_unique<RetryBudget>(this->budgetOptions, TimePoint{});
  this->dispatcher =
    std::make_unique<Dispatcher>(this->options, Peer{ NodeId{ 1 }, Incarnation{ 1 } }, "here",
                                 this->random, *this->budget, this->port);
  this->ListEndpoints(2, false, 100);
  int repeated = 0;
  for (CallNumber call = 1; call <= 50; call++) {
    this->dispatcher->Submit(this->now, this->Spec(call, CallKind::kSafe));
    repeated += this->dispatcher->OnAttemptEnd(this->now, call, AttemptEnd::kFailed) ? 1 : 0;
  }
  BOOST_TEST(repeated <= 5);
}

// One endpoint fails all its calls while the others are healthy.
BOOST_AUTO_TEST_CASE(calls_avoid_a_failing_endpoint)
{
  this->ListEndpoints(3, false, 100);
  int toBad = 0;
  for (CallNumber call = 1; call <= 300; call++) {
    this->dispatcher->Submit(this->now, this->Spec(call, CallKind::kOnce));
    const bool isBad = this->port.started.back().second == "e1";
    toBad += isBad && call > 100 ? 1 : 0;
    this->dispatcher->OnAttemptEnd(this->now, call,
                                   isBad ? AttemptEnd::kFailed : AttemptEnd::kAnswered);
    this->Advance(milliseconds(5));
  }
  BOOST_TEST(toBad <= 20); // a tenth of an equal share, and some probes for recovery
}

// Guards against idle agents being taken for timed out: an entry skipped the heartbeat of an idle
// agent whenever it held slots or reservations at other endpoints.
BOOST_AUTO_TEST_CASE(an_idle_agent_gets_hold_states_before_its_timeout)
{
  this->ListEndpoints(7, true, 1);
  std::map<std::string, TimePoint> heardAt;
  for (int step = 0; step < 60; step++) {
    this->ReportAgentsLive();
    const auto number = static_cast<CallNumber>(step) + 1;
    this->dispatcher->Submit(this->now, this->Spec(number));
    const std::string host = "10.0.0." + std::to_string(1 + step % 5);
    this->dispatcher->OnOffer(this->now, host, number);
    this->port.sent.clear();
    this->Advance(milliseconds(100));
    this->dispatcher->OnAttemptEnd(this->now, number, AttemptEnd::kAnswered);
    for (const std::string& heard : this->port.HostsOf<HoldState>()) {
      heardAt[heard] = this->now;
    }
    for (const auto& [id, info] : this->all) {
      BOOST_TEST((step < 10 || this->now - heardAt[info.host] <= milliseconds(700)));
    }
  }
}

BOOST_AUTO_TEST_CASE(hold_states_list_waiting_and_running_calls)
{
  this->ListEndpoints(1, true, 1);
  this->ReportAgentsLive();
  this->dispatcher->Submit(this->now, this->Spec(1));
  this->dispatcher->OnOffer(this->now, "10.0.0.1", 1);
  this->dispatcher->Submit(this->now, this->Spec(2));
  this->port.sent.clear();
  this->Advance(this->options.holdPeriod + milliseconds(5));
  bool found = false;
  for (const auto& [host, message] : this->port.sent) {
    if (const auto* hold = std::get_if<HoldState>(&message)) {
      found = hold->running.size() == 1 && hold->waiting.size() == 1;
    }
  }
  BOOST_TEST(found);
}

BOOST_AUTO_TEST_CASE(queued_calls_end_when_their_request_is_refused)
{
  this->ListEndpoints(1, false, 1);
  this->dispatcher->Submit(this->now, this->Spec(1));
  this->dispatcher->Submit(this->now, this->Spec(2));
  CallSpec waiting = this->Spec(3);
  waiting.fingerprint = 7;
  this->dispatcher->Submit(this->now, waiting);
  this->dispatcher->OnSuspicions(this->now,
                                 { { 7, { { 1, false }, { 2, false, true } }, seconds(60) } });
  BOOST_REQUIRE(this->port.givenUp.size() == 1U);
  BOOST_TEST((this->port.givenUp[0].second == GiveUpReason::kSuspect));
  BOOST_TEST((this->port.retryAfter == seconds(60)));
  BOOST_TEST(this->dispatcher->CallCount() == 2U);
}

BOOST_AUTO_TEST_CASE(calls_that_have_not_begun_end_when_a_part_of_their_prompt_is_refused)
{
  this->ListEndpoints(1, false, 1);
  for (CallNumber number = 1; number <= 4; number++) {
    CallSpec spec = this->Spec(number);
    spec.promptParts = { 6, number == 4 ? 8U : 7U };
    this->dispatcher->Submit(this->now, spec);
  }
  this->dispatcher->OnFirstEvent(this->now, 1);
  BOOST_REQUIRE(this->dispatcher->EndpointOf(2) != nullptr);
  BOOST_REQUIRE(this->dispatcher->EndpointOf(3) == nullptr);
  this->dispatcher->OnSuspicions(
    this->now, { { 7, { { 1, false }, { 2, false }, { 3, false } }, seconds(60) } },
    SuspectKind::kPromptPart);
  BOOST_REQUIRE(this->port.givenUp.size() == 2U);
  BOOST_TEST((this->port.givenUp[0].second == GiveUpReason::kSuspect));
  BOOST_TEST(this->dispatcher->EndpointOf(1) != nullptr);
  BOOST_TEST(this->dispatcher->EndpointOf(2) == nullptr);
  BOOST_TEST(this->dispatcher->EndpointOf(4) != nullptr);
}

BOOST_AUTO_TEST_CASE(a_broken_suspect_is_not_retried_automatically)
{
  this->ListEndpoints(3, false);
  CallSpec spec = this->Spec(1, CallKind::kSafe);
  spec.fingerprint = 7;
  spec.maxRuns = 3;
  this->dispatcher->Submit(this->now, spec);
  BOOST_TEST(this->dispatcher->OnAttemptEnd(this->now, 1, AttemptEnd::kBroken));
  this->dispatcher->OnProbe(this->now, this->port.probed.at(0), 1000, false);
  this->Advance(milliseconds(20));
  BOOST_REQUIRE(this->port.started.size() == 2U);
  BOOST_TEST(!this->dispatcher->OnAttemptEnd(this->now, 1, AttemptEnd::kBroken));
}

// Behind a proxy, connections to a dead endpoint still open, so a probe does not detect its death.
BOOST_AUTO_TEST_CASE(a_new_process_at_the_address_implies_the_old_one_died)
{
  this->ListEndpoints(2, false);
  CallSpec spec = this->Spec(1);
  spec.fingerprint = 7;
  for (CallNumber number = 1; number <= 2; number++) {
    spec.number = number;
    this->dispatcher->Submit(this->now, spec);
    this->Advance(milliseconds(20));
    const std::string id = this->port.started.back().second;
    this->dispatcher->OnAttemptEnd(this->now, number, AttemptEnd::kBroken);
    this->dispatcher->OnProbe(this->now, id, 1000, true);
    EndpointInfo next = this->all.at(id);
    this->all.erase(id);
    next.id += "-reborn";
    next.bornMs = 2000;
    this->all[next.id] = next;
    this->Apply();
  }
  spec.number = 3;
  this->dispatcher->Submit(this->now, spec);
  BOOST_REQUIRE(this->port.givenUp.size() == 1U);
  BOOST_TEST((this->port.givenUp[0].second == GiveUpReason::kSuspect));
}

BOOST_AUTO_TEST_CASE(an_agent_report_of_an_unreachable_endpoint_suffices)
{
  this->ListEndpoints(2, true);
  this->ReportAgentsLive();
  CallSpec spec = this->Spec(1);
  spec.fingerprint = 7;
  for (CallNumber number = 1; number <= 2; number++) {
    spec.number = number;
    this->dispatcher->Submit(this->now, spec);
    const std::string id = "e" + std::to_string(number);
    const std::string& host = this->all.at(id).host;
    this->dispatcher->OnOffer(this->now, host, number);
    this->dispatcher->OnAttemptEnd(this->now, number, AttemptEnd::kBroken);
    this->dispatcher->OnAgentState(this->now, host, AgentState{});
  }
  BOOST_TEST(this->port.probed.empty());
  spec.number = 3;
  this->dispatcher->Submit(this->now, spec);
  BOOST_REQUIRE(this->port.givenUp.size() == 1U);
  BOOST_TEST((this->port.givenUp[0].second == GiveUpReason::kSuspect));
}

// A call that waits while the process shuts down is not sent when it could not end in time, and all
// calls have ended by then.
BOOST_AUTO_TEST_CASE(no_call_is_sent_late_in_a_shutdown)
{
  this->ListEndpoints(1, false, 1);
  const TimePoint end = this->now + seconds(3);
  this->dispatcher->SetEnd(this->now, end);
  CallNumber waiting = 0;
  while (this->port.started.size() == waiting) {
    CallSpec spec = this->Spec(++waiting);
    spec.deadline = this->now + seconds(30);
    spec.objective = seconds(20);
    this->dispatcher->Submit(this->now, spec);
  }
  while (this->port.givenUp.empty() && this->now < end) {
    this->now += milliseconds(10);
    this->dispatcher->OnTimer(this->now);
  }
  BOOST_REQUIRE(this->port.givenUp.size() == 1U);
  BOOST_TEST(this->port.givenUp[0].first == waiting);
  BOOST_TEST((this->now <= end - this->options.initialRunTime));
  BOOST_TEST((this->now >= end - seconds(1)));
  this->dispatcher->OnAttemptEnd(this->now, 1, AttemptEnd::kAnswered);
  BOOST_TEST(this->port.started.size() == waiting - 1);
  CallSpec late = this->Spec(waiting + 1);
  late.deadline = this->now + seconds(30);
  this->dispatcher->Submit(this->now, late);
  this->now = end;
  this->dispatcher->OnTimer(this->now);
  BOOST_TEST(this->dispatcher->CallCount() == 0U);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace caraway::direct
