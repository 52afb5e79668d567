// Blocking interfaces to the platform and to the processes' admin listeners for operators' tools.
// Tests implement them in memory.
#pragma once

#include "runtime/clock.h"
#include "runtime/log_client.h"

#include <map>
#include <string>
#include <system_error>
#include <vector>

namespace caraway {

// Clock that can also sleep.
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
  // Reads records from aFrom on; waits up to aWait for the first one.
  virtual ReadAnswer Read(LogOffset aFrom, Duration aWait) = 0;
  virtual VmAnswer ListVms() = 0;
};

// Response of one process to an admin request.
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
  // Requests aPath from all aVms concurrently; returns the responses by VM name.
  virtual std::map<std::string, NodeAnswer> Get(const std::vector<Vm>& aVms,
                                                const std::string& aPath) = 0;
};

} // namespace caraway
