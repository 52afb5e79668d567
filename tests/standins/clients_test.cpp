// The runtime's HTTP clients against the stand-ins, on one main loop.
#include "core/uuid.h"
#include "runtime/endpoint_client.h"
#include "runtime/log_client.h"
#include "standins/answer.h"
#include "standins/delayed.h"
#include "standins/engine_server.h"
#include "standins/platform_server.h"
#include "standins/service_server.h"

#include <nlohmann/json.hpp>

#include <boost/test/unit_test.hpp>

using namespace caraway;
using Json = nlohmann::json;

namespace {

const Duration kPatience = std::chrono::seconds(20);

// Runs the main loop until aDone holds.
template<class Done>
void RunUntil(Done aDone)
{
  bool late = false;
  Timer limit([&late] { late = true; });
  limit.ArmAfter(kPatience);
  while (!aDone()) {
    BOOST_REQUIRE_MESSAGE(!late, "the event did not come");
    g_main_context_iteration(nullptr, TRUE);
  }
}

std::string AddressOf(HttpService& aService)
{
  return "127.0.0.1:" + std::to_string(aService.Listen("127.0.0.1:0").value());
}

struct Recorder final : EndpointHandler
{
  struct Answer
  {
    std::string text;
    std::uint32_t tokens = 0;
    std::vector<WorkResult> ends;
  };

  void OnWorkChunk(const RequestId& aId, std::uint32_t aTokens, const std::string& aData) override
  {
    this->answers[aId].text += aData;
    this->answers[aId].tokens += aTokens;
  }
  void OnWorkEnd(const RequestId& aId, const WorkResult& aResult) override
  {
    this->answers[aId].ends.push_back(aResult);
    ++this->ended;
  }
  void OnProbe(bool aReachable) override { this->probes.push_back(aReachable); }
  void OnOrderDone(LogOffset, bool aAccepted) override { this->orders.push_back(aAccepted); }

  // Answer to the request with the id { 1, aLow }.
  Answer& Of(std::uint64_t aLow) { return this->answers[{ 1, aLow }]; }

  std::map<RequestId, Answer> answers;
  std::size_t ended = 0;
  std::vector<bool> probes;
  std::vector<bool> orders;
};

// Does a call and returns the body of its answer.
std::string Fetch(const HttpRequest& aRequest)
{
  std::string body;
  bool done = false;
  HttpSession session{ Duration::zero() };
  session.Start(aRequest, { nullptr, [&](std::string_view aData) { body.append(aData); },
                            [&](const HttpEnd&) { done = true; } });
  RunUntil([&] { return done; });
  return body;
}

std::string Post(const std::string& aAddress, const std::string& aPath, const Json& aBody)
{
  HttpRequest request;
  request.method = "POST";
  request.address = aAddress;
  request.path = aPath;
  request.body = aBody.dump();
  return Fetch(request);
}

std::string Chat(const std::string& aText, std::uint32_t aTokens)
{
  return Json{
    { "model", "m" },
    { "messages", Json::array({ { { "role", "user" }, { "content", aText } } }) },
    { "max_tokens", aTokens }
  }.dump();
}

std::string ExpectedText(const std::string& aText, std::uint32_t aTokens)
{
  std::string text;
  for (std::uint32_t index = 0; index < aTokens; ++index) {
    text += ExpectedToken(aText, index);
  }
  return text;
}

EngineOptions FastEngine()
{
  EngineOptions options;
  options.speed = 10;
  options.kvTokens = 1000000;
  return options;
}

EngineServerOptions FencingEngine()
{
  EngineServerOptions options;
  options.checksFencing = true;
  return options;
}

const std::string kChatRoute = "/v1/chat/completions";

// An engine behind HTTP and a client of it.
struct EngineFixture
{
  void Dispatch(const RequestId& aId, const std::string& aText, std::uint32_t aTokens)
  {
    this->client.Dispatch(aId, WorkKind::kCompletion, kChatRoute, Chat(aText, aTokens));
  }

  Json Counts()
  {
    HttpRequest request;
    request.address = this->address;
    request.path = "/counts";
    return Json::parse(Fetch(request));
  }

  SystemClock clock;
  FaultPlan plan{ {}, clock.Read().steady, 1 };
  EngineServer engine{ FastEngine(), FencingEngine(), plan, clock };
  HttpService service{ [this](const auto& aExchange) { engine.Handle(aExchange); } };
  std::string address = AddressOf(service);
  Recorder recorder;
  EndpointClient client{ address, recorder };
};

struct LogFixture
{
  void Fault(const Json& aFault) { Post(this->address, "/fault", aFault); }

  AppendResult Append(const std::string& aRecord, LogOffset& aOffset)
  {
    std::optional<AppendResult> result;
    this->client.Append({ aRecord }, [&](AppendResult aResult, LogOffset aFirst) {
      result = aResult;
      aOffset = aFirst;
    });
    RunUntil([&] { return result.has_value(); });
    return *result;
  }

  std::vector<LogRecord> ReadFrom(LogOffset aFrom)
  {
    std::optional<std::vector<LogRecord>> records;
    this->client.Follow(
      aFrom,
      [&](LogOffset, LogOffset, std::vector<LogRecord> aRead) { records = std::move(aRead); },
      [&](std::error_code aError) { BOOST_FAIL(aError.message()); });
    RunUntil([&] { return records.has_value(); });
    return *records;
  }

  SystemClock clock;
  PlatformServer platform{ clock };
  HttpService service{ [this](const auto& aExchange) { platform.Handle(aExchange); } };
  std::string address = AddressOf(service);
  LogClient client{ address };
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(endpoint_client, EngineFixture)

BOOST_AUTO_TEST_CASE(many_streams_are_whole_and_each_its_own)
{
  constexpr std::uint32_t kStreams = 400;
  for (std::uint32_t index = 0; index < kStreams; ++index) {
    this->Dispatch({ 1, index }, "message " + std::to_string(index), 5 + index % 20);
  }
  RunUntil([&] { return this->recorder.ended == kStreams; });
  for (std::uint32_t index = 0; index < kStreams; ++index) {
    const Recorder::Answer& answer = this->recorder.Of(index);
    const std::uint32_t tokens = 5 + index % 20;
    BOOST_TEST(answer.text == ExpectedText("message " + std::to_string(index), tokens));
    BOOST_TEST(answer.tokens == tokens);
    BOOST_REQUIRE_EQUAL(answer.ends.size(), 1);
    BOOST_TEST((answer.ends[0].end == WorkEnd::kComplete));
    BOOST_TEST(answer.ends[0].outputTokens == tokens);
  }
  BOOST_TEST(this->Counts()["arrivals"] == kStreams);
}

BOOST_AUTO_TEST_CASE(an_engine_that_closes_after_reading_sees_one_arrival)
{
  this->Dispatch({ 1, 1 }, "first", 3);
  RunUntil([&] { return this->recorder.ended == 1; });
  this->plan.Faults().closeAfterReading = true;
  for (std::uint32_t index = 2; index < 20; ++index) {
    this->Dispatch({ 1, index }, "later", 3);
  }
  RunUntil([&] { return this->recorder.ended == 19; });
  const Json counts = this->Counts();
  for (std::uint32_t index = 2; index < 20; ++index) {
    const RequestId id{ 1, index };
    BOOST_TEST(counts["by_request"][FormatUuid(id)] == 1);
    BOOST_TEST((this->recorder.Of(index).ends[0].end == WorkEnd::kBroken));
  }
}

BOOST_AUTO_TEST_CASE(only_a_failed_connect_counts_as_unsent)
{
  std::uint16_t port = 0;
  {
    HttpService closed([](const auto&) {});
    port = closed.Listen("127.0.0.1:0").value();
  }
  EndpointClient nowhere("127.0.0.1:" + std::to_string(port), this->recorder);
  nowhere.Dispatch({ 1, 1 }, WorkKind::kCompletion, kChatRoute, Chat("x", 1));
  RunUntil([&] { return this->recorder.ended == 1; });
  BOOST_TEST((this->recorder.Of(1).ends[0].end == WorkEnd::kUnsent));
}

BOOST_AUTO_TEST_CASE(failures_are_errors_or_broken_streams)
{
  this->plan.Faults().failRatio = 1;
  this->Dispatch({ 1, 1 }, "x", 10); // odd arrivals break in the middle
  RunUntil([&] { return this->recorder.ended == 1; });
  this->Dispatch({ 1, 2 }, "x", 10);
  RunUntil([&] { return this->recorder.ended == 2; });
  BOOST_TEST((this->recorder.Of(1).ends[0].end == WorkEnd::kBroken));
  BOOST_TEST(this->recorder.Of(1).tokens <= 5);
  BOOST_TEST(ExpectedText("x", 10).starts_with(this->recorder.Of(1).text));
  BOOST_TEST((this->recorder.Of(2).ends[0].end == WorkEnd::kError));
  BOOST_TEST(this->recorder.Of(2).ends[0].status == 500);
}

BOOST_AUTO_TEST_CASE(an_abort_frees_the_slot_of_running_and_stalled_requests)
{
  this->Dispatch({ 1, 1 }, "x", 100000);
  RunUntil([&] { return this->recorder.Of(1).tokens > 0; });
  this->client.Abort({ 1, 1 });
  RunUntil([&] { return this->Counts()["cancelled"] == 1; });
  Post(this->address, "/fault", { { "stall", true } });
  this->Dispatch({ 1, 2 }, "x", 100000);
  RunUntil([&] { return this->Counts()["arrivals"] == 2; });
  this->client.Abort({ 1, 2 });
  RunUntil([&] { return this->Counts()["cancelled"] == 2; });
  BOOST_TEST(this->Counts()["running"] == 0);
  BOOST_TEST(this->recorder.ended == 0);
}

BOOST_AUTO_TEST_CASE(an_abort_from_inside_a_chunk_is_safe)
{
  struct Aborter final : EndpointHandler
  {
    void OnWorkChunk(const RequestId& aId, std::uint32_t, const std::string&) override
    {
      ++this->chunks;
      this->client->Abort(aId);
    }
    void OnWorkEnd(const RequestId&, const WorkResult&) override { ++this->ends; }
    void OnProbe(bool) override {}
    void OnOrderDone(LogOffset, bool) override {}
    EndpointClient* client = nullptr;
    int chunks = 0;
    int ends = 0;
  } aborter;
  EndpointClient aborting(this->address, aborter);
  aborter.client = &aborting;
  aborting.Dispatch({ 1, 1 }, WorkKind::kCompletion, kChatRoute, Chat("x", 1000));
  RunUntil([&] { return this->Counts()["cancelled"] == 1; });
  BOOST_TEST(aborter.chunks == 1);
  BOOST_TEST(aborter.ends == 0);
}

BOOST_AUTO_TEST_CASE(orders_are_fenced_and_probes_answered)
{
  this->client.Order(7, R"({"load":"v2"})");
  RunUntil([&] { return this->recorder.orders.size() == 1; });
  this->client.Order(6, R"({"load":"v1"})");
  RunUntil([&] { return this->recorder.orders.size() == 2; });
  BOOST_TEST(this->recorder.orders[0]);
  BOOST_TEST(!this->recorder.orders[1]);
  this->client.Probe();
  RunUntil([&] { return this->recorder.probes.size() == 1; });
  BOOST_TEST(this->recorder.probes[0]);
}

BOOST_AUTO_TEST_CASE(a_plain_service_gives_its_body)
{
  ServiceServer server(this->plan, this->clock);
  HttpService plain([&](const auto& aExchange) { server.Handle(aExchange); });
  EndpointClient toPlain(AddressOf(plain), this->recorder);
  toPlain.Dispatch({ 1, 1 }, WorkKind::kOnce, "/orders/new", R"({"blocks":12})");
  RunUntil([&] { return this->recorder.ended == 1; });
  const Recorder::Answer& answer = this->recorder.Of(1);
  BOOST_TEST(answer.ends[0].body == ExpectedEcho(R"({"blocks":12})"));
  BOOST_TEST(answer.text.empty()); // given once: the agent passes on chunks and body
  BOOST_TEST((answer.ends[0].end == WorkEnd::kComplete));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_FIXTURE_TEST_SUITE(log_client, LogFixture)

BOOST_AUTO_TEST_CASE(appends_are_read_back_at_their_offsets)
{
  LogOffset first = 0;
  LogOffset second = 0;
  BOOST_TEST((this->Append("a", first) == AppendResult::kAppended));
  BOOST_TEST((this->Append("b", second) == AppendResult::kAppended));
  BOOST_TEST(second == first + 1);
  BOOST_TEST(this->ReadFrom(second).at(0).data == "b");
}

BOOST_AUTO_TEST_CASE(a_lost_answer_is_unknown_and_the_record_is_there_once)
{
  this->Fault({ { "lose_append_answers", 1 } });
  LogOffset offset = 0;
  BOOST_TEST((this->Append("a", offset) == AppendResult::kUnknown));
  BOOST_TEST(this->ReadFrom(0).size() == 1);
}

BOOST_AUTO_TEST_CASE(an_outage_refuses_appends_without_effect)
{
  this->Fault({ { "log_down", true } });
  LogOffset offset = 0;
  BOOST_TEST((this->Append("a", offset) == AppendResult::kFailed));
  this->Fault({ { "log_down", false } });
  BOOST_TEST((this->Append("b", offset) == AppendResult::kAppended));
  BOOST_TEST(offset == 0);
}

BOOST_AUTO_TEST_CASE(a_waiting_read_gets_the_record_that_comes)
{
  std::vector<LogRecord> records;
  this->client.Follow(
    0, [&](LogOffset, LogOffset, std::vector<LogRecord> aRead) { records = std::move(aRead); },
    [&](std::error_code aError) { BOOST_FAIL(aError.message()); });
  LogOffset offset = 0;
  this->Append("a", offset);
  RunUntil([&] { return !records.empty(); });
  BOOST_TEST(records[0].data == "a");
}

BOOST_AUTO_TEST_CASE(vms_are_listed_with_their_place)
{
  Post(this->address, "/v1/vms",
       Json::parse(R"({"name":"a1","role":"agent","address":"127.0.0.1","port":7,"region":"r",
         "failure_domain":"r-a","pool":"m","version":"v1","state":"leaving"})"));
  std::vector<Vm> vms;
  this->client.ListVms([&](std::error_code, std::vector<Vm> aVms) { vms = std::move(aVms); });
  RunUntil([&] { return !vms.empty(); });
  BOOST_TEST(vms[0].name == "a1");
  BOOST_TEST((vms[0].role == Role::kAgent));
  BOOST_TEST(vms[0].failureDomain == "r-a");
  BOOST_TEST((vms[0].state == VmState::kLeaving));
}

BOOST_AUTO_TEST_SUITE_END()
