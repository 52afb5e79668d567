#include "loop.h"

#include <boost/test/unit_test.hpp>

#include <thread>

namespace caraway {

BOOST_AUTO_TEST_SUITE(timer)

// Both timers expire in the same main loop iteration, as after a pause of the process.
BOOST_AUTO_TEST_CASE(a_cancelled_timer_does_not_run)
{
  int firstRuns = 0;
  int secondRuns = 0;
  Timer* second = nullptr;
  Timer first([&] {
    firstRuns++;
    second->Cancel();
  });
  Timer other([&] { secondRuns++; });
  second = &other;
  first.ArmAfter(std::chrono::milliseconds(1));
  other.ArmAfter(std::chrono::milliseconds(1));
  std::this_thread::sleep_for(std::chrono::milliseconds(5));
  for (int turn = 0; turn < 3; turn++) {
    g_main_context_iteration(nullptr, FALSE);
  }
  BOOST_TEST(firstRuns == 1);
  BOOST_TEST(secondRuns == 0);
}

BOOST_AUTO_TEST_CASE(a_timer_armed_for_later_does_not_run_early)
{
  int runs = 0;
  Timer* late = nullptr;
  Timer first([&] { late->ArmAfter(std::chrono::seconds(3600)); });
  Timer other([&] { runs++; });
  late = &other;
  first.ArmAfter(std::chrono::milliseconds(1));
  other.ArmAfter(std::chrono::milliseconds(1));
  std::this_thread::sleep_for(std::chrono::milliseconds(5));
  for (int turn = 0; turn < 3; turn++) {
    g_main_context_iteration(nullptr, FALSE);
  }
  BOOST_TEST(runs == 0);
  other.ArmAfter(Duration::zero());
  BOOST_TEST(RunUntil([&] { return runs == 1; }));
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace caraway
