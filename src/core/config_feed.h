// Brings configuration from the log or from peers into a ConfigState, and passes it on to peers.
#pragma once

#include "core/config.h"
#include "core/messages.h"

#include <deque>
#include <vector>

namespace caraway {

class ConfigFeed
{
public:
  // aKeep: number of records kept for peers that are a little behind; others get a snapshot.
  explicit ConfigFeed(std::size_t aKeep);

  // Consecutive records as read from the log. If they begin behind Next(), the log has cut what was
  // missing: they are held until a snapshot record covers the gap.
  std::vector<Applied> TakeRecords(const std::vector<LogRecord>& aRecords);
  // Whether records are missing between this state and what a peer sent.
  bool Misses(const ConfigTail& aTail) const;
  // What a peer sent; nothing is applied if records are missing before it. Claims may be left out.
  std::vector<Applied> TakeTail(const ConfigTail& aTail);

  // Everything from aFrom on.
  ConfigTail Tail(LogOffset aFrom) const;

  // Offset to read from the log next: beyond Next() while records are held.
  LogOffset NextRead() const;
  LogOffset Next() const { return this->state.Next(); }
  const ConfigState& State() const { return this->state; }

private:
  void ApplyOne(const LogRecord& aRecord, std::vector<Applied>& aResults);
  void Hold(const LogRecord& aRecord);
  void RestoreFrom(const LogRecord& aRecord);
  void ApplyHeld(std::vector<Applied>& aResults);
  void Keep(const LogRecord& aRecord);

  ConfigState state;
  std::size_t keep;
  LogOffset keptFrom = 0; // every configuration record from here to Next() is in `recent`
  std::deque<LogRecord> recent;
  std::deque<LogRecord> held;
};

} // namespace caraway
