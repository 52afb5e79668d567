// Fake log service: appends get consecutive offsets, readers follow, outages stop both, the answer
// to an append can be lost after it took effect, and old records are cut.
#pragma once

#include "bench/schedule.h"
#include "core/messages.h"
#include "core/options.h"
#include "core/random.h"

#include <deque>
#include <functional>
#include <string>
#include <vector>

namespace caraway::bench {

struct LogOptions
{
  Duration delay = milliseconds(5);     // of an append or a read
  Duration timeout = milliseconds(500); // of a call during an outage
  std::size_t retain = 1'000'000;       // records kept
};

class LogModel
{
public:
  using Answer = std::function<void(AppendResult, LogOffset)>;

  LogModel(const LogOptions& aOptions, Schedule& aSchedule, Random& aRandom);

  void Append(const std::vector<std::string>& aRecords, Answer aAnswer);
  // Appends at once, whatever the faults: for the state that a run begins with.
  LogOffset Seed(const std::string& aRecord);
  // Records from aFrom on that are readable now; empty during an outage.
  std::vector<LogRecord> Read(LogOffset aFrom, std::size_t aMax) const;

  LogOffset Oldest() const { return this->oldest; }
  LogOffset Next() const { return this->oldest + this->records.size(); }
  bool Down() const { return this->down; }
  void SetDown(bool aDown) { this->down = aDown; }
  // The answers of the next appends are lost; each append takes effect or not by chance.
  void LoseAnswers(std::uint32_t aCount) { this->lostAnswers += aCount; }

private:
  LogOffset Store(const std::vector<std::string>& aRecords);

  LogOptions options;
  Schedule& schedule;
  Random& random;
  bool down = false;
  std::uint32_t lostAnswers = 0;
  LogOffset oldest = 0;
  std::deque<std::string> records;
};

} // namespace caraway::bench
