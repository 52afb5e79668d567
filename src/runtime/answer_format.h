// Formats answers to callers as HTTP status, JSON and server-sent events. Performs no I/O.
#pragma once

#include "core/entry.h"
#include "runtime/call_parser.h"

#include <cstdint>
#include <string>
#include <string_view>

namespace caraway {

// HTTP status of a final answer when no part of the answer has been sent yet.
std::uint16_t HttpStatusOf(const FinalAnswer& aAnswer);

// {"error":{"type":...,"message":...,"outcome":...}}
std::string RefusalJson(const FinalAnswer& aAnswer);
std::string RejectionJson(const Rejection& aRejection);

// Value of Retry-After: seconds, rounded up, at least 1.
std::string RetryAfterSeconds(Duration aDelay);

// Formats the text of one completion for its caller.
class CompletionFormat
{
public:
  CompletionFormat(const RequestId& aId, const std::string& aModel, std::uint32_t aMaxTokens);

  // Event with the text of a chunk.
  std::string Event(std::uint32_t aNumber, std::string_view aText) const;
  // Last event of a stream, followed by [DONE] if the answer is complete. It has no number, so that
  // a caller that resumes after it misses no chunk.
  std::string LastEvent(const FinalAnswer& aAnswer) const;
  // Complete answer as one chat.completion object.
  std::string CompleteJson(const std::string& aText, const FinalAnswer& aAnswer) const;

private:
  const char* FinishReason(const FinalAnswer& aAnswer) const;

  std::string id;
  std::string model;
  std::uint32_t maxTokens;
  std::string eventPrefix; // common start of each event's JSON
};

} // namespace caraway
