// Answers that end inside their head or body, by a close or a reset: no caller gets a success that
// is framed as whole.
#include "fixture.h"

#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include <vector>

namespace caraway::gateway {

namespace {

using std::chrono::seconds;
using Connection = ScriptedEndpoint::Connection;

const std::string kEvents = "id: 1\ndata: a\n\nid: 2\ndata: b\n\n";

// "$ID" stands for the request's id.
const std::string kHead = "HTTP/1.1 200 OK\r\nId: $ID\r\nProof: p\r\n";

const std::vector<std::string> kAnswers = {
  kHead + "Content-Length: 30\r\n\r\n" + kEvents,
  kHead + "Content-Length: 0\r\n\r\n",
  kHead + "Transfer-Encoding: chunked\r\n\r\n" + Chunk(kEvents) + "0\r\nX: y\r\n\r\n",
  "HTTP/1.1 100 Continue\r\n\r\n" + kHead + "Content-Length: 30\r\n\r\n" + kEvents,
  "HTTP/1.1 103 Early Hints\r\nId: $ID\r\nProof: p\r\n\r\n" + kHead + "Content-Length: 30\r\n\r\n" +
    kEvents,
  "HTTP/1.1 204 No Content\r\nId: $ID\r\nProof: p\r\n\r\n",
};

struct CutHead : GatewayFixture
{
  CutHead() { this->Configure(); }

  // All that the caller receives for one request whose answer is cut after aLength bytes.
  std::string Exchange(const std::string& aPath, const std::string& aId)
  {
    this->clock.Advance(seconds(15)); // failed endpoints are used again
    this->gateway->ConfirmConfig(1, this->clock.Read().steady);
    RawTcpClient client(this->gateway->Port());
    client.Send(Request(aPath, aId));
    BOOST_REQUIRE(RunUntil([&] { return client.IsClosed() || IsWhole(client.Received()); }));
    return client.Received();
  }

  static bool IsWhole(const std::string& aAnswer)
  {
    const std::size_t end = aAnswer.find("\r\n\r\n");
    const std::size_t length = aAnswer.find("Content-Length: ");
    if (end == std::string::npos) {
      return false;
    }
    if (length < end) {
      return aAnswer.size() - end - 4 == std::stoul(aAnswer.substr(length + 16));
    }
    return Contains(aAnswer.substr(0, end), "chunked") ? aAnswer.ends_with("\r\n0\r\n\r\n") : true;
  }

  static bool IsSuccess(const std::string& aAnswer)
  {
    return aAnswer.starts_with("HTTP/1.1 2") && IsWhole(aAnswer);
  }

  std::string sent;
  bool isReset = false;
  int requestCount = 0;
};

std::string WithId(std::string aAnswer, const std::string& aId)
{
  for (std::size_t at = aAnswer.find("$ID"); at != std::string::npos; at = aAnswer.find("$ID")) {
    aAnswer.replace(at, 3, aId);
  }
  return aAnswer;
}

} // namespace

BOOST_FIXTURE_TEST_SUITE(cut_head, CutHead)

BOOST_DATA_TEST_CASE_F(CutHead, no_answer_that_is_cut_at_any_byte_is_a_success, kAnswers)
{
  this->AddEndpoint([&](Connection& aTo, const RequestHead&) {
    aTo.Write(this->sent);
    aTo.socket.Close(this->isReset);
  });
  for (const std::string path : { "/once/x", "/stream/x" }) {
    const std::string id = "r";
    const std::string whole = WithId(sample, id);
    for (std::size_t length = 0; length < whole.size(); length++) {
      for (const bool isReset : { false, true }) {
        this->sent = whole.substr(0, length);
        this->isReset = isReset;
        const std::string answer = this->Exchange(path, id);
        BOOST_TEST(!IsSuccess(answer),
                   path << " cut after " << length << ", reset " << isReset << ": " << answer);
      }
    }
    this->sent = whole;
    this->isReset = false;
    BOOST_TEST(IsSuccess(this->Exchange(path, id)));
  }
}

// The same on a kept connection, where the endpoint answered another request before.
BOOST_DATA_TEST_CASE_F(CutHead, no_answer_that_is_cut_on_a_kept_connection_is_a_success, kAnswers)
{
  this->AddEndpoint([&](Connection& aTo, const RequestHead& aHead) {
    if (FindField(aHead.fields, "Id")->value == "first") {
      aTo.Write(CompleteResponse(aHead, "kept"));
      return;
    }
    aTo.Write(this->sent);
    aTo.socket.Close(this->isReset);
  });
  const std::string whole = WithId(sample, "r");
  for (std::size_t length = 0; length < whole.size(); length++) {
    for (const bool isReset : { false, true }) {
      this->sent = whole.substr(0, length);
      this->isReset = isReset;
      BOOST_REQUIRE(IsSuccess(this->Exchange("/safe/x", "first")));
      RawTcpClient client(this->gateway->Port());
      client.Send(Request("/once/x", "r"));
      BOOST_REQUIRE(RunUntil([&] { return client.IsClosed() || IsWhole(client.Received()); }));
      BOOST_TEST(!IsSuccess(client.Received()),
                 "cut after " << length << ", reset " << isReset << ": " << client.Received());
    }
  }
}

BOOST_AUTO_TEST_CASE(an_answer_until_close_is_a_success_only_after_its_head_and_a_clean_end)
{
  this->AddEndpoint([&](Connection& aTo, const RequestHead&) {
    aTo.Write(this->sent);
    aTo.socket.Close(this->isReset);
  });
  for (const std::string version : { "1.0", "1.1" }) {
    const std::string head = "HTTP/" + version + " 200 OK\r\nId: r\r\nProof: p\r\n\r\n";
    const std::string whole = head + kEvents;
    for (std::size_t length = 0; length <= whole.size(); length++) {
      this->sent = whole.substr(0, length);
      this->isReset = false;
      BOOST_TEST(IsSuccess(this->Exchange("/once/x", "r")) == (length >= head.size()));
      this->isReset = true;
      BOOST_TEST(!IsSuccess(this->Exchange("/once/x", "r")), "reset after " << length);
    }
  }
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace caraway::gateway
