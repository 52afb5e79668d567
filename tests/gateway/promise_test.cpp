// Statuses that promise a caller that its request has not run and never will.
#include "fixture.h"

#include <boost/test/unit_test.hpp>

namespace caraway::gateway {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;
using Connection = ScriptedEndpoint::Connection;

struct PromiseFixture : GatewayFixture
{
  PromiseFixture() { this->Configure(); }

  // Returns all that the caller receives until its answer or connection ends.
  std::string Exchange(const std::string& aPath, const std::string& aId)
  {
    this->clock.Advance(seconds(15)); // the retry budget is full, and no endpoint is avoided
    this->gateway->ConfirmConfig(1, this->clock.Read().steady);
    RawTcpClient client(this->gateway->Port());
    client.Send("POST " + aPath + " HTTP/1.1\r\nHost: h\r\nId: " + aId +
                "\r\nKey: k\r\nConnection: close\r\nContent-Length: 0\r\n\r\n");
    while (!client.IsClosed()) {
      if (g_main_context_iteration(nullptr, FALSE) == FALSE) {
        this->clock.Advance(milliseconds(5));
      }
    }
    return client.Received();
  }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(promises, PromiseFixture)

// The endpoint does not state that it did not run the request, so a caller must not read that.
BOOST_AUTO_TEST_CASE(a_failed_run_is_not_answered_with_a_status_that_promises_not_run)
{
  int status = 0;
  int runs = 0;
  this->AddEndpoint([&](Connection& aTo, const RequestHead& aHead) {
    runs++;
    aTo.Write(CompleteResponse(aHead, "ran", status));
  });
  for (const char* path : { "/once/x", "/stream/x" }) {
    for (const int one : { 503, 429, 408 }) {
      status = one;
      runs = 0;
      const std::string answer = this->Exchange(path, path + std::to_string(one));
      BOOST_TEST(answer.starts_with("HTTP/1.1 502 "), path << " " << one << ": " << answer);
      BOOST_TEST(!Contains(answer, "Proof: "));
      BOOST_TEST(runs == 1);
    }
  }
}

BOOST_AUTO_TEST_CASE(a_failed_run_of_a_repeatable_request_is_answered_as_the_endpoint_did)
{
  this->AddEndpoint([](Connection& aTo, const RequestHead& aHead) {
    aTo.Write(CompleteResponse(aHead, "ran", 503));
  });
  for (const char* path : { "/safe/x", "/resume/x" }) {
    const std::string answer = this->Exchange(path, path);
    BOOST_TEST(answer.starts_with("HTTP/1.1 503 "), answer);
    BOOST_TEST(Contains(answer, "Proof: p"));
  }
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace caraway::gateway
