// Content that the stand-ins answer, derived from the request, so that a load tool can check that a
// whole answer belongs to its own request.
#pragma once

#include "core/types.h"

#include <string>
#include <string_view>

namespace caraway {

// Token aIndex of the answer to a last user message: lower-case hex and a space.
std::string ExpectedToken(std::string_view aMessage, std::uint32_t aIndex);

// Number of tokens in the answer; aMaxTokens 0 means that the request gave none.
std::uint32_t ExpectedCount(std::string_view aMessage, std::uint32_t aMaxTokens);

// Body of a plain service's answer to a request with body aBody.
std::string ExpectedEcho(std::string_view aBody);

} // namespace caraway
