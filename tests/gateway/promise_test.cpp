// Statuses that promise a caller that its request has not run and never will.
#include "fixture.h"

#include <boost/test/unit_test.hpp>

#include <map>
#include <random>

namespace caraway::gateway {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;
using Connection = ScriptedEndpoint::Connection;

std::string IdOf(const RequestHead& aHead)
{
  return FindField(aHead.fields, "Id")->value;
}

std::string Answer(int aStatus, const std::string& aFields)
{
  return "HTTP/1.1 " + std::to_string(aStatus) + " X\r\n" + aFields +
         "Content-Length: 4\r\n\r\nbody";
}

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

// Whatever endpoints write and wherever they break off, no promise is broken and nothing runs
// twice.
BOOST_AUTO_TEST_CASE(random_endpoint_faults_break_no_promise)
{
  std::mt19937 random(39); // NOLINT(cert-msc32-c,cert-msc51-cpp): the same faults in each run
  std::map<std::string, int> runs;
  std::map<Connection*, std::string> refusals; // the last one written on a connection
  const auto refuse = [&](Connection& aTo, const std::string& aId, bool aIsNamed) {
    const int status = random() % 4 == 0 ? 421 : 503;
    refusals[&aTo] = Answer(status, "Id: " + aId + "\r\nNot-Run: 1\r\nProof: p\r\n");
    aTo.Write(aIsNamed ? refusals[&aTo] : Answer(status, "Not-Run: 1\r\n"));
  };
  const auto script = [&](Connection& aTo, const RequestHead& aHead) {
    const std::string id = IdOf(aHead);
    const bool isStream = aHead.target.starts_with("/stream");
    const unsigned fault = random() % 12;
    if (fault < 3) {
      refuse(aTo, id, fault != 0);
      return;
    }
    if (fault == 3) {
      aTo.socket.Close(random() % 2 == 0);
      return;
    }
    runs[id]++;
    std::string answer = isStream ? StreamHead(aHead) + Chunk("id: 1\ndata: a\n\n") + "0\r\n\r\n"
                                  : CompleteResponse(aHead, "ran");
    switch (fault) {
      case 4:
        answer = CompleteResponse(aHead, "ran", random() % 2 == 0 ? 503 : 500);
        break;
      case 5: // an earlier refusal once more
        answer = refusals[&aTo] + answer;
        break;
      case 6: // the same without the id
        answer = Answer(503, "Not-Run: 1\r\n") + answer;
        break;
      case 7: // the same with another id beside
        answer = Answer(503, "Id: " + id + "\r\nId: other\r\nNot-Run: 1\r\n") + answer;
        break;
      case 8:
        answer += refusals[&aTo]; // where the next answer is due
        break;
      case 9: {
        aTo.Write(answer.substr(0, random() % answer.size()));
        aTo.socket.Close(random() % 2 == 0);
        return;
      }
      default:
        break;
    }
    aTo.Write(answer);
  };
  for (int count = 0; count < 3; count++) {
    this->AddEndpoint(script);
  }
  std::map<std::string, int> statuses;
  for (int request = 0; request < 600; request++) {
    const std::string id = "r" + std::to_string(request);
    const std::string answer = this->Exchange(random() % 3 == 0 ? "/stream/x" : "/once/x", id);
    const bool isPromise = answer.starts_with("HTTP/1.1 503") || answer.starts_with("HTTP/1.1 4");
    BOOST_TEST((!isPromise || runs[id] == 0), id << " ran, and was answered " << answer);
    BOOST_TEST(runs[id] <= 1, id << " ran " << runs[id] << " times");
    statuses[answer.substr(0, 12)]++;
  }
  BOOST_TEST(statuses["HTTP/1.1 200"] > 200);
  BOOST_TEST(statuses["HTTP/1.1 502"] > 0);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace caraway::gateway
