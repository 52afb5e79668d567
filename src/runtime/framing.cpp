#include "runtime/framing.h"

#include <charconv>
#include <cstdint>
#include <string_view>

namespace caraway {

namespace {

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
  std::size_t lengthCount = 0;
  std::size_t codingCount = 0;
  std::string_view length;
  std::string_view coding;
  for (const FieldView& field : aFields) {
    if (FieldNamesEqual(field.name, "Content-Length")) {
      lengthCount++;
      length = field.value;
    } else if (FieldNamesEqual(field.name, "Transfer-Encoding")) {
      codingCount++;
      coding = field.value;
    }
  }
  if (codingCount > 0) {
    return lengthCount == 0 && codingCount == 1 && aIsHttp11 && FieldNamesEqual(coding, "chunked");
  }
  return lengthCount == 0 || (lengthCount == 1 && IsPlainLength(length));
}

} // namespace caraway
