// Entries without agents that share an endpoint which names a rate.
#include "rate_world.h"

#include <boost/test/unit_test.hpp>

namespace caraway::gateway {

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
