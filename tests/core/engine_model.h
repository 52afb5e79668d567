// Model of an engine with continuous batching. Every step generates one token per prefilled stream;
// its duration grows with the number of decoding streams and of prompt tokens prefilled in it.
#pragma once

#include "core/options.h"

#include <algorithm>
#include <vector>

namespace caraway {

class EngineModel
{
public:
  struct Stream
  {
    std::uint64_t id = 0;
    std::uint32_t prompt = 0; // tokens still to prefill
    std::uint32_t output = 0; // tokens still to generate
    bool hasToken = false;    // generated a token in the last step
  };

  void Add(std::uint64_t aId, std::uint32_t aPrompt, std::uint32_t aOutput)
  {
    this->streams.push_back(Stream{ aId, aPrompt, aOutput });
  }

  void Remove(std::uint64_t aId)
  {
    std::erase_if(this->streams, [aId](const Stream& aStream) { return aStream.id == aId; });
  }

  // Advances all streams by one step and returns its duration; hasToken marks streams with a new
  // token.
  Duration Step()
  {
    std::uint32_t budget = kPrefillChunk;
    std::uint32_t decoding = 0;
    for (Stream& stream : this->streams) {
      const std::uint32_t prefilled = std::min(stream.prompt, budget);
      budget -= prefilled;
      stream.prompt -= prefilled;
      stream.hasToken = stream.prompt == 0 && stream.output > 0;
      stream.output -= stream.hasToken ? 1 : 0;
      decoding += stream.hasToken ? 1 : 0;
    }
    const Duration prefill = kPrefillToken * (kPrefillChunk - budget);
    const Duration step = kBaseStep + kStreamStep * decoding + prefill;
    return std::chrono::duration_cast<Duration>(step * this->slowFactor);
  }

  std::vector<Stream> streams;
  double slowFactor = 1;

private:
  static constexpr std::uint32_t kPrefillChunk = 512;
  static constexpr Duration kBaseStep = milliseconds(8);
  static constexpr Duration kStreamStep{ 800 };
  static constexpr Duration kPrefillToken{ 20 };
};

} // namespace caraway
