#include "core/uuid.h"

namespace caraway {

namespace {

constexpr std::string_view kDigits = "0123456789abcdef";
constexpr std::size_t kTextLength = 36;
constexpr std::uint64_t kTimeMask = 0xFFFFFFFFFFFFULL;

// Positions of the hyphens in the canonical form.
bool IsHyphen(std::size_t aPosition)
{
  return aPosition == 8 || aPosition == 13 || aPosition == 18 || aPosition == 23;
}

} // namespace

RequestId MakeUuid7(WallTime aTime, Random& aRandom)
{
  const auto milliseconds = static_cast<std::uint64_t>(aTime.time_since_epoch().count());
  const std::uint64_t first = aRandom.Bits();
  const std::uint64_t second = aRandom.Bits();
  RequestId id;
  id.high = ((milliseconds & kTimeMask) << 16) | 0x7000ULL | (first & 0xFFFULL);
  id.low = 0x8000000000000000ULL | (second >> 2);
  return id;
}

std::string FormatUuid(const RequestId& aId)
{
  std::string text(kTextLength, '-');
  int nibble = 0;
  for (std::size_t position = 0; position < kTextLength; ++position) {
    if (IsHyphen(position)) {
      continue;
    }
    const std::uint64_t half = nibble < 16 ? aId.high : aId.low;
    text[position] = kDigits[(half >> (60 - 4 * (nibble % 16))) & 0xF];
    ++nibble;
  }
  return text;
}

std::optional<RequestId> ParseUuid(std::string_view aText)
{
  if (aText.size() != kTextLength) {
    return std::nullopt;
  }
  RequestId id;
  int nibble = 0;
  for (std::size_t position = 0; position < kTextLength; ++position) {
    const char character = aText[position];
    if (IsHyphen(position)) {
      if (character != '-') {
        return std::nullopt;
      }
      continue;
    }
    const std::size_t value = kDigits.find(character);
    if (value == std::string_view::npos) {
      return std::nullopt;
    }
    std::uint64_t& half = nibble < 16 ? id.high : id.low;
    half = (half << 4) | value;
    ++nibble;
  }
  return id;
}

std::optional<WallTime> TimeOfUuid7(const RequestId& aId)
{
  if (((aId.high >> 12) & 0xF) != 7) {
    return std::nullopt;
  }
  return WallTime(std::chrono::milliseconds(static_cast<std::int64_t>(aId.high >> 16)));
}

} // namespace caraway
