#include "core/claim.h"
#include "core/key_table.h"
#include "core/uuid.h"
#include "property.h"

#include <boost/test/unit_test.hpp>

#include <set>

namespace caraway {

using std::chrono::hours;
using std::chrono::milliseconds;
using std::chrono::minutes;
using std::chrono::seconds;

namespace {

constexpr WallTime kStart{ milliseconds(1764816512345) };
constexpr NodeId kAgent{ 77 };

Now At(Duration aTime)
{
  return { TimePoint(aTime), kStart + std::chrono::duration_cast<milliseconds>(aTime) };
}

std::string KeyMadeAt(WallTime aTime, std::uint64_t aSeed = 1)
{
  Random random(aSeed);
  return FormatUuid(MakeUuid7(aTime, random));
}

RequestId IdOf(std::uint64_t aNumber)
{
  return { 0x7000 + aNumber, aNumber };
}

using Log = std::vector<std::string>;

// Appends the controller's batch to the log; returns whether there was one.
bool Flush(ClaimController& aClaims, Now aNow, Log& aLog, AppendResult aResult)
{
  const auto batch = aClaims.TakeBatch(aNow, 1);
  if (aResult != AppendResult::kFailed) {
    aLog.insert(aLog.end(), batch.begin(), batch.end());
  }
  aClaims.OnAppended(aNow, 1, aResult, aLog.size() - batch.size());
  return !batch.empty();
}

void Read(ClaimController& aClaims, Now aNow, const Log& aLog)
{
  while (aClaims.NextRead() < aLog.size()) {
    aClaims.OnRecord(aNow, { aClaims.NextRead(), aLog[aClaims.NextRead()] });
  }
}

ClaimDecision OnlyDecision(ClaimController& aClaims)
{
  const auto decisions = aClaims.TakeDecisions();
  BOOST_REQUIRE(decisions.size() == 1U);
  return decisions.front();
}

struct Fixture
{
  EntryOptions options;
  ClaimController first{ options, NodeId{ 1 } };
  ClaimController second{ options, NodeId{ 2 } };
  Log log;
  std::string key = KeyMadeAt(kStart);

  // The first entry claims the key for request 1 and wins.
  void WinClaim()
  {
    this->first.Begin(At({}), IdOf(1), "shop", this->key, kAgent);
    BOOST_TEST(Flush(this->first, At(milliseconds(5)), this->log, AppendResult::kAppended));
    Read(this->first, At(milliseconds(6)), this->log);
    BOOST_TEST((OnlyDecision(this->first).verdict == ClaimVerdict::kWon));
  }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(claim, Fixture)

BOOST_AUTO_TEST_CASE(the_first_claim_in_offset_order_wins)
{
  first.Begin(At({}), IdOf(1), "shop", key, kAgent);
  second.Begin(At({}), IdOf(2), "shop", key, kAgent);
  Flush(second, At(milliseconds(5)), log, AppendResult::kAppended);
  Flush(first, At(milliseconds(5)), log, AppendResult::kAppended);
  BOOST_TEST(first.TakeDecisions().empty());
  Read(first, At(milliseconds(9)), log);
  Read(second, At(milliseconds(9)), log);
  BOOST_TEST((OnlyDecision(second).verdict == ClaimVerdict::kWon));
  const ClaimDecision lost = OnlyDecision(first);
  BOOST_TEST((lost.verdict == ClaimVerdict::kRefused));
  BOOST_TEST((lost.reason == Reason::kKeyInUse));
}

BOOST_AUTO_TEST_CASE(the_same_key_of_another_account_is_another_key)
{
  this->WinClaim();
  second.Begin(At(milliseconds(7)), IdOf(2), "other", key, kAgent);
  Flush(second, At(milliseconds(20)), log, AppendResult::kAppended);
  Read(second, At(milliseconds(21)), log);
  BOOST_TEST((OnlyDecision(second).verdict == ClaimVerdict::kWon));
}

BOOST_AUTO_TEST_CASE(claims_are_batched_after_a_delay)
{
  for (std::uint64_t number = 0; number < 50; ++number) {
    first.Begin(At({}), IdOf(number), "shop", KeyMadeAt(kStart, number + 5), kAgent);
  }
  BOOST_TEST(first.TakeBatch(At(milliseconds(4)), 1).empty());
  BOOST_TEST(first.TakeBatch(At(milliseconds(5)), 1).size() == 50U);
  BOOST_TEST(first.TakeBatch(At(milliseconds(5)), 2).empty());
}

BOOST_AUTO_TEST_CASE(old_future_and_malformed_keys_are_refused)
{
  for (const std::string& bad : { KeyMadeAt(kStart - hours(1) - seconds(1)),
                                  KeyMadeAt(kStart + minutes(2)), std::string("order-17") }) {
    first.Begin(At({}), IdOf(1), "shop", bad, kAgent);
    const ClaimDecision decision = OnlyDecision(first);
    BOOST_TEST((decision.verdict == ClaimVerdict::kRefused));
    BOOST_TEST((decision.reason == Reason::kKeyExpired));
  }
}

BOOST_AUTO_TEST_CASE(a_lost_append_response_is_resolved_by_reading_the_log)
{
  first.Begin(At({}), IdOf(1), "shop", key, kAgent);
  Flush(first, At(milliseconds(5)), log, AppendResult::kUnknown);
  BOOST_TEST(first.TakeDecisions().empty());
  Read(first, At(milliseconds(50)), log);
  BOOST_TEST((OnlyDecision(first).verdict == ClaimVerdict::kWon));
}

BOOST_AUTO_TEST_CASE(a_claim_read_after_its_timeout_never_wins_and_frees_the_key)
{
  first.Begin(At({}), IdOf(1), "shop", key, kAgent);
  Log delayed;
  Flush(first, At(milliseconds(5)), delayed, AppendResult::kUnknown);
  first.OnTimer(At(seconds(5)));
  const ClaimDecision refused = OnlyDecision(first);
  BOOST_TEST((refused.verdict == ClaimVerdict::kRefused));
  BOOST_TEST((refused.reason == Reason::kLogDown));
  log = delayed;
  Read(first, At(seconds(6)), log);
  BOOST_TEST(first.TakeDecisions().empty());
  BOOST_TEST(Flush(first, At(seconds(7)), log, AppendResult::kAppended));
  second.Begin(At(seconds(8)), IdOf(2), "shop", key, kAgent);
  Flush(second, At(seconds(9)), log, AppendResult::kAppended);
  Read(second, At(seconds(9)), log);
  BOOST_TEST((OnlyDecision(second).verdict == ClaimVerdict::kWon));
}

BOOST_AUTO_TEST_CASE(a_claim_read_after_a_process_pause_does_not_win)
{
  first.Begin(At({}), IdOf(1), "shop", key, kAgent);
  Flush(first, At(milliseconds(5)), log, AppendResult::kAppended);
  Read(first, At(seconds(30)), log);
  BOOST_TEST((OnlyDecision(first).reason == Reason::kLogDown));
}

BOOST_AUTO_TEST_CASE(a_failed_append_is_retried_until_the_timeout)
{
  first.Begin(At({}), IdOf(1), "shop", key, kAgent);
  BOOST_TEST(Flush(first, At(milliseconds(5)), log, AppendResult::kFailed));
  BOOST_TEST(!Flush(first, At(milliseconds(6)), log, AppendResult::kFailed));
  BOOST_TEST((first.NextTimer() <= TimePoint(milliseconds(105))));
  BOOST_TEST(Flush(first, At(milliseconds(105)), log, AppendResult::kAppended));
  Read(first, At(milliseconds(106)), log);
  BOOST_TEST((OnlyDecision(first).verdict == ClaimVerdict::kWon));
}

BOOST_AUTO_TEST_CASE(a_retry_of_a_finished_call_gets_the_recorded_answer)
{
  this->WinClaim();
  first.Finish(At(milliseconds(9)), IdOf(1), Outcome::kAnswered, 201, "van 7");
  Flush(first, At(milliseconds(20)), log, AppendResult::kAppended);
  Read(second, At(milliseconds(30)), log);
  second.Begin(At(milliseconds(31)), IdOf(2), "shop", key, kAgent);
  const ClaimDecision decision = OnlyDecision(second);
  BOOST_TEST((decision.verdict == ClaimVerdict::kReplay));
  BOOST_TEST(decision.status == 201);
  BOOST_TEST(decision.answer == "van 7");
}

BOOST_AUTO_TEST_CASE(a_result_is_appended_until_it_is_read_back)
{
  this->WinClaim();
  first.Finish(At(milliseconds(9)), IdOf(1), Outcome::kAnswered, 200, "x");
  BOOST_TEST(Flush(first, At(milliseconds(20)), log, AppendResult::kFailed));
  BOOST_TEST(Flush(first, At(seconds(2)), log, AppendResult::kUnknown));
  BOOST_TEST(Flush(first, At(seconds(4)), log, AppendResult::kAppended));
  Read(first, At(seconds(5)), log);
  BOOST_TEST(!Flush(first, At(seconds(9)), log, AppendResult::kAppended));
}

BOOST_AUTO_TEST_CASE(a_large_answer_is_not_kept_in_the_log)
{
  this->WinClaim();
  first.Finish(At(milliseconds(9)), IdOf(1), Outcome::kAnswered, 200, std::string(40000, 'x'));
  Flush(first, At(milliseconds(20)), log, AppendResult::kAppended);
  BOOST_TEST(log.back().size() < 1000U);
  Read(second, At(milliseconds(30)), log);
  second.Begin(At(milliseconds(31)), IdOf(2), "shop", key, kAgent);
  BOOST_TEST((OnlyDecision(second).verdict == ClaimVerdict::kQueryHolder));
}

BOOST_AUTO_TEST_CASE(a_key_is_not_used_for_two_different_calls)
{
  first.Begin(At({}), IdOf(1), "shop", key, kAgent, 17);
  Flush(first, At(milliseconds(5)), log, AppendResult::kAppended);
  Read(first, At(milliseconds(6)), log);
  first.TakeDecisions();
  first.Finish(At(milliseconds(9)), IdOf(1), Outcome::kAnswered, 200, "x");
  Flush(first, At(milliseconds(20)), log, AppendResult::kAppended);
  Read(second, At(milliseconds(30)), log);
  second.Begin(At(seconds(30)), IdOf(2), "shop", key, kAgent, 18);
  BOOST_TEST((OnlyDecision(second).reason == Reason::kKeyInUse));
  second.Begin(At(seconds(30)), IdOf(3), "shop", key, kAgent, 17);
  BOOST_TEST((OnlyDecision(second).verdict == ClaimVerdict::kReplay));
}

BOOST_AUTO_TEST_CASE(an_old_claim_without_a_result_is_queried_and_superseded_once)
{
  this->WinClaim();
  ClaimController third(options, NodeId{ 3 });
  for (ClaimController* claims : { &second, &third }) {
    Read(*claims, At(seconds(20)), log);
    claims->Begin(At(seconds(20)), IdOf(2), "shop", key, kAgent);
    const ClaimDecision ask = OnlyDecision(*claims);
    BOOST_TEST((ask.verdict == ClaimVerdict::kQueryHolder));
    BOOST_TEST((ask.holder == IdOf(1)));
    BOOST_TEST((ask.holderEntry == NodeId{ 1 }));
    BOOST_TEST((ask.holderAgent == kAgent));
    claims->BeginSuperseding(At(seconds(20)), IdOf(2), "shop", key, kAgent, ask.offset);
  }
  Flush(second, At(seconds(21)), log, AppendResult::kAppended);
  Flush(third, At(seconds(21)), log, AppendResult::kAppended);
  Read(second, At(seconds(21)), log);
  Read(third, At(seconds(21)), log);
  BOOST_TEST((OnlyDecision(second).verdict == ClaimVerdict::kWon));
  BOOST_TEST((OnlyDecision(third).verdict == ClaimVerdict::kRefused));
}

BOOST_AUTO_TEST_CASE(keys_possibly_claimed_in_skipped_records_are_refused)
{
  first.OnRecord(At({}), { 0, "{}" });
  first.OnRecord(At(seconds(9)), { 7, "{}" });
  first.Begin(At(seconds(10)), IdOf(1), "shop", KeyMadeAt(kStart + seconds(9)), kAgent);
  BOOST_TEST((OnlyDecision(first).reason == Reason::kKeyExpired));
  first.Begin(At(minutes(3)), IdOf(2), "shop", KeyMadeAt(kStart + minutes(2)), kAgent);
  BOOST_TEST(first.TakeDecisions().empty());
}

BOOST_AUTO_TEST_CASE(starting_at_the_oldest_record_is_not_a_gap)
{
  first.OnOldest(At({}), 7);
  BOOST_TEST(first.NextRead() == 7U);
  first.OnRecord(At({}), { 7, "{}" });
  first.Begin(At(seconds(1)), IdOf(1), "shop", key, kAgent);
  BOOST_TEST(first.TakeDecisions().empty());
}

BOOST_AUTO_TEST_CASE(a_duplicate_of_a_released_claim_does_not_reacquire_the_key)
{
  this->WinClaim();
  const std::string copy = log.front();
  first.Finish(At(milliseconds(9)), IdOf(1), Outcome::kNotRun, 0, {});
  Flush(first, At(milliseconds(20)), log, AppendResult::kAppended);
  log.push_back(copy);
  second.Begin(At(milliseconds(30)), IdOf(2), "shop", key, kAgent);
  Flush(second, At(milliseconds(40)), log, AppendResult::kAppended);
  Read(second, At(milliseconds(50)), log);
  BOOST_TEST((OnlyDecision(second).verdict == ClaimVerdict::kWon));
}

BOOST_AUTO_TEST_CASE(memory_is_bounded_by_the_key_window_and_the_answer_limit)
{
  KeyTable table(1000);
  const auto apply = [&](std::uint64_t aNumber) {
    ScopedKey scoped{ "shop", KeyMadeAt(kStart + seconds(aNumber), aNumber) };
    Claim claimed;
    claimed.key = scoped;
    claimed.attempt = aNumber;
    table.Apply(2 * aNumber, { {}, { claimed } });
    const CallResult callResult{
      scoped, {}, aNumber, Outcome::kAnswered, 200, std::string(300, 'x')
    };
    table.Apply(2 * aNumber + 1, { { callResult }, {} });
    return scoped;
  };
  const ScopedKey oldest = apply(0);
  for (std::uint64_t number = 1; number < 10; ++number) {
    apply(number);
  }
  BOOST_TEST(!table.Find(oldest)->holder->answer.has_value());
  BOOST_TEST((table.Find(oldest)->holder->outcome == Outcome::kAnswered));
  BOOST_TEST(table.Find(apply(11))->holder->answer.has_value());
  table.Expire(kStart + seconds(10));
  BOOST_TEST(table.Size() == 1U);
}

BOOST_AUTO_TEST_SUITE_END()

namespace {

constexpr std::size_t kEntries = 3;

// A won claim whose request has not been run, abandoned or refused by a tombstone.
struct PendingGrant
{
  RequestId id;
  std::string key;
  std::size_t entry = 0;
  bool isOrphan = false; // its entry was restarted; the grant may still be in flight
};

// Simulates several entries on a log that delays, duplicates and loses appends, and one agent with
// tombstones.
class ClaimSimulation
{
public:
  ClaimSimulation()
  {
    for (std::size_t entry = 0; entry < kEntries; ++entry) {
      this->Restart(entry);
    }
    for (std::uint64_t number = 0; number < 3; ++number) {
      this->keys.push_back(KeyMadeAt(kStart, number + 1));
    }
  }

  void Step()
  {
    const auto entry = *rc::gen::inRange<std::size_t>(0, kEntries);
    switch (*rc::gen::weightedElement<int>(
      { { 4, 0 }, { 8, 1 }, { 8, 2 }, { 3, 3 }, { 3, 4 }, { 3, 5 }, { 1, 6 }, { 1, 7 } })) {
      case 0:
        this->Begin(entry);
        break;
      case 1:
        this->Append(entry);
        break;
      case 2:
        this->ReadSome(entry, *rc::gen::inRange<std::size_t>(1, 6));
        break;
      case 3:
        this->AppendDelayed();
        break;
      case 4:
        this->AdvanceTime(entry);
        break;
      case 5:
        this->RunOne();
        break;
      case 6:
        this->Restart(entry);
        break;
      default:
        this->AbandonOne();
        break;
    }
    this->TakeDecisions(entry);
  }

private:
  Now Time() const { return At(this->time); }

  void Restart(std::size_t aEntry)
  {
    this->entries[aEntry] = std::make_unique<ClaimController>(this->options, NodeId{ aEntry + 1 });
    this->refused[aEntry].clear();
    for (PendingGrant& granted : this->pendingGrants) {
      granted.isOrphan = granted.isOrphan || granted.entry == aEntry;
    }
    this->time += milliseconds(1); // a new incarnation starts later than the old one
  }

  void Begin(std::size_t aEntry)
  {
    const std::string& key = *rc::gen::elementOf(this->keys);
    const RequestId id = IdOf(++this->lastId);
    this->keyOf[id] = key;
    this->entries[aEntry]->Begin(this->Time(), id, "shop", key, kAgent);
  }

  void Append(std::size_t aEntry)
  {
    ClaimController& claims = *this->entries[aEntry];
    this->time += milliseconds(5);
    const auto batch = claims.TakeBatch(this->Time(), 9);
    if (batch.empty()) {
      return;
    }
    const auto appendBatch = [&] { this->log.insert(this->log.end(), batch.begin(), batch.end()); };
    const int appendOutcome = *rc::gen::inRange(0, 7);
    if (appendOutcome == 0) { // rejected: not in the log
      claims.OnAppended(this->Time(), 9, AppendResult::kFailed, 0);
    } else if (appendOutcome == 1) { // the response is lost and the records appear late or never
      this->delayed.push_back(batch);
      claims.OnAppended(this->Time(), 9, AppendResult::kUnknown, 0);
    } else if (appendOutcome == 2) { // the response is lost and the records are duplicated
      appendBatch();
      this->delayed.push_back(batch);
      claims.OnAppended(this->Time(), 9, AppendResult::kUnknown, 0);
    } else if (appendOutcome == 3) { // no response
      appendBatch();
    } else {
      appendBatch();
      claims.OnAppended(this->Time(), 9, AppendResult::kAppended, this->log.size() - batch.size());
    }
  }

  void ReadSome(std::size_t aEntry, std::size_t aCount)
  {
    ClaimController& claims = *this->entries[aEntry];
    while (aCount-- > 0 && claims.NextRead() < this->log.size()) {
      const LogOffset offset = claims.NextRead();
      claims.OnRecord(this->Time(), { offset, this->log[offset] });
    }
  }

  void AppendDelayed()
  {
    if (this->delayed.empty()) {
      return;
    }
    const auto index = *rc::gen::inRange<std::size_t>(0, this->delayed.size());
    std::swap(this->delayed[index], this->delayed.back());
    this->log.insert(this->log.end(), this->delayed.back().begin(), this->delayed.back().end());
    this->delayed.pop_back();
  }

  // Advances the clock of all entries but runs the timer of only one, as if the others were paused.
  void AdvanceTime(std::size_t aEntry)
  {
    this->time += milliseconds(*rc::gen::inRange(1, 4000));
    this->entries[aEntry]->OnTimer(this->Time());
  }

  // The agent receives a grant and runs it unless the request has a tombstone.
  void RunOne()
  {
    if (this->pendingGrants.empty()) {
      return;
    }
    const PendingGrant granted = this->TakeGranted();
    if (this->tombstones.contains(granted.id)) {
      return;
    }
    RC_ASSERT(++this->runs[granted.key] == 1);
    this->ran.insert(granted.id);
    if (!granted.isOrphan && *rc::gen::inRange(0, 4) != 0) {
      const auto outcome = *rc::gen::element(Outcome::kAnswered, Outcome::kUnknown);
      this->entries[granted.entry]->Finish(this->Time(), granted.id, outcome, 200, granted.key);
    }
  }

  // The entry abandons a request before it sends the grant.
  void AbandonOne()
  {
    if (this->pendingGrants.empty()) {
      return;
    }
    const PendingGrant granted = this->TakeGranted();
    if (!granted.isOrphan) {
      this->entries[granted.entry]->Finish(this->Time(), granted.id, Outcome::kNotRun, 0, {});
    }
  }

  PendingGrant TakeGranted()
  {
    const auto index = *rc::gen::inRange<std::size_t>(0, this->pendingGrants.size());
    std::swap(this->pendingGrants[index], this->pendingGrants.back());
    PendingGrant granted = this->pendingGrants.back();
    this->pendingGrants.pop_back();
    return granted;
  }

  void TakeDecisions(std::size_t aEntry)
  {
    for (const ClaimDecision& decision : this->entries[aEntry]->TakeDecisions()) {
      const std::string& key = this->keyOf[decision.id];
      RC_ASSERT(!this->refused[aEntry].contains(decision.id));
      if (decision.verdict == ClaimVerdict::kWon) {
        this->CheckWon(decision, key);
        this->pendingGrants.push_back({ decision.id, key, aEntry, false });
      } else if (decision.verdict == ClaimVerdict::kReplay) {
        RC_ASSERT(this->runs[key] == 1);
        RC_ASSERT(decision.answer == key);
      } else if (decision.verdict == ClaimVerdict::kRefused) {
        this->refused[aEntry].insert(decision.id);
      } else if (*rc::gen::arbitrary<bool>()) {
        this->QueryAgent(aEntry, decision, key);
      }
    }
  }

  // At most one grant of a key may still run: the requests of the others have tombstones.
  void CheckWon(const ClaimDecision& aDecision, const std::string& aKey)
  {
    RC_ASSERT(this->runs[aKey] == 0);
    RC_ASSERT(this->offsets.insert(aDecision.offset).second);
    for (const PendingGrant& other : this->pendingGrants) {
      RC_ASSERT(other.key != aKey || this->tombstones.contains(other.id));
    }
  }

  // Queries the agent. It leaves a tombstone for a request that has not run, and then a new claim
  // may supersede the old one.
  void QueryAgent(std::size_t aEntry, const ClaimDecision& aDecision, const std::string& aKey)
  {
    if (this->ran.contains(aDecision.holder)) {
      return;
    }
    this->tombstones.insert(aDecision.holder);
    this->entries[aEntry]->BeginSuperseding(this->Time(), aDecision.id, "shop", aKey, kAgent,
                                            aDecision.offset);
  }

  EntryOptions options;
  std::array<std::unique_ptr<ClaimController>, kEntries> entries;
  std::array<std::set<RequestId>, kEntries> refused;
  Duration time{};
  Log log;
  std::vector<Log> delayed;
  std::vector<std::string> keys;
  std::map<RequestId, std::string> keyOf;
  std::vector<PendingGrant> pendingGrants;
  std::set<RequestId> tombstones;
  std::set<RequestId> ran;
  std::set<LogOffset> offsets;
  std::map<std::string, int> runs;
  std::uint64_t lastId = 0;
};

} // namespace

BOOST_AUTO_TEST_SUITE(claim_races)

BOOST_AUTO_TEST_CASE(a_key_runs_at_most_once)
{
  test::CheckProperty(
    "claims over a faulty log",
    [] {
      ClaimSimulation simulation;
      const auto steps = *rc::gen::inRange(10, 120);
      for (int step = 0; step < steps; ++step) {
        simulation.Step();
      }
    },
    1000);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace caraway
