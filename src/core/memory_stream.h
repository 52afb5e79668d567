// Stream buffers over memory, for cereal archives.
#pragma once

#include <streambuf>
#include <string>
#include <string_view>

namespace caraway {

// Input stream over memory that it does not own.
class MemoryBuffer : public std::streambuf
{
public:
  explicit MemoryBuffer(std::string_view aBytes)
  {
    char* begin = const_cast<char*>(aBytes.data());
    this->setg(begin, begin, begin + aBytes.size());
  }
};

// Output stream that appends to a string.
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

} // namespace caraway
