// What differs between platforms in the requests of callers and the answers of endpoints. The
// gateway works on these types; an adapter translates the platform's header names and conventions.
#pragma once

#include "direct/endpoint_table.h"
#include "runtime/http_reader.h"

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace caraway::gateway {

// A caller's request as far as the gateway looks at it.
struct CallerRequest
{
  std::string id; // the caller's name of this attempt
  std::string method;
  std::string target; // path and query, as sent
  std::string host;
  std::string key;                  // API key; empty: none was sent
  std::optional<Duration> timeLeft; // how long the caller waits
  std::uint32_t promptTokens = 0;
  std::uint32_t outputTokens = 0;           // most that may be generated
  bool namesTokens = false;                 // the two counts were sent
  std::uint64_t subject = 0;                // hash of the longest shared prompt; 0: none
  std::optional<std::uint64_t> resumeAfter; // last event that the caller has
  HeaderFields forwarded; // fields for the endpoint, without those that the system sets itself
};

// What goes to an endpoint beside the caller's request.
struct EndpointCall
{
  const CallerRequest& request;
  std::string_view body;
  std::string_view account; // name; empty: none
  std::string_view endpointId;
  Duration timeLeft{};
  std::optional<std::uint64_t> resumeAfter;
};

enum class AnswerKind : std::uint8_t
{
  kSuccess,
  kFailure,     // the endpoint ran the request, or may have, and answered with a failure
  kNotRun,      // the endpoint says that it did not run the request
  kMisdirected, // another endpoint has this address; not run
  kInvalid,     // not an answer of an endpoint, whatever its status
};

class Dialect
{
public:
  virtual ~Dialect() = default;
  // Reads a caller's request; nullopt if it lacks what every request must have.
  virtual std::optional<CallerRequest> ReadRequest(const RequestHead& aHead) const = 0;
  // The request for the endpoint as it goes on the wire.
  virtual std::string WriteEndpointRequest(const EndpointCall& aCall) const = 0;
  // Name of the field that an endpoint repeats from the request.
  virtual std::string CorrelationField() const = 0;
  virtual AnswerKind KindOf(const ResponseHead& aHead) const = 0;
  virtual direct::EndpointNotice NoticeOf(const ResponseHead& aHead) const = 0;
  // Fields of an endpoint's answer that go to the caller.
  virtual HeaderFields AnswerFields(const ResponseHead& aHead) const = 0;
  // Fields of an answer of the gateway's own. aRequest: nullptr if it could not be read.
  virtual HeaderFields OwnFields(const CallerRequest* aRequest) const = 0;
};

// What an agent learns from the endpoint beside it.
struct EndpointReport
{
  std::int64_t bornMs = 0; // start of its process, Unix time; 0: not said
  bool isLeaving = false;
};

class ReportReader
{
public:
  virtual ~ReportReader() = default;
  // The request for a report as it goes on the wire.
  virtual std::string WriteReportRequest() const = 0;
  virtual std::optional<EndpointReport> ReadReport(const ResponseHead& aHead,
                                                   std::string_view aBody) const = 0;
  virtual direct::EndpointNotice NoticeOf(const ResponseHead& aHead) const = 0;
};

} // namespace caraway::gateway
