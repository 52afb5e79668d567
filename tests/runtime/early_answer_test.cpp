// Answers that arrive while the request is still being written, or with a status that is none, at
// the agent's client and at the socket below it: none may be taken for complete.
#include "loop.h"

#include "runtime/endpoint_client.h"
#include "runtime/tcp_socket.h"

#include <boost/test/unit_test.hpp>

#include <list>
#include <memory>
#include <optional>
#include <string>

namespace caraway {

namespace {

constexpr std::size_t kLongBody = 3 << 20; // more than the kernel's buffers hold

// Answers the first bytes of a request and ends the connection without reading the rest.
class HastyEndpoint
{
public:
  HastyEndpoint()
    : listener(this->poller, [this](int aFd) {
      this->connections.push_back(std::make_unique<Connection>(*this, aFd));
    })
  {
    BOOST_REQUIRE(!this->listener.Listen({ "127.0.0.1", 0 }));
  }

  std::string Address() const { return "127.0.0.1:" + std::to_string(this->listener.Port()); }

  std::string answer;
  bool isReset = true;

private:
  struct Connection final : TcpOwner
  {
    Connection(HastyEndpoint& aEndpoint, int aFd)
      : endpoint(aEndpoint)
      , socket(aEndpoint.poller, *this)
    {
      this->socket.Adopt(aFd);
    }
    void OnInput() override
    {
      this->socket.SetReading(false);
      this->socket.Write(this->endpoint.answer);
      this->socket.Close(this->endpoint.isReset);
    }
    void OnInputEnd(bool) override { this->socket.Close(); }

    HastyEndpoint& endpoint;
    TcpSocket socket;
  };

  Poller poller;
  std::list<std::unique_ptr<Connection>> connections;
  TcpListener listener;
};

struct LastResult final : EndpointHandler
{
  void OnWorkChunk(const RequestId&, std::uint32_t, const std::string&) override {}
  void OnWorkEnd(const RequestId&, const WorkResult& aResult) override { this->result = aResult; }
  void OnProbe(bool) override {}
  void OnOrderDone(LogOffset, bool) override {}

  std::optional<WorkResult> result;
};

struct EarlyAnswer
{
  WorkEnd Dispatch(WorkKind aKind, const std::string& aAnswer, std::size_t aBodyBytes)
  {
    this->endpoint.answer = aAnswer;
    this->handler.result.reset();
    const std::string body = "{\"prompt\":\"" + std::string(aBodyBytes, 'x') + "\"}";
    this->client.Dispatch(RequestId{ 1, ++this->lastId }, aKind, "/x", body);
    BOOST_REQUIRE(RunUntil([&] { return this->handler.result.has_value(); }));
    return this->handler.result->end;
  }

  HastyEndpoint endpoint;
  LastResult handler;
  EndpointClient client{ this->endpoint.Address(), this->handler };
  std::uint64_t lastId = 0;
};

struct RecordingOwner final : TcpOwner
{
  void OnInput() override {}
  void OnInputEnd(bool aReset) override { this->isReset = aReset; }

  std::optional<bool> isReset;
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(early_answer, EarlyAnswer)

BOOST_AUTO_TEST_CASE(an_answer_without_a_length_that_is_reset_during_the_upload_is_not_complete)
{
  const std::string head = "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n\r\n";
  for (const std::string part : { "", "{\"ran\":true}", "{\"ran\":true}\n" }) {
    for (int repeat = 0; repeat < 20; repeat++) {
      BOOST_TEST((this->Dispatch(WorkKind::kService, head + part, kLongBody) == WorkEnd::kBroken));
    }
  }
}

BOOST_AUTO_TEST_CASE(a_stream_that_is_reset_during_the_upload_after_a_whole_event_is_not_complete)
{
  const std::string answer = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n"
                             "data: {\"choices\":[{\"delta\":{\"content\":\"a\"}}]}\n\n";
  for (int repeat = 0; repeat < 20; repeat++) {
    BOOST_TEST((this->Dispatch(WorkKind::kCompletion, answer, kLongBody) == WorkEnd::kBroken));
  }
}

BOOST_AUTO_TEST_CASE(an_answer_whose_status_is_none_is_not_complete)
{
  this->endpoint.isReset = false;
  for (const std::string status : { "000", "099", "600", "999", "2000", "20", "-20", "abc", "" }) {
    for (const WorkKind kind : { WorkKind::kService, WorkKind::kCompletion }) {
      const std::string answer =
        "HTTP/1.1 " + status + " OK\r\nContent-Length: 14\r\n\r\ndata: [DONE]\n\n";
      BOOST_TEST((this->Dispatch(kind, answer, 10) == WorkEnd::kBroken), "status " << status);
    }
  }
}

// The kernel reports a reset once, to whichever call comes first.
BOOST_AUTO_TEST_CASE(a_reset_that_a_write_notices_is_no_clean_end)
{
  Poller poller;
  int accepted = -1;
  TcpListener listener(poller, [&](int aFd) { accepted = aFd; });
  BOOST_REQUIRE(!listener.Listen({ "127.0.0.1", 0 }));
  RecordingOwner owner;
  TcpSocket socket(poller, owner);
  BOOST_REQUIRE(socket.Connect({ "127.0.0.1", listener.Port() }));
  BOOST_REQUIRE(RunUntil([&] { return accepted >= 0 && socket.IsConnected(); }));
  RecordingOwner peerOwner;
  TcpSocket peer(poller, peerOwner);
  peer.Adopt(accepted);
  peer.Write("part of an answer");
  peer.Close(true);
  socket.Write("more of the request");
  BOOST_REQUIRE(RunUntil([&] { return owner.isReset.has_value(); }));
  BOOST_TEST(*owner.isReset);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace caraway
