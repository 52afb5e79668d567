// Requests that are framed in a way that others may read differently, with a request where the body
// would be: neither may run.
#include "fixture.h"

#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include <vector>

namespace caraway::gateway {

namespace {

const std::vector<std::string> kOddFramings = {
  "Content-Length: 0, 0\r\n",
  "Content-Length: 0\r\nContent-Length: 0\r\n",
  "Content-Length: 0\r\nTransfer-Encoding: identity\r\n",
  "Content-Length: +0\r\n",
  "Content-Length : 0\r\n",
  "Transfer-Encoding: chunked, identity\r\n",
  "Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n",
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(framing, GatewayFixture)

// A list of lengths was read as an empty body, and the bytes after the head ran as a request.
BOOST_DATA_TEST_CASE_F(GatewayFixture, a_hidden_request_does_not_run, kOddFramings)
{
  this->Configure();
  const ScriptedEndpoint& endpoint =
    this->AddEndpoint([](ScriptedEndpoint::Connection& aTo, const RequestHead& aHead) {
      aTo.Write(CompleteResponse(aHead, "ran"));
    });
  RawTcpClient client(this->gateway->Port());
  client.Send("POST /once/x HTTP/1.1\r\nHost: h\r\nId: outer\r\nKey: k\r\n" + sample + "\r\n" +
              Request("/once/x", "hidden"));
  BOOST_REQUIRE(
    RunUntil([&] { return client.IsClosed() || Count(client.Received(), "HTTP/1.1 ") > 1U; }));
  BOOST_TEST(client.Received().starts_with("HTTP/1.1 400 "), client.Received());
  BOOST_TEST(Count(client.Received(), "HTTP/1.1 ") == 1U, client.Received());
  BOOST_TEST(endpoint.requests.empty());
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace caraway::gateway
