#include "direct/evacuation.h"

#include "../core/property.h"

#include <boost/test/unit_test.hpp>

namespace caraway::direct {

namespace {

using std::chrono::minutes;
using std::chrono::seconds;
using Domains = std::set<std::string>;

const TimePoint kStart{ seconds(100) };

EvacuationRecord Order(std::uint64_t aEra, std::uint64_t aOffset, const char* aDomain = "a")
{
  return { aDomain, aEra, aOffset, true };
}

EvacuationRecord End(std::uint64_t aEra, std::uint64_t aOffset, const char* aDomain = "a")
{
  return { aDomain, aEra, aOffset, false };
}

} // namespace

BOOST_AUTO_TEST_SUITE(evacuation)

BOOST_AUTO_TEST_CASE(an_order_holds_until_its_record_is_removed)
{
  Evacuations evacuations;
  evacuations.OnSnapshot(kStart, 1, 9, { Order(1, 4) });
  BOOST_TEST((evacuations.Domains() == Domains{ "a" }));
  BOOST_TEST(!evacuations.EndedAt("a"));
  evacuations.OnRecord(kStart + seconds(5), End(1, 9));
  BOOST_TEST(evacuations.Domains().empty());
  BOOST_TEST((evacuations.EndedAt("a") == kStart + seconds(5)));
  const std::vector<EvacuationChange> changes = evacuations.TakeChanges();
  BOOST_REQUIRE(changes.size() == 2U);
  BOOST_TEST(changes[1].state.offset == 9U);
}

// The records in between were trimmed before they were read.
BOOST_AUTO_TEST_CASE(an_order_that_a_later_snapshot_lacks_was_taken_back)
{
  Evacuations evacuations;
  evacuations.OnSnapshot(kStart, 1, 9, { Order(1, 4), Order(1, 5, "b") });
  evacuations.OnSnapshot(kStart, 1, 20, { Order(1, 5, "b") });
  BOOST_TEST((evacuations.Domains() == Domains{ "b" }));
}

BOOST_AUTO_TEST_CASE(a_snapshot_does_not_end_an_order_written_after_it)
{
  Evacuations evacuations;
  evacuations.OnPeerStates(kStart, { { "a", 1, 30, true, 0 } });
  evacuations.OnSnapshot(kStart, 1, 20, {});
  BOOST_TEST((evacuations.Domains() == Domains{ "a" }));
}

BOOST_AUTO_TEST_CASE(an_order_that_a_restored_log_lacks_holds_until_it_can_be_written_again)
{
  Evacuations evacuations;
  evacuations.OnSnapshot(kStart, 1, 40, { Order(1, 30), Order(1, 31, "b") });
  evacuations.OnLogRestored();
  evacuations.OnSnapshot(kStart, 2, 20, {});
  evacuations.Step(kStart + seconds(2), true);
  BOOST_TEST((evacuations.Domains() == Domains{ "a", "b" }));
  evacuations.OnRecord(kStart + seconds(2), Order(2, 20, "b"));
  evacuations.Step(kStart + seconds(4), true);
  BOOST_TEST((evacuations.Domains() == Domains{ "b" }));
  // An entry that has not read the restored log does not bring the order back.
  evacuations.OnPeerStates(kStart + seconds(5), { { "a", 1, 30, true, 0 } });
  BOOST_TEST((evacuations.Domains() == Domains{ "b" }));
  BOOST_TEST((evacuations.TakeChanges().back().source == EvacuationSource::kLapsed));
}

BOOST_AUTO_TEST_CASE(a_missing_order_does_not_lapse_while_nobody_can_write_it)
{
  Evacuations evacuations;
  evacuations.OnSnapshot(kStart, 1, 40, { Order(1, 30) });
  evacuations.OnLogRestored();
  evacuations.OnSnapshot(kStart, 2, 20, {});
  evacuations.Step(kStart + seconds(60), false);
  evacuations.Step(kStart + seconds(61), true);
  BOOST_TEST((evacuations.Domains() == Domains{ "a" }));
  evacuations.Step(kStart + seconds(64), true);
  BOOST_TEST(evacuations.Domains().empty());
}

// An entry that reaches neither the store nor its successor learns nothing, but must not keep an
// order of the log's past alive among those that do.
BOOST_AUTO_TEST_CASE(an_order_of_an_earlier_era_that_another_entry_tells_lapses)
{
  Evacuations evacuations;
  evacuations.OnSnapshot(kStart, 2, 20, {});
  evacuations.OnPeerStates(kStart, { { "a", 1, 30, true, 0 } });
  BOOST_TEST((evacuations.Domains() == Domains{ "a" }));
  evacuations.Step(kStart + seconds(4), true);
  evacuations.OnPeerStates(kStart + seconds(4), { { "a", 1, 30, true, 0 } });
  BOOST_TEST(evacuations.Domains().empty());
}

BOOST_AUTO_TEST_CASE(a_log_without_eras_may_give_an_offset_out_again)
{
  Evacuations evacuations;
  evacuations.OnSnapshot(kStart, 0, 40, { Order(0, 30) });
  evacuations.OnLogRestored();
  evacuations.OnSnapshot(kStart, 0, 20, { Order(0, 12) });
  evacuations.OnRecord(kStart, End(0, 20));
  BOOST_TEST(evacuations.Domains().empty());
}

BOOST_AUTO_TEST_CASE(an_end_is_remembered_for_a_while_with_its_age)
{
  Evacuations evacuations;
  evacuations.OnPeerStates(kStart, { { "a", 1, 30, false, 7000 } });
  BOOST_TEST((evacuations.EndedAt("a") == kStart - seconds(7)));
  BOOST_TEST(evacuations.TakeChanges().empty());
  evacuations.Step(kStart + minutes(61), true);
  BOOST_TEST(!evacuations.EndedAt("a"));
}

BOOST_AUTO_TEST_CASE(entries_that_hear_each_other_agree_on_the_latest_records)
{
  test::CheckProperty("entries agree", [] {
    Evacuations first;
    Evacuations second;
    std::map<std::string, bool> latest;
    const int records = *rc::gen::inRange(1, 20);
    for (int offset = 0; offset < records; offset++) {
      const std::string domain = *rc::gen::element<std::string>("a", "b", "c");
      const bool isOrdered = *rc::gen::arbitrary<bool>();
      latest[domain] = isOrdered;
      // Each record reaches one entry or the other; states pass between them now and then.
      Evacuations& reader = *rc::gen::arbitrary<bool>() ? first : second;
      reader.OnRecord(kStart, { domain, 1, static_cast<std::uint64_t>(offset), isOrdered });
      if (*rc::gen::arbitrary<bool>()) {
        first.OnPeerStates(kStart, second.States(kStart));
      }
    }
    second.OnPeerStates(kStart, first.States(kStart));
    first.OnPeerStates(kStart, second.States(kStart));
    Domains expected;
    for (const auto& [domain, isOrdered] : latest) {
      if (isOrdered) {
        expected.insert(domain);
      }
    }
    RC_ASSERT(first.Domains() == expected);
    RC_ASSERT(second.Domains() == expected);
  });
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace caraway::direct
