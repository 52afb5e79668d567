// Client of the platform: its append-only log and its list of VMs.
#pragma once

#include "core/messages.h"
#include "runtime/http_call.h"

#include <functional>
#include <string>
#include <system_error>
#include <vector>

namespace caraway {

enum class VmState : std::uint8_t
{
  kLive,
  kLeaving,
};

// One VM in the platform's list. The list lags behind.
struct Vm
{
  std::string name;
  Role role = Role::kEntry;
  std::string address;    // IP number
  std::uint16_t port = 0; // where the VM's process takes connections of the system
  std::string region;
  std::string failureDomain;
  std::string pool;    // agents only
  std::string version; // agents only
  VmState state = VmState::kLive;
};

class LogClient
{
public:
  using AppendHandler = std::function<void(AppendResult, LogOffset aFirstOffset)>;
  using ReadHandler = std::function<void(LogOffset aOldestOffset, LogOffset aNextOffset,
                                         std::vector<LogRecord> aRecords)>;
  using ErrorHandler = std::function<void(std::error_code)>;
  using VmListHandler = std::function<void(std::error_code, std::vector<Vm>)>;

  // aAddress: ip:port of the platform.
  explicit LogClient(std::string aAddress);

  // Appends the records as one batch with consecutive offsets. Sent once: a lost answer is
  // reported as AppendResult::kUnknown, and the caller reads the log to learn what happened.
  void Append(const std::vector<std::string>& aRecords, AppendHandler aDone);

  // Reads once from aFrom on, waiting up to aWait for a record there. The caller calls again.
  void Follow(LogOffset aFrom, ReadHandler aDone, ErrorHandler aFailed,
              Duration aWait = std::chrono::seconds(5));

  void ListVms(VmListHandler aDone);

private:
  std::string address;
  HttpSession session;
};

} // namespace caraway
