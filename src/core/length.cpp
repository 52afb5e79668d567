#include "core/length.h"

#include <algorithm>
#include <bit>

namespace caraway {

namespace {

constexpr float kDecay = 0.98F;
constexpr float kQuantile = 0.7F;
constexpr float kMinWeight = 3.0F; // decayed number of answers from which the history is used
constexpr std::uint32_t kDefaultTokens = 128;
// Without history an answer is expected to use max_tokens divided by this.
constexpr std::uint32_t kDefaultDivisor = 2;

std::size_t BucketOf(std::uint32_t aTokens, std::size_t aBuckets)
{
  const auto bucket = static_cast<std::size_t>(std::bit_width(aTokens));
  return std::min(bucket, aBuckets - 1);
}

} // namespace

LengthEstimator::LengthEstimator()
  : cells(kCells)
{
}

std::size_t LengthEstimator::CellOf(std::string_view aAccount, std::string_view aRoute,
                                    std::uint32_t aPromptTokens)
{
  const auto size = static_cast<std::uint64_t>(std::bit_width(aPromptTokens));
  return HashOf(aRoute, HashOf(aAccount, size)) % kCells;
}

std::uint32_t LengthEstimator::Estimate(std::string_view aAccount, std::string_view aRoute,
                                        std::uint32_t aPromptTokens, std::uint32_t aMaxTokens) const
{
  const Cell& cell = this->cells[CellOf(aAccount, aRoute, aPromptTokens)];
  float total = 0;
  for (const float count : cell.counts) {
    total += count;
  }
  std::uint32_t estimate = kDefaultTokens;
  if (total < kMinWeight) {
    estimate = aMaxTokens > 0 ? std::max(aMaxTokens / kDefaultDivisor, 1U) : kDefaultTokens;
  } else {
    float sum = 0;
    std::size_t bucket = 0;
    for (; bucket + 1 < kBuckets; ++bucket) {
      sum += cell.counts[bucket];
      if (sum >= kQuantile * total) {
        break;
      }
    }
    estimate = 1U << bucket;
  }
  return aMaxTokens > 0 ? std::min(estimate, aMaxTokens) : estimate;
}

void LengthEstimator::Learn(std::string_view aAccount, std::string_view aRoute,
                            std::uint32_t aPromptTokens, std::uint32_t aOutputTokens)
{
  Cell& cell = this->cells[CellOf(aAccount, aRoute, aPromptTokens)];
  for (float& count : cell.counts) {
    count *= kDecay;
  }
  cell.counts[BucketOf(aOutputTokens, kBuckets)] += 1.0F;
}

} // namespace caraway
