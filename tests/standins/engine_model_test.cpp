// The engine's model under a paused clock.
#include "runtime/clock.h"
#include "standins/answer.h"
#include "standins/engine_model.h"

#include <boost/test/unit_test.hpp>

using namespace caraway;
using std::chrono::milliseconds;

namespace {

// A model and a clock that only the test advances.
struct Bench
{
  explicit Bench(const EngineOptions& aOptions = {})
    : model(aOptions)
  {
  }

  void Add(std::uint64_t aKey, std::size_t aPromptTokens, std::uint32_t aOutputTokens)
  {
    const std::string prompt(aPromptTokens * 4, static_cast<char>('a' + aKey % 26));
    this->model.Add(this->clock.Read().steady, { aKey, prompt, aOutputTokens });
  }

  // Goes to the end of the running step; false if nothing runs.
  bool Step()
  {
    const TimePoint next = this->model.NextStep();
    if (next == kNever) {
      return false;
    }
    this->clock.Advance(next - this->clock.Read().steady);
    for (const EngineToken& token : this->model.Advance(next)) {
      this->tokens.push_back(token);
    }
    return true;
  }

  Duration RunToEnd()
  {
    const TimePoint start = this->clock.Read().steady;
    while (this->Step()) {
    }
    return this->clock.Read().steady - start;
  }

  PausedClock clock{ Now{} };
  EngineModel model;
  std::vector<EngineToken> tokens;
};

} // namespace

BOOST_AUTO_TEST_SUITE(engine_model)

BOOST_AUTO_TEST_CASE(produces_every_token_once_and_in_order)
{
  Bench bench;
  bench.Add(1, 10, 5);
  bench.RunToEnd();
  BOOST_REQUIRE_EQUAL(bench.tokens.size(), 5);
  for (std::uint32_t index = 0; index < 5; ++index) {
    BOOST_TEST(bench.tokens[index].index == index);
    BOOST_TEST(bench.tokens[index].last == (index == 4));
  }
  BOOST_TEST(bench.model.Totals().completed == 1);
  BOOST_TEST(bench.model.Load().running == 0);
}

BOOST_AUTO_TEST_CASE(a_larger_batch_takes_longer_steps)
{
  Bench alone;
  alone.Add(1, 10, 50);
  Bench shared;
  for (std::uint64_t key = 1; key <= 20; ++key) {
    shared.Add(key, 10, 50);
  }
  BOOST_TEST(shared.RunToEnd().count() > alone.RunToEnd().count());
}

BOOST_AUTO_TEST_CASE(speed_divides_every_time)
{
  EngineOptions fast;
  fast.speed = 4;
  Bench quick(fast);
  Bench slow;
  quick.Add(1, 4000, 50);
  slow.Add(1, 4000, 50);
  const double ratio =
    static_cast<double>(slow.RunToEnd().count()) / static_cast<double>(quick.RunToEnd().count());
  BOOST_TEST(ratio == 4, boost::test_tools::tolerance(0.01));
}

BOOST_AUTO_TEST_CASE(requests_beyond_the_kv_cache_wait_in_order)
{
  EngineOptions small;
  small.kvTokens = 100;
  Bench bench(small);
  bench.Add(1, 20, 40);
  bench.Add(2, 20, 40);
  bench.Add(3, 10, 10); // would fit, but nobody passes the second
  BOOST_TEST(bench.model.Load().waiting == 2);
  bench.RunToEnd();
  BOOST_TEST(bench.model.Totals().completed == 3);
  BOOST_TEST(bench.tokens.front().key == 1);
  BOOST_TEST(bench.tokens[39].last);
}

BOOST_AUTO_TEST_CASE(cancelling_frees_the_slot_and_counts_the_wasted_prefill)
{
  EngineOptions small;
  small.kvTokens = 100;
  Bench bench(small);
  bench.Add(1, 50, 40);
  bench.Add(2, 50, 40);
  bench.Step();
  bench.model.Cancel(1);
  bench.RunToEnd();
  BOOST_TEST(bench.model.Totals().cancelled == 1);
  BOOST_TEST(bench.model.Totals().completed == 1);
  BOOST_TEST(bench.model.Totals().wastedPrefillTokens == 50);
}

BOOST_AUTO_TEST_CASE(a_cached_prefix_is_not_prefilled_again)
{
  Bench bench;
  bench.Add(1, 640, 1);
  bench.RunToEnd();
  const std::uint64_t first = bench.model.Totals().prefillTokens;
  bench.Add(27, 640, 1); // same letter, same prompt
  bench.RunToEnd();
  BOOST_TEST(first == 640);
  BOOST_TEST(bench.model.Totals().prefillTokens == first);
  BOOST_TEST(bench.model.CacheEvents(0).size() == 10);
}

BOOST_AUTO_TEST_CASE(the_prefix_cache_forgets_what_was_used_longest_ago)
{
  EngineOptions small;
  small.cacheTokens = 640;
  Bench bench(small);
  bench.Add(1, 640, 1);
  bench.RunToEnd();
  bench.Add(2, 640, 1);
  bench.RunToEnd();
  bench.Add(1, 640, 1);
  bench.RunToEnd();
  BOOST_TEST(bench.model.Totals().prefillTokens == 3 * 640);
}

BOOST_AUTO_TEST_CASE(a_stalled_engine_makes_no_progress_until_it_goes_on)
{
  Bench bench;
  bench.Add(1, 10, 5);
  bench.model.SetStalled(bench.clock.Read().steady, true);
  BOOST_TEST(!bench.Step());
  bench.clock.Advance(milliseconds(500));
  bench.model.SetStalled(bench.clock.Read().steady, false);
  bench.RunToEnd();
  BOOST_TEST(bench.tokens.size() == 5);
}

BOOST_AUTO_TEST_CASE(a_slow_stream_takes_several_steps_for_a_token)
{
  Bench bench;
  bench.model.Add(bench.clock.Read().steady, { 1, "x", 4, 3 });
  int steps = 0;
  while (bench.Step()) {
    ++steps;
  }
  BOOST_TEST(steps == 1 + 4 * 3);
}

BOOST_AUTO_TEST_CASE(expected_tokens_depend_on_message_and_index)
{
  BOOST_TEST(ExpectedToken("a", 0) == ExpectedToken("a", 0));
  BOOST_TEST(ExpectedToken("a", 0) != ExpectedToken("a", 1));
  BOOST_TEST(ExpectedToken("a", 0) != ExpectedToken("b", 0));
  BOOST_TEST(ExpectedCount("a", 7) == 7);
  BOOST_TEST(ExpectedCount("a", 0) >= 32);
}

BOOST_AUTO_TEST_SUITE_END()
