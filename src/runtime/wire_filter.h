// Transformation of the bytes of a connection between its owner and the wire.
#pragma once

#include <memory>
#include <string>
#include <string_view>

namespace caraway {

// State of one connection.
class WireFilter
{
public:
  virtual ~WireFilter() = default;
  // Decodes bytes from the wire: appends to aInput what they contain, and to aOutput what must be
  // sent in return. False if the connection has failed; aOutput is still sent.
  virtual bool Decode(std::string_view aWire, std::string& aInput, std::string& aOutput) = 0;
  // Encodes aData. False if the connection has failed or can carry no data yet.
  virtual bool Encode(std::string_view aData, std::string& aOutput) = 0;
  // Appends the bytes that end the stream, after which nothing is encoded.
  virtual void Finish(std::string& aOutput) = 0;
};

class WireFilterFactory
{
public:
  virtual ~WireFilterFactory() = default;
  virtual std::unique_ptr<WireFilter> Make() = 0;
  // Memory that a filter may hold, in bytes.
  virtual std::size_t MaxBytes() const = 0;
};

} // namespace caraway
