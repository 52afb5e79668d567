#include "direct/queue_order.h"

#include "queue_load.h"

#include <boost/test/unit_test.hpp>

#include <array>

namespace caraway::direct {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

QueueOrder OrderFor(const std::vector<std::pair<Tier, int>>& aRoutes)
{
  QueueOrders orders;
  for (const auto& [rank, objectiveMs] : aRoutes) {
    orders.Add("pool", rank, milliseconds(objectiveMs));
  }
  return orders.Of("pool");
}

// Answers of two ranks at an engine that starts 10 calls a second. Of the urgent rank 9 calls
// arrive at once each second, so that the last ones cannot be on time; of the other 9 arrive
// evenly.
struct Served
{
  std::array<int, 2> calls{};
  std::array<int, 2> onTime{};

  // What the customer of the load pays for an answer on time, and for a late one.
  double Worth() const
  {
    return 7.1 * this->onTime[0] + 2.2 * (this->calls[0] - this->onTime[0]) +
           1.1 * this->onTime[1] + 0.33 * (this->calls[1] - this->onTime[1]);
  }
};

Served PlayClumps(QueueOrder aOrder)
{
  std::vector<test::PlayedCall> calls;
  const auto add = [&](Tier aRank, Duration aArrives, Duration aObjective, Duration aPatience) {
    test::PlayedCall call{ aArrives, aObjective, aPatience, milliseconds(100), {} };
    call.request.rank = aRank;
    call.request.promptTokens = 100;
    call.request.order = aOrder;
    calls.push_back(call);
  };
  for (int index = 0; index < 36; index++) {
    add(0, seconds(index / 9), milliseconds(650), milliseconds(1200));
    add(1, Duration(seconds(index)) / 9, milliseconds(1050), milliseconds(900));
  }
  const auto starts = test::PlayLoad(calls, 1);
  Served served;
  for (std::size_t index = 0; index < calls.size(); index++) {
    if (starts[index]) {
      const Tier rank = calls[index].request.rank;
      served.calls.at(rank)++;
      served.onTime.at(rank) += *starts[index] < calls[index].arrives + calls[index].objective;
    }
  }
  return served;
}

} // namespace

BOOST_AUTO_TEST_SUITE(queue_order)

BOOST_AUTO_TEST_CASE(the_order_follows_the_objectives)
{
  const auto shorterFirst = QueueOrder::kRankFirst;
  const auto other = QueueOrder::kOnTimeFirst;
  BOOST_CHECK(OrderFor({ { 0, 800 }, { 1, 1200 }, { 2, 1500 } }) == shorterFirst);
  BOOST_CHECK(OrderFor({ { 2, 1500 }, { 0, 800 } }) == shorterFirst);
  BOOST_CHECK(OrderFor({ { 0, 600 }, { 1, 500 }, { 2, 400 } }) == other);
  BOOST_CHECK(OrderFor({ { 0, 600 }, { 1, 600 }, { 2, 1000 } }) == other);
  BOOST_CHECK(OrderFor({ { 0, 800 }, { 0, 1300 }, { 1, 1200 } }) == other);
  BOOST_CHECK(OrderFor({ { 2, 200 }, { 2, 400 } }) == other);
  BOOST_CHECK(OrderFor({ { 0, 800 }, { 1, 0 } }) == other);
  BOOST_CHECK(QueueOrders().Of("pool") == other);
}

// The calls of rank 0 that miss their objective are not refused beside calls of rank 1
// that are served.
BOOST_AUTO_TEST_CASE(late_urgent_calls_precede_less_urgent_ones)
{
  const Served before = PlayClumps(QueueOrder::kOnTimeFirst);
  const Served after = PlayClumps(QueueOrder::kRankFirst);
  BOOST_TEST_MESSAGE("rank 0 served " << before.calls[0] << " then " << after.calls[0]
                                      << " of 36; on time " << before.onTime[0] << " then "
                                      << after.onTime[0] << "; worth " << before.Worth() << " then "
                                      << after.Worth());
  BOOST_TEST(before.calls[0] <= 30);
  BOOST_TEST(after.calls[0] >= 35); // all but the floor of rank 1
  BOOST_TEST(after.calls[1] >= 1);
  BOOST_TEST(after.Worth() > before.Worth());
}

BOOST_AUTO_TEST_CASE(positions_of_different_orders_stay_ordered)
{
  std::vector<QueuePosition> rows;
  for (const QueueOrder order : { QueueOrder::kOnTimeFirst, QueueOrder::kRankFirst }) {
    for (const Tier rank : { Tier{ 0 }, Tier{ 1 } }) {
      for (const bool isLate : { false, true }) {
        for (const bool isOverShare : { false, true }) {
          for (const bool isDue : { false, true }) {
            rows.push_back({ order, 1, rank, isLate, isOverShare, isDue, TimePoint{} });
          }
        }
      }
    }
  }
  for (const QueuePosition& left : rows) {
    for (const QueuePosition& middle : rows) {
      BOOST_TEST((!Precedes(left, middle) || !Precedes(middle, left)));
      for (const QueuePosition& right : rows) {
        BOOST_TEST((!Precedes(left, middle) || !Precedes(middle, right) || Precedes(left, right)));
      }
    }
  }
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace caraway::direct
