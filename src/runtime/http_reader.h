// Incremental readers of HTTP/1.1 messages, over the parser of Boost.Beast. They consume from a
// buffer exactly the bytes of one message.
#pragma once

#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace caraway {

struct HeaderField
{
  std::string name;
  std::string value;
};

using HeaderFields = std::vector<HeaderField>;

// First field called aName in any case; nullptr if there is none.
const HeaderField* FindField(const HeaderFields& aFields, std::string_view aName);
// Compares header names, which know no case.
bool SameFieldName(std::string_view aLeft, std::string_view aRight);

// Head of a request as read; fields in their order.
struct RequestHead
{
  std::string method;
  std::string target;
  HeaderFields fields;
};

struct ResponseHead
{
  std::uint16_t status = 0;
  std::string reason;
  HeaderFields fields;
  std::optional<std::uint64_t> length; // of the body, if it was declared
};

enum class ReadState : std::uint8_t
{
  kMore,       // needs more bytes
  kDone,       // the message is complete; what is left in the buffer belongs to the next one
  kMalformed,  // not HTTP
  kHeadTooBig, // over the limit of the head
  kBodyTooBig, // over the limit of the body
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
  // The whole message, after kDone.
  RequestHead& Head();
  std::string& Body();

private:
  struct Impl;
  std::unique_ptr<Impl> impl;
};

class ResponseReader
{
public:
  // aToHead: the request's method was HEAD, so the answer has no body. aMaxBodyBytes: of the
  // decoded body, whatever its framing.
  ResponseReader(bool aToHead, std::uint64_t aMaxBodyBytes);
  ~ResponseReader();
  ResponseReader(const ResponseReader&) = delete;
  ResponseReader& operator=(const ResponseReader&) = delete;

  // Consumes from the front of aInput; the decoded body is added to Body().
  ReadState Read(std::string& aInput);
  // The connection ended in order: kDone if that ends the message, else kMore.
  ReadState ReadEnd();
  bool IsHeadDone() const;
  // The connection may serve another request afterwards.
  bool KeepsAlive() const;
  const ResponseHead& Head() const;
  // Part of the body that was read and not yet taken.
  std::string& Body();

private:
  struct Impl;
  std::unique_ptr<Impl> impl;
};

} // namespace caraway
