// The list of endpoints after the platform's store was restored from an older copy.
#include "../gateway/fixture.h"
#include "fake_store.h"
#include "platform/entry_state.h"

#include <boost/test/unit_test.hpp>

namespace caraway::platform {

namespace {

using std::chrono::seconds;

// Passes the contents of the store to an entry; the store itself is not reached.
struct EndpointFeedFixture : gateway::GatewayFixture
{
  EndpointFeedFixture() { this->Configure(); }

  KeyedRecord Registration(const std::string& aId, int aSequence, const char* aState = "ready")
  {
    KeyedRecord record;
    record.key = aId;
    record.offset = ++this->lastOffset;
    record.value =
      R"({"service":"pool","address":"127.0.0.1:)" + std::string("80") +
      std::to_string(aId.size()) + R"(","zone":"z","version":"v1","slots":4,"state":")" + aState +
      R"(","cold-remaining-ms":0,"seq":)" + std::to_string(aSequence) + R"(,"born":1})";
    return record;
  }

  void Load(const std::vector<KeyedRecord>& aRecords)
  {
    this->feed.OnSnapshot(aRecords);
    this->feed.OnCaughtUp(this->clock.Read().steady);
  }

  bool IsListed(const std::string& aId) const
  {
    const std::string summary = ";" + this->gateway->Summary();
    const std::size_t at = summary.find(";" + aId + ":");
    return at != std::string::npos && summary.compare(at + aId.size() + 2, 4, "gone") != 0;
  }

  std::uint64_t lastOffset = 0;
  FakeStore store{ this->clock };
  EndpointFeed feed{ *this->gateway, this->store, this->clock, this->random, seconds(2) };
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(endpoint_feed, EndpointFeedFixture)

BOOST_AUTO_TEST_CASE(an_endpoint_that_left_stays_unlisted_after_the_store_is_restored)
{
  this->Load({ this->Registration("a", 5), this->Registration("bb", 5) });
  this->Load({ this->Registration("bb", 5) });
  BOOST_REQUIRE(!this->IsListed("a"));
  this->feed.OnRestored();
  this->Load({ this->Registration("a", 5), this->Registration("bb", 5) });
  BOOST_TEST(!this->IsListed("a"));
  BOOST_TEST(this->IsListed("bb"));
  this->feed.OnRecord(this->Registration("a", 6));
  this->feed.OnCaughtUp(this->clock.Read().steady);
  BOOST_TEST(this->IsListed("a"));
}

// The store was restored within one read, so that no entry saw it unreachable.
BOOST_AUTO_TEST_CASE(an_endpoint_missing_from_the_copy_is_kept_until_it_can_register_again)
{
  this->Load({ this->Registration("a", 5), this->Registration("bb", 1) });
  this->feed.OnRestored();
  this->Load({ this->Registration("a", 4) });
  BOOST_TEST(this->IsListed("bb"));
  BOOST_TEST(AdvanceUntil(this->clock, [&] { return !this->IsListed("bb"); }));
  BOOST_TEST(this->IsListed("a"));
}

// "a" is dropped by a record, "bb" by a snapshot; "ccc" stays in the restored list.
BOOST_AUTO_TEST_CASE(an_endpoint_that_left_is_not_used_after_the_restored_list_drops_it)
{
  const std::vector<KeyedRecord> copy = { this->Registration("a", 5), this->Registration("bb", 5),
                                          this->Registration("ccc", 5) };
  this->Load(copy);
  this->Load({});
  this->feed.OnRestored();
  this->Load(copy);
  this->feed.OnRecord({ ++this->lastOffset, "a", std::nullopt });
  this->Load({ this->Registration("ccc", 5) });
  BOOST_TEST(AdvanceUntil(this->clock, [&] { return this->IsListed("ccc"); }));
  BOOST_TEST(!this->IsListed("a"));
  BOOST_TEST(!this->IsListed("bb"));
}

BOOST_AUTO_TEST_CASE(an_older_registration_does_not_cancel_a_removal)
{
  this->Load({ this->Registration("a", 9), this->Registration("bb", 9) });
  this->feed.OnRestored();
  this->Load({ this->Registration("bb", 9) }); // "a" is kept for the grace
  this->feed.OnRestored();
  this->Load({ this->Registration("a", 7), this->Registration("bb", 9) });
  const TimePoint end = this->clock.Read().steady + seconds(4);
  AdvanceUntil(this->clock,
               [&] { return !this->IsListed("a") || this->clock.Read().steady >= end; });
  BOOST_TEST(!this->IsListed("a"));
  BOOST_TEST(this->IsListed("bb"));
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace caraway::platform
