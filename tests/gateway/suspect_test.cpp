// Requests that crash the endpoints that run them, retried by their callers under new IDs.
#include "two_entries.h"

#include <boost/test/unit_test.hpp>

namespace caraway::gateway {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;
using Connection = ScriptedEndpoint::Connection;

constexpr int kEndpoints = 8;
constexpr int kRepeatCount = 10;
// Maximum number of endpoints that one request may crash.
constexpr int kMaxCrashes = 3;

struct CrashingRequest : TwoEntries
{
  CrashingRequest()
  {
    this->Configure();
    for (int index = 0; index < kEndpoints; index++) {
      this->AddCrashing();
    }
    this->Prepare(*this->second);
    this->second->AddEntry("127.0.0.1");
  }

  // An endpoint that crashes when it gets the body "poison", and answers everything else.
  void AddCrashing()
  {
    ScriptedEndpoint& endpoint = this->AddEndpoint([](Connection&, const RequestHead&) {});
    endpoint.script = [&endpoint](Connection& aTo, const RequestHead& aHead) {
      if (endpoint.bodies.back() == "poison") {
        endpoint.Crash();
      } else {
        aTo.Write(CompleteResponse(aHead, "fine"));
      }
    };
  }

  int Crashes() const
  {
    return static_cast<int>(std::count_if(this->endpoints.begin(), this->endpoints.end(),
                                          [](const auto& aOne) { return aOne->hasCrashed; }));
  }

  // The complete answer of aEntry to a request, or what was received until the connection ended.
  std::string SendTo(const Gateway& aEntry, const std::string& aPath, const std::string& aId,
                     const std::string& aBody)
  {
    RawTcpClient client(aEntry.Port());
    client.Send(Request(aPath, aId, aBody));
    this->AdvanceUntil([&] {
      const std::string& text = client.Received();
      return client.IsClosed() || text.find("\r\n\r\n") + 4 < text.size();
    });
    return client.Received();
  }

  void AdvanceClock(Duration aTime)
  {
    const TimePoint end = this->clock.Read().steady + aTime;
    this->AdvanceUntil([&] { return this->clock.Read().steady >= end; });
  }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(crashing_requests, CrashingRequest)

BOOST_AUTO_TEST_CASE(a_request_that_crashes_endpoints_is_refused)
{
  std::string answer;
  for (int repeat = 0; repeat < kRepeatCount; repeat++) {
    answer = this->SendTo(*this->gateway, "/safe/x", "r" + std::to_string(repeat), "poison");
    this->AdvanceClock(milliseconds(500));
  }
  BOOST_TEST(this->Crashes() <= kMaxCrashes);
  BOOST_TEST(Contains(answer, "HTTP/1.1 503 "));
  BOOST_TEST(Contains(answer, "Retry-After: "));
  BOOST_TEST(Contains(this->SendTo(*this->gateway, "/safe/x", "good", "body"), "fine"));
}

BOOST_AUTO_TEST_CASE(a_request_that_crashes_endpoints_is_refused_by_other_entries)
{
  this->AdvanceClock(seconds(1));
  for (int repeat = 0; repeat < kRepeatCount; repeat++) {
    const Gateway& entry = repeat % 2 == 0 ? *this->gateway : *this->second;
    this->SendTo(entry, "/once/x", "r" + std::to_string(repeat), "poison");
    this->AdvanceClock(milliseconds(500));
  }
  BOOST_TEST(this->Crashes() <= kMaxCrashes);
  BOOST_TEST(Contains(this->SendTo(*this->second, "/once/x", "good", "body"), "fine"));
}

// After a restart of all entries, suspects are known only from the platform's store.
BOOST_AUTO_TEST_CASE(suspects_survive_a_restart_of_all_entries)
{
  struct Store : SuspectStore
  {
    void SaveSuspicion(const direct::SavedSuspicion& aSaved) override
    {
      this->saved.push_back(aSaved);
    }
    std::vector<direct::SavedSuspicion> saved;
  } store;
  this->gateway->SetSuspectStore(store);
  this->SendTo(*this->gateway, "/safe/x", "r1", "poison");
  this->AdvanceUntil([&] { return !store.saved.empty(); });
  const int crashes = this->Crashes();
  this->gateway.reset();
  this->second.reset();
  this->gateway =
    std::make_unique<Gateway>(this->settings, Peer{ NodeId{ 1 }, Incarnation{ 2 } }, this->poller,
                              this->clock, this->random, this->protocol);
  BOOST_REQUIRE(!this->gateway->Start());
  this->Configure();
  this->gateway->SetEndpoints(this->endpointInfos);
  this->gateway->RestoreSuspects(store.saved);
  const std::string answer = this->SendAndWait(Request("/safe/x", "r2", "poison"), "\r\n\r\n");
  BOOST_TEST(Contains(answer, "HTTP/1.1 503 "));
  BOOST_TEST(this->Crashes() == crashes);
}

BOOST_AUTO_TEST_CASE(a_bystander_of_a_crash_is_served)
{
  this->endpointInfos["e1"].slots = 8;
  ScriptedEndpoint& first = *this->endpoints.front();
  const auto script = first.script;
  first.script = [](Connection&, const RequestHead&) {}; // no answer yet
  this->endpointInfos = { *this->endpointInfos.find("e1") };
  this->gateway->SetEndpoints(this->endpointInfos);
  RawTcpClient bystander(this->gateway->Port());
  bystander.Send(Request("/safe/x", "b1", "body"));
  this->AdvanceUntil([&] { return first.requests.size() == 1; });
  first.script = script;
  this->SendTo(*this->gateway, "/once/x", "r1", "poison");
  BOOST_TEST(first.hasCrashed);
  this->AddCrashing();
  BOOST_TEST(this->AdvanceUntil([&] { return Contains(bystander.Received(), "fine"); }));
  BOOST_TEST(Contains(this->SendTo(*this->gateway, "/safe/x", "b2", "body"), "fine"));
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace caraway::gateway
