#include "core/record.h"
#include "records.h"

#include <boost/test/unit_test.hpp>

#include <algorithm>

namespace caraway {

using test::AccountBody;
using test::HashText;
using test::MakeRecord;

namespace {

bool HasPlace(const std::vector<Finding>& aFindings, std::string_view aPlace)
{
  return std::ranges::any_of(aFindings,
                             [&](const Finding& aFinding) { return aFinding.place == aPlace; });
}

std::vector<Finding> FindingsOf(const Record& aRecord)
{
  std::vector<Finding> findings;
  CheckBody(aRecord, findings);
  return findings;
}

} // namespace

BOOST_AUTO_TEST_SUITE(record)

BOOST_AUTO_TEST_CASE(text_form_round_trips)
{
  const Record written = MakeRecord(RecordKind::kAccount, "shop", "c1", 17, AccountBody('a'));
  std::vector<Finding> findings;
  const auto read = DecodeRecord(EncodeRecord(written), findings);
  BOOST_REQUIRE(read.has_value());
  BOOST_TEST(findings.empty());
  BOOST_TEST((read->kind == RecordKind::kAccount));
  BOOST_TEST(read->name == "shop");
  BOOST_TEST(read->changeId == "c1");
  BOOST_TEST((read->baseRevision == LogOffset{ 17 }));
  BOOST_TEST(read->body == written.body);
}

BOOST_AUTO_TEST_CASE(every_finding_of_the_envelope_is_reported_with_its_place)
{
  std::vector<Finding> findings;
  BOOST_TEST(!DecodeRecord(R"({"schema_version":0,"kind":3,"name":"","body":[]})", findings));
  for (const char* place :
       { "/schema_version", "/kind", "/name", "/change_id", "/base_revision", "/body" }) {
    BOOST_TEST(HasPlace(findings, place), place);
  }
}

BOOST_AUTO_TEST_CASE(text_that_is_not_an_object_is_a_finding)
{
  for (const char* text : { "", "{", "[]", "3", "\xff" }) {
    std::vector<Finding> findings;
    BOOST_TEST(!DecodeRecord(text, findings));
    BOOST_TEST(findings.size() == 1U);
  }
}

BOOST_AUTO_TEST_CASE(unknown_kinds_and_newer_schemas_are_read_but_not_checked)
{
  std::vector<Finding> findings;
  const auto kind = DecodeRecord(
    R"({"schema_version":2,"kind":"quota","name":"x","change_id":"c","base_revision":null,"body":{"a":1}})",
    findings);
  BOOST_REQUIRE(kind.has_value());
  BOOST_TEST((kind->kind == RecordKind::kUnknown));
  BOOST_TEST(kind->kindName == "quota");
  Record newer = MakeRecord(RecordKind::kAccount, "shop", "c", std::nullopt, { { "a", 1 } });
  newer.schemaVersion = kSchemaVersion + 1;
  BOOST_TEST(FindingsOf(newer).empty());
}

BOOST_AUTO_TEST_CASE(accounts_have_one_key_in_schema_1_and_a_list_in_schema_2)
{
  const nlohmann::json first = { { "key_hash", HashText('a') }, { "highest_tier", 0 } };
  Record record = MakeRecord(RecordKind::kAccount, "shop", "c", std::nullopt, first);
  record.schemaVersion = 1;
  BOOST_TEST(FindingsOf(record).empty());
  record.schemaVersion = 2;
  const auto findings = FindingsOf(record);
  BOOST_TEST(HasPlace(findings, "/body/key_hash"));
  BOOST_TEST(HasPlace(findings, "/body/key_hashes"));
  BOOST_TEST(
    FindingsOf(MakeRecord(RecordKind::kAccount, "shop", "c", std::nullopt, AccountBody('a')))
      .empty());
}

BOOST_AUTO_TEST_CASE(all_findings_of_a_body_are_reported_together)
{
  const nlohmann::json body = { { "key_hashes", { HashText('a'), "A", 3 } },
                                { "highest_tier", 9 },
                                { "weight", "much" },
                                { "a/b", 1 } };
  const auto findings = FindingsOf(MakeRecord(RecordKind::kAccount, "s", "c", std::nullopt, body));
  BOOST_TEST(findings.size() == 5U);
  for (const char* place : { "/body/key_hashes/1", "/body/key_hashes/2", "/body/highest_tier",
                             "/body/weight", "/body/a~1b" }) {
    BOOST_TEST(HasPlace(findings, place), place);
  }
}

BOOST_AUTO_TEST_CASE(a_move_requires_distinct_versions_and_a_later_finish_time)
{
  nlohmann::json body = test::MoveBody("chat");
  body["to"] = "v1";
  body["finish_by_ms"] = 1000;
  const auto findings = FindingsOf(MakeRecord(RecordKind::kMove, "m", "c", std::nullopt, body));
  BOOST_TEST(HasPlace(findings, "/body/to"));
  BOOST_TEST(HasPlace(findings, "/body/finish_by_ms"));
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace caraway
