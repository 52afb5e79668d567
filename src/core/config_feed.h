// Applies configuration from the log or from peers to a ConfigState, and provides it to peers.
#pragma once

#include "core/config.h"
#include "core/messages.h"

#include <deque>
#include <vector>

namespace caraway {

class ConfigFeed
{
public:
  // aMaxRecent: number of records kept for peers that are slightly behind; peers that are further
  // behind get a snapshot.
  explicit ConfigFeed(std::size_t aMaxRecent);

  // Applies consecutive records read from the log. If they begin after Next(), the log's retention
  // has deleted the missing ones: they are buffered until a snapshot record covers the gap.
  std::vector<Applied> ApplyRecords(const std::vector<LogRecord>& aRecords);
  // Whether records are missing between this state and aTail.
  bool HasGapBefore(const ConfigTail& aTail) const;
  // Applies configuration from a peer, which may omit claims. Applies nothing if HasGapBefore.
  std::vector<Applied> ApplyTail(const ConfigTail& aTail);

  // Returns the configuration from aFrom on.
  ConfigTail TailFrom(LogOffset aFrom) const;

  // Offset to read from the log next: beyond Next() while records are buffered.
  LogOffset NextRead() const;
  LogOffset Next() const { return this->state.Next(); }
  const ConfigState& State() const { return this->state; }

private:
  void ApplyOne(const LogRecord& aRecord, std::vector<Applied>& aResults);
  void BufferRecord(const LogRecord& aRecord);
  void RestoreFrom(const LogRecord& aRecord);
  void ApplyBuffered(std::vector<Applied>& aResults);
  void AddRecent(const LogRecord& aRecord);

  ConfigState state;
  std::size_t maxRecent;
  LogOffset recentFrom = 0; // every configuration record from here to Next() is in `recent`
  std::deque<LogRecord> recent;
  std::deque<LogRecord> buffered;
};

} // namespace caraway
