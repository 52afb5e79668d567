#include "core/evidence_totals.h"

#include <algorithm>

namespace caraway {

namespace {

constexpr std::size_t kMaxRows = 256; // one for each version, route and load level

} // namespace

void EvidenceTotals::Add(const EvidenceReport& aReport)
{
  for (const Evidence& count : aReport.counts) {
    Row& row = this->RowOf(count);
    row.total.good += count.good;
    row.total.bad += count.bad;
    row.total.slow += count.slow;
    row.isChanged = true;
    this->isChanged = true;
  }
}

EvidenceReport EvidenceTotals::Take()
{
  EvidenceReport report;
  for (Row& row : this->rows) {
    if (row.isChanged) {
      report.counts.push_back(row.total);
      row.isChanged = false;
    }
  }
  this->isChanged = false;
  return report;
}

// Finds or adds the row of the pool, version, route and load level; evicts the oldest row if full.
EvidenceTotals::Row& EvidenceTotals::RowOf(const Evidence& aCount)
{
  const auto found = std::find_if(this->rows.begin(), this->rows.end(), [&](const Row& aRow) {
    const Evidence& total = aRow.total;
    return total.pool == aCount.pool && total.version == aCount.version &&
           total.route == aCount.route && total.loadLevel == aCount.loadLevel;
  });
  if (found != this->rows.end()) {
    return *found;
  }
  if (this->rows.size() == kMaxRows) {
    this->rows.erase(this->rows.begin());
  }
  Row row{ aCount };
  row.total.good = row.total.bad = row.total.slow = 0;
  this->rows.push_back(std::move(row));
  return this->rows.back();
}

} // namespace caraway
