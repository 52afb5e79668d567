// Admission control under overload, simulated in virtual time: far more calls of the lowest class
// arrive than an endpoint of two slots can serve.
#include "direct/dispatcher.h"

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <map>
#include <vector>

namespace caraway::direct {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr Duration kRunTime = milliseconds(200);

struct Simulation final : DispatchPort
{
  explicit Simulation(const AdmissionOptions& aAdmission)
  {
    DispatchOptions options;
    options.admission = aAdmission;
    this->dispatcher = std::make_unique<Dispatcher>(options, Peer{ NodeId{ 1 }, Incarnation{ 1 } },
                                                    "here", this->random, this->budget, *this);
    EndpointInfo info;
    info.id = "e";
    info.service = "pool";
    info.host = "10.0.0.1";
    info.slots = 1; // the dispatcher admits 1.7 times as many, rounded up: two
    this->dispatcher->SetEndpoints(this->now, { { "e", info } },
                                   [](const std::string&) { return false; });
  }

  void StartAttempt(CallNumber aCall, const EndpointInfo&) override
  {
    this->started[aCall] = this->now;
  }
  void GiveUp(CallNumber aCall, GiveUpReason, Duration aRetryAfter) override
  {
    this->waits.push_back(this->now - this->arrived.at(aCall));
    this->returns.push_back(aRetryAfter);
    this->refused.push_back(aCall);
  }
  void SendToAgent(const std::string&, const DirectMessage&) override {}
  void SendToOwner(const std::string&, const QueueEnvelope&) override {}
  void OnQueueChange(const EndpointInfo&, std::string_view, bool, Duration) override {}
  void ProbeEndpoint(const EndpointInfo&) override {}
  void OnEndpointDied(const EndpointInfo&, std::string_view, std::size_t) override {}
  void OnSuspect(const SuspectUpdate&) override {}
  void OnNamedRate(const EndpointInfo&, std::optional<double>, std::string_view) override {}

  // Submits calls of each rank at aPerSecond calls per second for aFor.
  void Play(const std::map<Tier, int>& aPerSecond, Duration aFor)
  {
    const TimePoint begin = this->now;
    std::map<Tier, int> sent;
    while (this->now < begin + aFor) {
      this->now += milliseconds(5);
      std::vector<CallNumber> ended;
      for (const auto& [call, at] : this->started) {
        if (this->now - at >= kRunTime) {
          ended.push_back(call);
        }
      }
      for (const CallNumber call : ended) {
        this->started.erase(call);
        this->served[this->rankOf.at(call)]++;
        this->dispatcher->OnAttemptEnd(this->now, call, AttemptEnd::kAnswered);
      }
      for (const auto& [rank, rate] : aPerSecond) {
        while (sent[rank] < rate * ((this->now - begin) / milliseconds(1)) / 1000) {
          sent[rank]++;
          this->Submit(rank);
        }
      }
      this->dispatcher->OnTimer(this->now);
    }
  }

  void Submit(Tier aRank)
  {
    CallSpec spec;
    spec.number = ++this->last;
    spec.service = "pool";
    spec.rank = aRank;
    spec.objective = milliseconds(400);
    spec.arrived = this->now;
    spec.deadline = this->now + seconds(10);
    this->arrived[spec.number] = this->now;
    this->rankOf[spec.number] = aRank;
    this->dispatcher->Submit(this->now, spec);
  }

  Random random{ 1 };
  RetryBudget budget{ RetryBudgetOptions(), TimePoint{} };
  TimePoint now{ seconds(100) };
  std::unique_ptr<Dispatcher> dispatcher;
  std::map<CallNumber, TimePoint> started;
  std::map<CallNumber, TimePoint> arrived;
  std::map<CallNumber, Tier> rankOf;
  std::map<Tier, int> served;
  std::vector<CallNumber> refused;
  std::vector<Duration> waits;
  std::vector<Duration> returns;
  CallNumber last = 0;
};

AdmissionOptions AdmitAll()
{
  AdmissionOptions options;
  options.minAdmittedShare = 1; // admits all calls
  return options;
}

} // namespace

BOOST_AUTO_TEST_SUITE(admission)

// Capacity is ten calls per second, sixty arrive. Most must be refused immediately without reducing
// the number served, and the retry delays must be spread out.
BOOST_AUTO_TEST_CASE(overload_is_refused_early_without_lower_throughput)
{
  Simulation ungated(AdmitAll());
  Simulation gated{ AdmissionOptions() };
  for (Simulation* simulation : { &ungated, &gated }) {
    simulation->Play({ { 2, 60 } }, seconds(10));
  }
  BOOST_TEST(gated.served[2] >= ungated.served[2] * 95 / 100);
  const auto atOnce = std::count_if(gated.waits.begin(), gated.waits.end(),
                                    [](Duration aWait) { return aWait <= milliseconds(50); });
  BOOST_TEST(atOnce >= static_cast<long>(gated.waits.size()) * 6 / 10);
  const auto [soonest, latest] = std::minmax_element(gated.returns.begin(), gated.returns.end());
  BOOST_TEST((*latest >= *soonest + milliseconds(500)));
  BOOST_TEST((*latest <= seconds(10) / 3));
}

// A higher rank must not be refused on arrival, however overloaded the lower rank is.
BOOST_AUTO_TEST_CASE(only_the_lowest_class_is_refused_on_arrival)
{
  Simulation simulation{ AdmissionOptions() };
  simulation.Play({ { 0, 30 }, { 2, 30 } }, seconds(10));
  for (std::size_t i = 0; i < simulation.refused.size(); i++) {
    const bool isHigher = simulation.rankOf.at(simulation.refused[i]) == 0;
    BOOST_TEST((!isHigher || simulation.waits[i] > milliseconds(50)));
  }
}

// After a burst, admission must stop refusing calls.
BOOST_AUTO_TEST_CASE(admits_all_calls_after_a_burst)
{
  Simulation simulation{ AdmissionOptions() };
  simulation.Play({ { 2, 60 } }, seconds(5));
  simulation.Play({ { 2, 5 } }, seconds(5));
  const std::size_t before = simulation.refused.size();
  simulation.Play({ { 2, 5 } }, seconds(10));
  BOOST_TEST(simulation.refused.size() == before);
}

BOOST_AUTO_TEST_CASE(a_usual_load_refuses_nothing)
{
  Simulation simulation{ AdmissionOptions() };
  simulation.Play({ { 0, 3 }, { 2, 5 } }, seconds(20));
  BOOST_TEST(simulation.refused.empty());
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace caraway::direct
