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

namespace {

// All requests share parts of their prompt, and all endpoints die at once while they run them.
struct Outage : CrashingPart
{
  std::string RequestWith(const std::vector<std::string>& aParts, const std::string& aBody)
  {
    const std::string id = "r" + std::to_string(++this->requestCount);
    std::string text = Request("/once/x", id, aBody);
    for (const std::string& part : aParts) {
      text.insert(text.find("Id: "), "Part: " + part + "\r\n");
    }
    return text;
  }

  // Requests run at all endpoints, all of which die and start anew. Others like them had been
  // answered.
  void DieAtOnce(const std::vector<std::string>& aParts)
  {
    this->SendAndWait(this->RequestWith(aParts, kBody), "\"}");
    for (const auto& endpoint : this->endpoints) {
      endpoint->requests.clear();
      endpoint->script = [](Connection&, const RequestHead&) {};
    }
    std::vector<std::unique_ptr<RawTcpClient>> clients;
    const auto isBusy = [](const auto& aOne) { return !aOne->requests.empty(); };
    while (!std::all_of(this->endpoints.begin(), this->endpoints.end(), isBusy)) {
      BOOST_REQUIRE(clients.size() < std::size_t{ 20 } * kEndpoints);
      clients.push_back(std::make_unique<RawTcpClient>(this->gateway->Port()));
      clients.back()->Send(this->RequestWith(
        aParts, this->isSameBody ? kBody : kBody + std::to_string(clients.size())));
      const std::size_t before = this->Seen();
      RunUntil([&] { return this->Seen() > before; });
    }
    for (const auto& endpoint : this->endpoints) {
      endpoint->Crash();
    }
    RunUntil([&] {
      return std::all_of(clients.begin(), clients.end(),
                         [](const auto& aClient) { return !aClient->Received().empty(); });
    });
    this->RegisterAgain();
    this->endpointInfos.clear();
    for (int index = 0; index < kEndpoints; index++) {
      this->AddEndpoint([](Connection& aTo, const RequestHead& aHead) {
        aTo.Write(CompleteResponse(aHead, "{\"fine\"}"));
      });
    }
  }

  // Later processes at the same addresses are what shows each death.
  void RegisterAgain()
  {
    std::map<std::string, direct::EndpointInfo> later;
    for (const auto& [id, info] : this->endpointInfos) {
      later[id + "-2"] = info;
      later[id + "-2"].id = id + "-2";
      later[id + "-2"].bornMs = info.bornMs + 1;
    }
    this->gateway->SetEndpoints(later);
  }

  std::size_t Seen() const
  {
    std::size_t seen = 0;
    for (const auto& endpoint : this->endpoints) {
      seen += endpoint->requests.size();
    }
    return seen;
  }

  // Rounds until a request is served; kMaxRounds if none is.
  int RoundsUntilServed(const std::vector<std::string>& aParts)
  {
    for (int round = 0; round < kMaxRounds; round++) {
      if (this->IsServed("body", aParts)) {
        return round;
      }
    }
    return kMaxRounds;
  }

  static constexpr int kMaxRounds = 40;
  inline static const std::string kBody = "body";
  bool isSameBody = false;
};

} // namespace

// Regression: more deaths at one moment than trials may cost had ended the trials of the part.
BOOST_FIXTURE_TEST_CASE(a_part_of_all_requests_is_served_after_an_outage, Outage)
{
  this->DieAtOnce({ "aa" });
  BOOST_TEST(this->RoundsUntilServed({ "aa" }) < kMaxRounds);
  BOOST_TEST(this->IsServed("body", { "aa" }));
}

// Regression: a request with two refused parts was never a trial.
BOOST_FIXTURE_TEST_CASE(two_parts_of_all_requests_are_served_after_an_outage, Outage)
{
  this->DieAtOnce({ "aa", "bb" });
  BOOST_TEST(this->RoundsUntilServed({ "aa", "bb" }) < kMaxRounds);
  BOOST_TEST(this->IsServed("body", { "aa", "bb" }));
}

// Regression: so was a request that many callers send, without any part.
BOOST_FIXTURE_TEST_CASE(a_request_of_many_callers_is_served_after_an_outage, Outage)
{
  this->isSameBody = true;
  this->DieAtOnce({});
  int round = 0;
  const auto isServed = [&] {
    this->clock.Advance(kRoundTime);
    this->gateway->ConfirmConfig(1, this->clock.Read().steady);
    const std::string answer = this->SendAndWait(this->RequestWith({}, kBody), "\"}");
    return answer.find("fine") != std::string::npos;
  };
  while (round < kMaxRounds && !isServed()) {
    round++;
  }
  BOOST_TEST(round < kMaxRounds);
  BOOST_TEST(isServed());
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace caraway::gateway
