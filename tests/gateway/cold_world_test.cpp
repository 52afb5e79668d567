// Cold endpoints that entries, agents and owners of queues share, in virtual time. The endpoint
// takes a bounded number of requests in any second while it is cold, from all of them together.
#include "../core/property.h"
#include "direct/cold_news.h"
#include "rate_world.h"

#include <boost/test/unit_test.hpp>

#include <memory>

namespace caraway::gateway {

namespace {

const direct::ColdLimits kLimits{ seconds(3), 10, 20 };
constexpr Duration kColdTime = seconds(3);

// The queue that an agent keeps: what EndpointAgent does with it, without sockets and reports.
struct AgentQueue final : QueueServerPort
{
  explicit AgentQueue(World& aWorld)
    : world(aWorld)
  {
    this->cold.Suspect(aWorld.now);
  }

  void SendFromQueue(const Address& aEntry, const direct::QueueMessage& aMessage) override
  {
    this->world.bus.emplace(this->world.now + kHop, [this, host = aEntry.host, aMessage] {
      for (World::Entry& entry : this->world.entries) {
        if (entry.host != host || entry.isDead || this->IsCutOff(entry)) {
          continue;
        }
        if (const auto* state = std::get_if<direct::AgentState>(&aMessage)) {
          entry.dispatcher.OnAgentState(this->world.now, "10.0.1.1", *state);
        } else if (const auto* offer = std::get_if<direct::OfferSlot>(&aMessage)) {
          entry.dispatcher.OnOffer(this->world.now, "10.0.1.1", offer->call);
        } else if (const auto* news = std::get_if<direct::ColdNews>(&aMessage)) {
          entry.dispatcher.OnAgentCold(this->world.now, "10.0.1.1", *news);
        }
      }
    });
  }

  void OnMessage(const World::Entry& aFrom, const direct::DirectMessage& aMessage)
  {
    const auto message = direct::ToQueueMessage(aMessage);
    if (this->IsCutOff(aFrom) || !message) {
      return;
    }
    if (const auto* news = std::get_if<direct::ColdNews>(&*message)) {
      this->limits = direct::LimitsIn(*news);
      const std::int64_t bornMs = this->world.listed.at("e1").bornMs;
      if (const auto read = direct::StatementIn(this->world.now, *news, bornMs)) {
        this->cold.Add(*read);
      }
      this->Update();
    }
    this->server.OnMessage(this->world.now, Address{ aFrom.host, 1 }, aFrom.peer, *message);
    this->server.SetLimit(this->world.now, this->server.Slots());
  }

  void Update()
  {
    const TimePoint now = this->world.now;
    const direct::RateBounds bounds = direct::BoundsOf(
      this->limits, this->cold.IsCold(now, this->limits), direct::RateHolder::kAgent);
    this->server.SetMaxInSecond(now, bounds.maxInSecond);
    this->server.SetRate(now, bounds.perSecond);
  }

  void OnTick()
  {
    const TimePoint now = this->world.now;
    if (now.time_since_epoch() % kStatePeriod == Duration::zero()) {
      this->Update();
      direct::AgentState state = this->server.State();
      state.isReachable = true;
      state.endpointBornMs = this->world.listed.at("e1").bornMs;
      const bool isCold = this->cold.IsCold(now, this->limits);
      this->server.SendStates(
        now, state, std::nullopt,
        isCold ? std::optional(direct::QueueColdNewsOf(now, this->cold, this->limits, 0))
               : std::nullopt);
    }
    if (this->server.NextTimer(now) <= now) {
      this->server.OnTimer(now);
    }
  }

  bool IsCutOff(const World::Entry& aEntry) const
  {
    return this->isDead || this->silentTo.contains(aEntry.host);
  }

  World& world;
  bool isDead = false;
  std::set<std::string> silentTo; // hosts of entries
  direct::ColdLimits limits;
  direct::ColdState cold;
  QueueServer server{ {}, *this };
};

struct ColdWorld : World
{
  explicit ColdWorld(bool aHasAgents, int aEntries = 4)
    : World(aEntries, aHasAgents, kLimits)
  {
    if (aHasAgents) {
      this->StartAgent();
      this->toAgent = [this](const Entry& aFrom, const direct::DirectMessage& aMessage) {
        this->bus.emplace(this->now + kHop, [this, &aFrom, aMessage] {
          if (!aFrom.isDead) {
            this->agents.back().OnMessage(aFrom, aMessage);
          }
        });
      };
      this->onTick = [this] {
        if (!this->agents.back().isDead) {
          this->agents.back().OnTick();
        }
      };
      this->Play(seconds(5));
    }
  }

  void StartAgent()
  {
    if (!this->agents.empty()) {
      this->agents.back().isDead = true;
    }
    this->agents.emplace_back(*this);
  }

  // The endpoint turns cold; its registration says so if aIsListed.
  void TurnCold(bool aIsListed)
  {
    this->coldTimes.emplace_back(this->now, this->now + kColdTime);
    EndpointInfo& info = this->listed.at("e1");
    info.sequence++;
    info.coldRemaining =
      std::chrono::duration_cast<milliseconds>(aIsListed ? kColdTime : Duration());
    if (aIsListed) {
      this->List();
    }
  }

  void StartProcess()
  {
    EndpointInfo& info = this->listed.at("e1");
    info.bornMs += 10000;
    this->TurnCold(true);
    if (!this->agents.empty()) {
      this->agents.back().cold = {};
      this->agents.back().cold.Suspect(this->now);
      this->agents.back().Update();
    }
  }

  // All entries have heard the agent for long.
  bool IsWhole() const
  {
    return this->cut.empty() && this->agents.back().silentTo.empty() &&
           this->now - this->disturbedAt > seconds(2);
  }

  // Highest number of requests in any second of the endpoint's cold times.
  std::size_t MostInSecond() const
  {
    std::size_t most = 0;
    for (const auto& [from, to] : this->coldTimes) {
      const auto begin = std::lower_bound(this->starts.begin(), this->starts.end(), from);
      const auto end = std::upper_bound(this->starts.begin(), this->starts.end(), to);
      for (auto last = begin; last != end; ++last) {
        const auto first = std::upper_bound(begin, last, *last - seconds(1));
        most = std::max(most, static_cast<std::size_t>(last - first) + 1);
      }
    }
    return most;
  }

  std::list<AgentQueue> agents;
  TimePoint disturbedAt{};
  std::vector<std::pair<TimePoint, TimePoint>> coldTimes;
};

} // namespace

BOOST_AUTO_TEST_SUITE(cold_world)

BOOST_AUTO_TEST_CASE(a_new_process_gets_its_cold_rate_and_then_all)
{
  for (const bool hasAgents : { false, true }) {
    ColdWorld world(hasAgents);
    world.StartProcess();
    world.Play(kColdTime);
    BOOST_TEST(world.MostInSecond() <= kLimits.maxInSecond, hasAgents);
    BOOST_TEST(world.MostInSecond() >= 5U, hasAgents);
    const int before = world.runs;
    world.Play(seconds(4));
    BOOST_TEST(world.runs - before >= 4 * 11, hasAgents); // more than the cold rate
  }
}

// Nothing says that it is cold: the engine's bound holds at all times.
BOOST_AUTO_TEST_CASE(an_engine_that_turns_cold_without_word_stays_within_the_bound)
{
  ColdWorld world(true);
  world.TurnCold(false);
  world.Play(kColdTime);
  BOOST_TEST(world.MostInSecond() <= kLimits.maxInSecond);
  BOOST_TEST(world.MostInSecond() >= 10U);
}

BOOST_AUTO_TEST_CASE(restarts_of_all_entries_or_agents_spend_nothing_twice)
{
  for (const bool isAgent : { false, true }) {
    ColdWorld world(true);
    world.StartProcess();
    for (int round = 0; round < 4; round++) {
      world.Play(milliseconds(640));
      if (isAgent) {
        world.StartAgent();
      } else {
        world.RestartEntries();
      }
    }
    world.Play(milliseconds(400));
    BOOST_TEST(world.MostInSecond() <= kLimits.maxInSecond, isAgent);
  }
}

// Some entries hear the agent, others only the owner, and others nobody.
BOOST_AUTO_TEST_CASE(the_bound_holds_while_entries_spend_different_shares)
{
  ColdWorld world(true, 6);
  world.StartProcess();
  world.agents.back().silentTo = { "10.0.0.1", "10.0.0.2", "10.0.0.5", "10.0.0.6" };
  world.cut = { "10.0.0.5", "10.0.0.6" };
  world.Play(kColdTime);
  world.TurnCold(true);
  world.Play(kColdTime);
  BOOST_TEST(world.MostInSecond() <= kLimits.maxInSecond);
  BOOST_TEST(world.MostInSecond() >= 5U);
}

BOOST_AUTO_TEST_CASE(the_bound_holds_while_owners_change_and_fall_silent)
{
  ColdWorld world(false);
  world.StartProcess();
  for (const char* owner : { "10.0.0.2", "10.0.0.3", "", "10.0.0.4" }) {
    world.Play(milliseconds(500));
    world.SetOwner(owner);
    world.cut = { "10.0.0.1" };
  }
  world.Play(seconds(1));
  BOOST_TEST(world.MostInSecond() <= kLimits.maxInSecond);
}

BOOST_AUTO_TEST_CASE(no_second_exceeds_the_bound_whatever_happens)
{
  test::CheckProperty(
    "cold endpoints",
    [] {
      ColdWorld world(true, 5);
      world.StartProcess();
      for (int step = 0; step < 12; step++) {
        const int action = *rc::gen::inRange(0, 9);
        world.disturbedAt = action > 2 ? world.now : world.disturbedAt;
        if (action == 0) {
          world.StartProcess();
        } else if (action == 1) {
          world.TurnCold(true);
        } else if (action == 2 && world.IsWhole()) {
          world.TurnCold(false);
        } else if (action == 3) {
          world.StartAgent();
        } else if (action == 4) {
          world.RestartEntries();
        } else if (action == 5) {
          world.agents.back().silentTo = { "10.0.0.1", "10.0.0.2" };
        } else if (action == 6) {
          world.agents.back().silentTo.clear();
          world.cut.clear();
        } else if (action == 7) {
          world.cut = { "10.0.0.2", "10.0.0.4" };
        } else {
          world.SetOwner("10.0.0." + std::to_string(*rc::gen::inRange(1, 6)));
        }
        world.Play(milliseconds(*rc::gen::inRange(50, 1500)));
      }
      RC_ASSERT(world.MostInSecond() <= kLimits.maxInSecond);
    },
    30);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace caraway::gateway
