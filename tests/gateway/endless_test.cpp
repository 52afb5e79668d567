// Endpoints that send an endless or malformed response: the gateway closes the connection within
// bounded memory, does not report the request as not run, and keeps serving other requests.
#include "fixture.h"

#include "gateway/endpoint_agent.h"

#include <boost/test/unit_test.hpp>

#include <functional>

namespace caraway::gateway {

namespace {

using Connection = ScriptedEndpoint::Connection;

constexpr std::size_t kWriteBytes = 16384;
// Bytes that the kernel's socket buffers of a connection may hold in addition.
constexpr std::size_t kSocketBufferBytes = 8 << 20;
// An endless response that was not aborted by then fails the test.
constexpr std::size_t kMaxSentBytes = 64 << 20;

// An endpoint that sends aPrefix, then aPiece repeatedly until the connection is closed.
struct EndlessEndpoint
{
  EndlessEndpoint(GatewayFixture& aFixture, const std::string& aPrefix, std::string aPiece)
    : piece(std::move(aPiece))
    , sendTimer([this] { this->Send(); })
  {
    this->server =
      &aFixture.AddEndpoint([this, aPrefix](Connection& aTo, const RequestHead& aHead) {
        const std::string id = FindField(aHead.fields, "Id")->value;
        this->connection = &aTo;
        aTo.Write("HTTP/1.1 200 OK\r\nId: " + id + "\r\nProof: p\r\n" + aPrefix);
        this->Send();
      });
  }

  void Send()
  {
    const bool isOpen = this->server->closedCount == 0 && this->connection->socket.IsOpen();
    if (!isOpen || this->sent >= kMaxSentBytes) {
      return;
    }
    if (this->connection->socket.PendingOutput() == 0) {
      this->connection->Write(this->piece);
      this->sent += this->piece.size();
    }
    this->sendTimer.ArmAfter(Duration::zero());
  }

  std::string piece;
  ScriptedEndpoint* server = nullptr;
  Connection* connection = nullptr;
  std::size_t sent = 0;
  Timer sendTimer;
};

// Sends aPrefix and endless copies of aPiece in response to a request for aPath; checks that the
// gateway closes the connection after at most aMaxSent bytes.
void CheckConnectionIsClosed(GatewayFixture& aFixture, const std::string& aPath,
                             const std::string& aPrefix, const std::string& aPiece,
                             std::size_t aMaxSent)
{
  EndlessEndpoint endless(aFixture, aPrefix, aPiece);
  RawTcpClient client(aFixture.gateway->Port());
  client.Send(GatewayFixture::Request(aPath, "r1"));
  BOOST_REQUIRE(
    RunUntil([&] { return endless.server->closedCount > 0 || endless.sent >= kMaxSentBytes; }));
  BOOST_TEST(endless.sent <= aMaxSent);
  BOOST_REQUIRE(RunUntil([&] { return !client.Received().empty() || client.IsClosed(); }));
  BOOST_TEST(client.Received().find(" 503 ") == std::string::npos); // the request may have run
  // Other requests are still served.
  aFixture.endpointInfos.erase("e1");
  aFixture.AddEndpoint(
    [](Connection& aTo, const RequestHead& aHead) { aTo.Write(CompleteResponse(aHead, "hello")); });
  const std::string answer =
    aFixture.SendAndWait(GatewayFixture::Request("/once/y", "r2"), "hello");
  BOOST_TEST(answer.find("hello") != std::string::npos);
}

std::string Repeat(const std::string& aText)
{
  std::string all;
  while (all.size() < kWriteBytes) {
    all += aText;
  }
  return all;
}

// The same for complete messages that do not answer the request.
void CheckMessageFloodIsClosed(GatewayFixture& aFixture, const std::string& aMessage)
{
  EndlessEndpoint endless(aFixture, "", "");
  endless.server->script = [&](Connection& aTo, const RequestHead&) {
    endless.connection = &aTo;
    endless.piece = Repeat(aMessage);
    endless.Send();
  };
  RawTcpClient client(aFixture.gateway->Port());
  client.Send(GatewayFixture::Request("/once/x", "r1"));
  BOOST_REQUIRE(
    RunUntil([&] { return endless.server->closedCount > 0 || endless.sent >= kMaxSentBytes; }));
  BOOST_TEST(endless.sent <= kSocketBufferBytes);
  BOOST_REQUIRE(RunUntil([&] { return !client.Received().empty(); }));
  BOOST_TEST(client.Received().find(" 502 ") != std::string::npos);
}

} // namespace

BOOST_FIXTURE_TEST_SUITE(endless_answers, GatewayFixture)

BOOST_AUTO_TEST_CASE(header_lines)
{
  this->Configure();
  CheckConnectionIsClosed(*this, "/once/x", "", Repeat("Noise: abcdefgh\r\n"), kSocketBufferBytes);
}

BOOST_AUTO_TEST_CASE(one_header_line)
{
  this->Configure();
  CheckConnectionIsClosed(*this, "/once/x", "Noise: ", Repeat("abcdefgh"), kSocketBufferBytes);
}

BOOST_AUTO_TEST_CASE(interim_answers)
{
  this->Configure();
  CheckMessageFloodIsClosed(*this, "HTTP/1.1 100 Continue\r\n\r\n");
}

BOOST_AUTO_TEST_CASE(answers_to_other_requests)
{
  this->Configure();
  CheckMessageFloodIsClosed(
    *this, "HTTP/1.1 200 OK\r\nId: other\r\nProof: p\r\nContent-Length: 4\r\n\r\nabcd");
}

BOOST_AUTO_TEST_CASE(a_chunk_extension)
{
  this->Configure();
  CheckConnectionIsClosed(*this, "/once/x", "Transfer-Encoding: chunked\r\n\r\n5;",
                          Repeat("abcdefgh"), kSocketBufferBytes);
}

BOOST_AUTO_TEST_CASE(a_body)
{
  this->Configure();
  CheckConnectionIsClosed(*this, "/once/x", "Connection: close\r\n\r\n", Repeat("abcdefgh"),
                          EndpointRequest().maxBodyBytes + kSocketBufferBytes);
}

BOOST_AUTO_TEST_CASE(a_body_in_chunks)
{
  this->Configure();
  const std::string piece = Repeat("abcdefgh");
  CheckConnectionIsClosed(*this, "/once/x", "Transfer-Encoding: chunked\r\n\r\n", Chunk(piece),
                          EndpointRequest().maxBodyBytes + kSocketBufferBytes);
}

BOOST_AUTO_TEST_CASE(an_event_of_a_stream)
{
  this->Configure();
  CheckConnectionIsClosed(*this, "/stream/x", "Transfer-Encoding: chunked\r\n\r\n",
                          Chunk(Repeat("abcdefgh")), (1 << 20) + kSocketBufferBytes);
}

// Concurrent answers stay within the buffer limit shared by all answers.
BOOST_AUTO_TEST_CASE(many_bodies_at_once)
{
  this->Configure();
  constexpr std::size_t kCalls = 16;
  constexpr std::size_t kEach = 3 << 20;
  ScriptedEndpoint& endpoint = this->AddEndpoint([](Connection& aTo, const RequestHead& aHead) {
    aTo.Write("HTTP/1.1 200 OK\r\nId: " + FindField(aHead.fields, "Id")->value +
              "\r\nProof: p\r\nContent-Length: " + std::to_string(kEach + 1) + "\r\n\r\n" +
              std::string(kEach, 'a'));
  });
  this->endpointInfos["e1"].slots = kCalls;
  this->gateway->SetEndpoints(this->endpointInfos);
  std::list<RawTcpClient> clients;
  for (std::size_t call = 0; call < kCalls; call++) {
    clients.emplace_back(this->gateway->Port());
    clients.back().Send(Request("/once/x", "r" + std::to_string(call)));
  }
  const auto answeredCount = [&] {
    return std::count_if(clients.begin(), clients.end(),
                         [](const RawTcpClient& aClient) { return !aClient.Received().empty(); });
  };
  // The limit of 24 MB holds eight of them; the others are aborted at once.
  BOOST_TEST(RunUntil([&] { return answeredCount() >= 8; }));
  BOOST_TEST(endpoint.requests.size() == kCalls);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace caraway::gateway
