// Answers of an endpoint that end early, at the agent's client: none may be taken for complete.
#include "loop.h"

#include "runtime/endpoint_client.h"
#include "runtime/http_reader.h"
#include "runtime/log_client.h"
#include "runtime/tcp_socket.h"

#include <boost/test/unit_test.hpp>

#include <list>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace caraway {

namespace {

// Answers each request with the same bytes, then closes or resets the connection.
class CuttingEndpoint
{
public:
  explicit CuttingEndpoint()
    : listener(this->poller, [this](int aFd) {
      this->connections.push_back(std::make_unique<Connection>(*this, aFd));
    })
  {
    BOOST_REQUIRE(!this->listener.Listen({ "127.0.0.1", 0 }));
  }

  std::string Address() const { return "127.0.0.1:" + std::to_string(this->listener.Port()); }

  std::string answer;
  bool isReset = false;
  std::vector<RequestHead> requests;

private:
  struct Connection final : TcpOwner
  {
    Connection(CuttingEndpoint& aEndpoint, int aFd)
      : endpoint(aEndpoint)
      , socket(aEndpoint.poller, *this)
    {
      this->socket.Adopt(aFd);
    }
    void OnInput() override
    {
      if (this->reader.Read(this->socket.Input()) == ReadState::kDone) {
        this->endpoint.requests.push_back(this->reader.Head());
        this->socket.Write(this->endpoint.answer);
        this->socket.Close(this->endpoint.isReset);
      }
    }
    void OnInputEnd(bool) override { this->socket.Close(); }

    CuttingEndpoint& endpoint;
    TcpSocket socket;
    RequestReader reader{ 65536, 1 << 20 };
  };

  Poller poller;
  std::list<std::unique_ptr<Connection>> connections;
  TcpListener listener;
};

struct LastResult final : EndpointHandler
{
  void OnWorkChunk(const RequestId&, std::uint32_t, const std::string& aData) override
  {
    this->text += aData;
  }
  void OnWorkEnd(const RequestId&, const WorkResult& aResult) override { this->result = aResult; }
  void OnProbe(bool aReachable) override { this->isReachable = aReachable; }
  void OnOrderDone(LogOffset, bool aAccepted) override { this->isAccepted = aAccepted; }

  std::string text;
  std::optional<WorkResult> result;
  std::optional<bool> isReachable;
  std::optional<bool> isAccepted;
};

struct CutAnswer
{
  WorkResult Dispatch(WorkKind aKind, const std::string& aAnswer, bool aIsReset)
  {
    this->endpoint.answer = aAnswer;
    this->endpoint.isReset = aIsReset;
    this->handler.result.reset();
    this->client.Dispatch(RequestId{ 1, ++this->lastId }, aKind, "/x", "{}");
    BOOST_REQUIRE(RunUntil([&] { return this->handler.result.has_value(); }));
    return *this->handler.result;
  }

  // No answer that is cut after fewer than all bytes is complete, by either kind of end.
  void CheckEveryCut(WorkKind aKind, const std::string& aAnswer)
  {
    for (std::size_t length = 0; length < aAnswer.size(); length++) {
      for (const bool isReset : { false, true }) {
        const WorkResult result = this->Dispatch(aKind, aAnswer.substr(0, length), isReset);
        BOOST_TEST((result.end == WorkEnd::kBroken),
                   "cut after " << length << " bytes, reset " << isReset << ", end "
                                << int(result.end) << ", body '" << result.body << "'");
      }
    }
    BOOST_TEST((this->Dispatch(aKind, aAnswer, false).end == WorkEnd::kComplete));
  }

  CuttingEndpoint endpoint;
  LastResult handler;
  EndpointClient client{ this->endpoint.Address(), this->handler };
  std::uint64_t lastId = 0;
};

const std::string kJsonHead = "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n";
const std::string kEvents =
  "data: {\"choices\":[{\"delta\":{\"content\":\"a\"}}]}\n\ndata: [DONE]\n\n";

} // namespace

BOOST_FIXTURE_TEST_SUITE(cut_answer, CutAnswer)

// The route is what the caller's path decodes to.
BOOST_AUTO_TEST_CASE(a_route_cannot_hold_a_request_of_its_own)
{
  this->endpoint.answer = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n";
  const std::string route =
    "/a b?c#d%41 HTTP/1.1\r\nContent-Length: 0\r\n\r\nPOST /hidden HTTP/1.1\r\nX: \xc3\xa9";
  this->client.Dispatch(RequestId{ 1, 1 }, WorkKind::kService, route, "{}");
  BOOST_REQUIRE(RunUntil([&] { return this->handler.result.has_value(); }));
  BOOST_REQUIRE(this->endpoint.requests.size() == 1U);
  const std::string target = this->endpoint.requests.front().target;
  BOOST_TEST(target.find_first_of(" ?#\r\n") == std::string::npos, target);
  char* decoded = g_uri_unescape_string(target.c_str(), nullptr);
  BOOST_TEST(std::string(decoded == nullptr ? "" : decoded) == route);
  g_free(decoded);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace caraway
