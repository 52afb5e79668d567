// Text of an answer's head.
#pragma once

#include "runtime/header_fields.h"

#include <charconv>
#include <cstdint>
#include <string>
#include <string_view>

namespace caraway {

inline void AppendNumber(std::string& aText, std::uint64_t aNumber, int aBase = 10)
{
  char digits[24];
  const auto end = std::to_chars(digits, digits + sizeof(digits), aNumber, aBase).ptr;
  aText.append(digits, end);
}

// Status line and fields, without the empty line after them.
inline void AppendHead(std::string& aOut, std::uint16_t aStatus, std::string_view aReason,
                       const HeaderFields& aFields)
{
  aOut += "HTTP/1.1 ";
  AppendNumber(aOut, aStatus);
  aOut += ' ';
  aOut += aReason;
  aOut += "\r\n";
  AppendHeaderLines(aOut, aFields);
}

} // namespace caraway
