// Requests that crash the endpoints that run them, repeated by their callers under new ids.
#include "two_entries.h"

#include <boost/test/unit_test.hpp>

namespace caraway::gateway {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;
using Connection = ScriptedEndpoint::Connection;

constexpr int kEndpoints = 8;
constexpr int kRepeats = 10;
// Endpoints that one request may end.
constexpr int kMostCrashes = 3;

struct CrashingRequest : TwoEntries
{
  CrashingRequest()
  {
    this->Configure();
    for (int index = 0; index < kEndpoints; index++) {
      this->AddCrashing();
    }
    this->second->SetConfig(1, this->config);
    this->second->SetUseBefore("");
    this->second->SetEndpoints(this->listed);
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
        aTo.Write(Whole(aHead, "fine"));
      }
    };
  }

  int Crashes() const
  {
    return static_cast<int>(std::count_if(this->endpoints.begin(), this->endpoints.end(),
                                          [](const auto& aOne) { return aOne->isDown; }));
  }

  // The whole answer to one request at an entry, or what came until the connection ended.
  std::string AskAt(const Gateway& aEntry, const std::string& aPath, const std::string& aId,
                    const std::string& aBody)
  {
    RawTcpClient client(aEntry.Port());
    client.Send(Request(aPath, aId, aBody));
    this->PlayUntil([&] {
      const std::string& text = client.Received();
      return client.IsClosed() || text.find("\r\n\r\n") + 4 < text.size();
    });
    return client.Received();
  }

  void Pass(Duration aTime)
  {
    const TimePoint end = this->clock.Read().steady + aTime;
    this->PlayUntil([&] { return this->clock.Read().steady >= end; });
  }
};

bool Has(const std::string& aText, const std::string& aPart)
{
  return aText.find(aPart) != std::string::npos;
}

} // namespace

BOOST_FIXTURE_TEST_SUITE(crashing_requests, CrashingRequest)

BOOST_AUTO_TEST_CASE(a_request_that_crashes_endpoints_is_not_sent_on)
{
  std::string answer;
  for (int repeat = 0; repeat < kRepeats; repeat++) {
    answer = this->AskAt(*this->gateway, "/safe/x", "r" + std::to_string(repeat), "poison");
    this->Pass(milliseconds(500));
  }
  BOOST_TEST(this->Crashes() <= kMostCrashes);
  BOOST_TEST(Has(answer, "HTTP/1.1 503 "));
  BOOST_TEST(Has(answer, "Retry-After: "));
  BOOST_TEST(Has(this->AskAt(*this->gateway, "/safe/x", "good", "body"), "fine"));
}

BOOST_AUTO_TEST_CASE(a_request_that_crashes_endpoints_is_not_sent_on_by_other_entries)
{
  this->Pass(seconds(1));
  for (int repeat = 0; repeat < kRepeats; repeat++) {
    const Gateway& entry = repeat % 2 == 0 ? *this->gateway : *this->second;
    this->AskAt(entry, "/once/x", "r" + std::to_string(repeat), "poison");
    this->Pass(milliseconds(500));
  }
  BOOST_TEST(this->Crashes() <= kMostCrashes);
  BOOST_TEST(Has(this->AskAt(*this->second, "/once/x", "good", "body"), "fine"));
}

// All entries were killed: only the platform's store remembers.
BOOST_AUTO_TEST_CASE(a_restart_of_all_entries_forgets_no_request_that_crashes_endpoints)
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
  this->AskAt(*this->gateway, "/safe/x", "r1", "poison");
  this->PlayUntil([&] { return !store.saved.empty(); });
  const int crashes = this->Crashes();
  this->gateway.reset();
  this->second.reset();
  this->gateway = std::make_unique<Gateway>(this->settings, Peer{ NodeId{ 1 }, Incarnation{ 2 } },
                                            this->poller, this->clock, this->random, this->dialect);
  BOOST_REQUIRE(!this->gateway->Start());
  this->Configure();
  this->gateway->SetEndpoints(this->listed);
  this->gateway->SetSuspectsBefore(store.saved);
  const std::string answer = this->Ask(Request("/safe/x", "r2", "poison"), "\r\n\r\n");
  BOOST_TEST(Has(answer, "HTTP/1.1 503 "));
  BOOST_TEST(this->Crashes() == crashes);
}

BOOST_AUTO_TEST_CASE(a_request_beside_one_that_crashes_endpoints_is_served)
{
  this->listed["e1"].slots = 8;
  ScriptedEndpoint& first = *this->endpoints.front();
  const auto script = first.script;
  first.script = [](Connection&, const RequestHead&) {}; // no answer yet
  this->listed = { *this->listed.find("e1") };
  this->gateway->SetEndpoints(this->listed);
  RawTcpClient bystander(this->gateway->Port());
  bystander.Send(Request("/safe/x", "b1", "body"));
  this->PlayUntil([&] { return first.requests.size() == 1; });
  first.script = script;
  this->AskAt(*this->gateway, "/once/x", "r1", "poison");
  BOOST_TEST(first.isDown);
  this->AddCrashing();
  BOOST_TEST(this->PlayUntil([&] { return Has(bystander.Received(), "fine"); }));
  BOOST_TEST(Has(this->AskAt(*this->gateway, "/safe/x", "b2", "body"), "fine"));
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace caraway::gateway
