// Retry budget, wait policy, endpoint table, configuration and messages.
#include "../core/property.h"
#include "direct/endpoint_table.h"
#include "direct/messages.h"
#include "direct/retry_budget.h"
#include "direct/service_config.h"
#include "direct/wait_policy.h"

#include <boost/test/unit_test.hpp>

#include <sys/resource.h>

#include <cstring>

namespace caraway::direct {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

EndpointInfo MakeEndpoint(const std::string& aId, const std::string& aHost, std::int64_t aBorn,
                          std::uint64_t aSequence = 1)
{
  EndpointInfo info;
  info.id = aId;
  info.service = "pool";
  info.host = aHost;
  info.port = 80;
  info.bornMs = aBorn;
  info.sequence = aSequence;
  return info;
}

} // namespace

BOOST_AUTO_TEST_SUITE(retry_budget)

BOOST_AUTO_TEST_CASE(allows_the_ratio_and_a_share_of_the_extra_retries)
{
  RetryBudgetOptions options;
  options.extra = 50;
  options.useShare = 1;
  RetryBudget budget(options, TimePoint{});
  TimePoint now{ seconds(11) };
  for (int request = 0; request < 100; request++) {
    budget.OnRequest(now, "pool");
  }
  int retries = 0;
  while (budget.Take(now, "pool", 5)) {
    retries++;
  }
  BOOST_TEST(retries == 20 + 10);
  now += seconds(11);
  budget.OnRequest(now, "pool");
  BOOST_TEST(budget.Take(now, "pool", 5));
}

// Every request fails, and all entries are killed in the middle of a window.
BOOST_AUTO_TEST_CASE(a_restart_of_all_entries_opens_no_second_budget)
{
  constexpr std::uint32_t kEntries = 5;
  constexpr int kRequests = 20; // per entry process, in half a window
  RetryBudgetOptions options;
  const TimePoint killedAt{ seconds(100) };
  int retries = 0;
  const auto playHalfWindow = [&](RetryBudget& aBudget, TimePoint aFrom) {
    for (int request = 0; request < kRequests; request++) {
      const TimePoint now = aFrom + options.window / 2 / kRequests * request;
      aBudget.OnRequest(now, "pool");
      while (aBudget.Take(now, "pool", kEntries)) {
        retries++;
      }
    }
  };
  for (std::uint32_t entry = 0; entry < kEntries; entry++) {
    RetryBudget before(options, TimePoint{});
    playHalfWindow(before, killedAt - options.window / 2);
    RetryBudget after(options, killedAt);
    playHalfWindow(after, killedAt);
  }
  BOOST_TEST(retries <= options.ratio * 2 * kRequests * kEntries + options.extra);
}

BOOST_AUTO_TEST_CASE(a_service_without_requests_has_no_budget)
{
  RetryBudget budget({}, TimePoint{});
  BOOST_TEST(!budget.Take(TimePoint{ seconds(1) }, "pool", 5));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(wait_policy)

BOOST_AUTO_TEST_CASE(wait_is_limited_to_a_share_of_the_deadline)
{
  WaitPolicyOptions options;
  CallSpec spec;
  spec.arrived = TimePoint{ seconds(5) };
  spec.deadline = spec.arrived + seconds(6);
  spec.objective = milliseconds(600);
  BOOST_TEST((WaitDeadline(options, spec) - spec.arrived <= seconds(6) * 3 / 10));
  BOOST_TEST((WaitDeadline(options, spec) > spec.arrived + spec.objective));
  spec.deadline = spec.arrived + milliseconds(100);
  BOOST_TEST((WaitDeadline(options, spec) <= spec.deadline));
}

BOOST_AUTO_TEST_CASE(retry_delay_grows_with_the_backlog)
{
  WaitPolicyOptions options;
  const Duration run = milliseconds(400);
  BOOST_TEST((RetryDelay(options, 10, 50, run) < RetryDelay(options, 200, 50, run)));
  BOOST_TEST((RetryDelay(options, 1e9, 1, run) == options.maxRetryDelay));
  BOOST_TEST((RetryDelay(options, 0, 50, run) == options.minRetryDelay));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(endpoint_table)

BOOST_AUTO_TEST_CASE(older_registration_is_ignored)
{
  EndpointTable table;
  BOOST_TEST(table.Put(MakeEndpoint("a", "10.0.0.1", 100, 5)));
  BOOST_TEST(!table.Put(MakeEndpoint("a", "10.0.0.1", 100, 4)));
  BOOST_TEST(!table.Put(MakeEndpoint("a", "10.0.0.1", 90, 9)));
  // A restarted process starts a new sequence.
  BOOST_TEST(table.Put(MakeEndpoint("a", "10.0.0.1", 200, 1)));
}

BOOST_AUTO_TEST_CASE(an_address_belongs_to_the_newest_endpoint_there)
{
  EndpointTable table;
  table.Put(MakeEndpoint("old", "10.0.0.1", 100));
  table.Put(MakeEndpoint("new", "10.0.0.1", 200));
  BOOST_TEST(table.All().size() == 1U);
  BOOST_TEST(table.All().begin()->first == "new");
}

BOOST_AUTO_TEST_CASE(heartbeats_do_not_change_the_hash)
{
  EndpointTable table;
  table.Put(MakeEndpoint("a", "10.0.0.1", 100, 1));
  const std::uint64_t before = HashOf(table.All());
  table.Put(MakeEndpoint("a", "10.0.0.1", 100, 2));
  BOOST_TEST(HashOf(table.All()) == before);
  EndpointInfo leaving = MakeEndpoint("a", "10.0.0.1", 100, 3);
  leaving.isLeaving = true;
  table.Put(leaving);
  BOOST_TEST(HashOf(table.All()) != before);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(service_config)

BOOST_AUTO_TEST_CASE(the_longest_prefix_of_the_host_wins)
{
  ServiceConfig config;
  for (const auto& [host, prefix] : std::vector<std::pair<std::string, std::string>>{
         { "a", "/" }, { "a", "/x/" }, { "a", "/x/y/" }, { "b", "/x/" } }) {
    Route route;
    route.name = host + prefix;
    route.host = host;
    route.pathPrefix = prefix;
    config.routes.push_back(route);
  }
  config.BuildIndex();
  BOOST_TEST(config.FindRoute("a", "/x/y/z")->name == "a/x/y/");
  BOOST_TEST(config.FindRoute("a", "/x/yy")->name == "a/x/");
  BOOST_TEST(config.FindRoute("a", "/x/?q=/x/y/")->name == "a/x/");
  BOOST_TEST(config.FindRoute("a", "/q")->name == "a/");
  BOOST_TEST((config.FindRoute("b", "/q") == nullptr));
  BOOST_TEST((config.FindRoute("c", "/x/") == nullptr));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(direct_messages)

// Fields differ from their defaults, so that one missing in the encoding is detected.
BOOST_AUTO_TEST_CASE(datagram_round_trips)
{
  const ReserveSlot reserve{ 3, 1, 2, -5, 900, 100, 10, QueueOrder::kRankFirst, 7, 300 };
  const UseSlot use{ 4, 100 };
  const AgentState agent{ 1764816512000, true,           true,  6,     5,
                          4000,          { 1, 2, 3, 4 }, 10000, 15000, { "127.0.0.2" } };
  const EntryState entry{ 11,
                          12,
                          13,
                          14,
                          15,
                          16,
                          true,
                          24,
                          21,
                          { AccountUsage{ 17, 18 } },
                          { AccountUsage{ 19, 20 } },
                          { MoveState{ 25, MoveStage::kShift, 26, {}, 27, 28 } },
                          { EndpointIncarnation{ 22, 23 } } };
  const Datagram sent{ Peer{ NodeId{ 1 }, Incarnation{ 2 } },
                       { reserve, WithdrawSlot{ 5 }, OfferSlot{ 8 }, use, BeginAnswer{ 6 },
                         ReleaseSlot{ 7 }, HoldState{ 6, { reserve }, { use } }, agent, entry,
                         QueueEnvelope{ 11, reserve } } };
  const std::optional<Datagram> read = DecodeDatagram(EncodeDatagram(sent));
  BOOST_REQUIRE(read.has_value());
  BOOST_REQUIRE(read->messages.size() == sent.messages.size());
  for (std::size_t i = 0; i < sent.messages.size(); ++i) {
    BOOST_TEST((read->messages[i] == sent.messages[i]), "message " << i);
  }
}

// A datagram of 33 bytes made the decoder allocate what it claimed, beyond the memory of the VM.
BOOST_AUTO_TEST_CASE(decoder_allocates_no_more_than_the_datagram_justifies)
{
  constexpr long kMaxGrowthKb = 64 << 10; // the largest datagram may hold as many messages as bytes
  const std::string empty = EncodeDatagram({ Peer{ NodeId{ 1 }, Incarnation{ 2 } }, {} });
  const std::size_t place = empty.size() - sizeof(std::uint64_t); // of the number of messages
  rusage before{};
  getrusage(RUSAGE_SELF, &before);
  for (const std::uint64_t claim : { 1ULL << 16, 1ULL << 23, 1ULL << 40, ~0ULL }) {
    for (const std::size_t size : { empty.size(), std::size_t{ 65000 } }) {
      std::string bytes = empty;
      std::memcpy(bytes.data() + place, &claim, sizeof(claim));
      bytes.resize(size, '\0');
      BOOST_TEST(!DecodeDatagram(bytes).has_value());
    }
  }
  rusage after{};
  getrusage(RUSAGE_SELF, &after);
  BOOST_TEST(after.ru_maxrss - before.ru_maxrss <= kMaxGrowthKb);
}

// Datagrams come from the network, so no input may crash the decoder.
BOOST_AUTO_TEST_CASE(decoder_accepts_arbitrary_bytes)
{
  const std::string whole = EncodeDatagram(
    { Peer{ NodeId{ 1 }, Incarnation{ 2 } }, { AgentState{}, EntryState{}, HoldState{} } });
  test::CheckProperty("datagram", [&](const std::string& aNoise, unsigned aCut, unsigned aPlace) {
    std::string bytes = whole.substr(0, aCut % (whole.size() + 1));
    bytes.insert(aPlace % (bytes.size() + 1), aNoise);
    DecodeDatagram(bytes);
    DecodeDatagram(aNoise);
  });
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace caraway::direct
