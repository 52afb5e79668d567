// Serializes values in cereal's portable binary format.
#pragma once

#include <cereal/archives/portable_binary.hpp>

#include <algorithm>
#include <bit>
#include <cstddef>
#include <cstdint>
#include <cstring>
#include <exception>
#include <memory>
#include <optional>
#include <ostream>
#include <streambuf>
#include <string>
#include <string_view>
#include <type_traits>
#include <utility>

namespace caraway {
class BytesInputArchive;
}

template<>
struct cereal::traits::detail::get_output_from_input<caraway::BytesInputArchive>
{
  using type = cereal::PortableBinaryOutputArchive;
};

namespace caraway {

// Reads cereal's portable binary format from memory. A container may claim at most as many elements
// as bytes are left, since cereal makes them all before it reads the first.
class BytesInputArchive
  : public cereal::InputArchive<BytesInputArchive, cereal::AllowEmptyClassElision>
{
public:
  explicit BytesInputArchive(std::string_view aBytes)
    : cereal::InputArchive<BytesInputArchive, cereal::AllowEmptyClassElision>(this)
    , rest(aBytes)
  {
    std::uint8_t isLittleEndian = 0;
    this->Load(&isLittleEndian, 1, 1);
    this->isSwapped = (isLittleEndian != 0) != (std::endian::native == std::endian::little);
  }

  std::size_t Rest() const { return this->rest.size(); }

  // Reads aCount values of aValueBytes each.
  void Load(void* aTarget, std::size_t aValueBytes, std::size_t aCount)
  {
    if (aCount > this->rest.size() / aValueBytes) {
      throw cereal::Exception("the input ends inside a value");
    }
    auto* target = static_cast<char*>(aTarget);
    std::memcpy(target, this->rest.data(), aValueBytes * aCount);
    this->rest.remove_prefix(aValueBytes * aCount);
    for (std::size_t i = 0; this->isSwapped && i < aCount; i++) {
      std::reverse(target + i * aValueBytes, target + (i + 1) * aValueBytes);
    }
  }

private:
  std::string_view rest;
  bool isSwapped = false;
};

// Called by cereal, which finds them by their names.
// NOLINTBEGIN(readability-identifier-naming)
template<class Value>
std::enable_if_t<std::is_arithmetic_v<Value>> load(BytesInputArchive& aArchive, Value& aValue)
{
  aArchive.Load(std::addressof(aValue), sizeof(Value), 1);
}

template<class Value>
void load(BytesInputArchive& aArchive, cereal::NameValuePair<Value>& aPair)
{
  aArchive(aPair.value);
}

template<class Size>
void load(BytesInputArchive& aArchive, cereal::SizeTag<Size>& aTag)
{
  aArchive(aTag.size);
  if (aTag.size > aArchive.Rest()) {
    throw cereal::Exception("a container claims more elements than bytes are left");
  }
}

template<class Value>
void load(BytesInputArchive& aArchive, cereal::BinaryData<Value>& aData)
{
  constexpr std::size_t kValueBytes = sizeof(std::remove_pointer_t<Value>);
  aArchive.Load(aData.data, kValueBytes, static_cast<std::size_t>(aData.size) / kValueBytes);
}
// NOLINTEND(readability-identifier-naming)

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
  Value value;
  try {
    BytesInputArchive archive(aBytes);
    archive(value);
    return archive.Rest() > 0 ? std::nullopt : std::optional<Value>(std::move(value));
  } catch (const std::exception&) {
    return std::nullopt;
  }
}

} // namespace caraway
