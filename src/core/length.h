// Estimates the number of tokens of an answer: a decayed quantile of the account's earlier answers
// on the same route to prompts of similar length.
#pragma once

#include "core/types.h"

#include <array>
#include <string_view>
#include <vector>

namespace caraway {

class LengthEstimator
{
public:
  LengthEstimator();

  // Expected output tokens, at most aMaxTokens unless it is 0.
  std::uint32_t Estimate(std::string_view aAccount, std::string_view aRoute,
                         std::uint32_t aPromptTokens, std::uint32_t aMaxTokens) const;

  void Learn(std::string_view aAccount, std::string_view aRoute, std::uint32_t aPromptTokens,
             std::uint32_t aOutputTokens);

private:
  static constexpr std::size_t kBuckets = 18; // powers of two: 1 to 131,072 tokens
  static constexpr std::size_t kCells = 4096;

  // Decayed histogram of one class of requests; classes whose hashes collide share a cell.
  struct Cell
  {
    std::array<float, kBuckets> counts{};
  };

  static std::size_t CellOf(std::string_view aAccount, std::string_view aRoute,
                            std::uint32_t aPromptTokens);

  std::vector<Cell> cells;
};

} // namespace caraway
