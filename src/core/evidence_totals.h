// Totals of the outcomes that entries report for version moves, kept at the agents of a version.
#pragma once

#include "core/messages.h"

namespace caraway {

class EvidenceTotals
{
public:
  // Adds the counts of one report.
  void Add(const EvidenceReport& aReport);
  // Totals of all senders since the start, of the rows that changed since the last call.
  EvidenceReport Take();
  // Something was added since the totals were passed on.
  bool IsChanged() const { return this->isChanged; }

private:
  struct Row
  {
    Evidence total;
    bool isChanged = false;
  };
  Row& RowOf(const Evidence& aCount);

  std::vector<Row> rows; // oldest first, bounded
  bool isChanged = false;
};

} // namespace caraway
