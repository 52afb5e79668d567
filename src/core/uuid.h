// 128-bit UUIDv7 identifiers (RFC 9562): creation, canonical text form and embedded time.
#pragma once

#include "core/random.h"
#include "core/types.h"

#include <optional>
#include <string>
#include <string_view>

namespace caraway {

// New identifier: 48 bits of wall time in milliseconds, then random bits.
RequestId MakeUuid7(WallTime aTime, Random& aRandom);

// 8-4-4-4-12 lower-case hexadecimal digits.
std::string FormatUuid(const RequestId& aId);

// Parses the canonical form; nullopt for any other text.
std::optional<RequestId> ParseUuid(std::string_view aText);

// Embedded time of a version 7 identifier; nullopt for other versions.
std::optional<WallTime> TimeOfUuid7(const RequestId& aId);

} // namespace caraway
