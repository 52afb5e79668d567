#include "bench/job.h"

namespace caraway::bench {

namespace {

constexpr std::string_view kDigits = "0123456789abcdef";
constexpr std::uint64_t kMix = 0x9E3779B97F4A7C15ULL;

} // namespace

std::string TokenText(std::uint64_t aBodyHash, std::uint32_t aNumber)
{
  std::uint64_t bits = ((aBodyHash ^ aNumber) * kMix) >> 32;
  std::string text(kTokenBytes, ' ');
  for (std::size_t i = 0; i + 1 < kTokenBytes; ++i) {
    text[i] = kDigits[bits % kDigits.size()];
    bits /= kDigits.size();
  }
  return text;
}

std::string ServiceAnswer(const std::string& aBody)
{
  return "ran " + std::to_string(HashOf(aBody));
}

} // namespace caraway::bench
