// Incremental readers of HTTP/1.1 messages, based on the Boost.Beast parser. Each consumes exactly
// the bytes of one message from a buffer.
#pragma once

#include "runtime/header_fields.h"

#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>

namespace caraway {

// Head of a request; fields are in the received order.
struct RequestHead
{
  std::string method;
  std::string target;
  HeaderFields fields;
  bool isHttp11 = true; // the sender can read an answer in chunks
};

struct ResponseHead
{
  std::uint16_t status = 0;
  std::string reason;
  HeaderFields fields;
  std::optional<std::uint64_t> length; // of the body, if declared
};

enum class ReadState : std::uint8_t
{
  kMore,       // needs more bytes
  kDone,       // the message is complete; remaining bytes belong to the next one
  kMalformed,  // not valid HTTP
  kHeadTooBig, // the head exceeds its limit
  kBodyTooBig, // the body exceeds its limit
};

class RequestReader
{
public:
  RequestReader(std::uint32_t aMaxHeadBytes, std::uint64_t aMaxBodyBytes);
  ~RequestReader();
  RequestReader(const RequestReader&) = delete;
  RequestReader& operator=(const RequestReader&) = delete;

  // Consumes from the front of aInput.
  ReadState Read(std::string& aInput);
  bool IsHeadDone() const;
  bool KeepsAlive() const;
  // Valid once the head is done.
  RequestHead& Head();
  // Complete after kDone.
  std::string& Body();

private:
  struct Impl;
  std::unique_ptr<Impl> impl;
};

class ResponseReader
{
public:
  // aIsHeadRequest: the request method was HEAD, so the answer has no body. aMaxBodyBytes: limit of
  // the decoded body, with any framing.
  ResponseReader(bool aIsHeadRequest, std::uint64_t aMaxBodyBytes);
  ~ResponseReader();
  ResponseReader(const ResponseReader&) = delete;
  ResponseReader& operator=(const ResponseReader&) = delete;

  // Consumes from the front of aInput; appends the decoded body to Body().
  ReadState Read(std::string& aInput);
  // The peer closed the connection without an error. Returns kDone if that completes the message,
  // else kMore.
  ReadState OnEndOfInput();
  bool IsHeadDone() const;
  // True if the connection may be reused for another request.
  bool KeepsAlive() const;
  const ResponseHead& Head() const;
  // Decoded body that was read and not yet removed by the user.
  std::string& Body();

private:
  struct Impl;
  std::unique_ptr<Impl> impl;
};

} // namespace caraway
