// Checks one answer of a load run against its own request.
#pragma once

#include "runtime/http_reader.h"
#include "runtime/sse_reader.h"
#include "standins/load_plan.h"

#include <cstdint>
#include <string>
#include <string_view>

namespace caraway {

// What became of a request, as its caller saw it.
enum class LoadResult : std::uint8_t
{
  kAnswered, // the whole answer, and its own
  kNotRun,
  kCut,
  kUnknown,
  kLost,   // declared whole but truncated, or another request's
  kBroken, // the answer ended without stating an outcome
};
constexpr std::size_t kLoadResults = 6;

std::string_view ToString(LoadResult aResult);

// Reads one answer as its bytes come.
class LoadAnswer
{
public:
  // aFromEntry: the answer states its outcome; an engine's own answer does not.
  LoadAnswer(const LoadRequest& aRequest, bool aFromEntry);

  void OnHead(std::uint16_t aStatus, bool aIsStream);
  // Returns the number of tokens that became complete.
  std::uint32_t OnData(std::string_view aData);
  // aWhole: the connection delivered the body to its end.
  LoadResult OnEnd(bool aWhole);

  std::uint16_t Status() const { return this->status; }
  // Reason of a refusal, or of an answer that ended badly.
  const std::string& Reason() const { return this->reason; }

private:
  std::uint32_t OnValue(std::string_view aValue);
  LoadResult EndOfStream();
  LoadResult EndOfBody();
  LoadResult EndOfError();
  std::string Expected() const;

  const LoadRequest& request;
  bool fromEntry;
  std::uint16_t status = 0;
  bool isStream = false;
  SseReader reader;
  std::string text; // of the completion, or the body
  std::string outcome;
  std::string reason;
  bool done = false;
};

// True if the answer with these fields is a stream of server-sent events.
bool IsEventStream(const HeaderFields& aFields);

} // namespace caraway
