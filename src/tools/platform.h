// The platform and the processes of the system as the operators' tools see them: calls that wait
// for their answer. Tests replace them.
#pragma once

#include "runtime/clock.h"
#include "runtime/log_client.h"

#include <map>
#include <string>
#include <system_error>
#include <vector>

namespace caraway {

// Clock that can also let time pass.
class Waiter : public Clock
{
public:
  virtual void Sleep(Duration aTime) = 0;
};

struct AppendAnswer
{
  AppendResult result = AppendResult::kUnknown;
  LogOffset first = kNoOffset;
};

struct ReadAnswer
{
  std::error_code error;
  LogOffset oldest = 0;
  LogOffset next = 0;
  std::vector<LogRecord> records;
};

struct VmAnswer
{
  std::error_code error;
  std::vector<Vm> vms;
};

class Platform
{
public:
  virtual ~Platform() = default;
  virtual AppendAnswer Append(const std::vector<std::string>& aRecords) = 0;
  // Records from aFrom on; waits up to aWait for the first one.
  virtual ReadAnswer Read(LogOffset aFrom, Duration aWait) = 0;
  virtual VmAnswer ListVms() = 0;
};

// Answer of one process to an admin request.
struct NodeAnswer
{
  std::error_code error;
  std::uint16_t status = 0;
  std::string body;

  bool IsOk() const;
};

// Admin listeners of the processes.
class Fleet
{
public:
  virtual ~Fleet() = default;
  // Asks all aVms at once for aPath; answers by VM name.
  virtual std::map<std::string, NodeAnswer> Get(const std::vector<Vm>& aVms,
                                                const std::string& aPath) = 0;
};

} // namespace caraway
