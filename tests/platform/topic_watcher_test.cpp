// Reading a topic of a store that is restored from an older copy.
#include "../runtime/loop.h"
#include "fake_store.h"
#include "platform/topic_watcher.h"

#include <string>
#include <vector>

namespace caraway::platform {

namespace {

using std::chrono::milliseconds;

constexpr const char* kTopic = "keyed.t";

struct WatcherFixture : TopicListener
{
  void OnSnapshot(const std::vector<KeyedRecord>& aRecords) override
  {
    this->seen.clear();
    for (const KeyedRecord& record : aRecords) {
      this->OnRecord(record);
    }
  }
  void OnRecord(const KeyedRecord& aRecord) override
  {
    this->seen[aRecord.key] = aRecord.value.value_or("");
  }
  void OnCaughtUp(TimePoint) override { this->caughtUpCount++; }
  void OnRestored() override { this->restoreCount++; }
  void OnReachabilityChanged(bool aIsReachable) override { this->isReachable = aIsReachable; }
  bool ShouldRead() override { return true; }
  Duration ReadWait() override { return Duration::zero(); }

  // Time passes between a call and the answer to it.
  void Step()
  {
    BOOST_REQUIRE(RunUntil([this] { return this->store.HasCall(); }));
    this->clock.Advance(milliseconds(1));
    this->store.Answer();
    this->clock.Advance(milliseconds(1));
  }
  void Load()
  {
    this->watcher.Start();
    this->Step();
    this->Step();
    BOOST_REQUIRE(RunUntil([this] { return this->store.HasCall(); }));
  }
  void WriteNumbered(int aFrom, int aTo)
  {
    for (int i = aFrom; i < aTo; i++) {
      this->store.Write(kTopic, "k" + std::to_string(i), "v");
    }
  }

  PausedClock clock{ Now{ TimePoint{ std::chrono::seconds(1000) }, {} } };
  Random random{ 1 };
  FakeStore store{ clock };
  std::map<std::string, std::string> seen;
  int caughtUpCount = 0;
  int restoreCount = 0;
  bool isReachable = false;
  TopicWatcher watcher{
    kTopic, { Duration::zero(), Duration::zero() }, store, clock, random, *this
  };
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(topic_watcher, WatcherFixture)

BOOST_AUTO_TEST_CASE(records_of_a_restored_store_that_is_shorter_are_read_again)
{
  this->WriteNumbered(0, 6);
  this->Load();
  this->store.Restore(kTopic, 3);
  this->Step();
  this->Step();
  BOOST_TEST(this->seen.size() == 3U);
  this->store.Write(kTopic, "again", "v");
  this->Step();
  BOOST_TEST(this->seen.contains("again"));
  BOOST_TEST(this->restoreCount == 1);
}

BOOST_AUTO_TEST_CASE(records_at_offsets_that_were_given_out_again_are_not_skipped)
{
  this->WriteNumbered(0, 6);
  this->Load();
  this->store.Restore(kTopic, 3);
  for (const char* key : { "a", "b", "c", "d" }) {
    this->store.Write(kTopic, key, "new");
  }
  this->Step();
  this->Step();
  for (const char* key : { "a", "b", "c", "d" }) {
    BOOST_TEST(this->seen.contains(key));
  }
  BOOST_TEST(!this->seen.contains("k5"));
}

BOOST_AUTO_TEST_CASE(pages_of_two_eras_are_not_joined)
{
  this->store.pageSize = 2;
  this->WriteNumbered(0, 4);
  this->watcher.Start();
  this->Step();
  this->store.Restore(kTopic, 1);
  this->store.Write(kTopic, "k9", "v");
  this->Step();
  this->Step();
  BOOST_TEST(this->seen.size() == 2U);
  BOOST_TEST(this->seen.contains("k9"));
}

BOOST_AUTO_TEST_CASE(a_late_answer_of_an_earlier_era_changes_nothing)
{
  this->WriteNumbered(0, 3);
  this->Load();
  this->store.Write(kTopic, "lost", "v");
  const FakeStore::Delivery late = this->store.Prepare();
  this->store.Restore(kTopic, 3);
  // Another reader of the store gets an answer first.
  this->clock.Advance(milliseconds(1));
  this->store.ReadLatest("keyed.other", "", [](const LatestResponse&) {});
  this->Step();
  late();
  BOOST_TEST(!this->seen.contains("lost"));
  this->Step();
  this->store.Write(kTopic, "new", "v");
  this->Step();
  BOOST_TEST(this->seen.contains("new"));
  BOOST_TEST(!this->seen.contains("lost"));
  BOOST_TEST(this->restoreCount == 1);
  BOOST_TEST(this->isReachable);
}

BOOST_AUTO_TEST_CASE(an_era_that_is_missing_or_no_number_causes_no_reload)
{
  this->WriteNumbered(0, 3);
  this->Load();
  const int loads = this->store.latestReads;
  for (const auto& text : std::vector<std::optional<std::string>>{
         std::nullopt, "", "x", "-1", "1.5", "2 ", "99999999999999999999999" }) {
    this->store.era = text;
    this->Step();
  }
  BOOST_TEST(this->store.latestReads == loads);
  this->store.era = "1";
  this->store.Write(kTopic, "next", "v");
  this->Step();
  BOOST_TEST(this->seen.contains("next"));
  BOOST_TEST(this->restoreCount == 0);
}

BOOST_AUTO_TEST_CASE(an_era_that_falls_does_not_stop_the_reads)
{
  this->store.era = "7";
  this->WriteNumbered(0, 3);
  this->Load();
  this->store.era = "6";
  this->Step();
  this->Step();
  this->store.Write(kTopic, "next", "v");
  this->Step();
  BOOST_TEST(this->seen.contains("next"));
}

BOOST_AUTO_TEST_CASE(a_store_without_eras_that_lost_records_is_read_again)
{
  this->store.era.reset();
  this->WriteNumbered(0, 6);
  this->Load();
  this->store.topics[kTopic].resize(2);
  this->store.Write(kTopic, "again", "v");
  this->Step();
  this->Step();
  BOOST_TEST(this->seen.contains("again"));
  BOOST_TEST(!this->seen.contains("k5"));
  BOOST_TEST(this->restoreCount == 1);
}

BOOST_AUTO_TEST_CASE(reads_go_on_after_410s_that_reloads_did_not_end)
{
  this->WriteNumbered(0, 3);
  this->watcher.Start();
  this->store.firstOffset = 100;
  for (int i = 0; i < 6; i++) {
    this->Step();
  }
  BOOST_TEST(this->seen.size() == 3U);
  this->store.firstOffset = 0;
  this->store.Write(kTopic, "next", "v");
  this->Step();
  this->Step();
  BOOST_TEST(this->seen.contains("next"));
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace caraway::platform
