#include "core/limit.h"

#include "core/random.h"
#include "engine_model.h"

#include <boost/test/unit_test.hpp>

#include <map>

namespace caraway {

namespace {

constexpr double kTargetMs = 49;
constexpr Duration kPhaseDuration = seconds(60);
constexpr Duration kSettleTime = seconds(20); // until work of the previous phase has ended

// Result of one phase of a simulation.
struct PhaseResult
{
  // milliseconds; of streams that began in this phase, after the settle time
  std::vector<double> gaps;
  std::uint32_t startLimit = 0; // at the start of the phase
  Duration halvedAfter{};       // time until the limit was below half of startLimit; zero if never
  std::uint64_t tokens = 0;     // tokens generated
  std::uint64_t inTime = 0;     // tokens within their latency target
  double limitSum = 0;
  std::uint32_t steps = 0;

  double P95()
  {
    std::sort(this->gaps.begin(), this->gaps.end());
    return this->gaps.empty() ? 0 : this->gaps[this->gaps.size() * 95 / 100];
  }
  double InTimePerSecond() const { return static_cast<double>(this->inTime) / 60; }
  double MeanLimit() const { return this->limitSum / std::max(this->steps, 1U); }
};

// Runs an engine at the limit for three phases: normal speed, four times slower, normal speed
// again. There is always a backlog.
class LimitSimulation
{
public:
  LimitSimulation(Limiter& aLimiter, std::uint64_t aSeed)
    : limiter(aLimiter)
    , random(aSeed)
  {
  }

  std::vector<PhaseResult> Run()
  {
    std::vector<PhaseResult> results(3);
    for (std::size_t phase = 0; phase < results.size(); phase++) {
      this->engine.slowFactor = phase == 1 ? 4 : 1;
      this->phaseStart = this->now;
      results[phase].startLimit = this->limiter.Limit();
      const TimePoint end = this->now + kPhaseDuration;
      while (this->now < end) {
        this->Refill();
        this->now += this->engine.Step();
        this->Deliver(results[phase]);
      }
    }
    return results;
  }

private:
  struct StreamTimes
  {
    TimePoint begun;
    TimePoint last;
    std::uint32_t prompt = 0;
    std::uint32_t tokens = 0;
    bool hasStarted = false;
  };

  void Refill()
  {
    while (this->engine.streams.size() < this->limiter.Limit()) {
      const auto prompt = static_cast<std::uint32_t>(20 + this->random.Below(600));
      const auto output = static_cast<std::uint32_t>(20 + this->random.Below(200));
      const std::uint64_t id = ++this->lastId;
      this->engine.Add(id, prompt, output);
      this->times[id] = StreamTimes{ this->now, this->now, prompt, prompt + output, false };
    }
  }

  InFlight Current() const
  {
    std::uint64_t tokens = 0;
    for (const auto& [id, row] : this->times) {
      tokens += row.tokens;
    }
    return InFlight{ static_cast<std::uint32_t>(this->times.size()), tokens, true };
  }

  void Deliver(PhaseResult& aResult)
  {
    const InFlight inFlight = this->Current();
    for (const EngineModel::Stream& stream : this->engine.streams) {
      if (stream.hasToken) {
        this->Token(stream.id, inFlight, aResult);
      }
    }
    aResult.limitSum += this->limiter.Limit();
    aResult.steps++;
    if (aResult.halvedAfter == Duration::zero() && this->limiter.Limit() * 2 < aResult.startLimit) {
      aResult.halvedAfter = this->now - this->phaseStart;
    }
    std::erase_if(this->engine.streams, [this](const EngineModel::Stream& aStream) {
      const bool isDone = aStream.prompt == 0 && aStream.output == 0;
      this->times.erase(isDone ? aStream.id : 0);
      return isDone;
    });
  }

  void Token(std::uint64_t aId, const InFlight& aInFlight, PhaseResult& aResult)
  {
    StreamTimes& row = this->times[aId];
    const Duration gap = this->now - row.last;
    row.last = this->now;
    aResult.tokens++;
    if (!row.hasStarted) {
      row.hasStarted = true;
      aResult.inTime += gap <= milliseconds(410) ? 1 : 0;
      this->limiter.OnFirstToken(this->now, gap, row.prompt, aInFlight);
      return;
    }
    const double ms = std::chrono::duration<double, std::milli>(gap).count();
    if (row.begun >= this->phaseStart && this->now >= this->phaseStart + kSettleTime) {
      aResult.gaps.push_back(ms);
    }
    aResult.inTime += ms <= kTargetMs ? 1 : 0;
    this->limiter.OnTokens(this->now, gap, 1, aInFlight);
  }

  Limiter& limiter;
  Random random;
  EngineModel engine;
  TimePoint now{ seconds(1) };
  TimePoint phaseStart;
  std::uint64_t lastId = 0;
  std::map<std::uint64_t, StreamTimes> times;
};

std::vector<PhaseResult> RunSimulation(Limiter& aLimiter, std::uint64_t aSeed)
{
  std::vector<PhaseResult> results = LimitSimulation(aLimiter, aSeed).Run();
  for (std::size_t phase = 0; phase < results.size(); phase++) {
    BOOST_TEST_MESSAGE(aLimiter.Name()
                       << " seed=" << aSeed << " phase=" << phase << " limit="
                       << results[phase].MeanLimit() << " first=" << results[phase].startLimit
                       << " halved_after_ms=" << results[phase].halvedAfter.count() / 1000
                       << " p95_ms=" << results[phase].P95() << " tokens_in_time_per_s="
                       << results[phase].InTimePerSecond() << " tokens=" << results[phase].tokens);
  }
  return results;
}

} // namespace

BOOST_AUTO_TEST_SUITE(limit)

BOOST_AUTO_TEST_CASE(percentile_of_a_window)
{
  RatioHistogram histogram;
  for (int i = 0; i < 96; i++) {
    histogram.Add(0.5);
  }
  for (int i = 0; i < 4; i++) {
    histogram.Add(3);
  }
  BOOST_TEST(histogram.Quantile(0.95) == 0.5, boost::test_tools::tolerance(0.1));
  histogram.Add(3);
  histogram.Add(3);
  BOOST_TEST(histogram.Quantile(0.95) == 3.0, boost::test_tools::tolerance(0.1));
  BOOST_TEST(histogram.Quantile(0.5) == 0.5, boost::test_tools::tolerance(0.1));
}

BOOST_AUTO_TEST_CASE(idle_endpoint_does_not_raise_its_limit)
{
  AimdLimiter limiter{ AgentOptions{} };
  const std::uint32_t before = limiter.Limit();
  TimePoint now{ seconds(1) };
  for (int i = 0; i < 1000; i++) {
    now += milliseconds(10);
    limiter.OnTokens(now, milliseconds(10), 1, InFlight{ 1, 100, false });
  }
  BOOST_TEST(limiter.Limit() == before);
}

BOOST_AUTO_TEST_CASE(learns_the_limit_before_during_and_after_a_slowdown)
{
  for (std::uint64_t seed = 1; seed <= 3; seed++) {
    AgentOptions options;
    AimdLimiter aimd(options);
    GradientLimiter gradient(options);
    options.initialLimit = 16;
    FixedLimiter few(options);
    options.initialLimit = 40;
    FixedLimiter many(options);
    for (Limiter* limiter : std::initializer_list<Limiter*>{ &aimd, &gradient, &few, &many }) {
      RunSimulation(*limiter, seed);
    }
    const auto chosen = MakeLimiter(AgentOptions{});
    auto results = RunSimulation(*chosen, seed);
    for (PhaseResult& result : results) {
      BOOST_TEST(result.P95() <= kTargetMs * 1.1);
    }
    BOOST_TEST((results[1].halvedAfter > Duration::zero()));
    BOOST_TEST((results[1].halvedAfter <= milliseconds(500)));
  }
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace caraway
