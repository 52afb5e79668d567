// Prints results of bench runs: as lines, as JSON, and as one self-contained HTML page.
#pragma once

#include "bench/measure.h"

#include <iosfwd>
#include <span>

namespace caraway::bench {

// A signature over the signatures of all runs, in their order.
std::uint64_t SignatureOf(std::span<const RunResult> aResults);

void PrintText(std::ostream& aOut, const RunResult& aResult);
void PrintJson(std::ostream& aOut, std::span<const RunResult> aResults);
void PrintHtml(std::ostream& aOut, std::span<const RunResult> aResults);

} // namespace caraway::bench
