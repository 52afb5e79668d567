#include "runtime/framing.h"

#include <charconv>
#include <cstdint>
#include <vector>

namespace caraway {

namespace {

std::vector<std::string_view> ValuesOf(const HeaderFields& aFields, std::string_view aName)
{
  std::vector<std::string_view> values;
  for (const HeaderField& field : aFields) {
    if (FieldNamesEqual(field.name, aName)) {
      values.push_back(field.value);
    }
  }
  return values;
}

// Digits only, within the range of a length.
bool IsPlainLength(std::string_view aText)
{
  std::uint64_t length = 0;
  const auto [end, error] = std::from_chars(aText.data(), aText.data() + aText.size(), length);
  return error == std::errc{} && end == aText.data() + aText.size();
}

} // namespace

bool IsFramingUnambiguous(const HeaderFields& aFields, bool aIsHttp11)
{
  const std::vector<std::string_view> lengths = ValuesOf(aFields, "Content-Length");
  const std::vector<std::string_view> codings = ValuesOf(aFields, "Transfer-Encoding");
  if (!codings.empty()) {
    return lengths.empty() && codings.size() == 1 && aIsHttp11 &&
           FieldNamesEqual(codings.front(), "chunked");
  }
  return lengths.empty() || (lengths.size() == 1 && IsPlainLength(lengths.front()));
}

} // namespace caraway
