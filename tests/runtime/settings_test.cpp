#include "runtime/settings.h"

#include <boost/test/unit_test.hpp>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <fstream>
#include <iterator>
#include <vector>

namespace caraway {

namespace {

nlohmann::json ValidCommon()
{
  return { { "name", "entry-1" },          { "region", "r" },
           { "failure_domain", "brno-a" }, { "platform", "127.0.0.1:1" },
           { "admin", "127.0.0.1:2" },     { "cluster_key", std::string(64, 'a') },
           { "listen", "127.0.0.1:3" } };
}

nlohmann::json ValidEntry()
{
  nlohmann::json json = ValidCommon();
  json["peer_listen"] = "127.0.0.1:4";
  return json;
}

nlohmann::json ValidAgent()
{
  nlohmann::json json = ValidCommon();
  json["endpoint"] = "[::1]:5";
  json["endpoint_kind"] = "service";
  json["pool"] = "orders";
  json["version"] = "v1";
  return json;
}

// JSON pointers of all findings, sorted.
std::vector<std::string> PlacesOf(const std::string& aText)
{
  std::vector<Finding> findings;
  BOOST_TEST(!ReadEntrySettings(aText, findings).has_value());
  std::vector<std::string> places;
  places.reserve(findings.size());
  for (const Finding& finding : findings) {
    places.push_back(finding.place);
  }
  std::sort(places.begin(), places.end());
  return places;
}

using Places = std::vector<std::string>;

} // namespace

BOOST_AUTO_TEST_SUITE(settings)

BOOST_AUTO_TEST_CASE(valid_settings_are_read)
{
  auto json = ValidEntry();
  json["seed"] = 7;
  json["max_body_bytes"] = 1000;
  json["options"] = { { "claim_batch_delay_ms", 2.5 }, { "max_requests", 9 } };
  json["links"] = { { "heartbeat_ms", 100 } };
  std::vector<Finding> findings;
  const auto read = ReadEntrySettings(json.dump(), findings);
  BOOST_REQUIRE(read.has_value());
  BOOST_TEST(findings.empty());
  BOOST_TEST(read->listen.port == 3);
  BOOST_TEST(*read->seed == 7U);
  BOOST_TEST(read->maxBodyBytes == 1000U);
  BOOST_TEST(read->options.maxRequests == 9U);
  BOOST_TEST(read->options.claimBatchDelay.count() == 2500);
  BOOST_TEST(read->links.heartbeatInterval.count() == 100000);
  BOOST_TEST(read->clusterKey[31] == 0xaa);

  const auto agent = ReadAgentSettings(ValidAgent().dump(), findings);
  BOOST_REQUIRE(agent.has_value());
  BOOST_TEST((agent->endpointKind == WorkKind::kService));
  BOOST_TEST(agent->endpoint.host == "::1");
}

BOOST_AUTO_TEST_CASE(all_findings_are_reported_together_with_their_places)
{
  auto json = ValidEntry();
  json.erase("region");
  json["admin"] = "localhost:2";
  json["log_level"] = "loud";
  json["tiers"] = 4;
  json["options"] = { { "max_requests", 0 }, { "small_pool", 1.5 }, { "none", 1 } };
  json["links"] = { { "heartbeat_ms", "x" } };
  json["tls"] = { { "certificate_file", "a" } };
  BOOST_TEST(
    PlacesOf(json.dump()) ==
      (Places{ "/admin", "/links/heartbeat_ms", "/log_level", "/options/max_requests",
               "/options/none", "/options/small_pool", "/region", "/tiers", "/tls/key_file" }),
    boost::test_tools::per_element());
}

BOOST_AUTO_TEST_CASE(settings_text_must_be_a_json_object)
{
  BOOST_TEST(PlacesOf("{") == (Places{ "" }), boost::test_tools::per_element());
  BOOST_TEST(PlacesOf("[]") == (Places{ "" }), boost::test_tools::per_element());
}

BOOST_AUTO_TEST_CASE(cluster_key_is_given_exactly_once_and_complete)
{
  auto none = ValidEntry();
  none.erase("cluster_key");
  auto both = ValidEntry();
  both["cluster_key_file"] = "x";
  auto shortKey = ValidEntry();
  shortKey["cluster_key"] = "abc";
  auto noDigits = ValidEntry();
  noDigits["cluster_key"] = std::string(64, 'g');
  auto noFile = none;
  noFile["cluster_key_file"] = "/nonexistent/key";
  for (const auto& json : { none, both, shortKey, noDigits }) {
    BOOST_TEST(PlacesOf(json.dump()) == (Places{ "/cluster_key" }),
               boost::test_tools::per_element());
  }
  BOOST_TEST(PlacesOf(noFile.dump()) == (Places{ "/cluster_key_file" }),
             boost::test_tools::per_element());
}

BOOST_AUTO_TEST_CASE(conflicting_limits_are_reported)
{
  auto json = ValidEntry();
  json["max_body_bytes"] = 3 << 20;
  json["links"] = { { "heartbeat_ms", 1000 }, { "peer_timeout_ms", 1500 } };
  BOOST_TEST(PlacesOf(json.dump()) == (Places{ "/links/peer_timeout_ms", "/max_body_bytes" }),
             boost::test_tools::per_element());
}

BOOST_AUTO_TEST_CASE(reference_page_matches_the_code)
{
  std::ifstream file(CARAWAY_SOURCE_DIR "/docs/SETTINGS.md");
  const std::string page(std::istreambuf_iterator<char>(file), {});
  BOOST_TEST(page == SettingsReference());
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace caraway
