#include "core/evidence_totals.h"

#include <algorithm>

namespace caraway {

namespace {

constexpr std::size_t kMaxRows = 256; // versions by route and load level

} // namespace

void EvidenceTotals::Add(const EvidenceReport& aReport)
{
  for (const Evidence& count : aReport.counts) {
    Evidence* row = this->RowOf(count);
    row->good += count.good;
    row->bad += count.bad;
    row->slow += count.slow;
    this->isChanged = true;
  }
}

EvidenceReport EvidenceTotals::Take()
{
  this->isChanged = false;
  return EvidenceReport{ this->rows };
}

// Row with the same version, route and load level; the oldest row makes room for a new one.
Evidence* EvidenceTotals::RowOf(const Evidence& aCount)
{
  const auto found =
    std::find_if(this->rows.begin(), this->rows.end(), [&aCount](const Evidence& aRow) {
      return aRow.pool == aCount.pool && aRow.version == aCount.version &&
             aRow.route == aCount.route && aRow.loadLevel == aCount.loadLevel;
    });
  if (found != this->rows.end()) {
    return &*found;
  }
  if (this->rows.size() == kMaxRows) {
    this->rows.erase(this->rows.begin());
  }
  Evidence row = aCount;
  row.good = row.bad = row.slow = 0;
  this->rows.push_back(std::move(row));
  return &this->rows.back();
}

} // namespace caraway
