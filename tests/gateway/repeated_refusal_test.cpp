// Endpoints that write an earlier refusal once more on a kept connection.
#include "fixture.h"

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <set>

namespace caraway::gateway {

namespace {

using std::chrono::seconds;
using Connection = ScriptedEndpoint::Connection;

std::string Refusal(const std::string& aId)
{
  return "HTTP/1.1 503 X\r\n" + (aId.empty() ? "" : "Id: " + aId + "\r\n") +
         "Not-Run: 1\r\nProof: p\r\nContent-Length: 4\r\n\r\nfull";
}

struct RepeatedRefusal : GatewayFixture
{
  RepeatedRefusal() { this->Configure(); }

  // Returns the answer to a request that must run at most once.
  std::string Send(const std::string& aId)
  {
    this->clock.Advance(seconds(15)); // the retry budget is full
    this->gateway->ConfirmConfig(1, this->clock.Read().steady);
    return this->SendAndWait(Request("/once/x", aId, "body"), "\r\n\r\n");
  }

  std::vector<std::string> runs; // ids of the requests that ran at any endpoint
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(repeated_refusal, RepeatedRefusal)

// Without the id of a request, a refusal on a kept connection may belong to an earlier one.
BOOST_AUTO_TEST_CASE(a_refusal_without_an_id_on_a_kept_connection_is_not_believed)
{
  std::set<Connection*> used;
  this->AddEndpoint([&](Connection& aTo, const RequestHead& aHead) {
    this->runs.push_back(FindField(aHead.fields, "Id")->value);
    aTo.Write((used.insert(&aTo).second ? "" : Refusal("")) + CompleteResponse(aHead, "ran"));
  });
  this->Send("first");
  const std::string answer = this->SendAndWait(Request("/once/x", "second", "body"), "\r\n\r\n");
  BOOST_TEST(used.size() == 1U);
  BOOST_TEST(std::count(this->runs.begin(), this->runs.end(), "second") == 1);
  BOOST_TEST(answer.find("HTTP/1.1 200 ") == 0U, answer);
}

// A retry has the id of the refused attempt, so the id does not tell the two refusals apart.
BOOST_AUTO_TEST_CASE(a_retry_does_not_use_the_connection_on_which_its_attempt_was_refused)
{
  std::map<Connection*, int> refused;
  ScriptedEndpoint& endpoint = this->AddEndpoint([&](Connection& aTo, const RequestHead& aHead) {
    const std::string id = FindField(aHead.fields, "Id")->value;
    if (refused.empty()) {
      refused[&aTo]++;
      aTo.Write(Refusal(id));
      return;
    }
    this->runs.push_back(id);
    aTo.Write((refused.contains(&aTo) ? Refusal(id) : "") + CompleteResponse(aHead, "ran"));
  });
  const std::string answer = this->Send("only");
  BOOST_TEST(endpoint.requests.size() == 2U);
  BOOST_TEST(this->runs.size() == 1U);
  BOOST_TEST(answer.find("HTTP/1.1 200 ") == 0U, answer);
}

// A refusal that does not name its request, and no other, may be another request's.
BOOST_AUTO_TEST_CASE(a_refusal_without_the_id_on_a_new_connection_promises_nothing)
{
  for (const std::string refused : { "", "only\r\nId: other" }) {
    this->runs.clear();
    this->endpointInfos.clear();
    this->AddEndpoint([&](Connection& aTo, const RequestHead& aHead) {
      this->runs.push_back("only");
      aTo.Write(Refusal(refused) + CompleteResponse(aHead, "ran"));
    });
    const std::string answer = this->Send("only");
    BOOST_TEST(answer.find("HTTP/1.1 502 ") == 0U, answer);
    BOOST_TEST(this->runs.size() == 1U);
  }
}

BOOST_AUTO_TEST_CASE(a_refusal_with_the_id_on_a_new_connection_is_believed)
{
  int count = 0;
  this->AddEndpoint([&](Connection& aTo, const RequestHead& aHead) {
    aTo.Write(count++ == 0 ? Refusal("only") : CompleteResponse(aHead, "ran"));
  });
  BOOST_TEST(this->Send("only").find("HTTP/1.1 200 ") == 0U);
}

// Running a repeatable request again breaks no promise, whoever was refused.
BOOST_AUTO_TEST_CASE(a_repeatable_request_is_sent_again_after_a_refusal_without_the_id)
{
  int count = 0;
  this->AddEndpoint([&](Connection& aTo, const RequestHead& aHead) {
    aTo.Write(count++ == 0 ? Refusal("") : CompleteResponse(aHead, "ran"));
  });
  this->clock.Advance(seconds(15));
  this->gateway->ConfirmConfig(1, this->clock.Read().steady);
  const std::string answer = this->SendAndWait(Request("/safe/x", "only"), "\r\n\r\n");
  BOOST_TEST(answer.find("HTTP/1.1 200 ") == 0U);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace caraway::gateway
