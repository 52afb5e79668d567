#include "agent_fixture.h"

#include "core/suspect.h"

#include <boost/test/unit_test.hpp>

namespace caraway {

namespace {

// The endpoint crashes: the connections of aRunning break and the probe fails.
void Crash(AgentFixture& aFixture, const std::vector<RequestId>& aRunning)
{
  for (const RequestId& id : aRunning) {
    aFixture.End(id, WorkEnd::kBroken);
  }
  aFixture.agent.OnProbe(aFixture.now, false);
}

void Recover(AgentFixture& aFixture)
{
  const int before = aFixture.port.probes;
  while (aFixture.port.probes == before) {
    aFixture.Advance(milliseconds(100));
  }
  aFixture.agent.OnProbe(aFixture.now, true);
}

} // namespace

BOOST_AUTO_TEST_SUITE(suspect)

BOOST_AUTO_TEST_CASE(second_crash_refuses_until_expiry)
{
  SuspectTable table(10, minutes(10));
  TimePoint now{ seconds(1) };
  BOOST_TEST((table.Judge(now, 1) == Verdict::kClear));
  table.OnCrash(now, 1, 100);
  BOOST_TEST((table.Judge(now, 1) == Verdict::kExclusive));
  table.OnCrash(now, 1, 101);
  BOOST_TEST((table.Judge(now, 1) == Verdict::kRefused));
  BOOST_TEST((table.Judge(now + minutes(11), 1) == Verdict::kClear));
}

BOOST_AUTO_TEST_CASE(table_is_bounded)
{
  SuspectTable table(3, minutes(10));
  for (std::uint64_t i = 1; i <= 100; i++) {
    table.OnCrash(TimePoint{ seconds(1) }, i, 100);
  }
  BOOST_TEST(table.Size() == 3U);
  BOOST_TEST((table.Judge(TimePoint{ seconds(2) }, 100) == Verdict::kExclusive));
}

// Bystanders of many crashes displaced a fingerprint that was refused before them.
BOOST_AUTO_TEST_CASE(a_full_table_keeps_refused_fingerprints)
{
  SuspectTable table(10, minutes(10));
  const TimePoint now{ seconds(1) };
  table.OnCrash(now, 1, 100);
  table.OnCrash(now, 1, 101);
  for (std::uint64_t bystander = 2; bystander <= 100; bystander++) {
    table.OnCrash(now, bystander, 102);
  }
  BOOST_TEST(table.Size() == 10U);
  BOOST_TEST((table.Judge(now, 1) == Verdict::kRefused));
  for (std::uint64_t refused = 101; refused <= 200; refused++) {
    table.OnCrash(now, refused, 103);
    table.OnCrash(now, refused, 104);
  }
  BOOST_TEST(table.Size() == 10U);
  BOOST_TEST((table.Judge(now, 200) == Verdict::kRefused));
}

BOOST_AUTO_TEST_CASE(remote_reports_count_once)
{
  SuspectTable table(3, minutes(10));
  const TimePoint now{ seconds(1) };
  const Suspicion first{ 1, { { 100, false } }, minutes(5) };
  BOOST_TEST(table.OnSuspicion(now, first));
  BOOST_TEST(!table.OnSuspicion(now, first));
  BOOST_TEST(!table.OnCrash(now, 1, 100));
  BOOST_TEST((table.Judge(now, 1) == Verdict::kExclusive));
  BOOST_TEST(table.OnSuspicion(now, { 1, { { 100, false }, { 101, false } }, minutes(5) }));
  BOOST_TEST((table.Judge(now, 1) == Verdict::kRefused));
}

// Two processes each observe one crash at the same time, without knowledge of the other.
BOOST_AUTO_TEST_CASE(crashes_seen_by_different_processes_add_up)
{
  SuspectTable table(3, minutes(10));
  const TimePoint now{ seconds(1) };
  table.OnCrash(now, 1, 100);
  BOOST_TEST(table.OnSuspicion(now, { 1, { { 101, false } }, minutes(5) }));
  BOOST_TEST((table.Judge(now, 1) == Verdict::kRefused));
}

BOOST_AUTO_TEST_CASE(late_reports_of_cleared_crashes_are_ignored)
{
  SuspectTable table(3, minutes(10));
  const TimePoint now{ seconds(1) };
  const Suspicion report{ 1, { { 100, false } }, minutes(5) };
  table.OnSuspicion(now, report);
  BOOST_TEST(table.Clear(1));
  BOOST_TEST(!table.OnSuspicion(now, report));
  BOOST_TEST((table.Judge(now, 1) == Verdict::kClear));
  table.OnCrash(now, 1, 101);
  BOOST_TEST((table.Judge(now, 1) == Verdict::kExclusive));
}

BOOST_FIXTURE_TEST_CASE(crash_marks_all_running_requests_suspect_and_notifies_entries, AgentFixture)
{
  const Reserve first = this->MakeReserve();
  this->Run(first);
  const RequestId second = this->Run();
  Crash(*this, { first.id });
  BOOST_TEST((this->SentOf<Finish>(second).at(0).outcome == Outcome::kUnknown));
  int notifications = 0;
  for (const auto& [to, message] : this->port.sent) {
    notifications += std::holds_alternative<Suspicion>(message) ? 1 : 0;
  }
  BOOST_TEST(notifications == 4); // two fingerprints to two entries
}

BOOST_FIXTURE_TEST_CASE(suspect_runs_alone_and_is_cleared_by_success, AgentFixture)
{
  Reserve culprit = this->MakeReserve();
  Crash(*this, { this->Run(culprit) });
  Recover(*this);
  const RequestId warmUp = this->Run();
  this->End(warmUp);
  const RequestId other = this->Run();
  culprit.id = this->NewId();
  this->From(this->left, culprit);
  BOOST_TEST(!this->HasSent<Offer>(culprit.id));
  const Reserve behind = this->MakeReserve();
  this->From(this->left, behind);
  this->End(other);
  BOOST_TEST(this->HasSent<Offer>(culprit.id));
  this->GrantOffer(this->left, culprit.id);
  BOOST_TEST(!this->HasSent<Offer>(behind.id));
  this->Advance(milliseconds(100));
  this->End(culprit.id);
  BOOST_TEST(this->HasSent<Offer>(behind.id));
  culprit.id = this->NewId();
  this->Run(culprit);
  BOOST_TEST(this->port.dispatched.back().low == culprit.id.low);
}

BOOST_FIXTURE_TEST_CASE(second_crash_refuses_the_culprit_only, AgentFixture)
{
  Reserve culprit = this->MakeReserve();
  Reserve bystander = this->MakeReserve();
  const RequestId first = this->Run(culprit);
  Crash(*this, { first, this->Run(bystander) });
  Recover(*this);
  bystander.id = this->NewId();
  this->Run(bystander);
  this->End(bystander.id);
  culprit.id = this->NewId();
  this->From(this->left, culprit);
  this->Advance(milliseconds(100));
  this->GrantOffer(this->left, culprit.id);
  Crash(*this, { culprit.id });
  Recover(*this);
  culprit.id = this->NewId();
  this->From(this->right, culprit);
  const auto refused = this->SentOf<Refuse>(culprit.id);
  BOOST_REQUIRE(refused.size() == 1U);
  BOOST_TEST((refused[0].reason == Reason::kSuspect));
  BOOST_TEST((refused[0].retryAfter > minutes(9)));
  bystander.id = this->NewId();
  this->From(this->left, bystander);
  BOOST_TEST(this->HasSent<Offer>(bystander.id));
  BOOST_TEST(this->port.Count(EventKind::kViolation) == 0U);
}

BOOST_FIXTURE_TEST_CASE(failed_probe_does_not_abort_progressing_requests, AgentFixture)
{
  const RequestId alive = this->Run();
  const RequestId broken = this->Run();
  this->End(broken, WorkEnd::kBroken);
  this->Advance(milliseconds(10));
  this->Chunk(alive);
  this->agent.OnProbe(this->now, false);
  BOOST_TEST(!this->HasSent<Finish>(alive));
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace caraway
