// Entries that find each other without agents share one queue before each endpoint.
#include "two_entries.h"

#include <boost/test/unit_test.hpp>

#include <set>

namespace caraway::gateway {

namespace {

using std::chrono::milliseconds;
using Connection = ScriptedEndpoint::Connection;

} // namespace

BOOST_AUTO_TEST_SUITE(owned_queues)

BOOST_AUTO_TEST_CASE(entries_agree_on_the_owner_and_few_queues_move)
{
  std::vector<std::string> hosts;
  for (int host = 1; host <= 20; host++) {
    hosts.push_back("10.0.0." + std::to_string(host));
  }
  std::vector<std::string> fewer(hosts.begin(), hosts.end() - 1);
  std::set<std::string> owners;
  int moved = 0;
  for (int endpoint = 0; endpoint < 1000; endpoint++) {
    const std::string id = "e" + std::to_string(endpoint);
    const std::string owner = OwnerOf(id, hosts);
    owners.insert(owner);
    const std::string next = OwnerOf(id, fewer);
    moved += next == owner ? 0 : 1;
    BOOST_TEST((next == owner || owner == hosts.back()));
  }
  BOOST_TEST(owners.size() == hosts.size());
  BOOST_TEST(moved < 100); // 50 expected
  BOOST_TEST(OwnerOf("e", {}).empty());
}

// Load: calls at two entries before one endpoint with one slot. Alone, each would use the slot.
BOOST_FIXTURE_TEST_CASE(two_entries_share_the_slots_of_an_endpoint, TwoEntries)
{
  this->Configure();
  std::size_t open = 0;
  std::size_t most = 0;
  std::vector<std::pair<Connection*, RequestHead>> waiting;
  ScriptedEndpoint& endpoint = this->AddEndpoint([&](Connection& aTo, const RequestHead& aHead) {
    waiting.emplace_back(&aTo, aHead);
    most = std::max(most, ++open);
  });
  this->listed["e1"].slots = 1;
  this->gateway->SetEndpoints(this->listed);
  auto config = std::make_shared<direct::ServiceConfig>();
  direct::Route route;
  route.name = "safe";
  route.host = "h";
  route.pathPrefix = "/safe/";
  route.kind = direct::CallKind::kSafe;
  route.timeout = std::chrono::seconds(5);
  route.objective = milliseconds(500);
  route.services.push_back({ "pool", 1 });
  route.isOpen = true;
  config->version = 1;
  config->routes.push_back(route);
  config->services["pool"].name = "pool";
  config->BuildIndex();
  this->second->SetConfig(1, config);
  this->second->SetEndpoints(this->listed);
  this->second->AddEntry("127.0.0.1");
  // They have met, and both have heard the owner of the queue.
  const auto usesOwner = [](const Gateway& aEntry) {
    return aEntry.Summary().find(":owner:") != std::string::npos;
  };
  BOOST_REQUIRE(
    this->PlayUntil([&] { return usesOwner(*this->gateway) && usesOwner(*this->second); }));
  std::list<RawTcpClient> clients;
  for (int call = 0; call < 6; call++) {
    clients.emplace_back(call % 2 == 0 ? this->gateway->Port() : this->second->Port());
    clients.back().Send(Request("/safe/x", "r" + std::to_string(call)));
  }
  std::size_t answered = 0;
  BOOST_TEST(this->PlayUntil([&] {
    if (!waiting.empty()) {
      const auto [connection, head] = waiting.back();
      waiting.pop_back();
      open--;
      answered++;
      connection->Write(Whole(head, "done"));
    }
    return answered == 6;
  }));
  BOOST_TEST(most == 1U);
  BOOST_TEST(endpoint.requests.size() == 6U);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace caraway::gateway
