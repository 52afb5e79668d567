// Writes a configuration change to the log and determines its result.
#pragma once

#include "tools/config_reader.h"

#include <string>

namespace caraway {

// Known result of a change.
struct ChangeReport
{
  enum class Stage : std::uint8_t
  {
    kAccepted, // read back and applied; `applied` has its offset
    kRejected, // read back and not applied; `applied` has the findings
    kUnknown,  // not read back in time; it may still appear
    kFailed,   // certainly not in the log
  };
  Stage stage = Stage::kUnknown;
  Applied applied;
};

std::string_view ToString(ChangeReport::Stage aStage);

class ChangeWriter
{
public:
  ChangeWriter(Platform& aPlatform, ConfigReader& aReader, Waiter& aWaiter);

  // Sets the base revision to the current revision of the record with this kind and name.
  void SetBaseRevision(Record& aRecord) const;
  // Result of applying the record to the current state, without writing it.
  Applied DryRun(const Record& aRecord) const;
  // Appends the record until its change id is read back or aTimeout ends. Readers ignore
  // duplicates.
  ChangeReport Apply(const Record& aRecord, Duration aTimeout);

private:
  std::optional<ChangeReport> FindReport(const std::string& aChangeId) const;

  Platform& platform;
  ConfigReader& reader;
  Waiter& waiter;
};

// Names of the live VMs that have not applied the record at aOffset. aError is that of the VM list.
std::vector<std::string> FindNodesBehind(Platform& aPlatform, Fleet& aFleet, LogOffset aOffset,
                                         std::error_code& aError);

// Waits until every live VM has applied the record. Returns the names of those that have not done
// so within aTimeout.
std::vector<std::string> WaitUntilInForce(Platform& aPlatform, Fleet& aFleet, Waiter& aWaiter,
                                          LogOffset aOffset, Duration aTimeout);

} // namespace caraway
