// Totals of the outcomes that entries report for version moves, kept at the agents of a version.
#pragma once

#include "core/messages.h"

namespace caraway {

class EvidenceTotals
{
public:
  // Adds the counts of one report.
  void Add(const EvidenceReport& aReport);
  // Totals of all senders since the start, and marks them as passed on.
  EvidenceReport Take();
  // Something was added since the totals were passed on.
  bool IsChanged() const { return this->isChanged; }

private:
  Evidence* RowOf(const Evidence& aCount);

  std::vector<Evidence> rows; // oldest first, bounded
  bool isChanged = false;
};

} // namespace caraway
