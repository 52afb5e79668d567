// Two entries of which only one reads the platform's store.
#include "two_entries.h"

namespace caraway::gateway {

namespace {

using Connection = ScriptedEndpoint::Connection;
using std::chrono::milliseconds;

// The endpoints e1 in the failure domain "a" and e2 in "b".
struct EvacuationNews : TwoEntries
{
  EvacuationNews()
  {
    this->Configure();
    for (const char* domain : { "a", "b" }) {
      this->AddEndpoint([](Connection& aTo, const RequestHead& aHead) {
        aTo.Write(CompleteResponse(aHead, "hello"));
      });
      direct::EndpointInfo& info =
        this->endpointInfos["e" + std::to_string(this->endpoints.size())];
      info.failureDomain = domain;
      info.region = info.failureDomain == "a" ? "north" : "south";
    }
    this->gateway->SetEndpoints(this->endpointInfos);
    this->Prepare(*this->second);
    this->gateway->AddEntry("127.0.0.2");
    this->second->AddEntry("127.0.0.1");
  }
  bool WaitForEvacuations(Gateway& aEntry, int aCount)
  {
    const std::string line =
      "caraway_entry_evacuated_failure_domains " + std::to_string(aCount) + "\n";
    return this->AdvanceUntil([&] { return Contains(aEntry.MetricsText(), line); });
  }
  // Sends requests to the entry; returns whether the endpoint got one.
  bool Reaches(Gateway& aEntry, ScriptedEndpoint& aEndpoint)
  {
    const std::size_t before = aEndpoint.requests.size();
    for (int i = 0; i < 12; i++) {
      RawTcpClient client(aEntry.Port());
      client.Send(Request("/safe/x", "r" + std::to_string(++this->lastId)));
      BOOST_REQUIRE(RunUntil([&] { return Contains(client.Received(), "hello"); }));
    }
    return aEndpoint.requests.size() > before;
  }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(evacuation_news, EvacuationNews)

BOOST_AUTO_TEST_CASE(an_entry_without_the_store_obeys_what_another_one_has_read)
{
  BOOST_REQUIRE(this->WaitForEvacuations(*this->second, 0));
  this->gateway->OnEvacuationRecord({ "a", 1, 10, true });
  BOOST_TEST(this->WaitForEvacuations(*this->second, 1));
  BOOST_TEST(!this->Reaches(*this->second, *this->endpoints.front()));
  this->gateway->OnEvacuationRecord({ "a", 1, 11, false });
  BOOST_TEST(this->WaitForEvacuations(*this->second, 0));
  BOOST_TEST(this->Reaches(*this->second, *this->endpoints.front()));
}

// The second entry knows the later record, so the first one's older order does not come into force
// there, and the end reaches the first one.
BOOST_AUTO_TEST_CASE(the_latest_record_decides_among_entries)
{
  this->second->OnEvacuationRecord({ "a", 1, 10, true });
  this->second->OnEvacuationRecord({ "a", 1, 11, false });
  this->gateway->OnEvacuationRecord({ "a", 1, 10, true });
  BOOST_TEST(this->WaitForEvacuations(*this->gateway, 0));
  BOOST_TEST(this->Reaches(*this->second, *this->endpoints.front()));
}

BOOST_AUTO_TEST_CASE(requests_of_an_account_stay_in_its_regions)
{
  auto config = std::make_shared<direct::ServiceConfig>(*this->config);
  config->version = 2;
  config->accounts[0].regions = { "south", "west" };
  for (direct::Route& route : config->routes) {
    route.regions = { "north", "south" };
  }
  this->gateway->SetConfig(2, config);
  this->gateway->ConfirmConfig(2, this->clock.Read().steady);
  BOOST_TEST(!this->Reaches(*this->gateway, *this->endpoints.front()));
  // A stream that breaks off resumes in its regions too, or not at all.
  this->endpoints.back()->script = [](Connection& aTo, const RequestHead& aHead) {
    aTo.Write(StreamHead(aHead) + Chunk("id: 1\ndata: a\n\n"));
    aTo.Close();
  };
  this->SendAndWait(Request("/resume/x", "s1"), "nothing of this kind");
  BOOST_TEST(this->endpoints.front()->requests.empty());
  this->gateway->OnEvacuationRecord({ "b", 1, 10, true });
  const std::string answer = this->SendAndWait(Request("/safe/x", "s2"), "\r\n\r\n");
  BOOST_TEST(Contains(answer, "HTTP/1.1 503"));
  BOOST_TEST(Contains(answer, "Retry-After: "));
  BOOST_TEST(this->endpoints.front()->requests.empty());
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace caraway::gateway
