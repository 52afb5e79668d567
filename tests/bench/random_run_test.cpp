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
