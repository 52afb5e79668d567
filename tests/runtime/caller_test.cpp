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

// An entry with its callers' server, a platform and one agent of each pool.
struct Site
{
  explicit Site(std::uint32_t aReadMs = 10000, const std::optional<TlsFiles>& aTls = {})
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
                       this->context->random, this->placement, *this->log, this->context->observer);
    this->callers.emplace(this->settings, *this->host, this->context->metrics,
                          this->context->random);
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

// One raw HTTP call over its own connection.
struct Call
{
  Call(Site& aSite, const std::string& aRequest)
    : site(aSite)
    , client(aSite.callers->Port())
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

  const std::string& Whole()
  {
    BOOST_REQUIRE(RunUntil([&] { return this->client.IsClosed(); }));
    return this->client.Received();
  }

  int Status()
  {
    const std::string& answer = this->Whole();
    BOOST_REQUIRE(answer.starts_with("HTTP/1.1 "));
    return std::stoi(answer.substr(9, 3));
  }

  bool Has(const std::string& aText)
  {
    return this->client.Received().find(aText) != std::string::npos;
  }

  Site& site;
  RawTcpClient client;
};

// One call over TLS whose answer is read to its end.
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

  // Trusts the certificate of the test.
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
      self->ended = true;
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
  bool ended = false;
};

int StatusOf(Site& aSite, const std::string& aRequest)
{
  return Call(aSite, aRequest).Status();
}

std::string KeyHeader()
{
  Random random(7);
  const SystemClock clock;
  return "Authorization: Bearer key-a\r\nIdempotency-Key: " +
         FormatUuid(MakeUuid7(clock.Read().wall, random)) + "\r\n";
}

} // namespace

BOOST_AUTO_TEST_SUITE(callers)

BOOST_AUTO_TEST_CASE(whole_completion_is_answered)
{
  Site site;
  Call call(site, Call::Post("/v1/chat/completions", kBody));
  BOOST_TEST(call.Status() == 200);
  BOOST_TEST(call.Has(R"("content":"one two three ")"));
  BOOST_TEST(call.Has("Caraway-Agent: agent-a"));
  BOOST_TEST(call.Has("Caraway-Outcome: answered"));
  BOOST_TEST(site.agent.grants.size() == 1U);
  BOOST_TEST(site.agent.grants[0].body == kBody);
}

BOOST_AUTO_TEST_CASE(streamed_completion_has_numbered_events_and_an_end)
{
  Site site;
  Call call(site, Call::Post("/v1/chat/completions", kStreamBody));
  BOOST_TEST(call.Status() == 200);
  BOOST_TEST(call.Has("text/event-stream"));
  BOOST_TEST(call.Has("id: 0\n"));
  BOOST_TEST(call.Has("id: 2\n"));
  BOOST_TEST(call.Has(R"({"content":"three "})"));
  BOOST_TEST(call.Has(R"("caraway":{"outcome":"answered","reason":"none"})"));
  BOOST_TEST(call.Has("data: [DONE]"));
}

BOOST_AUTO_TEST_CASE(service_call_is_passed_on_unchanged)
{
  Site site;
  site.service.chunks = { R"({"ran":true})" };
  Call call(site, Call::Post("/services/orders/status", "{\"a\":1}"));
  BOOST_TEST(call.Status() == 200);
  BOOST_TEST(call.Whole().ends_with("\r\n\r\n{\"ran\":true}"));
  BOOST_TEST(site.service.grants[0].body == "{\"a\":1}");
}

BOOST_AUTO_TEST_CASE(once_route_claims_its_key_in_the_log_first)
{
  Site site;
  const std::size_t before = site.platform.records.size();
  Call call(site, Call::Post("/services/orders/book", "{}", KeyHeader()));
  BOOST_TEST(call.Status() == 200);
  BOOST_TEST(site.platform.records.size() > before);
  BOOST_TEST(site.service.grants[0].claim != kNoOffset);
}

BOOST_AUTO_TEST_CASE(bad_calls_are_refused_with_their_status)
{
  Site site;
  const std::string chat = "/v1/chat/completions";
  const std::string key = "Authorization: Bearer key-a\r\n";
  BOOST_TEST(StatusOf(site, Call::Post(chat, "{")) == 400);
  BOOST_TEST(StatusOf(site, Call::Post(chat, "[]")) == 400);
  BOOST_TEST(StatusOf(site, Call::Post(chat, R"({"model":"model-a"})")) == 400);
  BOOST_TEST(StatusOf(site, Call::Post(chat, R"({"model":"model-a","messages":[1]})")) == 400);
  BOOST_TEST(StatusOf(site, Call::Post(chat, kBody, key + "Caraway-Tier: 9\r\n")) == 400);
  BOOST_TEST(StatusOf(site, Call::Post(chat, kBody, key + "Caraway-Tier: 0\r\n")) == 403);
  BOOST_TEST(StatusOf(site, Call::Post(chat, kBody, key + "Caraway-Start-Within-Ms: x\r\n")) ==
             400);
  BOOST_TEST(StatusOf(site, Call::Post(chat, kBody, key + "Caraway-Request-Id: 1\r\n")) == 400);
  BOOST_TEST(StatusOf(site, Call::Post(chat, kBody, "")) == 401);
  BOOST_TEST(StatusOf(site, Call::Post(chat, kBody, "Authorization: Bearer no\r\n")) == 401);
  BOOST_TEST(StatusOf(site, Call::Post(chat, R"({"model":"b","messages":[{}]})")) == 404);
  BOOST_TEST(StatusOf(site, Call::Post("/services/none/x", "{}")) == 404);
  BOOST_TEST(StatusOf(site, Call::Post("/services/orders", "{}")) == 404);
  BOOST_TEST(StatusOf(site, Call::Post("/other", "{}")) == 404);
  BOOST_TEST(StatusOf(site, Call::Get(chat, key)) == 405);
  BOOST_TEST(StatusOf(site, Call::Post("/services/orders/book", "{}")) == 422);
  BOOST_TEST(StatusOf(site, Call::Get("/v1/requests/x", key)) == 400);
  BOOST_TEST(site.agent.reserves.empty());
  BOOST_TEST(site.service.reserves.empty());
}

BOOST_AUTO_TEST_CASE(refusal_before_the_body_keeps_its_text)
{
  Site site;
  Call call(site, Call::Post("/v1/chat/completions", kBody, "Authorization: Bearer no\r\n"));
  BOOST_TEST(call.Status() == 401);
  BOOST_TEST(call.Has("missing or unknown key"));
}

BOOST_AUTO_TEST_CASE(announced_large_body_is_refused_before_it_arrives)
{
  Site site;
  Call call(site, "POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\n"
                  "Authorization: Bearer key-a\r\nContent-Length: 1000000000\r\n\r\n");
  BOOST_TEST(call.Status() == 413);
}

BOOST_AUTO_TEST_CASE(large_body_in_chunks_is_refused_while_it_arrives)
{
  Site site;
  std::string request = "POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\n"
                        "Authorization: Bearer key-a\r\nTransfer-Encoding: chunked\r\n\r\n";
  request += "4000\r\n" + std::string(0x4000, 'x') + "\r\n";
  Call call(site, request);
  BOOST_TEST(call.Status() == 413);
}

BOOST_AUTO_TEST_CASE(half_sent_calls_are_ended)
{
  Site site(100);
  Call head(site, "POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\n");
  Call body(site, "POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\n"
                  "Authorization: Bearer key-a\r\nContent-Length: 100\r\n\r\n{");
  BOOST_TEST(head.Status() == 408);
  BOOST_TEST(body.Status() == 408);
  BOOST_TEST(site.agent.reserves.empty());
}

BOOST_AUTO_TEST_CASE(caller_that_disconnects_is_noticed)
{
  Site site;
  site.agent.hold = true;
  Call call(site, Call::Post("/v1/chat/completions", kStreamBody));
  BOOST_REQUIRE(RunUntil([&] { return !site.agent.grants.empty(); }));
  call.client.Close();
  BOOST_REQUIRE(RunUntil([&] { return site.callers->IsIdle(); }));
  BOOST_REQUIRE(RunUntil([&] { return !site.agent.cancels.empty(); }));
}

BOOST_AUTO_TEST_CASE(caller_that_comes_back_gets_the_rest)
{
  Site site;
  site.agent.hold = true;
  Random random(3);
  const std::string id = FormatUuid(MakeUuid7(site.context->clock.Read().wall, random));
  const std::string key = "Authorization: Bearer key-a\r\n";
  {
    Call call(site, Call::Post("/v1/chat/completions", kStreamBody,
                               key + "Caraway-Request-Id: " + id + "\r\n"));
    BOOST_REQUIRE(RunUntil([&] { return !site.agent.grants.empty(); }));
    site.agent.SendChunks(site.agent.grants[0], 1);
    BOOST_REQUIRE(RunUntil([&] { return call.Has("id: 0\n"); }));
    call.client.Close();
    BOOST_REQUIRE(RunUntil([&] { return site.callers->IsIdle(); }));
  }
  Call again(site, Call::Get("/v1/requests/" + id, key + "Last-Event-ID: 0\r\n"));
  BOOST_REQUIRE(RunUntil([&] { return site.agent.firstChunk == 1; }));
  site.agent.Answer(site.agent.grants[0]);
  BOOST_TEST(again.Status() == 200);
  BOOST_TEST(!again.Has("id: 0\n"));
  BOOST_TEST(again.Has("id: 1\n"));
  BOOST_TEST(again.Has("data: [DONE]"));
  BOOST_TEST(site.agent.grants.size() == 1U);
}

BOOST_AUTO_TEST_CASE(answer_that_ended_while_its_caller_was_gone_is_replayed)
{
  Site site;
  site.agent.hold = true;
  Random random(3);
  const std::string id = FormatUuid(MakeUuid7(site.context->clock.Read().wall, random));
  const std::string key = "Authorization: Bearer key-a\r\n";
  {
    Call call(site, Call::Post("/v1/chat/completions", kStreamBody,
                               key + "Caraway-Request-Id: " + id + "\r\n"));
    BOOST_REQUIRE(RunUntil([&] { return !site.agent.grants.empty(); }));
    call.client.Close();
    BOOST_REQUIRE(RunUntil([&] { return site.callers->IsIdle(); }));
  }
  site.agent.Answer(site.agent.grants[0]);
  BOOST_REQUIRE(RunUntil(
    [&] { return site.context->metrics.Text().find("kind=\"finished\"") != std::string::npos; }));
  Call again(site, Call::Get("/v1/requests/" + id, key));
  BOOST_REQUIRE(RunUntil([&] { return site.agent.queries > 0 || again.client.IsClosed(); }));
  site.agent.Answer(site.agent.grants[0]);
  BOOST_TEST(again.Status() == 200);
  BOOST_TEST(again.Has("id: 0\n"));
  BOOST_TEST(again.Has("data: [DONE]"));
}

BOOST_AUTO_TEST_CASE(answer_of_another_account_is_not_given_out)
{
  Site site;
  site.agent.hold = true;
  Random random(3);
  const std::string id = FormatUuid(MakeUuid7(site.context->clock.Read().wall, random));
  const std::string owner = "Authorization: Bearer key-a\r\n";
  {
    Call call(site, Call::Post("/v1/chat/completions", kStreamBody,
                               owner + "Caraway-Request-Id: " + id + "\r\n"));
    BOOST_REQUIRE(RunUntil([&] { return !site.agent.grants.empty(); }));
    site.agent.SendChunks(site.agent.grants[0], 1);
    BOOST_REQUIRE(RunUntil([&] { return call.Has("id: 0\n"); }));
    call.client.Close();
    BOOST_REQUIRE(RunUntil([&] { return site.callers->IsIdle(); }));
  }
  Call thief(site, Call::Get("/v1/requests/" + id, "Authorization: Bearer key-b\r\n"));
  BOOST_TEST(thief.Status() != 200);
  BOOST_TEST(!thief.Has("one "));
  Call again(site, Call::Get("/v1/requests/" + id, owner + "Last-Event-ID: 0\r\n"));
  BOOST_REQUIRE(RunUntil([&] { return site.agent.firstChunk == 1; }));
  site.agent.Answer(site.agent.grants[0]);
  BOOST_TEST(again.Status() == 200);
  BOOST_TEST(again.Has("id: 2\n"));
}

BOOST_AUTO_TEST_CASE(identifier_in_use_is_refused)
{
  Site site;
  site.agent.hold = true;
  Random random(3);
  const std::string id = FormatUuid(MakeUuid7(site.context->clock.Read().wall, random));
  const std::string request =
    Call::Post("/v1/chat/completions", kBody,
               "Authorization: Bearer key-a\r\nCaraway-Request-Id: " + id + "\r\n");
  Call first(site, request);
  BOOST_REQUIRE(RunUntil([&] { return !site.agent.grants.empty(); }));
  BOOST_TEST(StatusOf(site, request) == 409);
  site.agent.Answer(site.agent.grants[0]);
  BOOST_TEST(first.Status() == 200);
}

BOOST_AUTO_TEST_CASE(hundreds_of_streams_run_at_once)
{
  Site site;
  site.agent.hold = true;
  constexpr std::size_t kCalls = 300;
  std::vector<std::unique_ptr<Call>> calls;
  for (std::size_t i = 0; i < kCalls; ++i) {
    calls.push_back(std::make_unique<Call>(site, Call::Post("/v1/chat/completions", kStreamBody)));
  }
  BOOST_REQUIRE(RunUntil([&] { return site.agent.grants.size() == kCalls; }));
  for (const Grant& grant : site.agent.grants) {
    site.agent.Answer(grant);
  }
  for (const auto& call : calls) {
    BOOST_REQUIRE(call->Status() == 200);
    BOOST_REQUIRE(call->Has("data: [DONE]"));
  }
}

BOOST_AUTO_TEST_CASE(caller_that_does_not_read_is_cut_off)
{
  Site site;
  site.agent.hold = true;
  site.agent.chunks.assign(200, std::string(100000, 'x'));
  ObjectPtr<GSocketClient> dial(g_socket_client_new());
  ObjectPtr<GSocketConnection> connection(g_socket_client_connect_to_host(
    dial.get(), "127.0.0.1", site.callers->Port(), nullptr, nullptr));
  const std::string request = Call::Post("/v1/chat/completions", kStreamBody);
  g_socket_send(g_socket_connection_get_socket(connection.get()), request.data(), request.size(),
                nullptr, nullptr);
  BOOST_REQUIRE(RunUntil([&] { return !site.agent.grants.empty(); }));
  site.agent.SendChunks(site.agent.grants[0], site.agent.chunks.size());
  BOOST_REQUIRE(RunUntil([&] { return site.callers->IsIdle(); }));
}

BOOST_AUTO_TEST_CASE(leaving_turns_unready_and_finishes_what_runs)
{
  Site site;
  site.agent.hold = true;
  Call running(site, Call::Post("/v1/chat/completions", kStreamBody));
  BOOST_REQUIRE(RunUntil([&] { return !site.agent.grants.empty(); }));
  BOOST_TEST(StatusOf(site, Call::Get("/readyz")) == 200);
  site.host->BeginLeaving();
  BOOST_TEST(StatusOf(site, Call::Get("/readyz")) == 503);
  BOOST_TEST(StatusOf(site, Call::Get("/healthz")) == 200);
  BOOST_REQUIRE(RunUntil([&] { return site.host->IsClosed(); }));
  BOOST_TEST(StatusOf(site, Call::Post("/v1/chat/completions", kBody)) == 503);
  site.callers->StopListening();
  BOOST_TEST(!site.host->IsDone());
  site.agent.Answer(site.agent.grants[0]);
  BOOST_TEST(running.Status() == 200);
  BOOST_TEST(running.Has("data: [DONE]"));
  BOOST_REQUIRE(RunUntil([&] { return site.host->IsDone() && site.callers->IsIdle(); }));
}

BOOST_AUTO_TEST_CASE(callers_may_use_tls)
{
  const auto folder = std::filesystem::path(__FILE__).parent_path();
  Site site(10000, TlsFiles{ folder / "test_certificate.pem", folder / "test_key.pem" });
  HttpsCall call(site.callers->Port(), Call::Post("/v1/chat/completions", kStreamBody));
  BOOST_REQUIRE(RunUntil([&] { return call.ended; }));
  BOOST_TEST(call.received.starts_with("HTTP/1.1 200"));
  BOOST_TEST(call.received.find("data: [DONE]") != std::string::npos);

  HttpsCall refused(site.callers->Port(), Call::Post("/v1/chat/completions", kBody, ""));
  BOOST_REQUIRE(RunUntil([&] { return refused.ended; }));
  BOOST_TEST(refused.received.starts_with("HTTP/1.1 401"));
}

BOOST_AUTO_TEST_CASE(configuration_beyond_the_logs_retention_is_a_gap)
{
  Site site;
  const LogOffset next = site.host->Config().Next();
  site.platform.records.resize(next + 10, site.platform.records[0]);
  site.platform.oldest = next + 5;
  site.platform.AddRecord("account", "late",
                          { { "key_hashes", { HashKey("key-c") } }, { "highest_tier", 1 } });
  BOOST_REQUIRE(RunUntil([&] { return site.host->NextLogOffset() == next + 11; }));
  BOOST_TEST(site.host->Config().Next() == next);
}

BOOST_AUTO_TEST_CASE(log_outage_leaves_other_calls_alone_and_ends)
{
  Site site;
  site.platform.down = true;
  BOOST_TEST(StatusOf(site, Call::Post("/v1/chat/completions", kBody)) == 200);
  BOOST_TEST(StatusOf(site, Call::Post("/services/orders/book", "{}", KeyHeader())) == 503);
  BOOST_TEST(site.service.grants.empty());
  site.platform.down = false;
  site.platform.AddRecord("account", "late",
                          { { "key_hashes", { HashKey("key-c") } }, { "highest_tier", 1 } });
  BOOST_REQUIRE(RunUntil([&] { return site.host->Config().FindAccount("late") != nullptr; }));
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace caraway
