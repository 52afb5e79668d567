// Bytes that are no answer and never end: the connection is closed within bounded memory, the
// request ends honestly, and others are served on.
#include "fixture.h"

#include "gateway/endpoint_agent.h"

#include <boost/test/unit_test.hpp>

#include <functional>

namespace caraway::gateway {

namespace {

using Connection = ScriptedEndpoint::Connection;

constexpr std::size_t kPiece = 16384;
// What the kernel's buffers between the two ends of a connection may hold besides.
constexpr std::size_t kBuffers = 8 << 20;
// An endless answer that was not cut by then counts as kept.
constexpr std::size_t kMostBytes = 64 << 20;

// An endpoint that sends aBegin and then aPiece until the connection is closed.
struct EndlessEndpoint
{
  EndlessEndpoint(GatewayFixture& aFixture, const std::string& aBegin, std::string aPiece)
    : piece(std::move(aPiece))
    , pump([this] { this->Send(); })
  {
    this->server = &aFixture.AddEndpoint([this, aBegin](Connection& aTo, const RequestHead& aHead) {
      const std::string id = FindField(aHead.fields, "Id")->value;
      this->connection = &aTo;
      aTo.Write("HTTP/1.1 200 OK\r\nId: " + id + "\r\nProof: p\r\n" + aBegin);
      this->Send();
    });
  }

  void Send()
  {
    const bool isOpen = this->server->ended == 0 && this->connection->socket.IsOpen();
    if (!isOpen || this->sent >= kMostBytes) {
      return;
    }
    if (this->connection->socket.PendingOutput() == 0) {
      this->connection->Write(this->piece);
      this->sent += this->piece.size();
    }
    this->pump.ArmAfter(Duration::zero());
  }

  std::string piece;
  ScriptedEndpoint* server = nullptr;
  Connection* connection = nullptr;
  std::size_t sent = 0;
  Timer pump;
};

// Plays aBegin and aPiece without end on aPath and checks how it ends.
void CheckCut(GatewayFixture& aFixture, const std::string& aPath, const std::string& aBegin,
              const std::string& aPiece, std::size_t aMostSent)
{
  EndlessEndpoint endless(aFixture, aBegin, aPiece);
  RawTcpClient client(aFixture.gateway->Port());
  client.Send(GatewayFixture::Request(aPath, "r1"));
  BOOST_REQUIRE(RunUntil([&] { return endless.server->ended > 0 || endless.sent >= kMostBytes; }));
  BOOST_TEST(endless.sent <= aMostSent);
  BOOST_REQUIRE(RunUntil([&] { return !client.Received().empty() || client.IsClosed(); }));
  BOOST_TEST(client.Received().find(" 503 ") == std::string::npos); // it may have run
  // Others are served on.
  aFixture.listed.erase("e1");
  aFixture.AddEndpoint(
    [](Connection& aTo, const RequestHead& aHead) { aTo.Write(Whole(aHead, "hello")); });
  const std::string answer = aFixture.Ask(GatewayFixture::Request("/once/y", "r2"), "hello");
  BOOST_TEST(answer.find("hello") != std::string::npos);
}

std::string Repeat(const std::string& aText)
{
  std::string all;
  while (all.size() < kPiece) {
    all += aText;
  }
  return all;
}

// The same for whole messages that are no answer to the request.
void CheckCutMessages(GatewayFixture& aFixture, const std::string& aMessage)
{
  EndlessEndpoint endless(aFixture, "", "");
  endless.server->script = [&](Connection& aTo, const RequestHead&) {
    endless.connection = &aTo;
    endless.piece = Repeat(aMessage);
    endless.Send();
  };
  RawTcpClient client(aFixture.gateway->Port());
  client.Send(GatewayFixture::Request("/once/x", "r1"));
  BOOST_REQUIRE(RunUntil([&] { return endless.server->ended > 0 || endless.sent >= kMostBytes; }));
  BOOST_TEST(endless.sent <= kBuffers);
  BOOST_REQUIRE(RunUntil([&] { return !client.Received().empty(); }));
  BOOST_TEST(client.Received().find(" 502 ") != std::string::npos);
}

} // namespace

BOOST_FIXTURE_TEST_SUITE(endless_answers, GatewayFixture)

BOOST_AUTO_TEST_CASE(header_lines)
{
  this->Configure();
  CheckCut(*this, "/once/x", "", Repeat("Noise: abcdefgh\r\n"), kBuffers);
}

BOOST_AUTO_TEST_CASE(one_header_line)
{
  this->Configure();
  CheckCut(*this, "/once/x", "Noise: ", Repeat("abcdefgh"), kBuffers);
}

BOOST_AUTO_TEST_CASE(interim_answers)
{
  this->Configure();
  CheckCutMessages(*this, "HTTP/1.1 100 Continue\r\n\r\n");
}

BOOST_AUTO_TEST_CASE(answers_to_other_requests)
{
  this->Configure();
  CheckCutMessages(*this,
                   "HTTP/1.1 200 OK\r\nId: other\r\nProof: p\r\nContent-Length: 4\r\n\r\nabcd");
}

BOOST_AUTO_TEST_CASE(a_chunk_extension)
{
  this->Configure();
  CheckCut(*this, "/once/x", "Transfer-Encoding: chunked\r\n\r\n5;", Repeat("abcdefgh"), kBuffers);
}

BOOST_AUTO_TEST_CASE(a_body)
{
  this->Configure();
  CheckCut(*this, "/once/x", "Connection: close\r\n\r\n", Repeat("abcdefgh"),
           EndpointRequest().maxBodyBytes + kBuffers);
}

BOOST_AUTO_TEST_CASE(a_body_in_chunks)
{
  this->Configure();
  const std::string piece = Repeat("abcdefgh");
  CheckCut(*this, "/once/x", "Transfer-Encoding: chunked\r\n\r\n", Chunk(piece),
           EndpointRequest().maxBodyBytes + kBuffers);
}

BOOST_AUTO_TEST_CASE(an_event_of_a_stream)
{
  this->Configure();
  CheckCut(*this, "/stream/x", "Transfer-Encoding: chunked\r\n\r\n", Chunk(Repeat("abcdefgh")),
           (1 << 20) + kBuffers);
}

// Many at once stay within the memory that all answers share.
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
  this->listed["e1"].slots = kCalls;
  this->gateway->SetEndpoints(this->listed);
  std::list<RawTcpClient> clients;
  for (std::size_t call = 0; call < kCalls; call++) {
    clients.emplace_back(this->gateway->Port());
    clients.back().Send(Request("/once/x", "r" + std::to_string(call)));
  }
  const auto ended = [&] {
    return std::count_if(clients.begin(), clients.end(),
                         [](const RawTcpClient& aClient) { return !aClient.Received().empty(); });
  };
  // 24 MB hold eight of them; the others end at once.
  BOOST_TEST(RunUntil([&] { return ended() >= 8; }));
  BOOST_TEST(endpoint.requests.size() == kCalls);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace caraway::gateway
