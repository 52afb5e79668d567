#include "runtime/header_fields.h"

#include <strings.h>

#include <array>
#include <cstdint>
#include <cstring>

namespace caraway {

namespace {

constexpr std::size_t kMaxSpareBytes = 1024; // not used at the end of a text
// A field is the length of its name in one byte, that of its value in two, then both texts. Where
// one is longer, a byte kLong and both lengths in four bytes each.
constexpr unsigned char kLong = 255;
constexpr std::size_t kMaxShortValue = 65535;
constexpr std::size_t kShortPrefix = 3;
constexpr std::size_t kLongPrefix = 1 + 2 * sizeof(std::uint32_t);

} // namespace

void HeaderFields::const_iterator::Read()
{
  if (this->rest.empty()) {
    return;
  }
  const char* start = this->rest.data();
  const auto* prefix = reinterpret_cast<const unsigned char*>(start);
  std::uint32_t nameSize = prefix[0];
  std::uint32_t valueSize = prefix[1] + prefix[2] * 256U;
  std::size_t prefixSize = kShortPrefix;
  if (prefix[0] == kLong) {
    std::memcpy(&nameSize, start + 1, sizeof(nameSize));
    std::memcpy(&valueSize, start + 1 + sizeof(nameSize), sizeof(valueSize));
    prefixSize = kLongPrefix;
  }
  this->field.name = { start + prefixSize, nameSize };
  this->field.value = { start + prefixSize + nameSize, valueSize };
  this->length = prefixSize + nameSize + valueSize;
}

HeaderFields::HeaderFields(std::initializer_list<FieldView> aFields)
{
  for (const FieldView& field : aFields) {
    this->push_back(field);
  }
}

void HeaderFields::push_back(const FieldView& aField)
{
  const std::size_t nameSize = aField.name.size();
  const std::size_t valueSize = aField.value.size();
  std::array<char, kLongPrefix> prefix{};
  std::size_t prefixSize = kShortPrefix;
  if (nameSize < kLong && valueSize <= kMaxShortValue) {
    prefix[0] = static_cast<char>(nameSize);
    prefix[1] = static_cast<char>(valueSize % 256);
    prefix[2] = static_cast<char>(valueSize / 256);
  } else {
    const std::array<std::uint32_t, 2> sizes = { static_cast<std::uint32_t>(nameSize),
                                                 static_cast<std::uint32_t>(valueSize) };
    prefix[0] = static_cast<char>(kLong);
    std::memcpy(&prefix[1], sizes.data(), sizeof(sizes));
    prefixSize = kLongPrefix;
  }
  this->text.append(prefix.data(), prefixSize);
  this->text.append(aField.name);
  this->text.append(aField.value);
  this->count++;
}

void HeaderFields::Shrink()
{
  if (this->text.capacity() > this->text.size() + kMaxSpareBytes) {
    this->text.shrink_to_fit();
  }
}

std::optional<HeaderField> FindField(const HeaderFields& aFields, std::string_view aName)
{
  for (const FieldView& field : aFields) {
    if (FieldNamesEqual(field.name, aName)) {
      return field;
    }
  }
  return std::nullopt;
}

bool FieldNamesEqual(std::string_view aLeft, std::string_view aRight)
{
  return aLeft.size() == aRight.size() &&
         strncasecmp(aLeft.data(), aRight.data(), aLeft.size()) == 0;
}

void AppendHeaderLines(std::string& aOut, const HeaderFields& aFields)
{
  for (const FieldView& field : aFields) {
    AppendHeaderLine(aOut, field.name, field.value);
  }
}

void AppendHeaderLine(std::string& aOut, std::string_view aName, std::string_view aValue)
{
  aOut += aName;
  aOut += aValue.empty() ? ":" : ": ";
  aOut += aValue;
  aOut += "\r\n";
}

} // namespace caraway
