#include "fake_platform.h"
#include "loop.h"

#include "core/uuid.h"
#include "runtime/admin_server.h"
#include "runtime/caller_server.h"
#include "runtime/process.h"

#include <boost/test/unit_test.hpp>

#include <array>
#include <filesystem>
#include <memory>
#include <optional>
#include <vector>

namespace caraway {

namespace {

constexpr const char* kBody =
  R"({"model":"model-a","messages":[{"role":"user","content":"hello"}],"max_tokens":3})";
constexpr const char* kStreamBody =
  R"({"model":"model-a","stream":true,"messages":[{"role":"user","content":"hello"}]})";

EntrySettings SettingsFor(const MemoryPlatform& aPlatform)
{
  EntrySettings settings;
  settings.name = "entry";
  settings.region = "r";
  settings.failureDomain = "brno-a";
  settings.platform = aPlatform.ListenAddress();
  settings.listen = { "127.0.0.1", 0 };
  settings.peerListen = { "127.0.0.1", 0 };
  settings.clusterKey = TestKey();
  settings.maxBodyBytes = 10000;
  settings.options.leaveNotice = std::chrono::milliseconds(20);
  return settings;
}

const std::vector<std::string> kOddFramings = {
  "Content-Length: 0, 0\r\n",
  "Content-Length: 0,0\r\n",
  "Content-Length: 0,\r\n",
  "Content-Length: ,0\r\n",
  "Content-Length: 0\r\nContent-Length: 0\r\n",
  "Content-Length: 0\r\nContent-Length: 2\r\n",
  "Content-Length: 2\r\nContent-Length: 0\r\n",
  "Content-Length: +0\r\n",
  "Content-Length: -0\r\n",
  "Content-Length: 0x0\r\n",
  "Content-Length: 0 0\r\n",
  "Content-Length: 0;x\r\n",
  "Content-Length:\r\n",
  "Content-Length: \v0\r\n",
  "Content-Length: 18446744073709551616\r\n",
  "Content-Length: -18446744073709551616\r\n",
  "Transfer-Encoding: chunked, identity\r\n",
  "Transfer-Encoding: identity\r\n",
  "Transfer-Encoding:\r\n",
  "Transfer-Encoding: chunked\r\nTransfer-Encoding: identity\r\n",
  "Transfer-Encoding: identity\r\nTransfer-Encoding: chunked\r\n",
  "Content-Length: 0\r\nTransfer-Encoding: identity\r\n",
  "Transfer-Encoding: identity\r\nContent-Length: 0\r\n",
};

// An entry with its server for callers, a platform and one agent per pool.
struct EntryFixture
{
  explicit EntryFixture(std::uint32_t aReadMs = 10000, const std::optional<TlsFiles>& aTls = {})
    : agent("agent-a", "model-a")
    , service("agent-s", "orders")
  {
    this->platform.AddRecord("account", "school",
                             { { "key_hashes", { HashKey("key-a") } }, { "highest_tier", 1 } });
    this->platform.AddRecord("account", "other",
                             { { "key_hashes", { HashKey("key-b") } }, { "highest_tier", 1 } });
    this->platform.AddRecord(
      "pool", "model-a",
      { { "kind", "completion" }, { "start_within_ms", 30000 }, { "end_within_ms", 60000 } });
    this->platform.AddRecord("pool", "orders",
                             { { "kind", "service" },
                               { "once_routes", { "/book" } },
                               { "start_within_ms", 30000 },
                               { "end_within_ms", 60000 } });
    this->platform.AddVm("agent-a", "agent", this->agent.hub.Port(), "model-a");
    this->platform.AddVm("agent-s", "agent", this->service.hub.Port(), "orders");
    this->settings = SettingsFor(this->platform);
    this->settings.requestReadMs = aReadMs;
    this->settings.tls = aTls;
    this->context.emplace(this->settings);
    this->log.emplace(FormatAddress(this->settings.platform));
    this->host.emplace(this->settings, this->context->self, this->context->clock,
                       this->context->random, this->context->poller, this->placement, *this->log,
                       this->context->observer);
    this->callers.emplace(this->settings, *this->host, *this->context);
    BOOST_REQUIRE(!this->host->Start());
    BOOST_REQUIRE(!this->callers->Start());
    BOOST_REQUIRE(RunUntil([&] {
      return this->host->Config().Next() >= 4 && this->agent.peers == 1 && this->service.peers == 1;
    }));
  }

  MemoryPlatform platform;
  FakeAgent agent;
  FakeAgent service;
  EntrySettings settings;
  LateBindingPlacement placement;
  std::optional<ProcessContext> context;
  std::optional<LogClient> log;
  std::optional<EntryHost> host;
  std::optional<CallerServer> callers;
};

// One raw HTTP call over a separate connection.
struct Call
{
  Call(EntryFixture& aFixture, const std::string& aRequest)
    : fixture(aFixture)
    , client(aFixture.callers->Port())
  {
    this->client.Send(aRequest);
  }

  static std::string Post(const std::string& aPath, const std::string& aBody,
                          const std::string& aHeaders = "Authorization: Bearer key-a\r\n")
  {
    return "POST " + aPath + " HTTP/1.1\r\nHost: x\r\nConnection: close\r\n" + aHeaders +
           "Content-Length: " + std::to_string(aBody.size()) + "\r\n\r\n" + aBody;
  }

  static std::string Get(const std::string& aPath, const std::string& aHeaders = "")
  {
    return "GET " + aPath + " HTTP/1.1\r\nHost: x\r\nConnection: close\r\n" + aHeaders + "\r\n";
  }

  const std::string& CompleteResponse()
  {
    BOOST_REQUIRE(RunUntil([&] { return this->client.IsClosed(); }));
    return this->client.Received();
  }

  int Status()
  {
    const std::string& answer = this->CompleteResponse();
    BOOST_REQUIRE(answer.starts_with("HTTP/1.1 "));
    return std::stoi(answer.substr(9, 3));
  }

  bool Contains(const std::string& aText)
  {
    return this->client.Received().find(aText) != std::string::npos;
  }

  EntryFixture& fixture;
  RawTcpClient client;
};

// One call over TLS; reads the answer to its end.
struct HttpsCall
{
  HttpsCall(std::uint16_t aPort, std::string aRequest)
    : client(g_socket_client_new())
    , request(std::move(aRequest))
  {
    g_socket_client_set_tls(this->client.get(), TRUE);
    g_signal_connect(this->client.get(), "event", G_CALLBACK(&HttpsCall::OnEvent), this);
    g_socket_client_connect_to_host_async(this->client.get(), "127.0.0.1", aPort, nullptr,
                                          &HttpsCall::OnConnected, this);
  }

  // Accepts the test certificate without verification.
  static void OnEvent(GSocketClient*, GSocketClientEvent aEvent, GSocketConnectable*,
                      GIOStream* aStream, void*)
  {
    if (aEvent == G_SOCKET_CLIENT_TLS_HANDSHAKING) {
      g_signal_connect(aStream, "accept-certificate", G_CALLBACK(+[] { return TRUE; }), nullptr);
    }
  }

  static void OnConnected(GObject* aSource, GAsyncResult* aResult, void* aData)
  {
    auto* self = static_cast<HttpsCall*>(aData);
    self->connection.reset(
      g_socket_client_connect_to_host_finish(G_SOCKET_CLIENT(aSource), aResult, nullptr));
    BOOST_REQUIRE(self->connection);
    g_output_stream_write_all_async(
      g_io_stream_get_output_stream(G_IO_STREAM(self->connection.get())), self->request.data(),
      self->request.size(), G_PRIORITY_DEFAULT, nullptr, nullptr, nullptr);
    self->Read();
  }

  void Read()
  {
    g_input_stream_read_async(g_io_stream_get_input_stream(G_IO_STREAM(this->connection.get())),
                              this->buffer.data(), this->buffer.size(), G_PRIORITY_DEFAULT, nullptr,
                              &HttpsCall::OnRead, this);
  }

  static void OnRead(GObject* aSource, GAsyncResult* aResult, void* aData)
  {
    auto* self = static_cast<HttpsCall*>(aData);
    const gssize count = g_input_stream_read_finish(G_INPUT_STREAM(aSource), aResult, nullptr);
    if (count <= 0) {
      self->hasEnded = true;
      return;
    }
    self->received.append(self->buffer.data(), static_cast<std::size_t>(count));
    self->Read();
  }

  ObjectPtr<GSocketClient> client;
  ObjectPtr<GSocketConnection> connection;
  std::string request;
  std::string received;
  std::array<char, 4096> buffer{};
  bool hasEnded = false;
};

int StatusOf(EntryFixture& aFixture, const std::string& aRequest)
{
  return Call(aFixture, aRequest).Status();
}

std::string KeyHeader()
{
  Random random(7);
  const SystemClock clock;
  return "Authorization: Bearer key-a\r\nIdempotency-Key: " +
         FormatUuid(MakeUuid7(clock.Read().wall, random)) + "\r\n";
}

// Sends a request with each of aForms after its first fields, and another one behind it.
void CheckNoneRunsBehind(const std::vector<std::string>& aForms)
{
  EntryFixture fixture;
  const std::string hidden = Call::Post("/services/orders/hidden", "{}");
  for (const std::string& form : aForms) {
    std::string request = "POST /services/orders/outer HTTP/1.1\r\nHost: x\r\n"
                          "Authorization: Bearer key-a\r\n";
    Call call(fixture, request.append(form).append(hidden));
    const std::string& answer = call.CompleteResponse();
    BOOST_TEST(answer.find("HTTP/1.1 ", 1) == std::string::npos, "two answers for " << form);
  }
  for (const Reserve& reserve : fixture.service.reserves) {
    BOOST_TEST(reserve.route == "/outer");
  }
}

} // namespace

BOOST_AUTO_TEST_SUITE(callers)

BOOST_AUTO_TEST_CASE(unstreamed_completion_is_answered_with_one_json_object)
{
  EntryFixture fixture;
  Call call(fixture, Call::Post("/v1/chat/completions", kBody));
  BOOST_TEST(call.Status() == 200);
  BOOST_TEST(call.Contains(R"("content":"one two three ")"));
  BOOST_TEST(call.Contains("Caraway-Agent: agent-a"));
  BOOST_TEST(call.Contains("Caraway-Outcome: answered"));
  BOOST_TEST(fixture.agent.grants.size() == 1U);
  BOOST_TEST(fixture.agent.grants[0].body == kBody);
}

BOOST_AUTO_TEST_CASE(streamed_completion_has_numbered_events_and_an_end)
{
  EntryFixture fixture;
  Call call(fixture, Call::Post("/v1/chat/completions", kStreamBody));
  BOOST_TEST(call.Status() == 200);
  BOOST_TEST(call.Contains("text/event-stream"));
  BOOST_TEST(call.Contains("id: 0\n"));
  BOOST_TEST(call.Contains("id: 2\n"));
  BOOST_TEST(call.Contains(R"({"content":"three "})"));
  BOOST_TEST(call.Contains(R"("caraway":{"outcome":"answered","reason":"none"})"));
  BOOST_TEST(call.Contains("data: [DONE]"));
}

BOOST_AUTO_TEST_CASE(service_call_is_forwarded_unchanged)
{
  EntryFixture fixture;
  fixture.service.chunks = { R"({"ran":true})" };
  Call call(fixture, Call::Post("/services/orders/status", "{\"a\":1}"));
  BOOST_TEST(call.Status() == 200);
  BOOST_TEST(call.CompleteResponse().ends_with("\r\n\r\n{\"ran\":true}"));
  BOOST_TEST(fixture.service.grants[0].body == "{\"a\":1}");
}

BOOST_AUTO_TEST_CASE(once_route_claims_its_key_in_the_log_first)
{
  EntryFixture fixture;
  const std::size_t before = fixture.platform.records.size();
  Call call(fixture, Call::Post("/services/orders/book", "{}", KeyHeader()));
  BOOST_TEST(call.Status() == 200);
  BOOST_TEST(fixture.platform.records.size() > before);
  BOOST_TEST(fixture.service.grants[0].claim != kNoOffset);
}

BOOST_AUTO_TEST_CASE(bad_calls_are_refused_with_their_status)
{
  EntryFixture fixture;
  const std::string chat = "/v1/chat/completions";
  const std::string key = "Authorization: Bearer key-a\r\n";
  BOOST_TEST(StatusOf(fixture, Call::Post(chat, "{")) == 400);
  BOOST_TEST(StatusOf(fixture, Call::Post(chat, "[]")) == 400);
  BOOST_TEST(StatusOf(fixture, Call::Post(chat, R"({"model":"model-a"})")) == 400);
  BOOST_TEST(StatusOf(fixture, Call::Post(chat, R"({"model":"model-a","messages":[1]})")) == 400);
  BOOST_TEST(StatusOf(fixture, Call::Post(chat, kBody, key + "Caraway-Tier: 9\r\n")) == 400);
  BOOST_TEST(StatusOf(fixture, Call::Post(chat, kBody, key + "Caraway-Tier: 0\r\n")) == 403);
  BOOST_TEST(StatusOf(fixture, Call::Post(chat, kBody, key + "Caraway-Start-Within-Ms: x\r\n")) ==
             400);
  BOOST_TEST(StatusOf(fixture, Call::Post(chat, kBody, key + "Caraway-Request-Id: 1\r\n")) == 400);
  BOOST_TEST(StatusOf(fixture, Call::Post(chat, kBody, "")) == 401);
  BOOST_TEST(StatusOf(fixture, Call::Post(chat, kBody, "Authorization: Bearer no\r\n")) == 401);
  BOOST_TEST(StatusOf(fixture, Call::Post(chat, R"({"model":"b","messages":[{}]})")) == 404);
  BOOST_TEST(StatusOf(fixture, Call::Post("/services/none/x", "{}")) == 404);
  BOOST_TEST(StatusOf(fixture, Call::Post("/services/orders", "{}")) == 404);
  BOOST_TEST(StatusOf(fixture, Call::Post("/other", "{}")) == 404);
  BOOST_TEST(StatusOf(fixture, Call::Get(chat, key)) == 405);
  BOOST_TEST(StatusOf(fixture, Call::Post("/services/orders/book", "{}")) == 422);
  BOOST_TEST(StatusOf(fixture, Call::Get("/v1/requests/x", key)) == 400);
  BOOST_TEST(fixture.agent.reserves.empty());
  BOOST_TEST(fixture.service.reserves.empty());
}

BOOST_AUTO_TEST_CASE(early_refusal_keeps_its_message)
{
  EntryFixture fixture;
  Call call(fixture, Call::Post("/v1/chat/completions", kBody, "Authorization: Bearer no\r\n"));
  BOOST_TEST(call.Status() == 401);
  BOOST_TEST(call.Contains("missing or unknown key"));
}

BOOST_AUTO_TEST_CASE(announced_large_body_is_refused_before_it_arrives)
{
  EntryFixture fixture;
  Call call(fixture, "POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\n"
                     "Authorization: Bearer key-a\r\nContent-Length: 1000000000\r\n\r\n");
  BOOST_TEST(call.Status() == 413);
}

BOOST_AUTO_TEST_CASE(large_body_in_chunks_is_refused_while_it_arrives)
{
  EntryFixture fixture;
  std::string request = "POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\n"
                        "Authorization: Bearer key-a\r\nTransfer-Encoding: chunked\r\n\r\n";
  request += "4000\r\n" + std::string(0x4000, 'x') + "\r\n";
  Call call(fixture, request);
  BOOST_TEST(call.Status() == 413);
}

// A body whose length cannot be determined must not be read as the next request (review case 3).
BOOST_AUTO_TEST_CASE(body_of_unknown_length_is_refused)
{
  EntryFixture fixture;
  for (const std::string coding :
       { "chunked, identity", "gzip", "xchunked", "chunked , chunked" }) {
    const std::string hidden = Call::Get("/v1/models", "Authorization: Bearer key-a\r\n");
    std::string request =
      "POST /orders/book HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer key-a\r\n";
    request += "Transfer-Encoding: " + coding + "\r\n\r\n";
    Call call(fixture, request + hidden);
    const int status = call.Status();
    BOOST_TEST((status == 400 || status == 501), "status " << status << " for " << coding);
    BOOST_TEST(call.client.Received().find("HTTP/1.1 ", 1) == std::string::npos);
  }
}

// Guards against a length or coding that others read differently: the bytes after the head ran as a
// request of their own.
BOOST_AUTO_TEST_CASE(a_request_of_odd_framing_and_the_one_hidden_in_it_do_not_run)
{
  EntryFixture fixture;
  const std::string hidden = Call::Post("/services/orders/status", "{}");
  for (const std::string& fields : kOddFramings) {
    std::string request = "POST /services/orders/status HTTP/1.1\r\nHost: x\r\n"
                          "Authorization: Bearer key-a\r\n";
    request.append(fields).append("\r\n").append(hidden);
    Call call(fixture, request);
    const int status = call.Status();
    BOOST_TEST((status == 400 || status == 501), "status " << status << " for " << fields);
    BOOST_TEST(call.client.Received().find("HTTP/1.1 ", 1) == std::string::npos,
               "two answers for " << fields);
  }
  BOOST_TEST(fixture.service.grants.empty(), fixture.service.grants.size() << " ran");
}

// What can't be read may have hidden the length that the caller stated.
BOOST_AUTO_TEST_CASE(a_request_behind_a_malformed_one_does_not_run)
{
  CheckNoneRunsBehind(
    { "Content-Length : 9\r\n\r\n", "Content-Length\t: 9\r\n\r\n",
      "X: y\r\n Content-Length: 9\r\n\r\n", "Transfer-Encoding : chunked\r\n\r\n",
      "Transfer-Encoding: chunked\r\n\r\ng\r\n\r\n",
      "Transfer-Encoding: chunked\r\n\r\n0x0\r\n\r\n",
      "Transfer-Encoding: chunked\r\n\r\n-0\r\n\r\n", "Transfer-Encoding: chunked\r\n\r\n\r\n\r\n",
      "Transfer-Encoding: chunked\r\n\r\n0;a=\n\r\n\r\n", "Transfer-Encoding: chunked\r\n\r\n0\n\n",
      "Transfer-Encoding: chunked\r\n\r\n2\r\n{}x\r\n0\r\n\r\n",
      "Transfer-Encoding: chunked\r\n\r\n10000000000000000\r\n\r\n",
      std::string("Content-Length\0: 9\r\n\r\n", 22),
      std::string("Transfer-Encoding\0: chunked\r\n\r\n", 31),
      std::string("Content-Length: 0\0\r\n\r\n", 22) });
}

BOOST_AUTO_TEST_CASE(a_request_behind_a_bare_line_feed_does_not_run)
{
  CheckNoneRunsBehind({ "X: y\nContent-Length: 0\r\n\r\n", "Content-Length: 0\n\n" });
}

BOOST_AUTO_TEST_CASE(a_request_whose_caller_closes_before_its_end_does_not_run)
{
  EntryFixture fixture;
  const std::string head = "POST /services/orders/status HTTP/1.1\r\nHost: x\r\n"
                           "Authorization: Bearer key-a\r\n";
  std::size_t whole = 0;
  for (const std::string rest :
       { "Content-Length: 9\r\n", "Content-Length: 9\r\n\r\n{\"a\":1}",
         "Transfer-Encoding: chunked\r\n\r\n", "Transfer-Encoding: chunked\r\n\r\n2\r\n",
         "Transfer-Encoding: chunked\r\n\r\n2\r\n{}\r\n" }) {
    Call call(fixture, head + rest);
    call.client.Close();
    BOOST_TEST(StatusOf(fixture, Call::Post("/services/orders/status", "{}")) == 200);
    BOOST_TEST(fixture.service.grants.size() == ++whole, "ran: " << rest);
    whole = fixture.service.grants.size();
  }
}

BOOST_AUTO_TEST_CASE(incomplete_requests_time_out)
{
  EntryFixture fixture(100);
  Call head(fixture, "POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\n");
  Call body(fixture, "POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\n"
                     "Authorization: Bearer key-a\r\nContent-Length: 100\r\n\r\n{");
  BOOST_TEST(head.Status() == 408);
  BOOST_TEST(body.Status() == 408);
  BOOST_TEST(fixture.agent.reserves.empty());
}

// The exchange of a head that libsoup never parsed outlived its connection, and the read timeout
// ended the process.
BOOST_AUTO_TEST_CASE(a_caller_that_leaves_in_a_head_ends_its_exchange)
{
  constexpr std::uint32_t kReadMs = 100;
  EntryFixture fixture(kReadMs);
  const std::string start = "GET /readyz HTTP/1.1\r\nHost: x\r\n";
  for (const std::string& head : { start + "x: yyy", start + "x: yyy\r\n",
                                   start + std::string(90000, 'a'), std::string("G") }) {
    Call(fixture, head).client.Close();
  }
  bool haveTimedOut = false;
  Timer readTime([&] { haveTimedOut = true; });
  readTime.ArmAfter(std::chrono::milliseconds(3 * kReadMs));
  BOOST_REQUIRE(RunUntil([&] { return haveTimedOut; }));
  BOOST_TEST(StatusOf(fixture, Call::Get("/readyz")) == 200);
}

BOOST_AUTO_TEST_CASE(caller_disconnect_cancels_its_request)
{
  EntryFixture fixture;
  fixture.agent.hold = true;
  Call call(fixture, Call::Post("/v1/chat/completions", kStreamBody));
  BOOST_REQUIRE(RunUntil([&] { return !fixture.agent.grants.empty(); }));
  call.client.Close();
  BOOST_REQUIRE(RunUntil([&] { return fixture.callers->IsIdle(); }));
  BOOST_REQUIRE(RunUntil([&] { return !fixture.agent.cancels.empty(); }));
}

BOOST_AUTO_TEST_CASE(resuming_caller_gets_the_remaining_chunks)
{
  EntryFixture fixture;
  fixture.agent.hold = true;
  Random random(3);
  const std::string id = FormatUuid(MakeUuid7(fixture.context->clock.Read().wall, random));
  const std::string key = "Authorization: Bearer key-a\r\n";
  {
    Call call(fixture, Call::Post("/v1/chat/completions", kStreamBody,
                                  key + "Caraway-Request-Id: " + id + "\r\n"));
    BOOST_REQUIRE(RunUntil([&] { return !fixture.agent.grants.empty(); }));
    fixture.agent.SendChunks(fixture.agent.grants[0], 1);
    BOOST_REQUIRE(RunUntil([&] { return call.Contains("id: 0\n"); }));
    call.client.Close();
    BOOST_REQUIRE(RunUntil([&] { return fixture.callers->IsIdle(); }));
  }
  Call resumed(fixture, Call::Get("/v1/requests/" + id, key + "Last-Event-ID: 0\r\n"));
  BOOST_REQUIRE(RunUntil([&] { return fixture.agent.firstChunk == 1; }));
  fixture.agent.Answer(fixture.agent.grants[0]);
  BOOST_TEST(resumed.Status() == 200);
  BOOST_TEST(!resumed.Contains("id: 0\n"));
  BOOST_TEST(resumed.Contains("id: 1\n"));
  BOOST_TEST(resumed.Contains("data: [DONE]"));
  BOOST_TEST(fixture.agent.grants.size() == 1U);
}

BOOST_AUTO_TEST_CASE(answer_finished_during_a_disconnect_is_replayed)
{
  EntryFixture fixture;
  fixture.agent.hold = true;
  Random random(3);
  const std::string id = FormatUuid(MakeUuid7(fixture.context->clock.Read().wall, random));
  const std::string key = "Authorization: Bearer key-a\r\n";
  {
    Call call(fixture, Call::Post("/v1/chat/completions", kStreamBody,
                                  key + "Caraway-Request-Id: " + id + "\r\n"));
    BOOST_REQUIRE(RunUntil([&] { return !fixture.agent.grants.empty(); }));
    call.client.Close();
    BOOST_REQUIRE(RunUntil([&] { return fixture.callers->IsIdle(); }));
  }
  fixture.agent.Answer(fixture.agent.grants[0]);
  BOOST_REQUIRE(RunUntil([&] {
    return fixture.context->metrics.Text().find("kind=\"finished\"") != std::string::npos;
  }));
  Call resumed(fixture, Call::Get("/v1/requests/" + id, key));
  BOOST_REQUIRE(RunUntil([&] { return fixture.agent.queries > 0 || resumed.client.IsClosed(); }));
  fixture.agent.Answer(fixture.agent.grants[0]);
  BOOST_TEST(resumed.Status() == 200);
  BOOST_TEST(resumed.Contains("id: 0\n"));
  BOOST_TEST(resumed.Contains("data: [DONE]"));
}

BOOST_AUTO_TEST_CASE(answer_is_not_resumable_by_another_account)
{
  EntryFixture fixture;
  fixture.agent.hold = true;
  Random random(3);
  const std::string id = FormatUuid(MakeUuid7(fixture.context->clock.Read().wall, random));
  const std::string owner = "Authorization: Bearer key-a\r\n";
  {
    Call call(fixture, Call::Post("/v1/chat/completions", kStreamBody,
                                  owner + "Caraway-Request-Id: " + id + "\r\n"));
    BOOST_REQUIRE(RunUntil([&] { return !fixture.agent.grants.empty(); }));
    fixture.agent.SendChunks(fixture.agent.grants[0], 1);
    BOOST_REQUIRE(RunUntil([&] { return call.Contains("id: 0\n"); }));
    call.client.Close();
    BOOST_REQUIRE(RunUntil([&] { return fixture.callers->IsIdle(); }));
  }
  Call otherAccountCall(fixture,
                        Call::Get("/v1/requests/" + id, "Authorization: Bearer key-b\r\n"));
  BOOST_TEST(otherAccountCall.Status() != 200);
  BOOST_TEST(!otherAccountCall.Contains("one "));
  Call resumed(fixture, Call::Get("/v1/requests/" + id, owner + "Last-Event-ID: 0\r\n"));
  BOOST_REQUIRE(RunUntil([&] { return fixture.agent.firstChunk == 1; }));
  fixture.agent.Answer(fixture.agent.grants[0]);
  BOOST_TEST(resumed.Status() == 200);
  BOOST_TEST(resumed.Contains("id: 2\n"));
}

BOOST_AUTO_TEST_CASE(identifier_in_use_is_refused)
{
  EntryFixture fixture;
  fixture.agent.hold = true;
  Random random(3);
  const std::string id = FormatUuid(MakeUuid7(fixture.context->clock.Read().wall, random));
  const std::string request =
    Call::Post("/v1/chat/completions", kBody,
               "Authorization: Bearer key-a\r\nCaraway-Request-Id: " + id + "\r\n");
  Call first(fixture, request);
  BOOST_REQUIRE(RunUntil([&] { return !fixture.agent.grants.empty(); }));
  BOOST_TEST(StatusOf(fixture, request) == 409);
  fixture.agent.Answer(fixture.agent.grants[0]);
  BOOST_TEST(first.Status() == 200);
}

BOOST_AUTO_TEST_CASE(hundreds_of_streams_run_at_once)
{
  EntryFixture fixture;
  fixture.agent.hold = true;
  constexpr std::size_t kCalls = 300;
  std::vector<std::unique_ptr<Call>> calls;
  for (std::size_t i = 0; i < kCalls; ++i) {
    calls.push_back(
      std::make_unique<Call>(fixture, Call::Post("/v1/chat/completions", kStreamBody)));
  }
  BOOST_REQUIRE(RunUntil([&] { return fixture.agent.grants.size() == kCalls; }));
  for (const Grant& grant : fixture.agent.grants) {
    fixture.agent.Answer(grant);
  }
  for (const auto& call : calls) {
    BOOST_REQUIRE(call->Status() == 200);
    BOOST_REQUIRE(call->Contains("data: [DONE]"));
  }
}

BOOST_AUTO_TEST_CASE(caller_that_does_not_read_is_disconnected)
{
  EntryFixture fixture;
  fixture.agent.hold = true;
  fixture.agent.chunks.assign(200, std::string(100000, 'x'));
  ObjectPtr<GSocketClient> dial(g_socket_client_new());
  ObjectPtr<GSocketConnection> connection(g_socket_client_connect_to_host(
    dial.get(), "127.0.0.1", fixture.callers->Port(), nullptr, nullptr));
  const std::string request = Call::Post("/v1/chat/completions", kStreamBody);
  g_socket_send(g_socket_connection_get_socket(connection.get()), request.data(), request.size(),
                nullptr, nullptr);
  BOOST_REQUIRE(RunUntil([&] { return !fixture.agent.grants.empty(); }));
  fixture.agent.SendChunks(fixture.agent.grants[0], fixture.agent.chunks.size());
  BOOST_REQUIRE(RunUntil([&] { return fixture.callers->IsIdle(); }));
}

BOOST_AUTO_TEST_CASE(leaving_entry_is_not_ready_and_finishes_running_requests)
{
  EntryFixture fixture;
  fixture.agent.hold = true;
  Call running(fixture, Call::Post("/v1/chat/completions", kStreamBody));
  BOOST_REQUIRE(RunUntil([&] { return !fixture.agent.grants.empty(); }));
  BOOST_TEST(StatusOf(fixture, Call::Get("/readyz")) == 200);
  fixture.host->BeginLeaving();
  BOOST_TEST(StatusOf(fixture, Call::Get("/readyz")) == 503);
  BOOST_TEST(StatusOf(fixture, Call::Get("/healthz")) == 200);
  BOOST_REQUIRE(RunUntil([&] { return fixture.host->IsClosed(); }));
  BOOST_TEST(StatusOf(fixture, Call::Post("/v1/chat/completions", kBody)) == 503);
  fixture.callers->StopListening();
  BOOST_TEST(!fixture.host->IsDone());
  fixture.agent.Answer(fixture.agent.grants[0]);
  BOOST_TEST(running.Status() == 200);
  BOOST_TEST(running.Contains("data: [DONE]"));
  BOOST_REQUIRE(RunUntil([&] { return fixture.host->IsDone() && fixture.callers->IsIdle(); }));
}

// The rest of a request that was begun before the end is awaited, so that its caller gets an
// answer.
BOOST_AUTO_TEST_CASE(leaving_entry_answers_a_request_whose_body_still_arrives)
{
  EntryFixture fixture;
  const std::string request = Call::Post("/v1/chat/completions", kBody);
  Call call(fixture, request.substr(0, request.size() - 1));
  Call whole(fixture, Call::Get("/readyz"));
  BOOST_TEST(whole.Status() == 200);
  fixture.host->BeginLeaving();
  BOOST_REQUIRE(RunUntil([&] { return fixture.host->IsClosed(); }));
  fixture.callers->StopListening();
  BOOST_TEST(!fixture.callers->IsIdle());
  call.client.Send(request.substr(request.size() - 1));
  BOOST_TEST(call.Status() == 503);
  BOOST_REQUIRE(RunUntil([&] { return fixture.callers->IsIdle(); }));
}

BOOST_AUTO_TEST_CASE(callers_may_use_tls)
{
  const std::filesystem::path folder = CARAWAY_SOURCE_DIR "/tests/runtime";
  EntryFixture fixture(10000, TlsFiles{ folder / "test_certificate.pem", folder / "test_key.pem" });
  HttpsCall call(fixture.callers->Port(), Call::Post("/v1/chat/completions", kStreamBody));
  BOOST_REQUIRE(RunUntil([&] { return call.hasEnded; }));
  BOOST_TEST(call.received.starts_with("HTTP/1.1 200"));
  BOOST_TEST(call.received.find("data: [DONE]") != std::string::npos);

  HttpsCall refused(fixture.callers->Port(), Call::Post("/v1/chat/completions", kBody, ""));
  BOOST_REQUIRE(RunUntil([&] { return refused.hasEnded; }));
  BOOST_TEST(refused.received.starts_with("HTTP/1.1 401"));
}

BOOST_AUTO_TEST_CASE(large_answers_and_bodies_pass_tls_whole)
{
  const std::filesystem::path folder = CARAWAY_SOURCE_DIR "/tests/runtime";
  EntryFixture fixture(10000, TlsFiles{ folder / "test_certificate.pem", folder / "test_key.pem" });
  fixture.service.chunks = { std::string(300000, 'a'), std::string(200000, 'b') };
  const std::string body(9000, 'x');
  HttpsCall call(fixture.callers->Port(), Call::Post("/services/orders/status", body));
  BOOST_REQUIRE(RunUntil([&] { return call.hasEnded; }));
  BOOST_TEST(call.received.starts_with("HTTP/1.1 200"));
  const std::size_t start = call.received.find("\r\n\r\n") + 4;
  BOOST_TEST((call.received.substr(start) == std::string(300000, 'a') + std::string(200000, 'b')));
  BOOST_TEST((fixture.service.grants.at(0).body == body));
}

// Handshakes were done by a few threads, which callers that do not finish theirs held.
BOOST_AUTO_TEST_CASE(callers_that_do_not_finish_a_handshake_delay_no_others)
{
  const std::filesystem::path folder = CARAWAY_SOURCE_DIR "/tests/runtime";
  EntryFixture fixture(60000, TlsFiles{ folder / "test_certificate.pem", folder / "test_key.pem" });
  const std::string partOfHello("\x16\x03\x01\x02\x00\x01\x00\x01\xfc\x03\x03", 11);
  constexpr std::size_t kStalled = 100;
  std::vector<std::unique_ptr<Call>> stalled;
  stalled.reserve(kStalled);
  while (stalled.size() < kStalled) {
    stalled.push_back(std::make_unique<Call>(fixture, partOfHello));
  }
  Call plain(fixture, Call::Get("/readyz"));
  BOOST_REQUIRE(RunUntil([&] { return plain.client.IsClosed(); }));
  HttpsCall call(fixture.callers->Port(), Call::Get("/readyz"));
  BOOST_REQUIRE(RunUntil([&] { return call.hasEnded; }));
  BOOST_TEST(call.received.starts_with("HTTP/1.1 200"));
}

BOOST_AUTO_TEST_CASE(targets_are_read_in_each_form)
{
  EntryFixture fixture;
  BOOST_TEST(StatusOf(fixture, Call::Get("/readyz?a=b")) == 200);
  BOOST_TEST(StatusOf(fixture, Call::Get("/%72eadyz")) == 200);
  BOOST_TEST(StatusOf(fixture, Call::Get("http://x/readyz")) == 200);
  BOOST_TEST(StatusOf(fixture, Call::Get("http://x")) == 404);
  for (const std::string path :
       { "*", "readyz", "/a/../readyz", "/a/%2e%2e/readyz", "/a/..", "/%00", "/%zz" }) {
    BOOST_TEST(StatusOf(fixture, Call::Get(path)) == 400, path);
  }
}

BOOST_AUTO_TEST_CASE(truncated_log_records_are_a_configuration_gap)
{
  EntryFixture fixture;
  const LogOffset next = fixture.host->Config().Next();
  fixture.platform.records.resize(next + 10, fixture.platform.records[0]);
  fixture.platform.oldest = next + 5;
  fixture.platform.AddRecord("account", "late",
                             { { "key_hashes", { HashKey("key-c") } }, { "highest_tier", 1 } });
  BOOST_REQUIRE(RunUntil([&] { return fixture.host->NextLogOffset() == next + 11; }));
  BOOST_TEST(fixture.host->Config().Next() == next);
}

BOOST_AUTO_TEST_CASE(log_outage_fails_only_once_calls_until_recovery)
{
  EntryFixture fixture;
  fixture.platform.down = true;
  BOOST_TEST(StatusOf(fixture, Call::Post("/v1/chat/completions", kBody)) == 200);
  BOOST_TEST(StatusOf(fixture, Call::Post("/services/orders/book", "{}", KeyHeader())) == 503);
  BOOST_TEST(fixture.service.grants.empty());
  fixture.platform.down = false;
  fixture.platform.AddRecord("account", "late",
                             { { "key_hashes", { HashKey("key-c") } }, { "highest_tier", 1 } });
  BOOST_REQUIRE(RunUntil([&] { return fixture.host->Config().FindAccount("late") != nullptr; }));
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace caraway
