// What a load run sends and when: a seeded sequence of requests, independent of the answers.
#pragma once

#include "core/random.h"
#include "core/types.h"

#include <array>
#include <string>
#include <vector>

namespace caraway {

enum class LoadKind : std::uint8_t
{
  kStream,  // completion, streamed
  kWhole,   // completion in one body
  kService, // call to a plain service that may be repeated
  kOnce,    // call to a plain service with an idempotency key
};

struct LoadOptions
{
  std::uint64_t seed = 1;
  double rate = 20;             // requests a second, Poisson arrivals
  double seconds = 10;          // length of the run
  std::uint32_t burstSize = 0;  // requests that arrive together, on top of the rate
  double burstEverySeconds = 5; // between bursts
  std::array<double, kTierCount> tierShares = { 1, 1, 1, 1 };
  std::uint32_t minTokens = 20; // tokens of an answer, log-uniform
  std::uint32_t maxTokens = 200;
  std::uint32_t minPrompt = 80; // bytes of a prompt, log-uniform
  std::uint32_t maxPrompt = 4000;
  std::uint32_t sharedPrefix = 1024; // bytes of the prefix shared by an account's prompts
  double wholeShare = 0.1;           // completions that are not streamed
  double serviceShare = 0;           // calls to the plain service
  double onceShare = 0;              // calls that must run once
  std::string model = "model";
  std::string serviceRoute = "/services/orders/status";
  std::string onceRoute = "/services/orders/new";
  std::vector<std::string> keys; // bearer keys of the accounts; none: no authorization
};

struct LoadRequest
{
  Duration at{}; // after the start of the run
  LoadKind kind = LoadKind::kStream;
  Tier tier = kLowestTier;
  std::size_t account = 0; // index of its key
  std::uint32_t tokens = 0;
  std::string message; // unique: the answer's content follows from it
  std::string body;
};

// All requests of a run in the order of their times.
std::vector<LoadRequest> PlanLoad(const LoadOptions& aOptions);

// Path of the request at an entry.
std::string PathOf(const LoadRequest& aRequest, const LoadOptions& aOptions);

} // namespace caraway
