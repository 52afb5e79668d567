#include "standins/answer.h"

#include <nlohmann/json.hpp>

#include <array>
#include <cstdio>

namespace caraway {

namespace {

constexpr std::uint64_t kTokenMask = 0xFFFF;
constexpr std::uint32_t kLeastTokens = 32;
constexpr std::uint32_t kTokenRange = 96;

std::string Hex(std::uint64_t aValue)
{
  std::array<char, 17> text{};
  const int size = std::snprintf(text.data(), text.size(), "%lx", aValue);
  return std::string(text.data(), static_cast<std::size_t>(size));
}

} // namespace

std::string ExpectedToken(std::string_view aMessage, std::uint32_t aIndex)
{
  return Hex(HashOf(aMessage, aIndex) & kTokenMask) + " ";
}

std::uint32_t ExpectedCount(std::string_view aMessage, std::uint32_t aMaxTokens)
{
  if (aMaxTokens > 0) {
    return aMaxTokens;
  }
  return kLeastTokens + static_cast<std::uint32_t>(HashOf(aMessage) % kTokenRange);
}

std::string ExpectedEcho(std::string_view aBody)
{
  return nlohmann::json{ { "ran", true }, { "echo", Hex(HashOf(aBody)) } }.dump();
}

} // namespace caraway
