// Framing of HTTP messages: whether all implementations read the same end of a body (RFC 9112,
// section 6.3).
#pragma once

#include "runtime/http_reader.h"

namespace caraway {

// True if the body is determined by one plain length, or by one "chunked" in HTTP/1.1, or by none
// of both. A list of lengths, equal or not, is ambiguous, as are other codings.
bool IsFramingUnambiguous(const HeaderFields& aFields, bool aIsHttp11);

} // namespace caraway
