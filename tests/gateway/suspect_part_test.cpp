// Requests that have nothing in common but a part of their prompt that crashes endpoints.
#include "fixture.h"

#include <boost/test/unit_test.hpp>

namespace caraway::gateway {

namespace {

using std::chrono::milliseconds;
using Connection = ScriptedEndpoint::Connection;

constexpr int kEndpoints = 16;
constexpr int kRounds = 14;
constexpr Duration kRoundTime = milliseconds(500);
constexpr int kMaxCrashes = 5;

struct CrashingPart : GatewayFixture
{
  CrashingPart()
  {
    this->Configure();
    for (int index = 0; index < kEndpoints; index++) {
      ScriptedEndpoint& endpoint = this->AddEndpoint([](Connection&, const RequestHead&) {});
      endpoint.script = [&endpoint](Connection& aTo, const RequestHead& aHead) {
        if (endpoint.bodies.back().starts_with("bad")) {
          endpoint.Crash();
        } else {
          aTo.Write(CompleteResponse(aHead, "{\"fine\"}"));
        }
      };
    }
  }

  // Sends a request with a body of its own; returns the answer.
  std::string Send(const std::string& aBody, const std::vector<std::string>& aParts)
  {
    this->clock.Advance(kRoundTime);
    this->gateway->ConfirmConfig(1, this->clock.Read().steady);
    const std::string id = "r" + std::to_string(++this->requestCount);
    std::string text = Request("/once/x", id, aBody + id);
    for (const std::string& part : aParts) {
      text.insert(text.find("Id: "), "Part: " + part + "\r\n");
    }
    return this->SendAndWait(text, "\"}");
  }

  bool IsServed(const std::string& aBody, const std::vector<std::string>& aParts)
  {
    return this->Send(aBody, aParts).find("fine") != std::string::npos;
  }

  int Crashes() const
  {
    return static_cast<int>(std::count_if(this->endpoints.begin(), this->endpoints.end(),
                                          [](const auto& aOne) { return aOne->hasCrashed; }));
  }

  int requestCount = 0;
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(crashing_parts, CrashingPart)

BOOST_AUTO_TEST_CASE(a_part_that_crashes_endpoints_is_refused_in_new_requests)
{
  std::string answer;
  for (int round = 0; round < kRounds; round++) {
    answer = this->Send("bad", { "aa", "bb" });
  }
  BOOST_TEST(this->Crashes() <= kMaxCrashes);
  BOOST_TEST(answer.find("HTTP/1.1 503 ") == 0U);
  BOOST_TEST(answer.find("Retry-After: ") != std::string::npos);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace caraway::gateway
