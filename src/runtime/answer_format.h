// Answers to callers as HTTP status, JSON and server-sent events. Pure: no sockets.
#pragma once

#include "core/entry.h"
#include "runtime/call_parser.h"

#include <cstdint>
#include <string>
#include <string_view>

namespace caraway {

// HTTP status of a final answer that comes before any part of the answer was sent.
std::uint16_t HttpStatusOf(const FinalAnswer& aAnswer);

// {"error":{"type":...,"message":...,"outcome":...}}
std::string RefusalJson(const FinalAnswer& aAnswer);
std::string RejectionJson(const Rejection& aRejection);

// Value of Retry-After: whole seconds, rounded up.
std::string RetryAfterSeconds(Duration aDelay);

// Text of a completion in the form that one caller gets.
class CompletionFormat
{
public:
  CompletionFormat(const RequestId& aId, const std::string& aModel, std::uint32_t aMaxTokens);

  // One event with the text of a chunk.
  std::string Event(std::uint32_t aNumber, std::string_view aText) const;
  // Last event of a stream, with [DONE] if the answer is whole. It has no number, so that a caller
  // that resumes after it misses no chunk.
  std::string LastEvent(const FinalAnswer& aAnswer) const;
  // Whole answer.
  std::string Whole(const std::string& aText, const FinalAnswer& aAnswer) const;

private:
  const char* FinishReason(const FinalAnswer& aAnswer) const;

  std::string id;
  std::string model;
  std::uint32_t maxTokens;
  std::string head; // start of each event's JSON
};

} // namespace caraway
