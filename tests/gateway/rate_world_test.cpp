// Entries without agents that share one endpoint, in virtual time: dispatchers and owned queues
// exchange messages over a bus instead of sockets.
#include "direct/dispatcher.h"
#include "gateway/owned_queues.h"

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <functional>
#include <list>
#include <map>
#include <set>

namespace caraway::gateway {

namespace {

using direct::AttemptEnd;
using direct::CallNumber;
using direct::EndpointInfo;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr Duration kWindow = seconds(4);
constexpr Duration kHop = milliseconds(2);      // of a message between entries
constexpr Duration kRunTime = milliseconds(40); // of a call, with its way
constexpr Duration kCallPeriod = milliseconds(25);
constexpr Duration kStatePeriod = milliseconds(200);

struct World
{
  struct Entry final
    : direct::DispatchPort
    , OwnedQueuesPort
  {
    Entry(World& aWorld, std::uint64_t aNumber, std::string aHost)
      : world(aWorld)
      , host(std::move(aHost))
      , peer{ NodeId{ aNumber }, Incarnation{ 1 } }
      , random(aNumber)
      , budget({}, aWorld.now)
      , dispatcher({}, this->peer, "here", this->random, this->budget, *this)
      , queues({}, *this)
    {
    }

    void StartAttempt(CallNumber aCall, const EndpointInfo&) override
    {
      this->world.Run(*this, aCall);
    }
    void GiveUp(CallNumber, direct::GiveUpReason, Duration aRetryAfter) override
    {
      this->givenUp++;
      this->minRetryAfter = std::min(this->minRetryAfter, aRetryAfter);
    }
    void SendToAgent(const std::string&, const direct::DirectMessage&) override {}
    void SendToOwner(const std::string& aHost, const direct::QueueEnvelope& aMessage) override
    {
      this->world.Send(*this, aHost, aMessage);
    }
    void OnQueueChange(const EndpointInfo&, std::string_view, bool, Duration) override {}
    void ProbeEndpoint(const EndpointInfo&) override {}
    void OnEndpointDied(const EndpointInfo&, std::string_view, std::size_t) override {}
    void OnSuspect(const direct::SuspectUpdate&) override {}
    void OnNamedRate(const EndpointInfo&, std::optional<double>, std::string_view) override {}
    void SendFromOwnedQueue(const Address& aEntry, const direct::QueueEnvelope& aMessage) override
    {
      this->world.Send(*this, aEntry.host, aMessage);
    }

    World& world;
    std::string host;
    Peer peer;
    Random random;
    direct::RetryBudget budget;
    direct::Dispatcher dispatcher;
    OwnedQueues queues;
    CallNumber lastCall = 0;
    int givenUp = 0;
    Duration minRetryAfter = Duration::max();
    TimePoint toldAt = kNever;
  };

  explicit World(int aEntries)
  {
    EndpointInfo info;
    info.id = "e1";
    info.service = "app";
    info.host = "10.0.1.1";
    info.port = 80;
    info.slots = 6;
    info.bornMs = 1;
    this->listed[info.id] = info;
    const auto hasNoAgent = [](const std::string&) { return false; };
    for (int index = 1; index <= aEntries; index++) {
      Entry& entry = this->entries.emplace_back(*this, index, "10.0.0." + std::to_string(index));
      entry.queues.SetEndpoints(this->now, this->listed, hasNoAgent);
      entry.dispatcher.SetEndpoints(this->now, this->listed, hasNoAgent);
      entry.dispatcher.SetEntryCount(static_cast<std::uint32_t>(aEntries));
    }
    this->SetOwner("10.0.0.1");
    this->Play(seconds(2));
  }

  void SetOwner(const std::string& aHost)
  {
    for (Entry& entry : this->entries) {
      entry.dispatcher.SetOwners(this->now, { { "e1", aHost } });
    }
  }

  void NameRate(std::optional<double> aRate)
  {
    this->rate = aRate;
    this->namedAt = this->namedAt == TimePoint{} ? this->now : this->namedAt;
  }

  void Send(const Entry& aFrom, const std::string& aHost, const direct::QueueEnvelope& aMessage)
  {
    if (this->cut.contains(aFrom.host) != this->cut.contains(aHost)) {
      return;
    }
    const auto to = std::find_if(this->entries.begin(), this->entries.end(),
                                 [&](const Entry& aEntry) { return aEntry.host == aHost; });
    this->bus.emplace(this->now + kHop, [this, &aFrom, &entry = *to, aMessage] {
      const auto* news = std::get_if<direct::RateNews>(&aMessage.message);
      const bool isFromOwner = std::holds_alternative<direct::AgentState>(aMessage.message) ||
                               std::holds_alternative<direct::OfferSlot>(aMessage.message) ||
                               (news != nullptr && news->isFromQueue);
      if (isFromOwner) {
        entry.dispatcher.OnOwnerMessage(this->now, aFrom.host, aMessage);
      } else {
        entry.queues.OnMessage(this->now, Address{ aFrom.host, 1 }, aFrom.peer, aMessage);
      }
    });
  }

  // The endpoint runs a call and answers with the rate that it names then.
  void Run(Entry& aEntry, CallNumber aCall)
  {
    this->runs++;
    if (this->rate && this->now > aEntry.toldAt && this->now - aEntry.toldAt >= milliseconds(500)) {
      this->arrivals.push_back(this->now);
    }
    this->bus.emplace(this->now + kRunTime, [this, &aEntry, aCall, sentAt = this->now] {
      if (aEntry.dispatcher.EndpointOf(aCall) == nullptr) {
        return;
      }
      direct::EndpointNotice notice;
      notice.maxRate = this->rate;
      if (this->rate && aEntry.toldAt == kNever) {
        aEntry.toldAt = this->now;
      }
      aEntry.dispatcher.OnNotice(this->now, "e1", notice, sentAt);
      aEntry.dispatcher.OnAttemptEnd(this->now, aCall, AttemptEnd::kAnswered);
    });
  }

  void Submit(Entry& aEntry)
  {
    direct::CallSpec spec;
    spec.number = ++aEntry.lastCall;
    spec.service = "app";
    spec.tier = static_cast<Tier>(spec.number % 2);
    spec.rank = spec.tier;
    spec.objective = milliseconds(500);
    spec.arrived = this->now;
    spec.deadline = this->now + seconds(3);
    aEntry.dispatcher.Submit(this->now, spec);
  }

  void Play(Duration aTime)
  {
    for (const TimePoint end = this->now + aTime; this->now < end; this->now += milliseconds(1)) {
      while (!this->bus.empty() && this->bus.begin()->first <= this->now) {
        const std::function<void()> deliver = this->bus.begin()->second;
        this->bus.erase(this->bus.begin());
        deliver();
      }
      Duration stagger{};
      for (Entry& entry : this->entries) {
        const Duration at = this->now.time_since_epoch() + stagger;
        stagger += milliseconds(7);
        if (at % kCallPeriod == Duration::zero()) {
          this->Submit(entry);
        }
        if (at % kStatePeriod == Duration::zero()) {
          entry.queues.SendStates(this->now);
        }
        if (entry.dispatcher.NextTimer() <= this->now) {
          entry.dispatcher.OnTimer(this->now);
        }
        if (entry.queues.NextTimer(this->now) <= this->now) {
          entry.queues.OnTimer(this->now);
        }
      }
    }
  }

  // Highest number of arrivals in kWindow, from told entries and three seconds after the naming.
  std::size_t MostInWindow() const
  {
    std::size_t most = 0;
    for (auto last = this->arrivals.begin(); last != this->arrivals.end(); ++last) {
      if (*last >= this->namedAt + seconds(3)) {
        const auto first = std::lower_bound(this->arrivals.begin(), last, *last - kWindow);
        most = std::max(most, static_cast<std::size_t>(last - first) + 1);
      }
    }
    return most;
  }

  static double Allowed(double aRate) { return 1.5 * aRate * SecondsOf(kWindow) + 5; }

  TimePoint now{ seconds(1000) };
  std::map<std::string, EndpointInfo> listed;
  std::list<Entry> entries;
  std::multimap<TimePoint, std::function<void()>> bus;
  std::set<std::string> cut; // hosts that hear only each other
  std::optional<double> rate;
  TimePoint namedAt{};
  std::vector<TimePoint> arrivals;
  int runs = 0;
};

} // namespace

BOOST_AUTO_TEST_SUITE(rate_world)

BOOST_AUTO_TEST_CASE(entries_together_stay_within_the_rate_and_use_it)
{
  for (const double rate : { 0.5, 1.5, 3.3, 12.0, 50.0 }) {
    World world(4);
    world.NameRate(rate);
    world.Play(seconds(3));
    const int before = world.runs;
    world.Play(seconds(20));
    BOOST_TEST(static_cast<double>(world.MostInWindow()) <= World::Allowed(rate), rate);
    BOOST_TEST(world.runs - before >= 20 * rate * 0.85 - 1, rate);
  }
}

BOOST_AUTO_TEST_CASE(the_rate_holds_while_the_owner_of_the_queue_changes)
{
  World world(4);
  world.NameRate(6);
  for (const char* owner : { "10.0.0.2", "10.0.0.3", "10.0.0.1", "10.0.0.4" }) {
    world.Play(seconds(3));
    world.SetOwner(owner);
  }
  world.Play(seconds(6));
  BOOST_TEST(static_cast<double>(world.MostInWindow()) <= World::Allowed(6));
}

// Half of the entries no longer hear the owner; neither side knows what the other sends.
BOOST_AUTO_TEST_CASE(the_rate_holds_while_entries_lose_the_owner_of_the_queue)
{
  World world(4);
  world.NameRate(6);
  world.Play(seconds(4));
  world.cut = { "10.0.0.3", "10.0.0.4" };
  world.Play(seconds(8));
  world.cut.clear();
  world.Play(seconds(8));
  BOOST_TEST(static_cast<double>(world.MostInWindow()) <= World::Allowed(6));
}

// Without an owner each entry has a small share of its own, far below a request a second.
BOOST_AUTO_TEST_CASE(many_entries_without_an_owner_stay_within_the_rate)
{
  World world(30);
  world.NameRate(3.3);
  world.Play(seconds(6));
  world.SetOwner("");
  world.Play(seconds(40));
  BOOST_TEST(static_cast<double>(world.MostInWindow()) <= World::Allowed(3.3));
}

BOOST_AUTO_TEST_CASE(a_rate_that_falls_holds_at_once_and_one_that_ends_is_forgotten)
{
  World world(4);
  world.NameRate(20);
  world.Play(seconds(5));
  world.NameRate(3);
  world.Play(milliseconds(500));
  world.arrivals.clear();
  world.Play(seconds(8));
  BOOST_TEST(static_cast<double>(world.MostInWindow()) <= World::Allowed(3));
  world.NameRate(std::nullopt);
  world.Play(seconds(2));
  const int before = world.runs;
  world.Play(seconds(2));
  BOOST_TEST(world.runs - before >= 250); // six slots run 150 a second
}

// Callers beyond the rate get their refusal early, with a time that fits the rate.
BOOST_AUTO_TEST_CASE(callers_beyond_the_rate_are_told_when_to_return)
{
  World world(4);
  world.NameRate(2);
  world.Play(seconds(4));
  for (World::Entry& entry : world.entries) {
    entry.minRetryAfter = Duration::max();
    entry.givenUp = 0;
  }
  world.Play(seconds(6));
  for (const World::Entry& entry : world.entries) {
    BOOST_TEST(entry.givenUp > 100);
    BOOST_TEST((entry.minRetryAfter >= milliseconds(250)));
  }
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace caraway::gateway
