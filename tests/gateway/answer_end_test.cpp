// Answers whose end is the end of their connection, and streams that end inside an event.
#include "fixture.h"

#include <boost/test/unit_test.hpp>

namespace caraway::gateway {

namespace {

using std::chrono::seconds;
using Connection = ScriptedEndpoint::Connection;

constexpr std::size_t kSocketReadBytes = 65536; // read at once from a connection

const std::string kFirstEvent = "id: 1\ndata: a\n\n";
const std::string kSecondEvent = "id: 2\ndata: b\n\n";

enum class Framing
{
  kUntilClose,
  kChunked,
  kLength,
};

std::string Head(const RequestHead& aHead, const std::string& aFields = "")
{
  return "HTTP/1.1 200 OK\r\nId: " + FindField(aHead.fields, "Id")->value + "\r\nProof: p\r\n" +
         aFields + "\r\n";
}

std::string Framed(const RequestHead& aHead, Framing aFraming, const std::string& aBody)
{
  switch (aFraming) {
    case Framing::kChunked:
      return StreamHead(aHead) + Chunk(aBody) + "0\r\n\r\n";
    case Framing::kLength:
      return Head(aHead, "Content-Length: " + std::to_string(aBody.size()) + "\r\n") + aBody;
    default:
      return Head(aHead) + aBody;
  }
}

struct AnswerEnd : GatewayFixture
{
  AnswerEnd() { this->Configure(); }

  // All that the caller receives until its connection ends, or aEnd.
  std::string Exchange(const std::string& aPath, const std::string& aEnd)
  {
    this->clock.Advance(
      seconds(15)); // the retry budget is full and failed endpoints are used again
    this->gateway->ConfirmConfig(1, this->clock.Read().steady);
    RawTcpClient client(this->gateway->Port());
    client.Send(Request(aPath, "r" + std::to_string(++this->requestCount)));
    BOOST_REQUIRE(RunUntil([&] { return client.IsClosed() || client.Received().ends_with(aEnd); }));
    return client.Received();
  }

  int requestCount = 0;
};

bool HasStreamEnd(const std::string& aAnswer)
{
  return aAnswer.ends_with("\r\n0\r\n\r\n");
}

} // namespace

BOOST_FIXTURE_TEST_SUITE(answer_end, AnswerEnd)

BOOST_AUTO_TEST_CASE(an_answer_until_close_is_complete_after_a_clean_end)
{
  this->AddEndpoint([](Connection& aTo, const RequestHead& aHead) {
    aTo.Write(Framed(aHead, Framing::kUntilClose, "whole body"));
    aTo.Close();
  });
  const std::string answer = this->Exchange("/once/x", "whole body");
  BOOST_TEST(answer.starts_with("HTTP/1.1 200 "));
  BOOST_TEST(Contains(answer, "Content-Length: 10\r\n"));
}

// Guards against an end that is never reported if the last read fills the buffer.
BOOST_AUTO_TEST_CASE(an_answer_until_close_of_any_size_is_complete_after_a_clean_end)
{
  std::size_t extra = 0;
  this->AddEndpoint([&](Connection& aTo, const RequestHead& aHead) {
    const std::string head = Head(aHead);
    aTo.Write(head + std::string(kSocketReadBytes - head.size() + extra - 1, 'x') + "e");
    aTo.Close();
  });
  for (const std::size_t count : { 0U, 1U, 65536U, 196608U, 196609U }) {
    extra = count;
    BOOST_TEST(this->Exchange("/once/x", "xe").starts_with("HTTP/1.1 200 "));
  }
}

BOOST_AUTO_TEST_CASE(an_answer_until_close_that_is_reset_is_incomplete_at_every_byte)
{
  const std::string body = "whole body";
  std::size_t length = 0;
  this->AddEndpoint([&](Connection& aTo, const RequestHead& aHead) {
    aTo.Write(Head(aHead) + body.substr(0, length));
    aTo.socket.Close(true);
  });
  for (length = 0; length <= body.size(); length++) {
    BOOST_TEST(this->Exchange("/once/x", "\"}").starts_with("HTTP/1.1 502 "));
  }
}

BOOST_AUTO_TEST_CASE(a_stream_until_close_is_complete_after_a_clean_end)
{
  this->AddEndpoint([](Connection& aTo, const RequestHead& aHead) {
    aTo.Write(Framed(aHead, Framing::kUntilClose, kFirstEvent + kSecondEvent));
    aTo.Close();
  });
  const std::string answer = this->Exchange("/stream/x", "\r\n0\r\n\r\n");
  BOOST_TEST(Contains(answer, kFirstEvent + kSecondEvent));
  BOOST_TEST(HasStreamEnd(answer));
}

BOOST_AUTO_TEST_CASE(a_stream_that_ends_inside_an_event_is_incomplete_at_every_byte)
{
  Framing framing{};
  bool isReset = false;
  std::size_t length = 0;
  this->AddEndpoint([&](Connection& aTo, const RequestHead& aHead) {
    aTo.Write(Framed(aHead, framing, kFirstEvent + kSecondEvent.substr(0, length)));
    aTo.socket.Close(isReset);
  });
  for (const Framing one : { Framing::kUntilClose, Framing::kChunked, Framing::kLength }) {
    framing = one;
    for (length = 1; length < kSecondEvent.size(); length++) {
      const std::string answer = this->Exchange("/stream/x", "\r\n0\r\n\r\n");
      BOOST_TEST(!HasStreamEnd(answer), "cut after " << length << " bytes looks complete");
      BOOST_TEST(!Contains(answer, "id: 2"));
    }
  }
  framing = Framing::kUntilClose;
  isReset = true;
  for (length = 0; length <= kSecondEvent.size(); length++) {
    BOOST_TEST(!HasStreamEnd(this->Exchange("/stream/x", "\r\n0\r\n\r\n")));
  }
}

BOOST_AUTO_TEST_CASE(a_resumable_stream_that_ends_inside_an_event_is_resumed_at_every_byte)
{
  std::size_t length = 0;
  const auto script = [&](Connection& aTo, const RequestHead& aHead) {
    const bool isResumed = FindField(aHead.fields, "After").has_value();
    aTo.Write(Head(aHead) +
              (isResumed ? kSecondEvent : kFirstEvent + kSecondEvent.substr(0, length)));
    aTo.Close();
  };
  this->AddEndpoint(script);
  this->AddEndpoint(script);
  for (length = 1; length < kSecondEvent.size(); length++) {
    const std::string answer = this->Exchange("/resume/x", "\r\n0\r\n\r\n");
    BOOST_TEST(HasStreamEnd(answer), "after " << length << " bytes: " << answer);
    const std::size_t first = answer.find(kFirstEvent);
    BOOST_TEST(first != std::string::npos);
    BOOST_TEST(answer.find(kSecondEvent, first) != std::string::npos);
    BOOST_TEST(answer.find("id: 2") == answer.rfind("id: 2"));
  }
}

// The connection was kept after an answer with a length; the endpoint announces that it leaves.
BOOST_AUTO_TEST_CASE(a_stream_until_close_on_a_kept_connection_of_a_leaving_endpoint_is_complete)
{
  ScriptedEndpoint& endpoint = this->AddEndpoint([](Connection& aTo, const RequestHead& aHead) {
    if (aHead.target == "/safe/x") {
      aTo.Write(CompleteResponse(aHead, "kept"));
    } else {
      aTo.Write(Head(aHead, "Leaving: 1\r\n") + kFirstEvent + kSecondEvent);
      aTo.Close();
    }
  });
  BOOST_TEST(Contains(this->Exchange("/safe/x", "kept"), "kept"));
  this->requestCount = 100;
  RawTcpClient client(this->gateway->Port());
  client.Send(Request("/stream/x", "r"));
  BOOST_REQUIRE(RunUntil([&] { return HasStreamEnd(client.Received()) || client.IsClosed(); }));
  BOOST_TEST(HasStreamEnd(client.Received()));
  BOOST_TEST(endpoint.connections.size() == 1U);
}

// An endpoint that restarts cuts its stream inside an event; its successor resumes it.
BOOST_AUTO_TEST_CASE(a_stream_until_close_that_a_restart_cuts_is_resumed)
{
  ScriptedEndpoint& first = this->AddEndpoint([](Connection&, const RequestHead&) {});
  first.script = [&](Connection& aTo, const RequestHead& aHead) {
    aTo.Write(Head(aHead) + kFirstEvent + "id: 2");
    first.listener.Close();
    aTo.Close();
  };
  this->AddEndpoint([](Connection& aTo, const RequestHead& aHead) {
    const bool isResumed = FindField(aHead.fields, "After").has_value();
    aTo.Write(Head(aHead) + (isResumed ? kSecondEvent : kFirstEvent + kSecondEvent));
    aTo.Close();
  });
  for (int request = 0; request < 4; request++) {
    const std::string answer = this->Exchange("/resume/x", "\r\n0\r\n\r\n");
    BOOST_TEST(HasStreamEnd(answer));
    BOOST_TEST(Contains(answer, kSecondEvent));
  }
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace caraway::gateway
