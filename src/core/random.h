// Random number generator, passed explicitly to its users so that a run can be repeated from its
// seed.
#pragma once

#include <pcg_random.hpp>

#include <cstdint>
#include <random>

namespace caraway {

class Random
{
public:
  explicit Random(std::uint64_t aSeed)
    : engine(aSeed)
  {
  }

  // Uniform in [0, aBound); 0 when aBound is 0.
  std::uint64_t Below(std::uint64_t aBound)
  {
    if (aBound == 0) {
      return 0;
    }
    return std::uniform_int_distribution<std::uint64_t>(0, aBound - 1)(this->engine);
  }

  // Uniform in [0, 1).
  double Unit() { return std::uniform_real_distribution<double>(0, 1)(this->engine); }

  std::uint64_t Bits() { return this->engine(); }

  pcg64& Engine() { return this->engine; }

private:
  pcg64 engine;
};

} // namespace caraway
