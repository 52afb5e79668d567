// State of the platform's stand-in: an append-only log with retention, and a VM list that lags.
#pragma once

#include "core/messages.h"

#include <cstdint>
#include <deque>
#include <map>
#include <string>
#include <vector>

namespace caraway {

// Records with consecutive offsets, of which only the newest are kept.
class PlatformLog
{
public:
  // Returns the offset of the first record.
  LogOffset Append(const std::vector<std::string>& aRecords);

  // Records from aFrom on, at most aMax. None if aFrom is below Oldest() or not below Next().
  std::vector<LogRecord> Read(LogOffset aFrom, std::size_t aMax) const;

  // Keeps at most aCount records from now on.
  void Retain(std::size_t aCount);

  LogOffset Oldest() const { return this->oldest; }
  LogOffset Next() const { return this->oldest + this->records.size(); }

private:
  void Trim();

  LogOffset oldest = 0;
  std::size_t retained = SIZE_MAX;
  std::deque<std::string> records;
};

// The list of VMs as JSON texts by name. A change shows only after the lag.
class PlatformVms
{
public:
  // An empty text removes the VM.
  void Put(TimePoint aNow, const std::string& aName, const std::string& aVm);
  void SetLag(Duration aLag) { this->lag = aLag; }
  // The list as readers see it now.
  std::vector<std::string> List(TimePoint aNow);

private:
  struct Change
  {
    TimePoint visibleAt;
    std::string name;
    std::string vm;
  };

  Duration lag{};
  std::deque<Change> pending;
  std::map<std::string, std::string> visible;
};

} // namespace caraway
