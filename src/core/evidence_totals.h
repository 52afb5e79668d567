// Totals of the outcomes that entries report for version moves, kept by the agents of a version.
#pragma once

#include "core/messages.h"

namespace caraway {

class EvidenceTotals
{
public:
  // Adds the counts of one report.
  void Add(const EvidenceReport& aReport);
  // Returns the rows that changed since the last call, with totals of all senders since the process
  // started.
  EvidenceReport Take();
  // Whether outcomes were added since the last Take.
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
