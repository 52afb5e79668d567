// The load tool's plan, its check of answers and its report; faults of the stand-ins.
#include "standins/answer.h"
#include "standins/faults.h"
#include "standins/load_answer.h"
#include "standins/load_plan.h"
#include "standins/load_report.h"

#include <nlohmann/json.hpp>

#include <boost/test/unit_test.hpp>

#include <algorithm>

using namespace caraway;
using std::chrono::milliseconds;

namespace {

LoadRequest MakeRequest(LoadKind aKind)
{
  LoadRequest request;
  request.kind = aKind;
  request.message = "mine";
  request.tokens = 4;
  request.body = R"({"message":"mine"})";
  return request;
}

std::string TokenEvents(const std::string& aMessage, std::uint32_t aTokens)
{
  std::string events;
  for (std::uint32_t index = 0; index < aTokens; ++index) {
    const nlohmann::json delta{ { "content", ExpectedToken(aMessage, index) } };
    const nlohmann::json event{ { "choices", nlohmann::json::array({ { { "delta", delta } } }) } };
    events += "id: " + std::to_string(index) + "\ndata: " + event.dump() + "\n\n";
  }
  return events;
}

const std::string kAnsweredEvent =
  "data: {\"choices\":[],\"caraway\":{\"outcome\":\"answered\",\"reason\":\"none\"}}\n\n";
const std::string kCutEvent =
  "data: {\"choices\":[],\"caraway\":{\"outcome\":\"cut\",\"reason\":\"stalled\"}}\n\n";
const std::string kDoneEvent = "data: [DONE]\n\n";

LoadResult ReadStream(const std::string& aEvents, bool aWhole = true)
{
  const LoadRequest request = MakeRequest(LoadKind::kStream);
  LoadAnswer answer(request, true);
  answer.OnHead(200, true);
  for (const char byte : aEvents) {
    answer.OnData(std::string_view(&byte, 1));
  }
  return answer.OnEnd(aWhole);
}

LoadResult ReadBody(LoadKind aKind, std::uint16_t aStatus, const std::string& aBody)
{
  const LoadRequest request = MakeRequest(aKind);
  LoadAnswer answer(request, true);
  answer.OnHead(aStatus, false);
  answer.OnData(aBody);
  return answer.OnEnd(true);
}

} // namespace

BOOST_AUTO_TEST_SUITE(load)

BOOST_AUTO_TEST_CASE(a_whole_stream_of_its_own_is_answered)
{
  BOOST_TEST(
    (ReadStream(TokenEvents("mine", 4) + kAnsweredEvent + kDoneEvent) == LoadResult::kAnswered));
}

BOOST_AUTO_TEST_CASE(crossed_truncated_and_repeated_answers_are_lost)
{
  const std::string end = kAnsweredEvent + kDoneEvent;
  BOOST_TEST((ReadStream(TokenEvents("other", 4) + end) == LoadResult::kLost));
  BOOST_TEST((ReadStream(TokenEvents("mine", 3) + end) == LoadResult::kLost));
  BOOST_TEST(
    (ReadStream(TokenEvents("mine", 4) + TokenEvents("mine", 1) + end) == LoadResult::kLost));
  BOOST_TEST((ReadStream(TokenEvents("mine", 4) + kAnsweredEvent) == LoadResult::kLost));
  BOOST_TEST((ReadStream(TokenEvents("other", 2) + kCutEvent) == LoadResult::kLost));
  BOOST_TEST((ReadStream(TokenEvents("mine", 2) + kCutEvent + kDoneEvent) == LoadResult::kLost));
}

BOOST_AUTO_TEST_CASE(an_honest_cut_and_a_broken_connection_are_told_apart)
{
  BOOST_TEST((ReadStream(TokenEvents("mine", 2) + kCutEvent) == LoadResult::kCut));
  BOOST_TEST((ReadStream(TokenEvents("mine", 2), false) == LoadResult::kBroken));
  BOOST_TEST((ReadStream(TokenEvents("mine", 2), true) == LoadResult::kBroken));
}

BOOST_AUTO_TEST_CASE(bodies_are_checked_against_their_request)
{
  const std::string own = ExpectedEcho(MakeRequest(LoadKind::kOnce).body);
  BOOST_TEST((ReadBody(LoadKind::kOnce, 200, own) == LoadResult::kAnswered));
  BOOST_TEST((ReadBody(LoadKind::kOnce, 200, own + own) == LoadResult::kLost));
  BOOST_TEST((ReadBody(LoadKind::kService, 200, ExpectedEcho("{}")) == LoadResult::kLost));
  const std::string refusal = R"({"error":{"type":"overload","message":"","outcome":"not_run"}})";
  BOOST_TEST((ReadBody(LoadKind::kWhole, 503, refusal) == LoadResult::kNotRun));
  BOOST_TEST((ReadBody(LoadKind::kWhole, 500, "oops") == LoadResult::kLost));
}

BOOST_AUTO_TEST_CASE(a_plan_follows_from_its_seed)
{
  LoadOptions options;
  options.minTokens = 10;
  options.maxTokens = 1000;
  options.burstSize = 20;
  const auto first = PlanLoad(options);
  const auto again = PlanLoad(options);
  BOOST_REQUIRE(first.size() == again.size());
  const auto same = [](const LoadRequest& aLeft, const LoadRequest& aRight) {
    return aLeft.at == aRight.at && aLeft.body == aRight.body && aLeft.tier == aRight.tier;
  };
  BOOST_TEST(std::equal(first.begin(), first.end(), again.begin(), same));
  options.seed = 2;
  BOOST_TEST((PlanLoad(options).at(0).message != first.at(0).message));
  const auto tokens = [](const LoadRequest& aLeft, const LoadRequest& aRight) {
    return aLeft.tokens < aRight.tokens;
  };
  const auto [low, high] = std::minmax_element(first.begin(), first.end(), tokens);
  BOOST_TEST(low->tokens >= 10);
  BOOST_TEST(high->tokens <= 1000);
  BOOST_TEST(high->tokens > 10 * low->tokens);
}

BOOST_AUTO_TEST_CASE(quantiles_are_within_a_bin)
{
  LatencyHistogram histogram;
  for (int value = 1; value <= 100; ++value) {
    histogram.Add(milliseconds(value));
  }
  const double median = std::chrono::duration<double, std::milli>(histogram.Quantile(0.5)).count();
  BOOST_TEST(median == 50, boost::test_tools::tolerance(0.04));
}

BOOST_AUTO_TEST_CASE(a_bad_version_is_bad_only_where_and_when_it_says)
{
  const TimePoint start{ milliseconds(1000) };
  BadVersion bad;
  bad.kind = "slow";
  bad.afterMs = 500;
  bad.load = 3;
  bad.route = "/orders";
  FaultPlan plan(bad, start, 1);
  const TimePoint late = start + milliseconds(500);
  BOOST_TEST(plan.Decide(late, "/orders/new", 4).slowFactor == 8);
  BOOST_TEST(plan.Decide(start, "/orders/new", 4).slowFactor == 1);
  BOOST_TEST(plan.Decide(late, "/orders/new", 3).slowFactor == 1);
  BOOST_TEST(plan.Decide(late, "/status", 4).slowFactor == 1);
}

BOOST_AUTO_TEST_CASE(a_failing_version_fails_its_share)
{
  BadVersion bad;
  bad.kind = "fail";
  bad.failRatio = 0.25;
  FaultPlan plan(bad, TimePoint{}, 7);
  int failures = 0;
  for (int index = 0; index < 2000; ++index) {
    failures += plan.Decide(TimePoint{}, "/", 0).fails ? 1 : 0;
  }
  BOOST_TEST(failures > 400);
  BOOST_TEST(failures < 600);
}

BOOST_AUTO_TEST_SUITE_END()
