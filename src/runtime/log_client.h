// Client of the platform's append-only log and VM list.
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

// One VM in the platform's list. The list may be out of date.
struct Vm
{
  std::string name;
  Role role = Role::kEntry;
  std::string address;    // numeric IP address
  std::uint16_t port = 0; // port for connections from other processes of the system
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

  // aAddress is the ip:port of the platform.
  explicit LogClient(std::string aAddress);

  // Appends the records as one batch with consecutive offsets. The request is sent only once: if
  // the response is lost, the result is AppendResult::kUnknown, and the caller must read the log to
  // see whether the batch was appended.
  void Append(const std::vector<std::string>& aRecords, AppendHandler aDone);

  // Reads one batch of records starting at aFrom; waits up to aWait for a record. The caller calls
  // Follow again for the next batch.
  void Follow(LogOffset aFrom, ReadHandler aDone, ErrorHandler aFailed,
              Duration aWait = std::chrono::seconds(5));

  void ListVms(VmListHandler aDone);

private:
  std::string address;
  HttpSession session;
};

} // namespace caraway
