#include "agent_fixture.h"

#include <boost/test/unit_test.hpp>

namespace caraway {

namespace {

AgentOptions LimitOf(std::uint32_t aLimit)
{
  AgentOptions options;
  options.initialLimit = aLimit;
  options.maxLimit = aLimit;
  return options;
}

struct OneSlot : AgentFixture
{
  OneSlot()
    : AgentFixture(LimitOf(1))
  {
  }
  ~OneSlot() { BOOST_TEST(this->port.Count(EventKind::kViolation) == 0U); }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(agent, OneSlot)

BOOST_AUTO_TEST_CASE(runs_a_request_from_reservation_to_finish)
{
  const RequestId id = this->Run();
  BOOST_TEST(this->port.dispatched.size() == 1U);
  this->Chunk(id, "one ");
  this->Chunk(id, "two ");
  this->End(id);
  const auto chunks = this->SentOf<caraway::Chunk>(id);
  BOOST_REQUIRE(chunks.size() == 2U);
  BOOST_TEST(chunks[1].number == 1U);
  const auto finish = this->SentOf<Finish>(id);
  BOOST_REQUIRE(finish.size() == 1U);
  BOOST_TEST((finish[0].outcome == Outcome::kAnswered));
  BOOST_TEST(finish[0].bytes == 8U);
  BOOST_TEST(finish[0].checksum == HashOf("one two "));
}

BOOST_AUTO_TEST_CASE(offers_no_more_than_the_limit)
{
  const RequestId first = this->Run();
  const Reserve second = this->MakeReserve();
  this->From(this->left, second);
  BOOST_TEST(!this->HasSent<Offer>(second.id));
  this->End(first);
  BOOST_TEST(this->HasSent<Offer>(second.id));
}

BOOST_AUTO_TEST_CASE(withdrawn_offer_frees_its_slot)
{
  const Reserve first = this->MakeReserve();
  const Reserve second = this->MakeReserve();
  this->From(this->left, first);
  this->From(this->right, second);
  BOOST_TEST(!this->HasSent<Offer>(second.id));
  this->From(this->left, Withdraw{ first.id });
  BOOST_TEST(this->HasSent<Offer>(second.id));
}

BOOST_AUTO_TEST_CASE(late_grant_is_answered_with_not_run)
{
  const Reserve late = this->MakeReserve();
  const Reserve next = this->MakeReserve();
  this->From(this->left, late);
  this->From(this->right, next);
  this->Advance(milliseconds(250));
  BOOST_TEST(this->HasSent<Offer>(next.id));
  this->GrantOffer(this->left, late.id);
  BOOST_TEST(this->port.dispatched.empty());
  const auto finish = this->SentOf<Finish>(late.id);
  BOOST_REQUIRE(finish.size() == 1U);
  BOOST_TEST((finish[0].outcome == Outcome::kNotRun));
}

BOOST_AUTO_TEST_CASE(repeated_grant_dispatches_once)
{
  const RequestId id = this->Run();
  this->GrantOffer(this->left, id);
  this->GrantOffer(this->right, id);
  BOOST_TEST(this->port.dispatched.size() == 1U);
  const auto finish = this->SentOf<Finish>(id);
  BOOST_REQUIRE(finish.size() == 1U); // only to the other entry, which never held the offer
  BOOST_TEST((finish[0].outcome == Outcome::kUnknown));
}

BOOST_AUTO_TEST_CASE(one_id_at_two_entries_is_dispatched_once)
{
  const Reserve reserve = this->MakeReserve();
  this->From(this->left, reserve);
  this->From(this->right, reserve);
  BOOST_TEST((this->SentOf<Refuse>(reserve.id).at(0).reason == Reason::kKeyInUse));
  this->GrantOffer(this->left, reserve.id);
  this->GrantOffer(this->right, reserve.id);
  BOOST_TEST(this->port.dispatched.size() == 1U);
}

BOOST_AUTO_TEST_CASE(grant_of_another_incarnation_is_refused)
{
  const Reserve reserve = this->MakeReserve();
  this->From(this->left, reserve);
  const Peer later{ this->left.node, Incarnation{ 2 } };
  this->agent.OnPeerUp(this->now, later, Hello{});
  this->GrantOffer(later, reserve.id);
  BOOST_TEST(this->port.dispatched.empty());
  this->GrantOffer(this->left, reserve.id);
  BOOST_TEST(this->port.dispatched.empty());
}

BOOST_AUTO_TEST_CASE(finished_request_never_runs_again)
{
  const Reserve reserve = this->MakeReserve();
  const RequestId id = this->Run(reserve);
  this->End(id);
  this->Advance(minutes(1));
  this->From(this->right, reserve);
  BOOST_TEST((this->SentOf<Refuse>(id).at(0).reason == Reason::kKeyInUse));
  this->Advance(minutes(20));
  this->Run(); // expires the old tombstones
  this->From(this->right, reserve);
  BOOST_TEST(this->SentOf<Offer>(id).size() == 1U);
}

BOOST_AUTO_TEST_CASE(cancel_stops_running_work_and_frees_the_slot)
{
  const RequestId id = this->Run();
  this->Chunk(id);
  this->From(this->left, Cancel{ id });
  BOOST_TEST(this->port.aborted.size() == 1U);
  BOOST_TEST((this->SentOf<Finish>(id).at(0).outcome == Outcome::kCut));
  const Reserve next = this->MakeReserve();
  this->From(this->left, next);
  BOOST_TEST(this->HasSent<Offer>(next.id));
}

BOOST_AUTO_TEST_CASE(cancel_before_the_grant_is_not_run)
{
  const Reserve reserve = this->MakeReserve();
  this->From(this->left, reserve);
  this->From(this->left, Cancel{ reserve.id });
  BOOST_TEST((this->SentOf<Finish>(reserve.id).at(0).outcome == Outcome::kNotRun));
  this->GrantOffer(this->left, reserve.id);
  BOOST_TEST(this->port.dispatched.empty());
}

BOOST_AUTO_TEST_CASE(once_calls_are_not_cancelled_and_require_a_claim)
{
  Reserve reserve = this->MakeReserve();
  reserve.kind = WorkKind::kOnce;
  this->Run(reserve);
  BOOST_TEST(this->port.dispatched.empty());
  BOOST_TEST((this->SentOf<Finish>(reserve.id).at(0).outcome == Outcome::kNotRun));
  reserve.id = this->NewId();
  this->Run(reserve, 17);
  BOOST_TEST(this->port.dispatched.size() == 1U);
  this->From(this->left, Cancel{ reserve.id });
  this->agent.OnPeerDown(this->now, this->left.node);
  this->Advance(minutes(2));
  BOOST_TEST(this->port.aborted.empty());
}

BOOST_AUTO_TEST_CASE(broken_work_outcome_tells_whether_it_may_have_run)
{
  const RequestId begun = this->Run();
  this->Chunk(begun);
  this->End(begun, WorkEnd::kBroken);
  BOOST_TEST((this->SentOf<Finish>(begun).at(0).outcome == Outcome::kCut));
  const RequestId silent = this->Run();
  this->End(silent, WorkEnd::kBroken);
  BOOST_TEST((this->SentOf<Finish>(silent).at(0).outcome == Outcome::kUnknown));
  const RequestId unsent = this->Run();
  this->End(unsent, WorkEnd::kUnsent);
  BOOST_TEST((this->SentOf<Finish>(unsent).at(0).outcome == Outcome::kNotRun));
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace caraway
