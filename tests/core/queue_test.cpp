#include "core/options.h"
#include "core/queue.h"

#include "property.h"

#include <boost/test/unit_test.hpp>

namespace caraway {

namespace {

Reservation MakeReservation(std::uint64_t aId, const std::string& aAccount, Tier aTier,
                            Duration aStartBy, std::uint32_t aTokens = 99)
{
  Reservation reservation;
  reservation.request.id = RequestId{ 0, aId };
  reservation.request.account = aAccount;
  reservation.request.tier = aTier;
  reservation.request.promptTokens = aTokens;
  reservation.startBy = TimePoint{ aStartBy };
  return reservation;
}

const auto kAny = [](const Reservation&) { return true; };

// Takes the first reservation and charges its tokens to its account.
Reservation Serve(ReservationQueue& aQueue)
{
  Reservation first = *aQueue.Take(aQueue.First(kAny)->request.id);
  const Reserve& request = first.request;
  aQueue.Charge(request.account, request.tier, request.weight,
                static_cast<double>(TokensOf(request)));
  return first;
}

} // namespace

BOOST_AUTO_TEST_SUITE(queue)

BOOST_AUTO_TEST_CASE(order_is_tier_then_deadline)
{
  ReservationQueue queue(10);
  queue.Push(MakeReservation(1, "shop", 2, milliseconds(1)));
  queue.Push(MakeReservation(2, "shop", 1, milliseconds(9)));
  queue.Push(MakeReservation(3, "shop", 1, milliseconds(5)));
  BOOST_TEST(Serve(queue).request.id.low == 3U);
  BOOST_TEST(Serve(queue).request.id.low == 2U);
  BOOST_TEST(Serve(queue).request.id.low == 1U);
  BOOST_TEST(queue.First(kAny) == nullptr);
}

BOOST_AUTO_TEST_CASE(accounts_share_a_tier_by_weight_and_tokens)
{
  ReservationQueue queue(1000);
  std::uint64_t id = 0;
  for (int i = 0; i < 200; i++) {
    queue.Push(MakeReservation(++id, "large", 1, milliseconds(1), 99));
    Reservation heavy = MakeReservation(++id, "heavy", 1, milliseconds(2), 99);
    heavy.request.weight = 3;
    queue.Push(heavy);
    queue.Push(MakeReservation(++id, "long", 1, milliseconds(3), 999));
  }
  std::map<std::string, double> tokens;
  for (int i = 0; i < 100; i++) {
    const Reservation served = Serve(queue);
    tokens[served.request.account] += static_cast<double>(TokensOf(served.request));
  }
  BOOST_TEST(tokens["heavy"] / tokens["large"] == 3.0, boost::test_tools::tolerance(0.1));
  BOOST_TEST(tokens["long"] / tokens["large"] == 1.0, boost::test_tools::tolerance(0.5));
}

BOOST_AUTO_TEST_CASE(idle_account_accrues_no_credit)
{
  ReservationQueue queue(1000);
  std::uint64_t id = 0;
  for (int i = 0; i < 100; i++) {
    queue.Push(MakeReservation(++id, "busy", 1, milliseconds(1)));
  }
  for (int i = 0; i < 50; i++) {
    Serve(queue);
  }
  for (int i = 0; i < 20; i++) {
    queue.Push(MakeReservation(++id, "idle", 1, milliseconds(1)));
  }
  int idle = 0;
  for (int i = 0; i < 20; i++) {
    idle += Serve(queue).request.account == "idle" ? 1 : 0;
  }
  BOOST_TEST(idle <= 11);
}

BOOST_AUTO_TEST_CASE(full_queue_and_repeated_requests_are_refused)
{
  ReservationQueue queue(2);
  BOOST_TEST(queue.Push(MakeReservation(1, "shop", 1, milliseconds(1))));
  BOOST_TEST(!queue.Push(MakeReservation(1, "shop", 1, milliseconds(1))));
  BOOST_TEST(queue.Push(MakeReservation(2, "shop", 3, milliseconds(1))));
  BOOST_TEST(!queue.Push(MakeReservation(3, "shop", 0, milliseconds(1))));
  BOOST_TEST(queue.SizeBelow(1) == 1U);
}

// The first reservation never has a lower tier than another one, and no reservation is lost or
// duplicated.
BOOST_AUTO_TEST_CASE(random_steps_keep_tiers_and_contents)
{
  test::CheckProperty("queue", [](const std::vector<std::uint8_t>& aSteps) {
    ReservationQueue queue(64);
    std::map<std::uint64_t, Tier> expected;
    std::uint64_t id = 0;
    for (const std::uint8_t step : aSteps) {
      if (step % 3 != 0) {
        const Tier tier = step / 3 % kTierCount;
        id++;
        if (queue.Push(MakeReservation(id, std::to_string(step % 5), tier, Duration(step)))) {
          expected[id] = tier;
        }
      } else if (!expected.empty()) {
        const Reservation served = Serve(queue);
        for (const auto& [other, tier] : expected) {
          RC_ASSERT(served.request.tier <= tier);
        }
        RC_ASSERT(expected.erase(served.request.id.low) == 1U);
      }
      RC_ASSERT(queue.Size() == expected.size());
    }
  });
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace caraway
