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

BOOST_AUTO_TEST_CASE(an_answer_with_a_length_that_is_cut_is_not_complete)
{
  this->CheckEveryCut(WorkKind::kService, kJsonHead + "Content-Length: 12\r\n\r\n{\"ran\":true}");
  BOOST_TEST(this->handler.result->body == "{\"ran\":true}");
}

BOOST_AUTO_TEST_CASE(an_answer_without_a_body_that_is_cut_is_not_complete)
{
  this->CheckEveryCut(WorkKind::kService, kJsonHead + "Content-Length: 0\r\n\r\n");
  this->CheckEveryCut(WorkKind::kService, "HTTP/1.1 204 No Content\r\nX: y\r\n\r\n");
}

BOOST_AUTO_TEST_CASE(an_answer_in_chunks_that_is_cut_is_not_complete)
{
  this->CheckEveryCut(
    WorkKind::kService,
    kJsonHead +
      "Transfer-Encoding: chunked\r\n\r\n7\r\n{\"ran\":\r\n5\r\ntrue}\r\n0\r\nX: y\r\n\r\n");
  BOOST_TEST(this->handler.result->body == "{\"ran\":true}");
}

BOOST_AUTO_TEST_CASE(an_answer_that_is_cut_after_an_interim_one_is_not_complete)
{
  this->CheckEveryCut(WorkKind::kService,
                      "HTTP/1.1 100 Continue\r\n\r\n" + kJsonHead + "Content-Length: 2\r\n\r\n{}");
}

BOOST_AUTO_TEST_CASE(an_answer_until_close_is_complete_only_after_its_head_and_a_clean_end)
{
  for (const std::string version : { "1.0", "1.1" }) {
    const std::string head = "HTTP/" + version + " 200 OK\r\nServer: x\r\n\r\n";
    const std::string answer = head + "{\"ran\":true}";
    for (std::size_t length = 0; length < answer.size(); length++) {
      const bool isHeadComplete = length >= head.size();
      const WorkResult closed = this->Dispatch(WorkKind::kService, answer.substr(0, length), false);
      BOOST_TEST((closed.end == WorkEnd::kComplete) == isHeadComplete);
      const WorkResult reset = this->Dispatch(WorkKind::kService, answer.substr(0, length), true);
      BOOST_TEST((reset.end == WorkEnd::kBroken), "reset after " << length << " bytes");
    }
  }
}

BOOST_AUTO_TEST_CASE(a_stream_that_is_cut_before_its_last_event_is_not_complete)
{
  const std::string head = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n";
  char size[16];
  std::snprintf(size, sizeof(size), "%zx", kEvents.size());
  std::vector<std::string> answers = { head, head, head };
  answers[0].append("\r\n").append(kEvents);
  answers[1].append("Transfer-Encoding: chunked\r\n\r\n").append(size).append("\r\n");
  answers[1].append(kEvents).append("\r\n0\r\n\r\n");
  answers[2].append("Content-Length: ").append(std::to_string(kEvents.size())).append("\r\n\r\n");
  answers[2].append(kEvents);
  for (const std::string& answer : answers) {
    const std::size_t marker = answer.find("[DONE]\n") + 7;
    for (std::size_t length = 0; length < marker; length++) {
      for (const bool isReset : { false, true }) {
        const WorkResult result =
          this->Dispatch(WorkKind::kCompletion, answer.substr(0, length), isReset);
        BOOST_TEST((result.end == WorkEnd::kBroken), "cut after " << length << " bytes");
      }
    }
    BOOST_TEST((this->Dispatch(WorkKind::kCompletion, answer, false).end == WorkEnd::kComplete));
  }
}

// A caller's error is passed on with its body, so it must be whole too.
BOOST_AUTO_TEST_CASE(an_error_answer_that_is_cut_is_not_complete)
{
  const std::string answer =
    "HTTP/1.1 422 X\r\nContent-Type: application/json\r\nContent-Length: 12\r\n\r\n{\"bad\":true}";
  for (std::size_t length = 0; length < answer.size(); length++) {
    for (const bool isReset : { false, true }) {
      const WorkResult result =
        this->Dispatch(WorkKind::kService, answer.substr(0, length), isReset);
      BOOST_TEST((result.end == WorkEnd::kBroken), "cut after " << length << " bytes");
    }
  }
  BOOST_TEST((this->Dispatch(WorkKind::kService, answer, false).end == WorkEnd::kError));
  BOOST_TEST(this->handler.result->body == "{\"bad\":true}");
}

BOOST_AUTO_TEST_CASE(an_error_answer_over_its_limit_is_not_passed_on_in_part)
{
  const std::string body(70000, 'x');
  const std::string rest = " X\r\nContent-Length: 70000\r\n\r\n" + body;
  BOOST_TEST(
    (this->Dispatch(WorkKind::kService, "HTTP/1.1 422" + rest, false).end == WorkEnd::kBroken));
  BOOST_TEST(
    (this->Dispatch(WorkKind::kService, "HTTP/1.1 500" + rest, false).end == WorkEnd::kError));
}

BOOST_AUTO_TEST_CASE(an_answer_of_ambiguous_framing_is_not_complete)
{
  for (const std::string fields :
       { "Content-Length: 2, 2\r\n", "Content-Length: 2\r\nContent-Length: 2\r\n",
         "Content-Length: 2\r\nContent-Length: 3\r\n", "Content-Length: +2\r\n",
         "Content-Length: -2\r\n", "Content-Length: 0x2\r\n", "Content-Length:\r\n",
         "Content-Length : 2\r\n", "Content-Length: 18446744073709551618\r\n",
         "Transfer-Encoding: identity\r\n", "Transfer-Encoding: gzip, chunked\r\n",
         "Transfer-Encoding: chunked\r\nContent-Length: 2\r\n", "X: y\nContent-Length: 2\r\n" }) {
    const WorkResult result =
      this->Dispatch(WorkKind::kService, kJsonHead + fields + "\r\n{}", false);
    BOOST_TEST((result.end == WorkEnd::kBroken), fields << " ended as " << int(result.end));
  }
}

BOOST_AUTO_TEST_CASE(a_cut_answer_is_no_sign_of_health_and_accepts_no_order)
{
  const std::string answer = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n";
  for (std::size_t length = 0; length <= answer.size(); length++) {
    this->endpoint.answer = answer.substr(0, length);
    this->handler.isReachable.reset();
    this->handler.isAccepted.reset();
    this->client.Probe();
    this->client.Order(1, "{}");
    BOOST_REQUIRE(RunUntil([&] { return this->handler.isReachable && this->handler.isAccepted; }));
    BOOST_TEST(*this->handler.isReachable == (length == answer.size()));
    BOOST_TEST(*this->handler.isAccepted == (length == answer.size()));
  }
}

BOOST_AUTO_TEST_CASE(a_cut_answer_of_the_log_appends_nothing_for_certain)
{
  LogClient log(this->endpoint.Address());
  const std::string answer = "HTTP/1.1 200 OK\r\nContent-Length: 11\r\n\r\n{\"first\":3}";
  for (std::size_t length = 0; length <= answer.size(); length++) {
    this->endpoint.answer = answer.substr(0, length);
    std::optional<AppendResult> result;
    log.Append({ "r" }, [&](AppendResult aResult, LogOffset) { result = aResult; });
    BOOST_REQUIRE(RunUntil([&] { return result.has_value(); }));
    BOOST_TEST(
      (*result == (length == answer.size() ? AppendResult::kAppended : AppendResult::kUnknown)));
  }
}

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
