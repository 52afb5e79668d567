// Many callers that send large bodies at once: what the server holds is bounded in total, and
// callers wait for room or are told when to come back.
#include "loop.h"
#include "runtime/ingress_server.h"

#include <boost/test/unit_test.hpp>

#include <memory>
#include <string>
#include <vector>

namespace caraway {

namespace {

constexpr std::size_t kBodyBytes = 2'000'000;
constexpr std::size_t kCallers = 30;
constexpr std::size_t kMaxHeldBytes = std::size_t{ 32 } << 20;
constexpr int kIdleTurns = 100; // of one millisecond

// Keeps the requests until they are answered.
class Holder final : public IngressHandler
{
public:
  void OnRequest(const std::shared_ptr<IngressExchange>& aExchange,
                 IngressRequest aRequest) override
  {
    this->heldBytes += aRequest.body.size();
    this->deliveredCount++;
    this->atWork.emplace_back(aExchange, std::move(aRequest));
  }
  void OnCallerGone(IngressExchange&) override {}

  void AnswerAll()
  {
    auto ended = std::exchange(this->atWork, {});
    for (const auto& [exchange, request] : ended) {
      this->heldBytes -= request.body.size();
      exchange->Respond(200, "OK", {}, std::to_string(request.body.size()));
    }
  }

  // Begins the answer to each request without saying its length, and ends or aborts it.
  void StreamAll(bool aIsAborted)
  {
    for (const auto& [exchange, request] : std::exchange(this->atWork, {})) {
      exchange->BeginBody(200, "OK", {}, std::nullopt);
      exchange->WriteBody("part");
      aIsAborted ? exchange->Abort() : exchange->FinishBody();
    }
  }

  bool OnHead(IngressExchange& aExchange, const RequestHead& aHead) override
  {
    if (aHead.target != "/refused") {
      return true;
    }
    aExchange.Respond(401, "Unauthorized", {}, "no");
    return false;
  }

  std::size_t heldBytes = 0;
  std::size_t deliveredCount = 0;

private:
  std::vector<std::pair<std::shared_ptr<IngressExchange>, IngressRequest>> atWork;
};

class Caller final : public TcpOwner
{
public:
  Caller(Poller& aPoller, std::uint16_t aPort)
    : socket(aPoller, *this)
  {
    BOOST_REQUIRE(this->socket.Connect({ "127.0.0.1", aPort }));
  }
  void Send(std::size_t aLength, std::size_t aSent)
  {
    this->socket.Write("POST /x HTTP/1.1\r\nHost: h\r\nContent-Length: " + std::to_string(aLength) +
                       "\r\n\r\n");
    this->socket.Write(std::string(aSent, 'x'));
  }
  void OnInput() override
  {
    this->answer += this->socket.Input();
    this->socket.Input().clear();
  }
  void OnInputEnd(bool aReset) override
  {
    this->hasEnded = true;
    this->isReset = aReset;
    this->socket.Close();
  }
  bool HasAnswer(const std::string& aStatus) const
  {
    return this->answer.starts_with("HTTP/1.1 " + aStatus);
  }

  TcpSocket socket;
  std::string answer;
  bool hasEnded = false;
  bool isReset = false;
};

struct Ingress
{
  Ingress() { BOOST_REQUIRE(!this->server.Listen({ "127.0.0.1", 0 })); }

  Caller& AddCaller(std::size_t aLength, std::size_t aSent)
  {
    this->callers.push_back(std::make_unique<Caller>(this->poller, this->server.Port()));
    this->callers.back()->Send(aLength, aSent);
    return *this->callers.back();
  }

  // Runs the main loop until nothing more is delivered.
  void Settle()
  {
    std::size_t delivered = this->holder.deliveredCount;
    for (int turn = 0; turn < kIdleTurns; turn++) {
      bool hasTurned = false;
      Timer timer([&] { hasTurned = true; });
      timer.ArmAfter(std::chrono::milliseconds(1));
      RunUntil([&] { return hasTurned; });
      if (std::exchange(delivered, this->holder.deliveredCount) != this->holder.deliveredCount) {
        turn = 0;
      }
    }
  }

  std::size_t AnswerCount(const std::string& aStatus) const
  {
    std::size_t count = 0;
    for (const std::unique_ptr<Caller>& caller : this->callers) {
      count += caller->HasAnswer(aStatus) ? 1U : 0U;
    }
    return count;
  }

  Poller poller;
  PausedClock clock{ SystemClock().Read() };
  Holder holder;
  IngressServer server{ this->poller, this->clock, this->holder };
  std::vector<std::unique_ptr<Caller>> callers;
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(ingress, Ingress)

BOOST_AUTO_TEST_CASE(large_bodies_wait_for_room)
{
  for (std::size_t i = 0; i < kCallers; i++) {
    this->AddCaller(kBodyBytes, kBodyBytes);
  }
  while (this->holder.deliveredCount < kCallers) {
    const std::size_t before = this->holder.deliveredCount;
    BOOST_REQUIRE(RunUntil([&] { return this->holder.deliveredCount > before; }));
    this->Settle();
    BOOST_TEST(this->holder.heldBytes <= kMaxHeldBytes);
    this->holder.AnswerAll();
  }
  BOOST_TEST(RunUntil([&] { return this->AnswerCount("200") == kCallers; }));
}

// A body may arrive together with its head, and then cannot wait in the kernel.
BOOST_AUTO_TEST_CASE(many_small_bodies_are_bounded_too)
{
  constexpr std::size_t kSmallBytes = 50'000;
  const std::size_t count = kMaxHeldBytes / kSmallBytes + 50;
  for (std::size_t i = 0; i < count; i++) {
    this->AddCaller(kSmallBytes, kSmallBytes);
  }
  this->Settle();
  BOOST_TEST(this->holder.heldBytes <= kMaxHeldBytes);
  for (int turn = 0; turn < 10 && this->AnswerCount("200") + this->AnswerCount("503") < count;
       turn++) {
    this->holder.AnswerAll();
    this->Settle();
  }
  BOOST_TEST(this->AnswerCount("200") + this->AnswerCount("503") == count);
  BOOST_TEST(this->AnswerCount("200") >= count - 51);
}

BOOST_AUTO_TEST_CASE(callers_that_waited_too_long_are_told_when_to_come_back)
{
  for (std::size_t i = 0; i < kCallers; i++) {
    this->AddCaller(kBodyBytes, kBodyBytes);
  }
  this->Settle();
  const std::size_t delivered = this->holder.deliveredCount;
  this->clock.Advance(this->server.Limits().headTimeout + std::chrono::milliseconds(1));
  BOOST_TEST(RunUntil([&] { return this->AnswerCount("503") == kCallers - delivered; }));
  BOOST_TEST(this->callers.back()->answer.find("Retry-After: ") != std::string::npos);
  this->holder.AnswerAll();
  BOOST_TEST(RunUntil([&] { return this->AnswerCount("200") == delivered; }));
}

// Callers that leave or stop sending give back their room.
BOOST_AUTO_TEST_CASE(room_of_unfinished_bodies_is_freed)
{
  for (std::size_t i = 0; i < 20; i++) {
    this->AddCaller(kBodyBytes, 1000);
  }
  this->Settle();
  const Caller& small = this->AddCaller(50'000, 50'000);
  BOOST_TEST(RunUntil([&] { return this->holder.deliveredCount == 1; }));
  this->holder.AnswerAll();
  BOOST_TEST(RunUntil([&] { return small.HasAnswer("200"); }));
  Caller& late = this->AddCaller(kBodyBytes, kBodyBytes);
  this->Settle();
  BOOST_TEST(this->holder.deliveredCount == 1U);
  for (std::size_t i = 0; i < 20; i++) {
    this->callers[i]->socket.Close();
  }
  BOOST_TEST(RunUntil([&] { return this->holder.deliveredCount == 2; }));
  this->holder.AnswerAll();
  BOOST_TEST(RunUntil([&] { return late.HasAnswer("200"); }));
}

// HTTP/1.0 has no chunks: the close ends the answer, so that one which is broken off must be reset.
BOOST_AUTO_TEST_CASE(answers_of_unknown_length_to_old_clients_end_with_the_connection)
{
  for (const bool isAborted : { false, true }) {
    Caller caller(this->poller, this->server.Port());
    caller.socket.Write("GET /x HTTP/1.0\r\nHost: h\r\nConnection: keep-alive\r\n\r\n");
    const std::size_t before = this->holder.deliveredCount;
    BOOST_REQUIRE(RunUntil([&] { return this->holder.deliveredCount > before; }));
    this->holder.StreamAll(isAborted);
    BOOST_REQUIRE(RunUntil([&] { return caller.hasEnded; }));
    BOOST_TEST(caller.isReset == isAborted);
    BOOST_TEST(caller.answer.find("chunked") == std::string::npos);
    BOOST_TEST((isAborted || caller.answer.ends_with("\r\n\r\npart")));
  }
}

BOOST_AUTO_TEST_CASE(a_request_refused_by_its_head_is_answered_once_and_not_read)
{
  Caller caller(this->poller, this->server.Port());
  caller.socket.Write("POST /refused HTTP/1.1\r\nHost: h\r\nContent-Length: 100\r\n\r\n");
  BOOST_REQUIRE(RunUntil([&] { return caller.HasAnswer("401"); }));
  caller.socket.Write(std::string(100, 'x') + "GET /x HTTP/1.1\r\nHost: h\r\n\r\n");
  BOOST_REQUIRE(RunUntil([&] { return caller.hasEnded; }));
  BOOST_TEST(caller.answer.find("Connection: close") != std::string::npos);
  BOOST_TEST(caller.answer.find("HTTP/1.1 ", 1) == std::string::npos);
  BOOST_TEST(this->holder.deliveredCount == 0U);
}

// Callers that announced bodies and send none held all connections until their time was over.
BOOST_AUTO_TEST_CASE(a_part_of_a_body_gives_way_to_a_new_connection)
{
  constexpr std::size_t kConnections = 4;
  this->server.SetMaxConnections(kConnections);
  for (std::size_t i = 0; i < 3 * kConnections; i++) {
    this->AddCaller(1000, 10);
    this->Settle();
  }
  BOOST_TEST(this->server.ConnectionCount() == kConnections);
  Caller& last = this->AddCaller(10, 10);
  BOOST_REQUIRE(RunUntil([&] { return this->holder.deliveredCount == 1; }));
  this->holder.AnswerAll();
  BOOST_TEST(RunUntil([&] { return last.HasAnswer("200"); }));
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace caraway
