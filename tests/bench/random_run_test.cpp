// Random runs under failure. RapidCheck draws and shrinks fault plans; its seed is fixed here, so
// that CI runs the same plans every time.
#include "bench/fault_plan.h"

#include <boost/test/unit_test.hpp>
#include <rapidcheck.h>
#include <rapidcheck/detail/Configuration.h>
#include <rapidcheck/detail/TestParams.h>

#include <sstream>

namespace rc {

template<>
struct Arbitrary<caraway::bench::Fault>
{
  static Gen<caraway::bench::Fault> arbitrary()
  {
    using caraway::bench::Fault;
    using caraway::bench::FaultKind;
    return gen::build<Fault>(
      gen::set(&Fault::kind, gen::map(gen::inRange<std::size_t>(0, caraway::bench::kFaultKinds),
                                      [](std::size_t aKind) { return FaultKind(aKind); })),
      gen::set(&Fault::target, gen::inRange(0U, 100U)),
      gen::set(&Fault::other, gen::inRange(0U, 100U)),
      gen::set(&Fault::atMs, gen::inRange(0U, 6000U)),
      gen::set(&Fault::forMs, gen::inRange(100U, 4000U)));
  }
};

} // namespace rc

namespace caraway::bench {

namespace {

constexpr std::uint64_t kSeed = 20261204;
constexpr int kRuns = 60;
constexpr std::uint64_t kFixedSeeds = 60;

// Fails the property with everything that is needed to repeat the run.
void RequireClean(const FaultRun& aRun)
{
  const FaultResult result = Execute(aRun);
  if (!result.findings.empty()) {
    std::ostringstream text;
    text << aRun << "\n" << DescribeFindings(result);
    RC_FAIL(text.str());
  }
}

} // namespace

BOOST_AUTO_TEST_SUITE(random_run)

BOOST_AUTO_TEST_CASE(drawn_plans_break_no_invariant)
{
  rc::detail::TestParams params;
  params.seed = kSeed;
  params.maxSuccess = kRuns;
  const auto result = rc::detail::checkTestable(
    [](const std::vector<Fault>& aFaults, bool aDoubled, bool aSlow) {
      RequireClean(FaultRun{ kSeed, aFaults, aDoubled, aSlow });
    },
    rc::detail::TestMetadata(), params);
  std::ostringstream text;
  rc::detail::printResultMessage(result, text);
  BOOST_TEST(result.template is<rc::detail::SuccessResult>(), text.str());
}

// Plans that broke an invariant once, with what was broken.
BOOST_AUTO_TEST_CASE(earlier_failures_stay_mended)
{
  using enum FaultKind;
  const std::vector<FaultRun> runs = {
    // A caller that resumed a call at a service that never answers had no final answer.
    { kSeed, { { kStallEndpoint, 16, 0, 1365, 737 }, { kKillEntry, 16, 0, 2102, 100 } } },
    // A new life of an agent said that a request of its earlier life never ran.
    { kSeed,
      { { kKillEntry, 0, 0, 0, 380 },
        { kKillAgent, 0, 0, 659, 100 },
        { kKillEntry, 4, 0, 661, 100 },
        { kPauseAgent, 0, 0, 0, 488 } } },
  };
  for (const FaultRun& run : runs) {
    const FaultResult result = Execute(run);
    BOOST_TEST(result.findings.empty(), run << "\n" << DescribeFindings(result));
  }
}

// The same for a call that must run once: its repeat must not run because a new life of the agent
// does not know of the first.
BOOST_AUTO_TEST_CASE(repeat_after_restart_of_the_agent_does_not_run_again)
{
  using enum FaultKind;
  for (std::uint32_t seed = 1; seed <= 12; ++seed) {
    const FaultRun run{ seed,
                        { { kStallEndpoint, 4, 0, 900, 600 },
                          { kStallEndpoint, 5, 0, 900, 600 },
                          { kTwinCallers, 0, 0, 1000, 1500 },
                          { kKillEntry, 0, 0, 1200, 4000 },
                          { kKillEntry, 1, 0, 1210, 4000 },
                          { kKillAgent, 4, 0, 1220, 100 },
                          { kKillAgent, 5, 0, 1220, 100 } } };
    const FaultResult result = Execute(run);
    BOOST_TEST(result.findings.empty(), run << "\n" << DescribeFindings(result));
  }
}

// The first seeds of the long mode (scripts/soak).
BOOST_AUTO_TEST_CASE(fixed_seeds_break_no_invariant)
{
  for (std::uint64_t seed = 1; seed <= kFixedSeeds; ++seed) {
    const FaultRun run = DrawRun(seed);
    const FaultResult result = Execute(run);
    BOOST_TEST(result.findings.empty(), run << "\n" << DescribeFindings(result));
  }
}

BOOST_AUTO_TEST_CASE(equal_seeds_give_equal_runs)
{
  const FaultResult left = Execute(DrawRun(7));
  const FaultResult right = Execute(DrawRun(7));
  BOOST_TEST(left.answered == right.answered);
  BOOST_TEST(left.notRun == right.notRun);
  BOOST_TEST(left.unknown == right.unknown);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace caraway::bench
