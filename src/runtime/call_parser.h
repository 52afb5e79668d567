// Validates a caller's HTTP call and converts it into a Submission. Performs no I/O.
#pragma once

#include "core/config.h"
#include "core/entry.h"

#include <cstdint>
#include <optional>
#include <string>
#include <variant>

namespace caraway {

// Values from the request line and the headers; empty if a header is absent.
struct CallHead
{
  std::string method;
  std::string path; // decoded, without query
  std::string authorization;
  std::string tier;
  std::string startWithinMs;
  std::string endWithinMs;
  std::string requestId;
  std::string idempotencyKey;
  std::string lastEventId;
  std::string agent;
  std::string accept;
};

// A call that is refused before it is submitted to the entry.
struct Rejection
{
  std::uint16_t status = 400;
  std::string type; // machine-readable, as in {"error":{"type":...}}
  std::string message;
};

// A valid call that is ready to be submitted.
struct ParsedCall
{
  Submission submission;
  bool stream = false;         // the caller wants server-sent events
  bool isIdFromCaller = false; // the caller chose the identifier
};

// A call that resumes an answer.
struct ParsedResume
{
  RequestId id;
  std::string account;
  std::uint32_t nextChunk = 0;
  std::optional<NodeId> agent;
};

enum class CallRoute : std::uint8_t
{
  kCompletion, // POST /v1/chat/completions
  kService,    // POST /services/NAME/PATH
  kResume,     // GET /v1/requests/ID
  kHealth,     // GET /healthz
  kReady,      // GET /readyz
};

// Route of a method and path; rejects unknown paths with 404 and other methods with 405.
std::variant<CallRoute, Rejection> FindRoute(const std::string& aMethod, const std::string& aPath);

// Account of an Authorization header; rejects a missing or unknown key with 401.
std::variant<const Account*, Rejection> Authenticate(const ConfigState& aConfig,
                                                     const std::string& aAuthorization);

std::variant<ParsedCall, Rejection> ParseCompletion(const ConfigState& aConfig,
                                                    const Account& aAccount, const CallHead& aHead,
                                                    const std::string& aBody);

std::variant<ParsedCall, Rejection> ParseService(const ConfigState& aConfig,
                                                 const Account& aAccount, const CallHead& aHead,
                                                 const std::string& aBody);

std::variant<ParsedResume, Rejection> ParseResume(const Account& aAccount, const CallHead& aHead);

// Hexadecimal SHA-256 of a key, as stored in account records.
std::string HashKey(const std::string& aKey);

} // namespace caraway
