#include "../core/property.h"
#include "platform/dialect.h"
#include "platform/documents.h"
#include "platform/store_client.h"

#include <boost/test/unit_test.hpp>

#include <algorithm>

namespace caraway::platform {

namespace {

using direct::CallKind;
using gateway::ResponseKind;
using std::chrono::milliseconds;

const std::string kConfig = R"({"version":7,"routes":[
  {"name":"r1","host":"h.example","path-prefix":"/a/","route-type":"stream","timeout-ms":4000,
   "target-latency-ms":500,"priority":1,"service":"pool","max-attempts":2,"stream-resume":true},
  {"name":"r2","host":"h.example","path-prefix":"/b/","route-type":"safe",
   "traffic-split":[{"service":"app","weight":90},{"service":"pool","weight":10}],"no-auth":true}],
  "services":[{"name":"pool","max-connections":370,"engine":{"slots":6}},{"name":"app"}],
  "limits":{"max-header-bytes":8000,"max-body-bytes":100,"header-timeout-ms":2000,"idle-timeout-ms":9000},
  "tenants":[{"name":"t","api-keys":["k1","k2"],"priority":1,"unit":"tokens","plain-tokens":200,
   "rate-per-s":85589,"burst":85590}]})";

const milliseconds kNow(1000000);

const std::string kSettings = R"({"node":"front-1","role":"entry","ip":"10.1.0.25","zone":"brno-a",
  "listen":{"front":"10.1.0.25:8221","ready":"10.1.0.25:8224"},"internal-ports":[7600,7615],
  "bounds":{"revoke-ms":5000,"grace-s":8,"retry-budget-ratio":0.2,"budget-extra":56,"quota-slack":110000},
  "platform":{"address":"10.200.1.7:8225"},"something-new":{"x":1}})";

RequestHead MakeHead(HeaderFields aFields)
{
  RequestHead head;
  head.method = "POST";
  head.target = "/a/2f?x=1";
  head.fields = std::move(aFields);
  return head;
}

ResponseHead MakeAnswer(std::uint16_t aStatus, HeaderFields aFields)
{
  ResponseHead head;
  head.status = aStatus;
  head.fields = std::move(aFields);
  return head;
}

} // namespace

BOOST_AUTO_TEST_SUITE(documents)

BOOST_AUTO_TEST_CASE(reads_move_order)
{
  const auto order = ReadMoveOrder(9, R"({"service":"pool","target":"v2","duration-s":12})");
  BOOST_REQUIRE(order.has_value());
  BOOST_TEST(order->service == "pool");
  BOOST_TEST(order->version == "v2");
  BOOST_TEST((order->duration == std::chrono::seconds(12)));
  BOOST_TEST(order->offset == 9U);
  BOOST_TEST(!ReadMoveOrder(9, R"({"service":"pool","duration-s":12})").has_value());
  BOOST_TEST(!ReadMoveOrder(9, R"({"service":"pool","target":"v2"})").has_value());
}

BOOST_AUTO_TEST_CASE(move_status_round_trips)
{
  const direct::MoveOrder order{ "pool", "v2", std::chrono::seconds(12), 9, 3 };
  for (const auto stage : { direct::MoveStage::kCanary, direct::MoveStage::kCompleted,
                            direct::MoveStage::kRolledBack }) {
    const std::string text = WriteMoveStatus(order, stage);
    const auto status = ReadMoveStatus(text);
    BOOST_REQUIRE(status.has_value());
    BOOST_TEST((status->stage == stage), text);
    BOOST_TEST(status->version == "v2");
    BOOST_TEST((status->era == 3U));
    BOOST_TEST(status->offset == 9U);
  }
  const auto shift = ReadMoveStatus(WriteMoveStatus(order, direct::MoveStage::kShift));
  BOOST_TEST((shift && shift->stage == direct::MoveStage::kCanary));
  BOOST_TEST(!ReadMoveStatus("{").has_value());
  BOOST_TEST(!ReadMoveStatus(R"({"target":"v2","state":"odd"})").has_value());
}

// Builds before 2026-12-07 did not name the order.
BOOST_AUTO_TEST_CASE(a_move_status_without_its_order_is_read)
{
  const auto status = ReadMoveStatus(R"({"service":"pool","target":"v2","state":"completed"})");
  BOOST_REQUIRE(status.has_value());
  BOOST_TEST((status->stage == direct::MoveStage::kCompleted));
  BOOST_TEST(!status->era.has_value());
}

BOOST_AUTO_TEST_CASE(reads_complete_configuration)
{
  std::string error;
  const auto config = ReadConfig(kConfig, error);
  BOOST_REQUIRE(config != nullptr);
  BOOST_TEST(config->version == 7U);
  const direct::Route* stream = config->FindRoute("h.example", "/a/x");
  BOOST_REQUIRE(stream != nullptr);
  BOOST_TEST((stream->kind == CallKind::kStream));
  BOOST_TEST(stream->isResumable);
  BOOST_TEST(!stream->isPublic);
  BOOST_TEST((stream->timeout == milliseconds(4000)));
  BOOST_TEST((stream->objective == milliseconds(500)));
  BOOST_TEST(stream->maxRuns == 2U);
  const direct::Route* split = config->FindRoute("h.example", "/b/");
  BOOST_REQUIRE(split != nullptr);
  BOOST_TEST(split->isPublic);
  BOOST_TEST(split->services.size() == 2U);
  BOOST_TEST(config->FindService("pool")->engineSlots == 6U);
  BOOST_TEST(config->FindService("app")->engineSlots == 0U);
  const direct::AccountSpec* account = config->FindAccount("k2");
  BOOST_REQUIRE(account != nullptr);
  BOOST_TEST(account->name == "t");
  BOOST_TEST(account->countsTokens);
  BOOST_TEST(account->quota.burst == 85590);
  BOOST_TEST((config->FindAccount("k3") == nullptr));
  BOOST_TEST(config->limits.headBytes == 8000U);
}

BOOST_AUTO_TEST_CASE(reads_regions_and_cold_times)
{
  std::string error;
  const auto config = ReadConfig(
    R"({"version":7,"routes":[{"name":"r","host":"h","path-prefix":"/a/","route-type":"safe",)"
    R"("service":"pool","allowed-regions":["north",3,"south"],"gap-aim-ms":400}],)"
    R"("services":[{"name":"pool","cold-start-s":2.5,"cold-per-s":4,)"
    R"("engine":{"slots":6,"kv-capacity":225321}}],)"
    R"("tenants":[{"name":"t","api-keys":["k"],"allowed-regions":["north"]}]})",
    error);
  BOOST_REQUIRE(config != nullptr);
  BOOST_TEST((config->routes[0].regions == std::vector<std::string>{ "north", "south" }));
  BOOST_TEST((config->routes[0].maxEventGap == milliseconds(400)));
  BOOST_TEST((config->accounts[0].regions == std::vector<std::string>{ "north" }));
  BOOST_TEST((config->services.at("pool").coldTime == milliseconds(2500)));
  BOOST_TEST(config->services.at("pool").coldRate == 4);
  BOOST_TEST(config->services.at("pool").engineTokens == 225321U);
  const auto plain = ReadConfig(kConfig, error);
  BOOST_REQUIRE(plain != nullptr);
  BOOST_TEST(plain->routes[0].regions.empty());
  BOOST_TEST(plain->accounts[0].regions.empty());
}

BOOST_AUTO_TEST_CASE(reads_regions_and_bounds_of_settings)
{
  std::vector<Finding> findings;
  const std::string more =
    R"({"region":"north","zones":{"brno-a":"north","x":1},"limits":{"memory-mb":88,"max-fds":4100},)";
  auto settings = ReadNodeSettings(more + kSettings.substr(1), findings);
  BOOST_REQUIRE(settings.has_value());
  BOOST_TEST(settings->region == "north");
  BOOST_TEST(settings->regions.at("brno-a") == "north");
  BOOST_TEST(settings->regions.at("x").empty());
  BOOST_TEST(settings->memoryBytes == std::uint64_t{ 88 } << 20);
  BOOST_TEST(settings->maxDescriptors == 4100U);
  BOOST_TEST((settings->evacuationBound == milliseconds(5000)));
  std::string bounded = kSettings;
  bounded.replace(bounded.find("\"grace-s\""), 0,
                  R"("evacuate-ms":3000,"cold-overage":1.5,"cold-slack":5,)");
  settings = ReadNodeSettings(bounded, findings);
  BOOST_REQUIRE(settings.has_value());
  BOOST_TEST((settings->evacuationBound == milliseconds(3000)));
  BOOST_TEST(settings->coldOverage == 1.5);
  BOOST_TEST(settings->coldSlack == 5);
}

BOOST_AUTO_TEST_CASE(rejects_malformed_registrations)
{
  const std::string good =
    R"({"service":"pool","address":"10.128.0.9:8080","zone":"z","version":"v1","slots":6,"state":"ready","seq":4,"born":123})";
  const auto info = ReadEndpoint("i-1", good, kNow);
  BOOST_REQUIRE(info.has_value());
  BOOST_TEST(info->host == "10.128.0.9");
  BOOST_TEST(info->bornMs == 123);
  BOOST_TEST(info->sequence == 4U);
  for (const std::string bad :
       { "", "[]", "{}", "\xff\xfe", R"({"service":3,"address":"10.0.0.1:1","state":"ready"})",
         R"({"service":"a","address":"nowhere","state":"ready"})",
         R"({"service":"a","address":"10.0.0.1:1","state":"resting"})" }) {
    BOOST_TEST(!ReadEndpoint("i-2", bad, kNow).has_value());
  }
}

BOOST_AUTO_TEST_CASE(reports_all_findings_in_settings)
{
  std::vector<Finding> findings;
  const auto settings = ReadNodeSettings(kSettings, findings);
  BOOST_REQUIRE(settings.has_value());
  BOOST_TEST(findings.empty());
  BOOST_TEST(settings->callers->port == 8221);
  BOOST_TEST(settings->firstPort == 7600);
  BOOST_TEST(settings->quotaSlack == 110000);
  BOOST_TEST(!ReadNodeSettings(R"({"node":"a","listen":{"front":"x"}})", findings).has_value());
  BOOST_TEST(findings.size() >= 5U);
}

BOOST_AUTO_TEST_CASE(decoders_do_not_crash_on_arbitrary_bytes)
{
  test::CheckProperty("documents", [](const std::string& aNoise, unsigned aPlace) {
    for (const std::string& whole : { kConfig, kSettings }) {
      std::string text = whole;
      text.insert(aPlace % text.size(), aNoise);
      std::string error;
      std::vector<Finding> findings;
      ReadConfig(text, error);
      ReadEndpoint("i", text, kNow);
      ReadNodeSettings(text, findings);
      DecodeReadResponse(text, 3);
      PlatformReports("h").ReadReport(MakeAnswer(200, {}), text);
    }
  });
}

BOOST_AUTO_TEST_CASE(keyed_records_round_trip)
{
  std::string bytes(16, '\0');
  bytes[7] = 9; // end
  bytes += EncodeRecord("config", "{}");
  bytes += EncodeRecord("gone", "");
  const auto read = DecodeReadResponse(bytes, 5);
  BOOST_REQUIRE(read.has_value());
  BOOST_TEST(read->end == 9U);
  BOOST_TEST(read->nextOffset == 7U);
  BOOST_TEST(read->records[0].value.value() == "{}");
  BOOST_TEST(read->records[1].offset == 6U);
  BOOST_TEST(!read->records[1].value.has_value());
  BOOST_TEST(!DecodeReadResponse(bytes.substr(0, bytes.size() - 1), 5).has_value());
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(dialect)

// A caller must not be able to set header fields that are reserved for the gateway.
BOOST_AUTO_TEST_CASE(reserved_fields_of_callers_are_not_forwarded)
{
  const PlatformDialect dialect;
  const auto request = dialect.ReadRequest(MakeHead({ { "Host", "h.example:80" },
                                                      { "Request-Id", "r1" },
                                                      { "Authorization", "Bearer k1" },
                                                      { "tenant", "other" },
                                                      { "HOLD", "1" },
                                                      { "Pin-Ms", "9" },
                                                      { "Kv-Backup", "x" },
                                                      { "Kv-From", "x" },
                                                      { "Kv-Fetch", "x" },
                                                      { "Expect-Instance", "i" },
                                                      { "Expect-Version", "2" },
                                                      { "Deadline-Ms", "900" },
                                                      { "Connection", "x-hop" },
                                                      { "X-Hop", "1" },
                                                      { "Transfer-Encoding", "chunked" },
                                                      { "Token-Counts", "100, 20" },
                                                      { "Model", "m" },
                                                      { "X-Other", "kept" } }));
  BOOST_REQUIRE(request.has_value());
  BOOST_TEST(request->key == "k1");
  BOOST_TEST(request->host == "h.example");
  BOOST_TEST((*request->timeLeft == milliseconds(900)));
  BOOST_TEST(request->promptTokens == 100U);
  BOOST_TEST(request->outputTokens == 20U);
  std::vector<std::string> names;
  for (const HeaderField field : request->forwarded) {
    names.push_back(field.name);
  }
  BOOST_TEST((
    names == std::vector<std::string>{ "Host", "Request-Id", "Token-Counts", "Model", "X-Other" }));
}

BOOST_AUTO_TEST_CASE(rejects_request_without_exactly_one_id)
{
  const PlatformDialect dialect;
  BOOST_TEST(!dialect.ReadRequest(MakeHead({ { "Host", "h" } })).has_value());
  BOOST_TEST(
    !dialect
       .ReadRequest(MakeHead({ { "Host", "h" }, { "Request-Id", "a" }, { "Request-Id", "b" } }))
       .has_value());
}

// Such a field would be dropped, and the endpoint would run another request than the caller's.
BOOST_AUTO_TEST_CASE(connection_options_that_name_fields_of_the_request_are_rejected)
{
  const PlatformDialect dialect;
  for (const char* options :
       { "Model", "close, model", "keep-alive,\ttoken-counts", "Prompt-Prefix\t", "Request-Id",
         "Host", "Content-Length", "x, Transfer-Encoding" }) {
    BOOST_TEST(!dialect
                  .ReadRequest(MakeHead({ { "Host", "h" },
                                          { "Request-Id", "r1" },
                                          { "Model", "m" },
                                          { "Token-Counts", "1,2" },
                                          { "Prompt-Prefix", "a:1" },
                                          { "Connection", options } }))
                  .has_value(),
               options);
  }
}

BOOST_AUTO_TEST_CASE(reads_all_parts_of_a_prompt_but_the_last)
{
  const PlatformDialect dialect;
  const auto partsOf = [&](const std::string& aPrefix) {
    const auto request = dialect.ReadRequest(
      MakeHead({ { "Request-Id", "r1" }, { "Host", "h" }, { "Prompt-Prefix", aPrefix } }));
    return request.value().promptParts;
  };
  using Parts = std::vector<std::uint64_t>;
  BOOST_TEST(
    (partsOf("5c1e07a2:800, 91BD3F06:410,e4402b7d:250") == Parts{ 0x5c1e07a2, 0x91bd3f06 }));
  BOOST_TEST((partsOf("91bd3f06,5c1e07a2:800,e4402b7d:250") == Parts{ 0x91bd3f06, 0x5c1e07a2 }));
  BOOST_TEST(partsOf("e4402b7d:250").empty());
  BOOST_TEST(partsOf("").empty());
  // An ID that cannot be parsed still identifies its part.
  const Parts odd = partsOf("x y:1,11112222333344445555:2,7:1");
  BOOST_TEST(odd.size() == 2U);
  BOOST_TEST((odd == partsOf("x y:3,11112222333344445555:4,8:1")));
}

BOOST_AUTO_TEST_CASE(endpoint_request_has_one_content_length_and_remaining_time)
{
  const PlatformDialect dialect;
  auto request = dialect.ReadRequest(
    MakeHead({ { "Host", "h" }, { "Request-Id", "r1" }, { "Content-Length", "99" } }));
  gateway::EndpointCall call{ *request, "body" };
  call.account = "t";
  call.endpointId = "i-1";
  call.timeLeft = milliseconds(1234);
  call.resumeAfter = 5;
  BOOST_TEST(dialect.WriteEndpointRequest(call) ==
             "POST /a/2f?x=1 HTTP/1.1\r\nHost: h\r\nRequest-Id: r1\r\nDeadline-Ms: 1234\r\n"
             "Expect-Instance: i-1\r\nTenant: t\r\nLast-Event-Id: 5\r\nContent-Length: 4\r\n\r\n"
             "body");
}

BOOST_AUTO_TEST_CASE(classifies_responses)
{
  const PlatformDialect dialect;
  const HeaderField proof{ "Response-Stamp", "s" };
  BOOST_TEST((dialect.Classify(MakeAnswer(200, { proof })) == ResponseKind::kSuccess));
  BOOST_TEST((dialect.Classify(MakeAnswer(200, {})) == ResponseKind::kInvalid));
  BOOST_TEST((dialect.Classify(MakeAnswer(200, { proof, { "Content-Encoding", "gzip" } })) ==
              ResponseKind::kInvalid));
  BOOST_TEST((dialect.Classify(MakeAnswer(500, { proof })) == ResponseKind::kFailure));
  BOOST_TEST(
    (dialect.Classify(MakeAnswer(503, { { "not-executed", "1" } })) == ResponseKind::kNotRun));
  BOOST_TEST((dialect.Classify(MakeAnswer(503, { proof })) == ResponseKind::kFailure));
  BOOST_TEST((dialect.Classify(MakeAnswer(503, {})) == ResponseKind::kInvalid));
  BOOST_TEST((dialect.Classify(MakeAnswer(421, {})) == ResponseKind::kMisdirected));
}

BOOST_AUTO_TEST_CASE(statuses_that_promise_not_run)
{
  const PlatformDialect dialect;
  for (const std::uint16_t status : { 408, 421, 429, 503 }) {
    BOOST_TEST(dialect.PromisesNotRun(status));
  }
  for (const std::uint16_t status : { 200, 400, 404, 500, 502, 504 }) {
    BOOST_TEST(!dialect.PromisesNotRun(status));
  }
}

BOOST_AUTO_TEST_CASE(reads_endpoint_notices)
{
  const PlatformDialect dialect;
  BOOST_TEST(!dialect.ParseNotice(MakeAnswer(200, {})).isLeaving);
  BOOST_TEST(dialect.ParseNotice(MakeAnswer(200, { { "server-leaving", "1" } })).isLeaving);
  const HeaderField retry{ "Retry-After", "1.5" };
  using std::chrono::milliseconds;
  BOOST_TEST((dialect.ParseNotice(MakeAnswer(503, { retry })).rest == milliseconds(1500)));
  BOOST_TEST((dialect.ParseNotice(MakeAnswer(429, { retry })).rest == Duration::zero()));
  for (const char* text : { "", "-3", "soon", "nan", "Wed, 21 Oct 2015 07:28:00 GMT" }) {
    BOOST_TEST(
      (dialect.ParseNotice(MakeAnswer(503, { { "Retry-After", text } })).rest == Duration::zero()));
  }
  BOOST_TEST((dialect.ParseNotice(MakeAnswer(503, { { "Retry-After", "1e300" } })).rest <=
              std::chrono::minutes(10)));
  const auto rateOf = [&](const char* aText) {
    return dialect.ParseNotice(MakeAnswer(200, { { "server-limit", aText } }));
  };
  BOOST_TEST(dialect.ParseNotice(MakeAnswer(200, {})).isRateKnown);
  BOOST_TEST(!dialect.ParseNotice(MakeAnswer(200, {})).maxRate.has_value());
  BOOST_TEST(rateOf("3.3").maxRate.value() == 3.3);
  BOOST_TEST(rateOf("0").maxRate.value() == 0);
  for (const char* text : { "", "-3", "inf", "nan", "1e999", "3,3", "3 a second" }) {
    BOOST_TEST(!rateOf(text).isRateKnown, text);
    BOOST_TEST(!rateOf(text).maxRate.has_value(), text);
  }
  const auto leaving = PlatformReports("h").ReadReport(
    MakeAnswer(200, { { "Server-Leaving", "1" } }), R"({"born":7,"state":"ready"})");
  BOOST_TEST(leaving.has_value());
  BOOST_TEST(leaving->isLeaving);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace caraway::platform
