// What the platform's documents and answers say about cold workers.
#include "platform/dialect.h"
#include "platform/documents.h"

#include <boost/test/unit_test.hpp>

namespace caraway::platform {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const milliseconds kNow(1000000);

std::optional<milliseconds> ColdIn(const std::string& aText)
{
  ResponseHead head;
  head.status = 200;
  head.fields = { { "cold-ms", aText } };
  return PlatformDialect().ParseNotice(head).coldRemaining;
}

milliseconds RegisteredCold(const std::string& aValue)
{
  const std::string text = R"({"service":"pool","address":"10.128.0.9:8080","zone":"z",
    "version":"v1","slots":6,"state":"ready","cold-remaining-ms":)" +
                           aValue + "}";
  const auto info = ReadEndpoint("i-1", text, kNow);
  BOOST_REQUIRE(info.has_value());
  return info->coldRemaining;
}

} // namespace

BOOST_AUTO_TEST_SUITE(cold_documents)

BOOST_AUTO_TEST_CASE(reads_how_long_a_worker_stays_cold)
{
  BOOST_TEST((RegisteredCold("2900") == milliseconds(2900)));
  BOOST_TEST((RegisteredCold("0") == milliseconds(0)));
  BOOST_TEST((ColdIn("1500") == milliseconds(1500)));
  BOOST_TEST((ColdIn("0") == milliseconds(0)));
  BOOST_TEST((ColdIn("-7") == milliseconds(0)));
  BOOST_TEST((*ColdIn("999999999999") <= std::chrono::hours(1)));
  BOOST_TEST(!ColdIn("soon").has_value());
  BOOST_TEST(!PlatformDialect().ParseNotice(ResponseHead{}).coldRemaining.has_value());
}

BOOST_AUTO_TEST_CASE(reads_what_cold_workers_bear)
{
  std::string error;
  const auto config = ReadConfig(
    R"({"version":1,"routes":[],"services":[{"name":"pool","cold-start-s":3,"cold-per-s":10},
        {"name":"app"},{"name":"odd","cold-start-s":1e300,"cold-per-s":-3}]})",
    error);
  BOOST_REQUIRE(config != nullptr);
  BOOST_TEST((config->FindService("pool")->coldTime == seconds(3)));
  BOOST_TEST(config->FindService("pool")->coldRate == 10);
  BOOST_TEST(config->FindService("app")->coldRate == 0);
  BOOST_TEST(config->FindService("odd")->coldRate == 0);
  std::vector<Finding> findings;
  const auto settings = ReadNodeSettings(
    R"({"node":"s","role":"agent","ip":"10.1.0.2","zone":"z","app":"10.1.0.2:80",
        "internal-ports":[7600,7615],"bounds":{"cold-overage":1.5,"cold-slack":5},
        "platform":{"address":"10.200.1.7:8225"}})",
    findings);
  BOOST_REQUIRE(settings.has_value());
  BOOST_TEST(settings->coldOverage == 1.5);
  BOOST_TEST(settings->coldSlack == 5);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace caraway::platform
