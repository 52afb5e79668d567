// A stream that has begun breaks off, and the endpoint that should resume it answers with an error:
// the caller must get neither the error's text nor a stream that looks complete.
#include "fixture.h"

#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include <ostream>
#include <vector>

namespace caraway::gateway {

namespace {

using Connection = ScriptedEndpoint::Connection;

const std::string kFirstEvent = "id: 1\ndata: a\n\n";
const std::string kSecondEvent = "id: 2\ndata: b\n\n";
// Event-like text, so that only the kind of the answer can tell it from the stream.
const std::string kErrorText = "id: 2\ndata: error text\n\n";

struct ErrorAnswer
{
  std::string name;
  std::string head; // status line and fields; "$ID" stands for the request's id
  std::string body;
  bool isReset = false; // the connection is reset after the body

  friend std::ostream& operator<<(std::ostream& aOut, const ErrorAnswer& aAnswer)
  {
    return aOut << aAnswer.name;
  }
};

std::string WithLength(const std::string& aText)
{
  return "Content-Length: " + std::to_string(aText.size()) + "\r\n";
}

const std::vector<ErrorAnswer> kErrors = {
  { "failure", "HTTP/1.1 500 X\r\nId: $ID\r\nProof: p\r\n" + WithLength(kErrorText), kErrorText },
  { "failure in chunks", "HTTP/1.1 500 X\r\nId: $ID\r\nProof: p\r\nTransfer-Encoding: chunked\r\n",
    Chunk(kErrorText) + "0\r\n\r\n" },
  { "failure until close", "HTTP/1.1 502 X\r\nId: $ID\r\nProof: p\r\n", kErrorText },
  { "failure that breaks off", "HTTP/1.1 500 X\r\nId: $ID\r\nProof: p\r\nContent-Length: 500\r\n",
    kErrorText, true },
  { "client error", "HTTP/1.1 404 X\r\nId: $ID\r\nProof: p\r\n" + WithLength(kErrorText),
    kErrorText },
  { "not run", "HTTP/1.1 503 X\r\nId: $ID\r\nProof: p\r\nNot-Run: 1\r\n" + WithLength(kErrorText),
    kErrorText },
  { "misdirected", "HTTP/1.1 421 X\r\nId: $ID\r\nProof: p\r\n" + WithLength(kErrorText),
    kErrorText },
  { "no proof", "HTTP/1.1 200 X\r\nId: $ID\r\n" + WithLength(kErrorText), kErrorText },
  { "failure without proof", "HTTP/1.1 500 X\r\nId: $ID\r\n" + WithLength(kErrorText), kErrorText },
  { "other request", "HTTP/1.1 200 X\r\nId: other\r\nProof: p\r\n" + WithLength(kErrorText),
    kErrorText },
  { "success with error text", "HTTP/1.1 200 X\r\nId: $ID\r\nProof: p\r\nContent-Length: 10\r\n",
    "error text" },
  { "no answer", "error text", kErrorText },
};

struct BrokenStream : GatewayFixture
{
  // The first endpoint that is asked breaks off after aBegun; a request that resumes gets aError.
  std::string Play(const std::string& aPath, const std::string& aBegun, const ErrorAnswer& aError,
                   bool aIsFirstReset)
  {
    this->Configure();
    const auto script = [&, aIsFirstReset](Connection& aTo, const RequestHead& aHead) {
      if (!this->hasBegun) {
        this->hasBegun = true;
        aTo.Write(StreamHead(aHead) + Chunk(aBegun));
        aTo.socket.Close(aIsFirstReset);
        return;
      }
      std::string head = aError.head;
      if (const std::size_t at = head.find("$ID"); at != std::string::npos) {
        head.replace(at, 3, FindField(aHead.fields, "Id")->value);
      }
      aTo.Write(head + "\r\n" + aError.body);
      aTo.socket.Close(aError.isReset);
    };
    this->AddEndpoint(script);
    this->AddEndpoint(script);
    RawTcpClient client(this->gateway->Port());
    client.Send(Request(aPath, "r1"));
    BOOST_REQUIRE(AdvanceUntil(this->clock, [&] {
      this->gateway->ConfirmConfig(1, this->clock.Read().steady);
      return client.IsClosed() || client.Received().ends_with("0\r\n\r\n");
    }));
    return client.Received();
  }

  std::size_t RequestCount() const
  {
    return this->endpoints.front()->requests.size() + this->endpoints.back()->requests.size();
  }

  bool hasBegun = false;
};

void CheckIsIncomplete(const std::string& aReceived)
{
  BOOST_TEST(aReceived.starts_with("HTTP/1.1 200 "));
  BOOST_TEST(Count(aReceived, kFirstEvent) == 1U);
  BOOST_TEST(Count(aReceived, "HTTP/1.1") == 1U, aReceived);
  BOOST_TEST(Count(aReceived, "error text") == 0U, aReceived);
  BOOST_TEST(!aReceived.ends_with("0\r\n\r\n"), aReceived);
}

} // namespace

BOOST_FIXTURE_TEST_SUITE(broken_stream, BrokenStream)

BOOST_DATA_TEST_CASE_F(BrokenStream, an_error_at_the_next_endpoint_does_not_reach_the_stream,
                       kErrors)
{
  CheckIsIncomplete(this->Play("/resume/x", kFirstEvent, sample, true));
  BOOST_TEST(this->RequestCount() > 1U);
}

// The same if the first endpoint stopped inside an event, without a reset.
BOOST_DATA_TEST_CASE_F(BrokenStream, an_error_after_a_partial_event_does_not_reach_the_stream,
                       kErrors)
{
  CheckIsIncomplete(this->Play("/resume/x", kFirstEvent + "id: 2\nda", sample, false));
}

BOOST_DATA_TEST_CASE_F(BrokenStream, a_stream_that_must_not_be_resumed_is_not_sent_again, kErrors)
{
  CheckIsIncomplete(this->Play("/stream/x", kFirstEvent, sample, true));
  BOOST_TEST(this->RequestCount() == 1U);
}

BOOST_AUTO_TEST_CASE(a_resumed_stream_is_complete)
{
  const ErrorAnswer rest{ "rest",
                          "HTTP/1.1 200 X\r\nId: $ID\r\nProof: p\r\n" + WithLength(kSecondEvent),
                          kSecondEvent };
  const std::string received = this->Play("/resume/x", kFirstEvent, rest, true);
  BOOST_TEST(Count(received, kFirstEvent) == 1U);
  BOOST_TEST(Count(received, kSecondEvent) == 1U);
  BOOST_TEST(received.ends_with("0\r\n\r\n"));
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace caraway::gateway
