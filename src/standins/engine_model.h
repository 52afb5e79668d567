// Model of an engine that batches continuously, without sockets: a host feeds it requests and time.
//
// Each step computes part of the prompts that are not prefilled yet and one token of every stream
// that is. The step takes longer the more it does. Requests are admitted first come first served as
// long as their tokens fit into the KV cache; there are no priorities. Prompts that share a prefix
// with earlier ones skip its prefill while the prefix cache holds it.
#pragma once

#include "core/types.h"

#include <cstdint>
#include <deque>
#include <list>
#include <map>
#include <string>
#include <unordered_map>
#include <vector>

namespace caraway {

struct EngineOptions
{
  Duration baseStep = std::chrono::milliseconds(8);        // of a step with an empty batch
  Duration stepPerStream = std::chrono::microseconds(250); // added by each running stream
  double prefillTokensPerSecond = 20000;
  std::uint32_t prefillPerStep = 2048; // tokens of prompts computed in one step at most
  std::uint64_t kvTokens = 60000;      // KV cache: tokens of prompts and answers at once
  std::uint64_t cacheTokens = 20000;   // prefix cache
  double speed = 1;                    // divides every time
};

// What the model needs to know about a request.
struct EngineRequest
{
  std::uint64_t key = 0; // chosen by the host
  std::string prompt;
  std::uint32_t outputTokens = 1;
  std::uint32_t stepsPerToken = 1; // more than 1: a stream slower than the batch
};

// One token that a step produced.
struct EngineToken
{
  std::uint64_t key = 0;
  std::uint32_t index = 0;
  bool last = false;
};

// A change of the prefix cache.
struct CacheEvent
{
  std::uint64_t sequence = 0;
  bool stored = false; // or else removed
  std::uint64_t block = 0;
};

struct EngineLoad
{
  std::uint32_t running = 0;
  std::uint32_t waiting = 0;
  double kvUsedRatio = 0;
};

struct EngineTotals
{
  std::uint64_t completed = 0;
  std::uint64_t cancelled = 0;
  std::uint64_t prefillTokens = 0;       // computed, without those found in the prefix cache
  std::uint64_t wastedPrefillTokens = 0; // of requests that were cancelled
};

class EngineModel
{
public:
  explicit EngineModel(const EngineOptions& aOptions);

  void Add(TimePoint aNow, const EngineRequest& aRequest);
  // Drops a request wherever it is; its KV memory is free at once.
  void Cancel(std::uint64_t aKey);
  // Times of the steps to come are multiplied by this.
  void SetSlowFactor(double aFactor) { this->slowFactor = aFactor; }
  // A stalled engine ends no step.
  void SetStalled(TimePoint aNow, bool aStalled);

  // When the running step ends; kNever when nothing runs.
  TimePoint NextStep() const;
  // Ends the step if it is due, starts the next one, and returns the tokens produced.
  std::vector<EngineToken> Advance(TimePoint aNow);

  EngineLoad Load() const;
  const EngineTotals& Totals() const { return this->totals; }
  // Events of the prefix cache after a sequence number, oldest first; only the last are kept.
  std::vector<CacheEvent> CacheEvents(std::uint64_t aAfter) const;

private:
  struct Stream
  {
    EngineRequest request;
    std::uint32_t promptTokens = 0;
    std::uint32_t prefillLeft = 0;
    std::uint32_t prefillDone = 0; // computed, without those found in the cache
    std::uint32_t produced = 0;    // tokens
    std::uint32_t steps = 0;       // decode steps
    bool prefilling = false;       // in the step that is running
  };

  void StartStep(TimePoint aNow);
  void Admit();
  void AdmitOne(Stream aStream);
  std::uint32_t PlanPrefill();
  void FinishPrefill();
  void Release(std::map<std::uint64_t, Stream>::iterator aStream);
  std::uint32_t CachedTokens(const std::vector<std::uint64_t>& aBlocks);
  void StoreBlocks(const std::vector<std::uint64_t>& aBlocks);
  void NoteCache(bool aStored, std::uint64_t aBlock);

  EngineOptions options;
  double slowFactor = 1;
  bool stalled = false;
  TimePoint stepEnd = kNever;
  std::deque<Stream> waiting;
  std::map<std::uint64_t, Stream> running; // by key
  std::uint64_t kvUsed = 0;
  EngineTotals totals;

  std::list<std::uint64_t> cacheOrder; // most recently used first
  std::unordered_map<std::uint64_t, std::list<std::uint64_t>::iterator> cache;
  std::deque<CacheEvent> events;
  std::uint64_t lastEvent = 0;
};

// Tokens of a text of the stand-in engine's models: one for every four bytes, at least one.
std::uint32_t CountTokens(std::string_view aText);

} // namespace caraway
