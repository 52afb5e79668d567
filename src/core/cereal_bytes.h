// Serializes values in cereal's portable binary format.
#pragma once

#include <cereal/archives/portable_binary.hpp>

#include <exception>
#include <istream>
#include <optional>
#include <ostream>
#include <streambuf>
#include <string>
#include <string_view>
#include <utility>

namespace caraway {

// Input stream buffer over memory that it does not own.
class MemoryBuffer : public std::streambuf
{
public:
  explicit MemoryBuffer(std::string_view aBytes)
  {
    char* begin = const_cast<char*>(aBytes.data());
    this->setg(begin, begin, begin + aBytes.size());
  }
};

// Output stream buffer that appends to a string.
class StringBuffer : public std::streambuf
{
public:
  explicit StringBuffer(std::string& aOut)
    : out(aOut)
  {
  }

protected:
  std::streamsize xsputn(const char* aData, std::streamsize aCount) override
  {
    this->out.append(aData, static_cast<std::size_t>(aCount));
    return aCount;
  }

  int_type overflow(int_type aCharacter) override
  {
    this->out.push_back(static_cast<char>(aCharacter));
    return aCharacter;
  }

private:
  std::string& out;
};

template<class Value>
std::string ToBytes(const Value& aValue)
{
  std::string bytes;
  StringBuffer buffer(bytes);
  std::ostream stream(&buffer);
  cereal::PortableBinaryOutputArchive archive(stream);
  archive(aValue);
  return bytes;
}

// Returns nullopt unless the bytes are exactly one value.
template<class Value>
std::optional<Value> FromBytes(std::string_view aBytes)
{
  MemoryBuffer buffer(aBytes);
  std::istream stream(&buffer);
  Value value;
  try {
    cereal::PortableBinaryInputArchive archive(stream);
    archive(value);
  } catch (const std::exception&) {
    return std::nullopt;
  }
  return buffer.in_avail() > 0 ? std::nullopt : std::optional<Value>(std::move(value));
}

} // namespace caraway
