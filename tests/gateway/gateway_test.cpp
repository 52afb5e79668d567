#include "fixture.h"

#include <boost/test/unit_test.hpp>

namespace caraway::gateway {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;
using Connection = ScriptedEndpoint::Connection;

// A caller with a stream in progress at its own endpoint; the test decides when it ends.
struct OpenStream
{
  explicit OpenStream(GatewayFixture& aFixture)
    : client(aFixture.gateway->Port())
  {
    aFixture.AddEndpoint([this](Connection& aTo, const RequestHead& aHead) {
      this->endpoint = &aTo;
      aTo.Write(StreamHead(aHead) + Chunk("id: 1\ndata: a\n\n"));
    });
    this->client.Send(GatewayFixture::Request("/stream/x", "r1"));
    BOOST_REQUIRE(RunUntil([this] { return Contains(this->client.Received(), "data: a\n\n"); }));
  }
  void Finish() { this->endpoint->Write(Chunk("id: 2\ndata: b\n\n") + "0\r\n\r\n"); }
  bool ReceivesEnd()
  {
    return RunUntil([this] { return Contains(this->client.Received(), "\r\n0\r\n\r\n"); });
  }

  RawTcpClient client;
  Connection* endpoint = nullptr;
};

// A gateway that receives states from an entry with a lower address.
struct SecondEntry
  : GatewayFixture
  , PeerMessageHandler
  , QuotaStore
{
  SecondEntry()
    : GatewayFixture(GatewaySettings().leaveNotice, "127.0.0.2")
    , first(this->poller, Peer{ NodeId{ 2 }, Incarnation{ 1 } }, *this)
  {
    BOOST_REQUIRE(!this->first.Bind({ "127.0.0.1", 0 }));
    this->gateway->SetQuotaStore(*this);
  }
  void OnPeerMessage(const Address&, const Peer&, const direct::DirectMessage&) override
  {
    this->hasHeardGateway = true;
  }
  void OnPeerMessagesDone() override {}
  void SaveUsage(const std::string&, const std::function<void()>&) override { this->saveCount++; }

  PeerNet first;
  bool hasHeardGateway = false;
  int saveCount = 0;
};

struct ShortLeaveNotice : GatewayFixture
{
  ShortLeaveNotice()
    : GatewayFixture(milliseconds(20))
  {
  }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(gateway_path, GatewayFixture)

BOOST_AUTO_TEST_CASE(forwards_request_and_answer_unchanged)
{
  this->Configure();
  ScriptedEndpoint& endpoint = this->AddEndpoint(
    [](Connection& aTo, const RequestHead& aHead) { aTo.Write(CompleteResponse(aHead, "hello")); });
  const std::string answer = this->SendAndWait(Request("/once/x?q=1", "r1", "body"), "hello");
  BOOST_TEST(Contains(answer, "HTTP/1.1 200 X\r\n"));
  BOOST_TEST(Contains(answer, "Proof: p\r\n"));
  BOOST_TEST(Contains(answer, "Content-Length: 5\r\n\r\nhello"));
  BOOST_TEST(endpoint.requests[0].target == "/once/x?q=1");
  BOOST_TEST(endpoint.bodies[0] == "body");
  BOOST_TEST(endpoint.Field(0, "Account") == "shop");
}

BOOST_AUTO_TEST_CASE(decodes_a_chunked_body_into_one_framing)
{
  this->Configure();
  ScriptedEndpoint& endpoint = this->AddEndpoint(
    [](Connection& aTo, const RequestHead& aHead) { aTo.Write(CompleteResponse(aHead, "done")); });
  this->SendAndWait("POST /once/x HTTP/1.1\r\nHost: h\r\nId: r\r\nKey: k\r\n"
                    "Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n2;x=y\r\nde\r\n0\r\n\r\n",
                    "done");
  BOOST_TEST(endpoint.bodies[0] == "abcde");
}

// Request smuggling: a request hidden in the body of another must not run.
BOOST_AUTO_TEST_CASE(conflicting_body_framing_is_rejected)
{
  this->Configure();
  ScriptedEndpoint& endpoint = this->AddEndpoint(
    [](Connection& aTo, const RequestHead& aHead) { aTo.Write(CompleteResponse(aHead, "done")); });
  const std::string answer =
    this->SendAndWait("POST /once/x HTTP/1.1\r\nHost: h\r\nId: r\r\nKey: k\r\nContent-Length: 4\r\n"
                      "Transfer-Encoding: chunked\r\n\r\n0\r\n\r\nPOST /once/y HTTP/1.1\r\n\r\n",
                      "\r\n\r\n");
  BOOST_TEST(Contains(answer, "HTTP/1.1 400 "));
  BOOST_TEST(endpoint.requests.empty());
}

BOOST_AUTO_TEST_CASE(requests_on_one_connection_get_their_own_answers)
{
  this->Configure();
  this->AddEndpoint([](Connection& aTo, const RequestHead& aHead) {
    aTo.Write(CompleteResponse(aHead, "for-" + FindField(aHead.fields, "Id")->value));
  });
  const std::string answer =
    this->SendAndWait(Request("/once/x", "r1") + Request("/once/x", "r2"), "for-r2");
  BOOST_TEST(answer.find("for-r1") < answer.find("for-r2"));
}

// A truncated answer must not look complete, and a call that may have run must not be reported as
// "not run".
BOOST_AUTO_TEST_CASE(a_truncated_answer_to_a_once_call_is_a_failure)
{
  this->Configure();
  ScriptedEndpoint& endpoint = this->AddEndpoint([](Connection& aTo, const RequestHead& aHead) {
    const std::string whole = CompleteResponse(aHead, "hello");
    aTo.Write(whole.substr(0, whole.size() - 2));
    aTo.Close();
  });
  this->AddEndpoint(
    [](Connection& aTo, const RequestHead& aHead) { aTo.Write(CompleteResponse(aHead, "again")); });
  // Requests go to both endpoints; only those at the broken one fail.
  std::string answer;
  for (int index = 0; endpoint.requests.empty() && index < 10; index++) {
    answer = this->SendAndWait(Request("/once/x", "r" + std::to_string(index)), "\r\n\r\n");
  }
  BOOST_TEST(Contains(answer, "HTTP/1.1 502 "));
  BOOST_TEST(!Contains(answer, "Retry-After"));
  BOOST_TEST(endpoint.requests.size() == 1U);
}

BOOST_AUTO_TEST_CASE(a_safe_call_is_retried_at_another_endpoint)
{
  this->Configure();
  const auto breakOff = [](Connection& aTo, const RequestHead&) { aTo.Close(); };
  const auto answerWell = [](Connection& aTo, const RequestHead& aHead) {
    aTo.Write(CompleteResponse(aHead, "hello"));
  };
  ScriptedEndpoint& bad = this->AddEndpoint(breakOff);
  this->AddEndpoint(answerWell);
  for (int index = 0; bad.requests.empty() && index < 10; index++) {
    const std::string answer =
      this->SendAndWait(Request("/safe/x", "r" + std::to_string(index)), "hello");
    BOOST_TEST(Contains(answer, "HTTP/1.1 200 "));
  }
  BOOST_TEST(bad.requests.size() == 1U);
}

BOOST_AUTO_TEST_CASE(not_run_is_answered_with_retry_after)
{
  this->Configure();
  this->AddEndpoint([](Connection& aTo, const RequestHead& aHead) {
    aTo.Write("HTTP/1.1 503 Full\r\nId: " + FindField(aHead.fields, "Id")->value +
              "\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n");
  });
  std::string answer;
  RawTcpClient client(this->gateway->Port());
  client.Send(Request("/once/x", "r1"));
  AdvanceUntil(this->clock, [&] { return Contains(client.Received(), "\r\n\r\n"); });
  BOOST_TEST(Contains(client.Received(), "HTTP/1.1 503 "));
  BOOST_TEST(Contains(client.Received(), "Retry-After: "));
}

BOOST_AUTO_TEST_CASE(an_answer_without_proof_is_not_forwarded)
{
  this->Configure();
  this->AddEndpoint([](Connection& aTo, const RequestHead&) {
    aTo.Write("HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwrong");
  });
  const std::string answer = this->SendAndWait(Request("/once/x", "r1"), "\r\n\r\n");
  BOOST_TEST(Contains(answer, "HTTP/1.1 502 "));
  BOOST_TEST(!Contains(answer, "wrong"));
}

// An extra answer on a connection must not be taken for the answer to the next request.
BOOST_AUTO_TEST_CASE(an_extra_answer_is_discarded)
{
  this->Configure();
  this->AddEndpoint([](Connection& aTo, const RequestHead& aHead) {
    const std::string id = FindField(aHead.fields, "Id")->value;
    aTo.Write(CompleteResponse(aHead, "for-" + id) +
              (id == "r1" ? CompleteResponse(aHead, "for-r1") : ""));
  });
  this->SendAndWait(Request("/once/x", "r1"), "for-r1");
  const std::string second = this->SendAndWait(Request("/once/x", "r2"), "for-r");
  BOOST_TEST(Contains(second, "for-r2"));
  BOOST_TEST(!Contains(second, "for-r1"));
}

BOOST_AUTO_TEST_CASE(an_answer_to_another_request_is_skipped)
{
  this->Configure();
  this->AddEndpoint([](Connection& aTo, const RequestHead& aHead) {
    RequestHead other = aHead;
    other.fields = {};
    for (const HeaderField field : aHead.fields) {
      other.fields.push_back({ field.name, field.name == "Id" ? "r0" : field.value });
    }
    aTo.Write(CompleteResponse(other, "for-r0") + CompleteResponse(aHead, "for-r1"));
  });
  const std::string answer = this->SendAndWait(Request("/once/x", "r1"), "for-r");
  BOOST_TEST(Contains(answer, "for-r1"));
  BOOST_TEST(!Contains(answer, "for-r0"));
}

BOOST_AUTO_TEST_CASE(events_are_forwarded_as_they_arrive)
{
  this->Configure();
  OpenStream stream(*this);
  BOOST_TEST(!Contains(stream.client.Received(), "\r\n0\r\n"));
  stream.Finish();
  BOOST_TEST(stream.ReceivesEnd());
  BOOST_TEST(Count(stream.client.Received(), "data: ") == 2U);
}

BOOST_AUTO_TEST_CASE(a_stream_that_breaks_off_does_not_look_complete)
{
  this->Configure();
  this->AddEndpoint([](Connection& aTo, const RequestHead& aHead) {
    aTo.Write(StreamHead(aHead) + Chunk("id: 1\ndata: a\n\nid: 2\nda"));
    aTo.Close();
  });
  RawTcpClient client(this->gateway->Port());
  client.Send(Request("/stream/x", "r1"));
  BOOST_REQUIRE(RunUntil([&] { return client.IsClosed(); }));
  BOOST_TEST(Contains(client.Received(), "data: a"));
  BOOST_TEST(!Contains(client.Received(), "\r\n0\r\n"));
}

BOOST_AUTO_TEST_CASE(a_resumable_stream_resumes_at_another_endpoint)
{
  this->Configure();
  const auto script = [](Connection& aTo, const RequestHead& aHead) {
    const auto after = FindField(aHead.fields, "After");
    if (!after) {
      aTo.Write(StreamHead(aHead) + Chunk("id: 1\ndata: a\n\nid: 2\nda"));
      aTo.Close();
    } else {
      aTo.Write(StreamHead(aHead) + Chunk("id: 2\ndata: b\n\n") + "0\r\n\r\n");
    }
  };
  this->AddEndpoint(script);
  this->AddEndpoint(script);
  const std::string answer = this->SendAndWait(Request("/resume/x", "r1"), "\r\n0\r\n\r\n");
  BOOST_TEST(Count(answer, "HTTP/1.1 200") == 1U);
  BOOST_TEST(Count(answer, "id: 1\n") == 1U);
  BOOST_TEST(Count(answer, "id: 2\n") == 1U);
}

BOOST_AUTO_TEST_CASE(the_attempt_is_cancelled_when_the_caller_disconnects)
{
  this->Configure();
  ScriptedEndpoint& endpoint =
    this->AddEndpoint([](Connection&, const RequestHead&) { /* never answers */ });
  RawTcpClient client(this->gateway->Port());
  client.Send(Request("/once/x", "r1"));
  BOOST_REQUIRE(RunUntil([&] { return endpoint.requests.size() == 1; }));
  client.Close();
  BOOST_TEST(RunUntil([&] { return endpoint.closedCount == 1; }));
}

BOOST_AUTO_TEST_CASE(a_request_ends_at_its_route_timeout)
{
  this->Configure();
  ScriptedEndpoint& endpoint =
    this->AddEndpoint([](Connection&, const RequestHead&) { /* never answers */ });
  RawTcpClient client(this->gateway->Port());
  client.Send(Request("/once/x", "r1"));
  BOOST_REQUIRE(RunUntil([&] { return endpoint.requests.size() == 1; }));
  this->clock.Advance(seconds(6));
  BOOST_REQUIRE(RunUntil([&] { return Contains(client.Received(), "\r\n\r\n"); }));
  BOOST_TEST(Contains(client.Received(), "HTTP/1.1 504 "));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_FIXTURE_TEST_SUITE(gateway_rules, GatewayFixture)

BOOST_AUTO_TEST_CASE(without_a_configuration_requests_get_retry_after)
{
  const std::string answer = this->SendAndWait(Request("/once/x", "r1"), "\r\n\r\n");
  BOOST_TEST(Contains(answer, "HTTP/1.1 503 "));
  BOOST_TEST(Contains(answer, "Retry-After: "));
  BOOST_TEST(!this->gateway->IsReady());
}

BOOST_AUTO_TEST_CASE(unknown_keys_and_routes_are_denied_only_with_fresh_config)
{
  this->Configure();
  this->AddEndpoint([](Connection&, const RequestHead&) {});
  BOOST_TEST(
    Contains(this->SendAndWait(Request("/once/x", "r1", "", "z"), "\r\n\r\n"), "HTTP/1.1 401 "));
  BOOST_TEST(Contains(this->SendAndWait(Request("/none/x", "r1"), "\r\n\r\n"), "HTTP/1.1 404 "));
  this->clock.Advance(this->settings.maxDenialConfigAge);
  BOOST_TEST(
    Contains(this->SendAndWait(Request("/once/x", "r1", "", "z"), "\r\n\r\n"), "HTTP/1.1 503 "));
  BOOST_TEST(Contains(this->SendAndWait(Request("/none/x", "r1"), "\r\n\r\n"), "HTTP/1.1 503 "));
}

// A key may have been revoked by a configuration that this entry could not read.
BOOST_AUTO_TEST_CASE(keys_are_not_served_with_stale_config)
{
  this->Configure();
  ScriptedEndpoint& endpoint = this->AddEndpoint(
    [](Connection& aTo, const RequestHead& aHead) { aTo.Write(CompleteResponse(aHead, "hello")); });
  // Regression (inc-1431): while the store was unreachable, keys were refused for a second although
  // none could have been revoked for long enough.
  this->clock.Advance(this->settings.maxReadyConfigAge);
  BOOST_TEST(!this->gateway->IsReady());
  BOOST_TEST(Contains(this->SendAndWait(Request("/once/x", "r0"), "hello"), "HTTP/1.1 200 "));
  this->clock.Advance(this->settings.maxKeyConfigAge - this->settings.maxReadyConfigAge);
  const std::string answer = this->SendAndWait(Request("/once/x", "r1"), "\r\n\r\n");
  BOOST_TEST(Contains(answer, "HTTP/1.1 503 "));
  BOOST_TEST(endpoint.requests.size() == 1U);
  BOOST_TEST(!this->gateway->IsReady());
  this->gateway->ConfirmConfig(1, this->clock.Read().steady);
  BOOST_TEST(Contains(this->SendAndWait(Request("/once/x", "r2"), "hello"), "HTTP/1.1 200 "));
}

BOOST_AUTO_TEST_CASE(an_older_configuration_is_ignored)
{
  this->Configure(5, "new");
  this->AddEndpoint(
    [](Connection& aTo, const RequestHead& aHead) { aTo.Write(CompleteResponse(aHead, "hello")); });
  this->Configure(4, "old");
  BOOST_TEST(
    Contains(this->SendAndWait(Request("/once/x", "r1", "", "old"), "\r\n\r\n"), "HTTP/1.1 401 "));
  BOOST_TEST(
    Contains(this->SendAndWait(Request("/once/x", "r2", "", "new"), "hello"), "HTTP/1.1 200 "));
}

BOOST_AUTO_TEST_CASE(requests_over_quota_get_retry_after)
{
  this->quota = { 0.125, 1 }; // two requests in a window of eight seconds
  this->clock.Advance(seconds(20));
  this->Configure();
  this->AddEndpoint(
    [](Connection& aTo, const RequestHead& aHead) { aTo.Write(CompleteResponse(aHead, "hello")); });
  for (int index = 0; index < 2; index++) {
    BOOST_TEST(Contains(this->SendAndWait(Request("/once/x", "r" + std::to_string(index)), "hello"),
                        "HTTP/1.1 200 "));
  }
  const std::string answer = this->SendAndWait(Request("/once/x", "r3"), "\r\n\r\n");
  BOOST_TEST(Contains(answer, "HTTP/1.1 429 "));
  BOOST_TEST(Contains(answer, "Retry-After: "));
}

// An endpoint's announcement that it is leaving takes effect at once, even before the list of
// endpoints shows it, and for the lifetime of its process.
BOOST_AUTO_TEST_CASE(an_endpoint_that_announces_leaving_gets_no_new_requests)
{
  this->Configure();
  const auto answer = [](const char* aField) {
    return [aField](Connection& aTo, const RequestHead& aHead) {
      aTo.Write("HTTP/1.1 200 OK\r\nId: " + FindField(aHead.fields, "Id")->value +
                "\r\nProof: p\r\n" + aField + "Content-Length: 2\r\n\r\nok");
    };
  };
  ScriptedEndpoint& leaving = this->AddEndpoint(answer("Leaving: 1\r\n"));
  BOOST_TEST(Contains(this->SendAndWait(Request("/once/x", "r1"), "ok"), " 200 "));
  ScriptedEndpoint& other = this->AddEndpoint(answer(""));
  for (int call = 0; call < 10; call++) {
    BOOST_TEST(
      Contains(this->SendAndWait(Request("/once/x", "s" + std::to_string(call)), "ok"), " 200 "));
  }
  BOOST_TEST(leaving.requests.size() == 1U);
  BOOST_TEST(other.requests.size() == 10U);
  // A restarted process under the same ID gets requests again.
  this->endpointInfos["e1"].bornMs = 5;
  this->gateway->SetEndpoints(this->endpointInfos);
  this->endpointInfos.erase("e2");
  this->gateway->SetEndpoints(this->endpointInfos);
  BOOST_TEST(Contains(this->SendAndWait(Request("/once/x", "t"), "ok"), " 200 "));
  BOOST_TEST(leaving.requests.size() == 2U);
}

// Retry-After of an endpoint is respected, even if there is no other endpoint.
BOOST_AUTO_TEST_CASE(retry_after_of_an_endpoint_is_respected)
{
  this->Configure();
  ScriptedEndpoint& endpoint = this->AddEndpoint([](Connection& aTo, const RequestHead& aHead) {
    aTo.Write("HTTP/1.1 503 Busy\r\nId: " + FindField(aHead.fields, "Id")->value +
              "\r\nNot-Run: 1\r\nRest: 60000\r\nContent-Length: 0\r\n\r\n");
  });
  for (int call = 0; call < 5; call++) {
    RawTcpClient client(this->gateway->Port());
    client.Send("POST /safe/x HTTP/1.1\r\nHost: h\r\nId: r\r\nKey: k\r\nLeft: 200\r\n\r\n");
    AdvanceUntil(this->clock, [&] {
      this->gateway->ConfirmConfig(1, this->clock.Read().steady);
      return !client.Received().empty();
    });
    BOOST_TEST(Contains(client.Received(), " 503 "));
    BOOST_TEST(Contains(client.Received(), "Retry-After: "));
  }
  BOOST_TEST(endpoint.requests.size() == 1U);
}

// A move order selects a version that fails: it gets a small share, and soon no requests.
BOOST_AUTO_TEST_CASE(a_failing_version_gets_few_requests_and_is_rolled_back)
{
  this->Configure();
  ScriptedEndpoint& oldEndpoint = this->AddEndpoint(
    [](Connection& aTo, const RequestHead& aHead) { aTo.Write(CompleteResponse(aHead, "fine")); },
    "v1");
  ScriptedEndpoint& newEndpoint = this->AddEndpoint(
    [](Connection& aTo, const RequestHead& aHead) {
      aTo.Write(CompleteResponse(aHead, "bad", 500));
    },
    "v2");
  this->gateway->SetMoveOrder({ "pool", "v2", seconds(12), 7 }, true);
  for (int i = 0; i < 300; i++) {
    this->SendAndWait(Request("/once/x", "r" + std::to_string(i)), "\r\n\r\n");
  }
  BOOST_TEST(newEndpoint.requests.size() >= 5U);
  BOOST_TEST(newEndpoint.requests.size() <= 35U); // one in twenty of 300, and 20 more
  BOOST_TEST(oldEndpoint.requests.size() + newEndpoint.requests.size() == 300U);
  const std::size_t seen = newEndpoint.requests.size();
  for (int i = 0; i < 60; i++) {
    this->SendAndWait(Request("/once/x", "s" + std::to_string(i)), "\r\n\r\n");
  }
  BOOST_TEST(newEndpoint.requests.size() == seen);
}

// A move order that was in the log before the start: until its stage is read, the version gets no
// requests.
BOOST_AUTO_TEST_CASE(a_move_order_from_before_the_start_waits_for_its_stage)
{
  struct Log final : direct::MoveLog
  {
    void ReadStage(const direct::MoveOrder&,
                   const std::function<void(std::optional<direct::MoveStage>)>& aDone) override
    {
      this->answer = aDone;
    }
    void WriteStage(const direct::MoveOrder&, direct::MoveStage) override {}
    std::function<void(std::optional<direct::MoveStage>)> answer;
  };
  Log log;
  this->gateway->SetMoveLog(log);
  this->Configure();
  const auto script = [](Connection& aTo, const RequestHead& aHead) {
    aTo.Write(CompleteResponse(aHead, "fine"));
  };
  this->AddEndpoint(script, "v1");
  ScriptedEndpoint& newEndpoint = this->AddEndpoint(script, "v2");
  this->gateway->SetMoveOrder({ "pool", "v2", seconds(12), 7 }, false);
  for (int i = 0; i < 30; i++) {
    this->SendAndWait(Request("/once/x", "r" + std::to_string(i)), "fine");
  }
  BOOST_TEST(newEndpoint.requests.empty());
  log.answer(direct::MoveStage::kRolledBack);
  for (int i = 0; i < 30; i++) {
    this->SendAndWait(Request("/once/x", "s" + std::to_string(i)), "fine");
  }
  BOOST_TEST(newEndpoint.requests.empty());
}

BOOST_AUTO_TEST_CASE(shutdown_completes_open_streams)
{
  this->Configure();
  OpenStream stream(*this);
  this->gateway->BeginLeaving();
  BOOST_TEST(!this->gateway->IsReady());
  BOOST_TEST(!this->gateway->IsDone());
  stream.Finish();
  BOOST_TEST(stream.ReceivesEnd());
  BOOST_TEST(RunUntil([&] { return this->gateway->IsDone(); }));
}

// Regression (646af00a): after a power loss the steady clock of a VM starts anew, and another entry
// still echoes a timestamp from before.
BOOST_FIXTURE_TEST_CASE(an_echo_from_before_a_restart_confirms_nothing, SecondEntry)
{
  this->Configure();
  this->AddEndpoint(
    [](Connection& aTo, const RequestHead& aHead) { aTo.Write(CompleteResponse(aHead, "hello")); });
  direct::EntryState state;
  state.configVersion = 1;
  state.echoUs = (this->clock.Read().steady + std::chrono::hours(3)).time_since_epoch().count();
  this->first.Send({ "127.0.0.2", this->gateway->PeerPort() }, state);
  this->first.Flush();
  BOOST_REQUIRE(RunUntil([&] { return this->hasHeardGateway; }));
  BOOST_TEST((this->gateway->ConfigAge() >= Duration::zero()));
  this->clock.Advance(seconds(10));
  const std::string answer = this->SendAndWait(Request("/once/x", "r1"), "\r\n\r\n");
  BOOST_TEST(Contains(answer, "HTTP/1.1 503 "));
}

// Regression (soak seeds 31 and 43): usage must be saved by the first entry that reaches the store,
// even if an entry with a lower address does not reach it.
BOOST_FIXTURE_TEST_CASE(the_first_entry_that_reaches_the_store_saves_usage, SecondEntry)
{
  this->Configure();
  direct::EntryState state;
  state.readsStore = false;
  this->first.Send({ "127.0.0.2", this->gateway->PeerPort() }, state);
  this->first.Flush();
  BOOST_REQUIRE(RunUntil([&] { return this->hasHeardGateway; }));
  this->gateway->RestoreUsage(direct::EncodeUsageSnapshot({ 0, { { HashOf("shop"), { 5 } } } }));
  this->gateway->SetStoreReachable(true);
  BOOST_TEST(RunUntil([&] { return this->saveCount > 0; }));
}

// A report of issue 36: at the end of a shutdown, requests were cut without an answer, among them
// some that must not be repeated.
BOOST_AUTO_TEST_CASE(every_request_has_an_answer_before_a_shutdown_ends)
{
  GatewayFixture fixture;
  fixture.Configure();
  ScriptedEndpoint& endpoint = fixture.AddEndpoint([](Connection&, const RequestHead&) {});
  GatewaySettings settings = fixture.settings;
  settings.peerListen = { "127.0.0.2", 0 };
  settings.shutdownTime = seconds(3); // the timeout of the routes is 5 s
  Gateway leaving(settings, Peer{ NodeId{ 2 }, Incarnation{ 1 } }, fixture.poller, fixture.clock,
                  fixture.random, fixture.protocol);
  BOOST_REQUIRE(!leaving.Start());
  fixture.Prepare(leaving);
  leaving.ConfirmConfig(1, fixture.clock.Read().steady);
  RawTcpClient before(leaving.Port());
  before.Send(GatewayFixture::Request("/once/x", "r1"));
  BOOST_REQUIRE(RunUntil([&] { return endpoint.requests.size() == 1U; }));
  const TimePoint end = fixture.clock.Read().steady + settings.shutdownTime;
  leaving.BeginLeaving();
  RawTcpClient after(leaving.Port());
  after.Send(GatewayFixture::Request("/once/x", "r2"));
  BOOST_REQUIRE(RunUntil([&] { return endpoint.requests.size() == 2U; }));
  const auto isEnded = [&] { return fixture.clock.Read().steady > end + milliseconds(50); };
  AdvanceUntil(fixture.clock, [&] {
    return isEnded() || (!before.Received().empty() && !after.Received().empty());
  });
  BOOST_TEST(!isEnded());
  BOOST_TEST(Contains(before.Received(), "HTTP/1.1 504 "));
  BOOST_TEST(Contains(after.Received(), "HTTP/1.1 504 "));
}

// The store answers 7 s after the start, so that its record is 7 s old, but none of that precedes
// the start.
BOOST_AUTO_TEST_CASE(usage_restored_late_keeps_its_place_in_the_window)
{
  GatewayFixture fixture;
  fixture.quota = { 100, 0 };
  const std::int64_t savedAtMs = fixture.clock.Read().wall.time_since_epoch().count();
  fixture.Configure();
  fixture.clock.Advance(seconds(7));
  fixture.gateway->ConfirmConfig(1, fixture.clock.Read().steady);
  fixture.gateway->RestoreUsage(
    direct::EncodeUsageSnapshot({ savedAtMs, { { HashOf("shop"), { 840 } } } }));
  const std::string answer =
    fixture.SendAndWait(GatewayFixture::Request("/once/x", "r1"), "\r\n\r\n");
  BOOST_TEST(Contains(answer, "HTTP/1.1 429 "));
}

// An entry is added while an account has used half of its quota at the other one: it must allow the
// other half, no more and not much less.
BOOST_AUTO_TEST_CASE(an_added_entry_takes_the_quota_usage_of_the_others)
{
  GatewayFixture fixture;
  fixture.quota = { 100, 0 }; // 840 requests in 8 s with the tolerance that is used
  fixture.Configure();
  fixture.AddEndpoint(
    [](Connection& aTo, const RequestHead& aHead) { aTo.Write(CompleteResponse(aHead, "hello")); });
  fixture.clock.Advance(seconds(20));
  fixture.gateway->ConfirmConfig(1, fixture.clock.Read().steady);
  const auto countServed = [&](Gateway& aEntry, int aRequests) {
    RawTcpClient client(aEntry.Port());
    int served = 0;
    for (int i = 0; i < aRequests; i++) {
      const std::size_t before = client.Received().size();
      client.Send(GatewayFixture::Request("/safe/x", "r" + std::to_string(++fixture.lastId)));
      BOOST_REQUIRE(
        RunUntil([&] { return client.Received().find("\r\n\r\n", before) != std::string::npos; }));
      served += client.Received().find("HTTP/1.1 200 ", before) == before ? 1 : 0;
    }
    return served;
  };
  BOOST_TEST(countServed(*fixture.gateway, 420) == 420);
  GatewaySettings settings = fixture.settings;
  settings.peerListen = { "127.0.0.2", fixture.gateway->PeerPort() };
  Gateway added(settings, Peer{ NodeId{ 2 }, Incarnation{ 1 } }, fixture.poller, fixture.clock,
                fixture.random, fixture.protocol);
  BOOST_REQUIRE(!added.Start());
  fixture.Prepare(added);
  added.AddEntry("127.0.0.1");
  BOOST_REQUIRE(RunUntil([&] { return added.KnowsQuotaUsage(); }));
  added.ConfirmConfig(1, fixture.clock.Read().steady);
  const int served = countServed(added, 500);
  BOOST_TEST(served <= 420);
  BOOST_TEST(served >= 370);
}

// Regression (fresh-be22): a stream accepted 3.1 s after the shutdown signal was later interrupted.
BOOST_FIXTURE_TEST_CASE(no_request_is_accepted_after_the_leave_notice, ShortLeaveNotice)
{
  this->Configure();
  ScriptedEndpoint& endpoint = this->AddEndpoint(
    [](Connection& aTo, const RequestHead& aHead) { aTo.Write(CompleteResponse(aHead, "hello")); });
  RawTcpClient client(this->gateway->Port());
  const std::string request = Request("/once/x", "r1", "body");
  client.Send(request.substr(0, 20));
  // The connection is accepted before the notice period ends, and its request is read after it.
  BOOST_REQUIRE(!this->SendAndWait(Request("/once/x", "r0"), "hello").empty());
  this->gateway->BeginLeaving();
  BOOST_REQUIRE(RunUntil([&] { return this->gateway->IsDone(); }));
  client.Send(request.substr(20));
  BOOST_REQUIRE(RunUntil([&] { return Contains(client.Received(), "\r\n\r\n"); }));
  BOOST_TEST(Contains(client.Received(), "HTTP/1.1 503 "));
  BOOST_TEST(Contains(client.Received(), "Connection: close\r\n"));
  BOOST_TEST(endpoint.requests.size() == 1U);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace caraway::gateway
