// Fake model engine with continuous batching: one step gives every running stream one token, and
// its time grows with the batch and with the prompt tokens prefilled in it.
#pragma once

#include "bench/endpoint.h"
#include "bench/schedule.h"
#include "core/random.h"

#include <deque>
#include <vector>

namespace caraway::bench {

// Speed and size of an engine. Times are those of an engine of speed 1.
struct EngineProfile
{
  double speed = 1;
  Duration stepBase = milliseconds(8);
  Duration stepPerStream = std::chrono::microseconds(600);
  double prefillPerSecond = 16000;  // prompt tokens
  std::uint32_t prefillChunk = 256; // most prompt tokens in one step
  std::uint32_t kvTokens = 28000;   // prompt and output tokens that fit at once
  std::uint32_t cachedPrefixes = 64;
  Duration restartTime = seconds(3); // after a request has crashed the engine
};

class EngineModel final : public Endpoint
{
public:
  EngineModel(const EngineProfile& aProfile, Schedule& aSchedule, Random& aRandom,
              EndpointEvents& aEvents);

  void Start(const Job& aJob, const std::string& aBody) override;
  void Cancel(const RequestId& aId) override;
  void Crash() override;
  void Restart() override;
  bool Reachable() const override { return this->alive && !this->fault.refuses; }
  void SetFault(const EndpointFault& aFault) override;
  std::uint32_t Load() const override;

  std::uint64_t PrefillTokens() const { return this->prefilled; }
  // Prompt tokens computed for each request.
  const std::unordered_map<RequestId, std::uint32_t>& PrefillOf() const { return this->prefillOf; }

private:
  struct Stream
  {
    RequestId id;
    std::uint64_t bodyHash = 0;
    std::uint32_t promptTokens = 0;
    std::uint32_t prefillLeft = 0;
    std::uint32_t outputTokens = 0;
    std::uint32_t produced = 0;
    std::uint64_t prefix = 0;
    bool crashes = false;
  };

  void Admit();
  void BeginStep();
  Duration Prefill();
  void EndStep();
  void Produce(Stream& aStream);
  void End(const RequestId& aId, WorkEnd aEnd, std::uint16_t aStatus, const Stream* aStream);
  std::uint32_t CachedTokens(const Job& aJob);
  void Remember(std::uint64_t aPrefix);
  static std::uint32_t KvOf(const Stream& aStream);

  EngineProfile profile;
  Schedule& schedule;
  Random& random;
  EndpointEvents& events;
  EndpointFault fault;
  bool alive = true;
  bool stepping = false;
  std::uint64_t life = 0; // steps scheduled before a crash are void after it
  std::uint32_t kvUsed = 0;
  std::deque<Stream> waiting;
  std::vector<Stream> running;
  std::deque<std::uint64_t> prefixes; // most recently used first
  std::uint64_t prefilled = 0;
  std::unordered_map<RequestId, std::uint32_t> prefillOf;
};

} // namespace caraway::bench
