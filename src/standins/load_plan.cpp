#include "standins/load_plan.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <cmath>

namespace caraway {

namespace {

using Json = nlohmann::json;
constexpr double kLeastRate = 1e-9; // requests a second
using Seconds = std::chrono::duration<double>;

// Log-uniform in [aLow, aHigh].
std::uint32_t DrawLength(Random& aRandom, std::uint32_t aLow, std::uint32_t aHigh)
{
  const double low = std::log(std::max(1U, aLow));
  const double high = std::log(std::max(1U, aHigh));
  return static_cast<std::uint32_t>(std::lround(std::exp(low + aRandom.Unit() * (high - low))));
}

Tier DrawTier(Random& aRandom, const std::array<double, kTierCount>& aShares)
{
  std::discrete_distribution<int> tiers(aShares.begin(), aShares.end());
  return static_cast<Tier>(tiers(aRandom.Engine()));
}

LoadKind DrawKind(Random& aRandom, const LoadOptions& aOptions)
{
  const double draw = aRandom.Unit();
  if (draw < aOptions.onceShare) {
    return LoadKind::kOnce;
  }
  if (draw < aOptions.onceShare + aOptions.serviceShare) {
    return LoadKind::kService;
  }
  return aRandom.Unit() < aOptions.wholeShare ? LoadKind::kWhole : LoadKind::kStream;
}

// Times of arrival: a Poisson process, and bursts at regular intervals.
std::vector<Duration> DrawArrivals(Random& aRandom, const LoadOptions& aOptions)
{
  std::vector<Duration> times;
  std::exponential_distribution<double> gap(std::max(aOptions.rate, kLeastRate));
  for (double at = gap(aRandom.Engine()); at < aOptions.seconds; at += gap(aRandom.Engine())) {
    times.push_back(std::chrono::duration_cast<Duration>(Seconds(at)));
  }
  if (aOptions.burstSize > 0) {
    for (double at = 0; at < aOptions.seconds; at += aOptions.burstEverySeconds) {
      times.insert(times.end(), aOptions.burstSize,
                   std::chrono::duration_cast<Duration>(Seconds(at)));
    }
  }
  std::sort(times.begin(), times.end());
  return times;
}

std::string ChatBody(const LoadRequest& aRequest, const LoadOptions& aOptions)
{
  const std::string prefix(aOptions.sharedPrefix, static_cast<char>('a' + aRequest.account % 26));
  return Json{
    { "model", aOptions.model },
    { "messages", Json::array({ { { "role", "system" }, { "content", prefix } },
                                { { "role", "user" }, { "content", aRequest.message } } }) },
    { "stream", aRequest.kind == LoadKind::kStream },
    { "max_tokens", aRequest.tokens }
  }.dump();
}

LoadRequest DrawRequest(Random& aRandom, const LoadOptions& aOptions, Duration aAt,
                        std::size_t aIndex)
{
  LoadRequest request;
  request.at = aAt;
  request.kind = DrawKind(aRandom, aOptions);
  request.tier = DrawTier(aRandom, aOptions.tierShares);
  request.account = aRandom.Below(std::max<std::size_t>(1, aOptions.keys.size()));
  request.tokens = DrawLength(aRandom, aOptions.minTokens, aOptions.maxTokens);
  request.message = "request " + std::to_string(aOptions.seed) + "-" + std::to_string(aIndex) + " ";
  const std::uint32_t length = DrawLength(aRandom, aOptions.minPrompt, aOptions.maxPrompt);
  request.message.resize(std::max<std::size_t>(request.message.size(), length), '.');
  const bool isChat = request.kind == LoadKind::kStream || request.kind == LoadKind::kWhole;
  request.body =
    isChat ? ChatBody(request, aOptions) : Json{ { "message", request.message } }.dump();
  return request;
}

} // namespace

std::vector<LoadRequest> PlanLoad(const LoadOptions& aOptions)
{
  Random random(aOptions.seed);
  std::vector<LoadRequest> plan;
  for (const Duration at : DrawArrivals(random, aOptions)) {
    plan.push_back(DrawRequest(random, aOptions, at, plan.size()));
  }
  return plan;
}

std::string PathOf(const LoadRequest& aRequest, const LoadOptions& aOptions)
{
  switch (aRequest.kind) {
    case LoadKind::kService:
      return aOptions.serviceRoute;
    case LoadKind::kOnce:
      return aOptions.onceRoute;
    default:
      return "/v1/chat/completions";
  }
}

} // namespace caraway
