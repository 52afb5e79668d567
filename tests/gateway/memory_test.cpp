// Many faulty answers or slow callers at once: what an entry holds for them is bounded in total,
// not only for each request.
#include "fixture.h"

#include <boost/test/unit_test.hpp>

#include <malloc.h>
#include <sys/socket.h>
#include <unistd.h>

#include <functional>
#include <memory>
#include <vector>

namespace caraway::gateway {

namespace {

using Connection = ScriptedEndpoint::Connection;

constexpr int kEndpoints = 8;
constexpr int kRequestsPerEndpoint = 8; // the slots of an endpoint
constexpr std::size_t kWriteBytes = std::size_t{ 64 } << 10;
// The smallest entry VM has 88 MB. This leaves room for its code, configuration and requests.
constexpr std::size_t kMaxHeapGrowth = std::size_t{ 48 } << 20;

std::size_t HeapBytes()
{
  malloc_trim(0);
  const struct mallinfo2 info = mallinfo2();
  return info.uordblks + info.hblkhd;
}

// Sends one request and reads nothing of the answer.
class SilentCaller
{
public:
  SilentCaller(std::uint16_t aPort, const std::string& aRequest)
    : client(g_socket_client_new())
    , connection(
        g_socket_client_connect_to_host(this->client.get(), "127.0.0.1", aPort, nullptr, nullptr))
  {
    GSocket* socket = g_socket_connection_get_socket(this->connection.get());
    const int size = 4096; // the kernel buffers little for the caller
    setsockopt(g_socket_get_fd(socket), SOL_SOCKET, SO_RCVBUF, &size, sizeof(size));
    g_socket_send(socket, aRequest.data(), aRequest.size(), nullptr, nullptr);
  }

private:
  ObjectPtr<GSocketClient> client;
  ObjectPtr<GSocketConnection> connection;
};

struct Memory : GatewayFixture
{
  // Lets each endpoint answer each request with aHead, then aPiece until it has sent aMaxBytes.
  void AddFloodingEndpoints(const std::string& aHead, const std::string& aPiece,
                            std::size_t aMaxBytes)
  {
    for (int i = 0; i < kEndpoints; i++) {
      this->AddEndpoint([=, this](Connection& aTo, const RequestHead& aHead) {
        aTo.Write("HTTP/1.1 200 OK\r\nId: " + FindField(aHead.fields, "Id")->value + "\r\n" + head +
                  "\r\n");
        this->floods.push_back({ &aTo, 0 });
      });
    }
    this->piece = aPiece;
    this->maxBytes = aMaxBytes;
    this->head = aHead;
  }

  // Writes to each connection that takes more; returns whether there was one.
  bool SendMore()
  {
    bool hasSent = false;
    for (Flood& flood : this->floods) {
      if (flood.sent < this->maxBytes && flood.connection->socket.IsOpen() &&
          flood.connection->socket.PendingOutput() == 0) {
        flood.connection->Write(this->piece);
        flood.sent += this->piece.size();
        hasSent = true;
      }
    }
    return hasSent;
  }

  // Plays kEndpoints * kRequestsPerEndpoint requests at once; returns the largest growth of the
  // heap.
  std::size_t Play(const std::string& aPath)
  {
    this->Configure();
    const std::size_t before = HeapBytes();
    std::vector<std::unique_ptr<SilentCaller>> callers;
    callers.reserve(std::size_t{ kEndpoints } * kRequestsPerEndpoint);
    for (int i = 0; i < kEndpoints * kRequestsPerEndpoint; i++) {
      callers.push_back(std::make_unique<SilentCaller>(this->gateway->Port(),
                                                       Request(aPath, "r" + std::to_string(i))));
    }
    std::size_t largest = 0;
    int idleTurns = 0;
    bool hasTurned = false;
    Timer turn([&] { hasTurned = true; });
    while (idleTurns < kMaxIdleTurns) {
      idleTurns = this->SendMore() ? 0 : idleTurns + 1;
      hasTurned = false;
      turn.ArmAfter(std::chrono::milliseconds(1));
      RunUntil([&] { return hasTurned; });
      const std::size_t heap = HeapBytes();
      largest = std::max(largest, heap > before ? heap - before : 0);
    }
    BOOST_TEST(this->floods.size() > std::size_t{ kEndpoints }); // the requests ran at once
    return largest;
  }

  struct Flood
  {
    Connection* connection = nullptr;
    std::size_t sent = 0;
  };

  static constexpr int kMaxIdleTurns = 100; // of one millisecond
  std::vector<Flood> floods;
  std::string head;
  std::string piece;
  std::size_t maxBytes = 0;
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(memory, Memory)

// Bytes without an end of an event, from endpoints that send no more than one event may have.
BOOST_AUTO_TEST_CASE(streams_without_events)
{
  this->AddFloodingEndpoints("Proof: p\r\n", std::string(kWriteBytes, 'x'),
                             (1 << 20) - kWriteBytes);
  BOOST_TEST(this->Play("/stream/x") <= kMaxHeapGrowth);
}

// Endless events to callers that do not read.
BOOST_AUTO_TEST_CASE(streams_to_callers_that_do_not_read)
{
  const std::string event = "id: 1\ndata: " + std::string(kWriteBytes, 'x') + "\n\n";
  this->AddFloodingEndpoints("Proof: p\r\n", event, 16 << 20);
  BOOST_TEST(this->Play("/stream/x") <= kMaxHeapGrowth);
}

BOOST_AUTO_TEST_CASE(answers_without_end)
{
  this->AddFloodingEndpoints("Proof: p\r\n", std::string(kWriteBytes, 'x'), 16 << 20);
  BOOST_TEST(this->Play("/once/x") <= kMaxHeapGrowth);
}

// No answer of an endpoint: the proof is missing.
BOOST_AUTO_TEST_CASE(foreign_answers_without_end)
{
  this->AddFloodingEndpoints("", std::string(kWriteBytes, 'x'), 16 << 20);
  BOOST_TEST(this->Play("/once/x") <= kMaxHeapGrowth);
}

BOOST_AUTO_TEST_CASE(heads_without_end)
{
  this->AddFloodingEndpoints("Noise: x", std::string(kWriteBytes, 'x'), 16 << 20);
  BOOST_TEST(this->Play("/once/x") <= kMaxHeapGrowth);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace caraway::gateway
