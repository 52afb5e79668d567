// Brings a change of configuration into the log and learns what became of it.
#pragma once

#include "tools/config_reader.h"

#include <string>

namespace caraway {

// What is known about a change.
struct ChangeReport
{
  enum class Stage : std::uint8_t
  {
    kAccepted, // read back and applied; `applied` has its offset
    kRejected, // read back and not applied; `applied` has the findings
    kUnknown,  // not read back in time; it may still appear
    kFailed,   // surely not in the log
  };
  Stage stage = Stage::kUnknown;
  Applied applied;
};

std::string_view ToString(ChangeReport::Stage aStage);

class Changer
{
public:
  Changer(Platform& aPlatform, ConfigReader& aReader, Waiter& aWaiter);

  // Fills in the current revision of the record's kind and name.
  void SetBase(Record& aRecord) const;
  // Result that the record would have now, without writing it.
  Applied DryRun(const Record& aRecord) const;
  // Appends the record until its change id is read back. Repeats are ignored by every reader.
  ChangeReport Apply(const Record& aRecord, Duration aTimeout);

private:
  std::optional<ChangeReport> ReportOf(const std::string& aChangeId) const;

  Platform& platform;
  ConfigReader& reader;
  Waiter& waiter;
};

// Names of the live VMs that have not applied the record at aOffset.
std::vector<std::string> NodesBehind(Platform& aPlatform, Fleet& aFleet, LogOffset aOffset,
                                     std::error_code& aError);

// Waits until every live VM has applied the record; the names of those that have not when the time
// is over.
std::vector<std::string> WaitInForce(Platform& aPlatform, Fleet& aFleet, Waiter& aWaiter,
                                     LogOffset aOffset, Duration aTimeout);

} // namespace caraway
