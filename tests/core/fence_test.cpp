#include "agent_fixture.h"

#include "core/fence.h"

#include <boost/test/unit_test.hpp>

namespace caraway {

namespace {

LogRecord MakeOrder(LogOffset aOffset, std::optional<LogOffset> aBase)
{
  Record record;
  record.kind = RecordKind::kOrder;
  record.kindName = "order";
  record.name = "order-1";
  record.changeId = "change-" + std::to_string(aOffset);
  record.baseRevision = aBase;
  record.body = { { "node", "agent-1" }, { "order", { { "load", "v2" } } } };
  return LogRecord{ aOffset, EncodeRecord(record) };
}

LogRecord MakeDrain(LogOffset aOffset)
{
  Record record;
  record.kind = RecordKind::kDrain;
  record.kindName = "drain";
  record.name = "agent-1";
  record.changeId = "drain-" + std::to_string(aOffset);
  record.body = { { "drained", true } };
  return LogRecord{ aOffset, EncodeRecord(record) };
}

} // namespace

BOOST_AUTO_TEST_SUITE(fence)

BOOST_AUTO_TEST_CASE(older_and_repeated_fencing_tokens_are_refused)
{
  Fence fence;
  BOOST_TEST(fence.Admit(5));
  BOOST_TEST(!fence.Admit(5));
  BOOST_TEST(!fence.Admit(4));
  BOOST_TEST(fence.Admit(6));
  BOOST_TEST(!fence.Admit(kNoOffset));
}

BOOST_FIXTURE_TEST_CASE(order_in_the_log_is_delivered_once, AgentFixture)
{
  const ConfigTail tail{ 0, 1, "", 0, { MakeOrder(0, std::nullopt) } };
  this->From(this->left, tail);
  this->From(this->right, tail);
  BOOST_TEST(this->port.orders.size() == 1U);
  this->From(this->right, ConfigTail{ 1, 2, "", 0, { MakeOrder(1, 0) } });
  this->From(this->left, tail);
  BOOST_REQUIRE(this->port.orders.size() == 2U);
  BOOST_TEST(this->port.orders[1] == 1U);
}

BOOST_FIXTURE_TEST_CASE(missing_records_are_requested, AgentFixture)
{
  Hello hello;
  hello.configOffset = 9;
  this->From(this->left, hello);
  const auto isRequest = [](const auto& aSent) {
    return std::holds_alternative<ConfigRequest>(aSent.second);
  };
  BOOST_TEST(std::any_of(this->port.sent.begin(), this->port.sent.end(), isRequest));
}

BOOST_FIXTURE_TEST_CASE(drain_record_returns_reservations, AgentFixture)
{
  const RequestId running = this->Run();
  std::vector<Reserve> waiting;
  for (int i = 0; i < 5; i++) {
    waiting.push_back(this->MakeReserve());
    this->From(this->left, waiting.back());
  }
  this->From(this->left, ConfigTail{ 0, 1, "", 0, { MakeDrain(0) } });
  BOOST_TEST(this->agent.CurrentHello().leaving);
  const auto refused = this->SentOf<Refuse>(waiting.back().id);
  BOOST_REQUIRE(refused.size() == 1U);
  BOOST_TEST((refused[0].reason == Reason::kDraining));
  this->End(running);
  BOOST_TEST(this->SentOf<Offer>(waiting.back().id).empty());
  this->Advance(seconds(1));
  this->From(this->right, this->MakeReserve());
  BOOST_TEST(this->port.dispatched.size() == 1U);
  BOOST_TEST(this->port.aborted.empty());
}

BOOST_FIXTURE_TEST_CASE(offer_stays_valid_while_leaving_until_its_timeout, AgentFixture)
{
  const Reserve reserve = this->MakeReserve();
  this->From(this->left, reserve);
  this->agent.BeginLeaving(this->now);
  this->GrantOffer(this->left, reserve.id);
  BOOST_TEST(this->port.dispatched.size() == 1U);
  this->End(reserve.id);
  this->From(this->left, Ack{ reserve.id, 0, true });
  BOOST_TEST(this->agent.Idle());
}

BOOST_FIXTURE_TEST_CASE(brake_and_evidence_reach_the_other_entries, AgentFixture)
{
  this->port.sent.clear();
  this->From(this->left, Brake{ "move-1", "v2" });
  BOOST_REQUIRE(this->port.sent.size() == 1U);
  BOOST_TEST((this->port.sent[0].first == this->right.node));
  this->From(this->left, EvidenceReport{ { { "tiny", "v2", "/chat", 0, 5, 1, 0 } } });
  this->From(this->right, EvidenceReport{ { { "tiny", "v2", "/chat", 0, 2, 1, 0 } } });
  this->port.sent.clear();
  this->Advance(seconds(2));
  std::vector<EvidenceReport> reports;
  for (const auto& [to, message] : this->port.sent) {
    if (const auto* report = std::get_if<EvidenceReport>(&message)) {
      reports.push_back(*report);
    }
  }
  BOOST_REQUIRE(reports.size() == 2U);
  BOOST_TEST(reports[0].counts.at(0).good == 7U);
  BOOST_TEST(reports[0].counts.at(0).bad == 2U);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace caraway
