#include "core/cereal_bytes.h"
#include "direct/crash_watch.h"

#include <boost/test/unit_test.hpp>
#include <cereal/types/utility.hpp>

namespace caraway::direct {

namespace {

using std::chrono::minutes;
using std::chrono::seconds;

constexpr EndpointIncarnation kFirst{ 1, 1000 };
constexpr EndpointIncarnation kSecond{ 2, 1000 };
constexpr EndpointIncarnation kSecondRestarted{ 2, 2000 };

struct Fixture
{
  // The endpoint dies while it runs the request.
  void Crash(CrashWatch& aWatch, const EndpointIncarnation& aIncarnation,
             std::uint64_t aFingerprint) const
  {
    aWatch.OnAttemptLost(this->now, aIncarnation, aFingerprint);
    aWatch.OnDied(this->now, aIncarnation);
  }

  CrashWatchOptions options;
  TimePoint now{ seconds(100) };
  CrashWatch watch{ options };
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(crash_watch, Fixture)

BOOST_AUTO_TEST_CASE(lost_answer_of_a_live_endpoint_is_no_crash)
{
  this->watch.OnAttemptLost(this->now, kFirst, 7);
  this->watch.OnDied(this->now, kSecond);
  BOOST_TEST((this->watch.Judge(this->now, 7) == Verdict::kClear));
}

BOOST_AUTO_TEST_CASE(each_endpoint_death_counts_once)
{
  this->Crash(this->watch, kFirst, 7);
  this->Crash(this->watch, kFirst, 7);
  BOOST_TEST((this->watch.Judge(this->now, 7) == Verdict::kExclusive));
}

BOOST_AUTO_TEST_CASE(restarted_endpoint_that_dies_counts_again)
{
  this->Crash(this->watch, kSecond, 7);
  this->Crash(this->watch, kSecondRestarted, 7);
  BOOST_TEST((this->watch.Judge(this->now, 7) == Verdict::kRefused));
  BOOST_TEST((this->watch.RefusedFor(this->now, 7) == this->options.suspectTime));
}

BOOST_AUTO_TEST_CASE(attempt_lost_after_the_death_is_known_counts)
{
  this->watch.OnDied(this->now, kFirst);
  this->watch.OnAttemptLost(this->now + seconds(1), kFirst, 7);
  BOOST_TEST((this->watch.Judge(this->now + seconds(1), 7) == Verdict::kExclusive));
}

BOOST_AUTO_TEST_CASE(attempt_lost_long_before_the_death_does_not_count)
{
  this->watch.OnAttemptLost(this->now, kFirst, 7);
  this->watch.OnDied(this->now + seconds(6), kFirst);
  BOOST_TEST((this->watch.Judge(this->now + seconds(6), 7) == Verdict::kClear));
}

BOOST_AUTO_TEST_CASE(answered_request_is_cleared_at_all_entries)
{
  CrashWatch other{ this->options };
  this->Crash(this->watch, kFirst, 7);
  other.OnSuspicions(this->now, this->watch.ToShare(this->now));
  this->watch.OnAnswered(this->now, 7);
  other.OnSuspicions(this->now, this->watch.ToShare(this->now));
  this->Crash(other, kSecond, 7);
  BOOST_TEST((other.Judge(this->now, 7) == Verdict::kExclusive));
}

BOOST_AUTO_TEST_CASE(crashes_at_two_entries_add_up_at_both)
{
  CrashWatch other{ this->options };
  this->Crash(this->watch, kFirst, 7);
  this->Crash(other, kSecond, 7);
  other.OnSuspicions(this->now, this->watch.ToShare(this->now));
  this->watch.OnSuspicions(this->now, other.ToShare(this->now));
  BOOST_TEST((this->watch.Judge(this->now, 7) == Verdict::kRefused));
  BOOST_TEST((other.Judge(this->now, 7) == Verdict::kRefused));
}

// Entries that start minutes later must learn of refused requests too.
BOOST_AUTO_TEST_CASE(refused_requests_are_shared_until_they_expire)
{
  this->Crash(this->watch, kFirst, 7);
  this->Crash(this->watch, kSecond, 7);
  this->Crash(this->watch, kFirst, 8);
  const TimePoint later = this->now + minutes(9);
  const std::vector<Suspicion> shared = this->watch.ToShare(later);
  BOOST_REQUIRE(shared.size() == 1U);
  BOOST_TEST(shared[0].fingerprint == 7U);
  BOOST_TEST((shared[0].forgetAfter == minutes(1)));
  BOOST_TEST(this->watch.ToShare(this->now + minutes(11)).empty());
}

BOOST_AUTO_TEST_CASE(updates_mark_local_observations)
{
  this->Crash(this->watch, kFirst, 7);
  this->watch.OnSuspicions(this->now, { { 8, { { 1, false }, { 2, false } }, minutes(1) } });
  const std::vector<SuspectUpdate> updates = this->watch.TakeUpdates();
  BOOST_REQUIRE(updates.size() == 2U);
  BOOST_TEST(updates[0].isLocal);
  BOOST_TEST(!updates[1].isLocal);
  BOOST_TEST((updates[1].verdict == Verdict::kRefused));
  BOOST_TEST(this->watch.TakeUpdates().empty());
}

// Each entry observed one crash and received the other; if neither update were local, no entry
// would save the suspicion.
BOOST_AUTO_TEST_CASE(concurrent_crashes_are_local_updates_at_both_entries)
{
  this->Crash(this->watch, kFirst, 7);
  this->watch.TakeUpdates();
  this->watch.OnSuspicions(this->now, { { 7, { { 2, false } }, minutes(1) } });
  const std::vector<SuspectUpdate> updates = this->watch.TakeUpdates();
  BOOST_REQUIRE(updates.size() == 1U);
  BOOST_TEST((updates[0].verdict == Verdict::kRefused));
  BOOST_TEST(updates[0].isLocal);
}

constexpr std::uint64_t kBadPart = 0xbad;
constexpr std::uint64_t kCompanion = 0xc0;

// Requests of their own with a part that crashes endpoints and a part that sound requests share.
struct PartFixture : Fixture
{
  void CrashWithPart(const std::vector<std::uint64_t>& aParts)
  {
    const EndpointIncarnation endpoint{ ++this->endpointCount, 1000 };
    this->watch.OnAttemptLost(this->now, endpoint, this->endpointCount + 1000, aParts);
    this->watch.OnDied(this->now, endpoint);
  }
  Verdict JudgePart(std::uint64_t aPart) const
  {
    return this->watch.Judge(this->now, 1, { aPart });
  }
  // Requests with the part over a minute; returns how many of them may run.
  int Trials(std::uint64_t aPart)
  {
    int count = 0;
    for (int request = 0; request < 600; request++) {
      this->now += std::chrono::milliseconds(100);
      count += this->watch.TakeTrial(this->now, 1, { aPart }, kEntryCount, this->random) ? 1 : 0;
    }
    return count;
  }

  static constexpr std::uint32_t kEntryCount = 3;
  Random random{ 1 };
  std::uint64_t endpointCount = 0;
};

BOOST_FIXTURE_TEST_CASE(a_part_is_refused_in_any_request, PartFixture)
{
  this->CrashWithPart({ kBadPart });
  this->CrashWithPart({ 5, kBadPart });
  BOOST_TEST((this->JudgePart(kBadPart) == Verdict::kExclusive));
  this->CrashWithPart({ kBadPart, 6 });
  BOOST_TEST((this->JudgePart(kBadPart) == Verdict::kRefused));
  BOOST_TEST((this->JudgePart(5) == Verdict::kExclusive));
  BOOST_TEST((this->JudgePart(7) == Verdict::kClear));
}

BOOST_FIXTURE_TEST_CASE(a_complete_answer_clears_the_parts_of_its_request, PartFixture)
{
  for (int crash = 0; crash < 3; crash++) {
    this->CrashWithPart({ kCompanion, kBadPart });
  }
  this->watch.OnAnswered(this->now, 1, { kCompanion, 9 });
  BOOST_TEST((this->JudgePart(kCompanion) == Verdict::kClear));
  BOOST_TEST((this->JudgePart(kBadPart) == Verdict::kRefused));
  CrashWatch other(this->options);
  for (const SuspectKind kind : kSuspectKinds) {
    other.OnSuspicions(this->now, this->watch.ToShare(this->now, kind), kind);
  }
  BOOST_TEST((other.Judge(this->now, 1, { kCompanion }) == Verdict::kClear));
  BOOST_TEST((other.Judge(this->now, 1, { kBadPart }) == Verdict::kRefused));
}

BOOST_FIXTURE_TEST_CASE(a_refused_part_is_tried_until_it_has_crashed_enough_endpoints, PartFixture)
{
  for (int crash = 0; crash < 3; crash++) {
    this->CrashWithPart({ kBadPart });
  }
  const int trials = this->Trials(kBadPart);
  const auto expected = static_cast<int>(minutes(1) / (this->options.trialPeriod * kEntryCount));
  BOOST_TEST(trials >= expected / 2);
  BOOST_TEST(trials <= expected * 2);
  this->CrashWithPart({ kBadPart });
  this->CrashWithPart({ kBadPart });
  BOOST_TEST(this->Trials(kBadPart) == 0);
}

// Without its own trial, the sound part of such a pair is refused until it expires.
BOOST_FIXTURE_TEST_CASE(of_two_parts_at_the_same_crashes_each_is_tried_alone, PartFixture)
{
  for (int crash = 0; crash < 8; crash++) {
    this->CrashWithPart({ kCompanion, kBadPart });
  }
  BOOST_TEST(
    !this->watch.TakeTrial(this->now, 1, { kCompanion, kBadPart }, kEntryCount, this->random));
  BOOST_TEST(this->Trials(kCompanion) > 0);
  BOOST_TEST(this->Trials(kBadPart) > 0);
  this->CrashWithPart({ kBadPart });
  BOOST_TEST(this->Trials(kCompanion) > 0);
  BOOST_TEST(this->Trials(kBadPart) == 0);
}

// All endpoints die at once while they run requests with common parts.
struct OutageFixture : PartFixture
{
  // The requests were sent before any of the deaths, and others like them had been answered.
  void DieAtOnce(int aEndpoints, const std::vector<std::uint64_t>& aParts)
  {
    this->watch.OnAnswered(this->now, 1, aParts);
    this->DieUnanswered(aEndpoints, aParts);
  }
  void DieUnanswered(int aEndpoints, const std::vector<std::uint64_t>& aParts)
  {
    for (int endpoint = 0; endpoint < aEndpoints; endpoint++) {
      this->Die(aParts, SentVerdicts{});
    }
  }
  void FailTrial(const std::vector<std::uint64_t>& aParts)
  {
    this->Die(aParts, SentVerdicts{ Verdict::kClear, Verdict::kRefused });
  }
  void Die(const std::vector<std::uint64_t>& aParts, const SentVerdicts& aSent)
  {
    const EndpointIncarnation endpoint{ ++this->endpointCount, 1000 };
    this->watch.OnAttemptLost(this->now, endpoint, this->endpointCount + 1000, aParts, aSent);
    this->watch.OnDied(this->now, endpoint);
  }
  // Trials of requests with both parts over a minute.
  int JointTrials()
  {
    int count = 0;
    for (int request = 0; request < 600; request++) {
      this->now += std::chrono::milliseconds(100);
      count +=
        this->watch.TakeTrial(this->now, 1, { kCompanion, kBadPart }, kEntryCount, this->random)
          ? 1
          : 0;
    }
    return count;
  }
  // What another process knows from the store.
  CrashWatch Restart() const
  {
    CrashWatch restarted{ this->options };
    for (const SuspectKind kind : kSuspectKinds) {
      for (const Suspicion& suspicion : this->watch.ToShare(this->now, kind)) {
        const auto saved = DecodeSavedSuspicion(EncodeSavedSuspicion({ kind, 0, suspicion }));
        BOOST_REQUIRE(saved.has_value());
        restarted.OnSuspicions(this->now, { saved->suspicion }, kind);
      }
    }
    return restarted;
  }
};

BOOST_FIXTURE_TEST_CASE(a_part_is_tried_after_an_outage_and_cleared_by_an_answer, OutageFixture)
{
  this->DieAtOnce(9, { kCompanion });
  BOOST_TEST((this->JudgePart(kCompanion) == Verdict::kRefused));
  BOOST_TEST((this->watch.RefusedFor(this->now, 1, { kCompanion }) == this->options.trialPeriod));
  BOOST_TEST(this->Trials(kCompanion) > 0);
  this->watch.OnAnswered(this->now, 1, { kCompanion });
  BOOST_TEST((this->JudgePart(kCompanion) == Verdict::kClear));
}

// Copies of it reached many endpoints before the first death was known.
BOOST_FIXTURE_TEST_CASE(a_part_that_crashes_many_endpoints_at_once_is_not_tried, OutageFixture)
{
  this->DieUnanswered(5, { kBadPart });
  BOOST_TEST(this->Trials(kBadPart) == 0);
  BOOST_TEST((this->watch.RefusedFor(this->now, 1, { kBadPart }) > minutes(5)));
}

// It was answered before, and crashes endpoints now.
BOOST_FIXTURE_TEST_CASE(a_part_that_turns_bad_is_tried_twice, OutageFixture)
{
  this->DieAtOnce(9, { kBadPart });
  this->FailTrial({ kBadPart });
  BOOST_TEST(this->Trials(kBadPart) > 0);
  this->FailTrial({ kBadPart });
  BOOST_TEST(this->Trials(kBadPart) == 0);
  BOOST_TEST((this->watch.RefusedFor(this->now, 1, { kBadPart }) > minutes(5)));
}

// Fewer crashes at once leave no more trials than crashes one by one.
BOOST_FIXTURE_TEST_CASE(four_crashes_at_once_leave_one_trial, OutageFixture)
{
  this->DieAtOnce(4, { kBadPart });
  BOOST_TEST(this->Trials(kBadPart) > 0);
  this->FailTrial({ kBadPart });
  BOOST_TEST(this->Trials(kBadPart) == 0);
}

BOOST_FIXTURE_TEST_CASE(trials_in_vain_are_known_to_other_entries_and_after_a_restart,
                        OutageFixture)
{
  this->DieAtOnce(9, { kBadPart });
  this->watch = this->Restart();
  BOOST_TEST(this->Trials(kBadPart) > 0);
  this->FailTrial({ kBadPart });
  this->watch = this->Restart();
  this->FailTrial({ kBadPart });
  this->watch = this->Restart();
  BOOST_TEST(this->Trials(kBadPart) == 0);
}

// The first trial dies in a second outage.
BOOST_FIXTURE_TEST_CASE(a_part_is_tried_again_after_a_second_outage, OutageFixture)
{
  this->DieAtOnce(9, { kCompanion });
  this->FailTrial({ kCompanion });
  BOOST_TEST(this->Trials(kCompanion) > 0);
  this->watch.OnAnswered(this->now, 1, { kCompanion });
  this->DieAtOnce(9, { kCompanion });
  BOOST_TEST(this->Trials(kCompanion) > 0);
}

BOOST_FIXTURE_TEST_CASE(parts_of_all_requests_are_tried_together, OutageFixture)
{
  this->DieAtOnce(9, { kCompanion, kBadPart });
  const auto expected = static_cast<int>(minutes(1) / (this->options.trialPeriod * kEntryCount));
  const int trials = this->JointTrials();
  BOOST_TEST(trials >= expected / 2);
  BOOST_TEST(trials <= expected * 2);
  this->FailTrial({ kCompanion, kBadPart });
  BOOST_TEST(this->JointTrials() > 0);
  this->FailTrial({ kCompanion, kBadPart });
  BOOST_TEST(this->JointTrials() == 0);
  // Either may be the sound one, which a request with it alone shows.
  BOOST_TEST(this->Trials(kCompanion) > 0);
  this->FailTrial({ kBadPart });
  BOOST_TEST(this->Trials(kBadPart) == 0);
  BOOST_TEST(this->Trials(kCompanion) > 0);
}

// Entries saw different deaths, more than one of them keeps.
BOOST_FIXTURE_TEST_CASE(a_large_outage_is_cleared_at_all_entries, OutageFixture)
{
  std::vector<CrashWatch> entries(3, CrashWatch{ this->options });
  for (CrashWatch& entry : entries) {
    this->watch = CrashWatch{ this->options };
    this->DieAtOnce(14, { kCompanion });
    entry = this->watch;
  }
  const auto share = [&] {
    for (CrashWatch& to : entries) {
      for (const CrashWatch& from : entries) {
        to.OnSuspicions(this->now, from.ToShare(this->now, SuspectKind::kPromptPart),
                        SuspectKind::kPromptPart);
      }
    }
  };
  share();
  for (int round = 0; round < 4; round++) {
    entries[0].OnAnswered(this->now, 1, { kCompanion });
    share();
  }
  for (const CrashWatch& entry : entries) {
    BOOST_TEST((entry.Judge(this->now, 1, { kCompanion }) == Verdict::kClear));
  }
}

// Callers send the same request to several endpoints, as for a page that all of them read.
struct RequestFixture : OutageFixture
{
  void Die(std::uint64_t aFingerprint, Verdict aSent)
  {
    const EndpointIncarnation endpoint{ ++this->endpointCount, 1000 };
    this->watch.OnAttemptLost(this->now, endpoint, aFingerprint, {},
                              SentVerdicts{ aSent, Verdict::kClear });
    this->watch.OnDied(this->now, endpoint);
  }
  int Trials(std::uint64_t aFingerprint)
  {
    int count = 0;
    for (int request = 0; request < 600; request++) {
      this->now += std::chrono::milliseconds(100);
      count +=
        this->watch.TakeTrial(this->now, aFingerprint, {}, kEntryCount, this->random) ? 1 : 0;
    }
    return count;
  }
};

// Regression: it was refused for ten minutes, as nothing but an answer clears it.
BOOST_FIXTURE_TEST_CASE(a_request_at_all_deaths_of_an_outage_is_tried, RequestFixture)
{
  this->watch.OnAnswered(this->now, 7);
  for (int endpoint = 0; endpoint < 3; endpoint++) {
    this->Die(7, Verdict::kClear);
  }
  BOOST_TEST((this->watch.Judge(this->now, 7) == Verdict::kRefused));
  BOOST_TEST((this->watch.RefusedFor(this->now, 7) == this->options.trialPeriod));
  BOOST_TEST(this->Trials(7) > 0);
  this->watch.OnAnswered(this->now, 7);
  BOOST_TEST((this->watch.Judge(this->now, 7) == Verdict::kClear));
}

BOOST_FIXTURE_TEST_CASE(a_request_that_crashes_endpoints_is_tried_once_at_most, RequestFixture)
{
  this->Die(7, Verdict::kClear);
  this->Die(7, Verdict::kExclusive);
  BOOST_TEST(this->Trials(7) == 0);
  this->Die(9, Verdict::kClear);
  this->Die(9, Verdict::kClear);
  BOOST_TEST(this->Trials(9) == 0);
  this->watch.OnAnswered(this->now, 8);
  this->Die(8, Verdict::kClear);
  this->Die(8, Verdict::kClear);
  BOOST_TEST(this->Trials(8) > 0);
  this->Die(8, Verdict::kRefused);
  BOOST_TEST(this->Trials(8) == 0);
  BOOST_TEST((this->watch.RefusedFor(this->now, 8) > minutes(5)));
}

// What was answered is kept in limited memory: what is answered often, longer.
BOOST_AUTO_TEST_CASE(a_part_that_is_answered_often_is_known_as_answered)
{
  CrashWatchOptions limited;
  limited.maxAnswered = 8;
  CrashWatch small{ limited };
  for (std::uint64_t other = 100; other < 200; other++) {
    small.OnAnswered(this->now, 0, { 7, other });
  }
  for (std::uint64_t endpoint = 1; endpoint <= 3; endpoint++) {
    small.OnAttemptLost(this->now, { endpoint, 1000 }, 0, { 7, 100 });
    small.OnDied(this->now, { endpoint, 1000 });
  }
  for (const Suspicion& suspicion : small.ToShare(this->now, SuspectKind::kPromptPart)) {
    for (const SuspectedCrash& crash : suspicion.crashes) {
      BOOST_TEST(crash.wasAnswered == (suspicion.fingerprint == 7));
    }
  }
}

// Records of builds that did not mark repeats.
BOOST_AUTO_TEST_CASE(a_crash_without_marks_is_read)
{
  const auto crash = FromBytes<SuspectedCrash>(ToBytes(std::pair<std::uint64_t, bool>(7, true)));
  BOOST_REQUIRE(crash.has_value());
  BOOST_TEST((*crash == SuspectedCrash{ 7, true }));
  for (const bool first : { false, true }) {
    for (const bool second : { false, true }) {
      const SuspectedCrash marked{ 7, first, second, first != second };
      BOOST_TEST((FromBytes<SuspectedCrash>(ToBytes(marked)) == marked));
    }
  }
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace caraway::direct
