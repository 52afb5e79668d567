// What a caller wants, as the fakes see it: the submission plus what only the engine will find out.
#pragma once

#include "core/entry.h"

#include <cstdint>
#include <string>

namespace caraway::bench {

struct Job
{
  Submission submission;
  std::uint32_t call = 0;         // number of the caller's wish; its retries share it
  std::uint32_t attempt = 0;      // 0 for the first submission of the call
  std::uint32_t outputTokens = 1; // true length of the answer
  std::uint32_t prefixTokens = 0; // part of the prompt shared with others of the same prefix
  bool crashes = false;           // kills the engine that runs it
  TimePoint submitted;
};

// Part `aNumber` of the answer to the request with body aBody. Each is kTokenBytes long.
constexpr std::size_t kTokenBytes = 5;
std::string TokenText(std::uint64_t aBodyHash, std::uint32_t aNumber);

// The whole answer of a plain service to aBody.
std::string ServiceAnswer(const std::string& aBody);

} // namespace caraway::bench
