// Documents of another writer: deeply nested, with numbers out of range, or of unexpected types.
#include "../core/property.h"
#include "platform/dialect.h"
#include "platform/documents.h"

#include <boost/test/unit_test.hpp>

namespace caraway::platform {

namespace {

constexpr std::chrono::milliseconds kNow(1782881111562);

std::string Nested(std::size_t aDepth, char aOpen = '[', char aClose = ']')
{
  return std::string(aDepth, aOpen) + std::string(aDepth, aClose);
}

void ReadAll(const std::string& aText)
{
  std::string error;
  std::vector<Finding> findings;
  ResponseHead head;
  head.status = 200;
  ReadConfig(aText, error);
  ReadEndpoint("i-1", aText, kNow);
  ReadNodeSettings(aText, findings);
  ReadMoveOrder(1, aText);
  ReadMoveStatus(aText);
  PlatformReports("h").ReadReport(head, aText);
}

} // namespace

BOOST_AUTO_TEST_SUITE(odd_documents)

BOOST_AUTO_TEST_CASE(deeply_nested_documents_do_not_end_the_process)
{
  for (const std::size_t depth : { 1000U, 100000U, 1000000U }) {
    ReadAll(R"({"service":"pool","odd":)" + Nested(depth) + "}");
    ReadAll(R"({"version":1,"routes":)" + Nested(depth) + "}");
    ReadAll(Nested(depth));
    ReadAll(std::string(depth, '['));
    ReadAll(R"({"a":)" + Nested(depth, '{', '}'));
  }
}

// Each names no endpoint to use. One whose start lies in the future would displace the live
// endpoint at its address.
BOOST_AUTO_TEST_CASE(odd_registrations_name_no_endpoint)
{
  const auto read = [](const std::string& aFields, const std::string& aId = "i-1") {
    return ReadEndpoint(aId, R"({"service":"pool","state":"ready",)" + aFields + "}", kNow);
  };
  const std::string address = R"("address":"10.0.0.1:80")";
  BOOST_TEST(read(address).has_value());
  BOOST_TEST(read(address + R"(,"born":1782881111000,"seq":7,"slots":6)").has_value());
  for (const char* odd :
       { R"("born":1e300)", R"("born":1e999)", R"("born":-1)", R"("born":1782881111.5)",
         R"("born":"now")", R"("born":18446744073709551615)", R"("born":9223372036854775807)",
         R"("seq":-4)", R"("seq":1e300)", R"("seq":[])", R"("slots":1e300)", R"("slots":"six")",
         R"("zone":3)", R"("version":{})" }) {
    BOOST_TEST(!read(address + "," + odd).has_value(), odd);
  }
  for (const char* odd : { "10.0.0.1:0", "10.0.0.1:65536", "10.0.0.1:99999", "10.0.0.1:-1",
                           "10.0.0.1:80x", "10.0.0.1", ":80", "example.org:80" }) {
    BOOST_TEST(!read(R"("address":")" + std::string(odd) + "\"").has_value(), odd);
  }
  for (const char* odd : { "", "i 1", "i\r\nX: y", "i\xc3\xa9" }) {
    BOOST_TEST(!read(address, odd).has_value());
  }
}

BOOST_AUTO_TEST_CASE(numbers_out_of_range_are_cut_or_rejected)
{
  std::string error;
  const auto config =
    ReadConfig(R"({"version":1,"routes":[{"name":"r","host":"h","timeout-ms":9223372036854775807,
      "target-latency-ms":1e300,"priority":1e18,"max-attempts":1e18,"service":"a"}],
      "limits":{"max-header-bytes":1e18,"idle-timeout-ms":-5}})",
               error);
  BOOST_REQUIRE(config != nullptr);
  BOOST_TEST((config->routes.at(0).timeout > Duration::zero()));
  BOOST_TEST((config->routes.at(0).objective == Duration::zero()));
  BOOST_TEST(config->routes.at(0).maxRuns >= 1U);
  BOOST_TEST(config->limits.headBytes > 0U);
  BOOST_TEST((config->limits.idleTimeout == Duration::zero()));
  BOOST_TEST(ReadConfig(R"({"version":1e300})", error) == nullptr);
  BOOST_TEST(!ReadMoveOrder(1, R"({"service":"a","target":"v2","duration-s":1e300})").has_value());
  std::vector<Finding> findings;
  BOOST_TEST(!ReadNodeSettings(R"({"node":"a","role":"entry","ip":"10.0.0.1","zone":"z",
    "internal-ports":[70000,70015],"platform":{"address":"10.0.0.9:80"}})",
                               findings)
                .has_value());
}

BOOST_AUTO_TEST_CASE(brackets_in_strings_are_no_nesting)
{
  const std::string text = R"({"service":"pool","state":"ready","address":"10.0.0.1:80","zone":")" +
                           std::string(500, '[') + R"(\"{\\"})";
  BOOST_TEST(ReadEndpoint("i-1", text, kNow).has_value());
}

// Values of all types in all fields of a registration.
BOOST_AUTO_TEST_CASE(registrations_with_arbitrary_values_are_read_or_skipped)
{
  const std::vector<std::string> names{ "service", "address", "zone", "version", "slots",
                                        "state",   "seq",     "born", "odd" };
  const std::vector<std::string> values{ "null",
                                         "true",
                                         "-1",
                                         "0",
                                         "6",
                                         "1e300",
                                         "-1e300",
                                         "1e-300",
                                         "18446744073709551615",
                                         "-9223372036854775808",
                                         "99999999999999999999999",
                                         "1782881111562",
                                         "\"ready\"",
                                         "\"pool\"",
                                         "\"10.0.0.1:80\"",
                                         "\"10.0.0.1:99999\"",
                                         "\"\"",
                                         "[]",
                                         "{}",
                                         Nested(200),
                                         "\"\\u0000\"",
                                         "\xff" };
  test::CheckProperty(
    "registrations",
    [&](const std::vector<unsigned>& aPicks) {
      std::string text;
      for (std::size_t index = 0; index < names.size(); index++) {
        const std::size_t pick = index < aPicks.size() ? aPicks[index] : 0;
        text += (text.empty() ? "{\"" : ",\"") + names[index] +
                "\":" + values[(pick + index) % values.size()];
      }
      text += "}";
      const auto info = ReadEndpoint("i-1", text, kNow);
      RC_ASSERT(!info || (info->port > 0 && info->slots >= 1 && info->bornMs >= 0));
      ReadAll(text);
    },
    2000);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace caraway::platform
