// HTTP interface of the platform's stand-in, with its faults.
#pragma once

#include "runtime/clock.h"
#include "standins/http_service.h"
#include "standins/platform_model.h"

#include <list>
#include <memory>
#include <string>

namespace caraway {

// Faults set by POST /fault.
struct PlatformFaults
{
  bool logDown = false;
  std::uint32_t loseAppendAnswers = 0; // appends to come whose answer is lost after the effect
  Duration delay{};                    // before each answer of the log
};

class PlatformServer
{
public:
  explicit PlatformServer(const Clock& aClock);

  void Handle(const std::shared_ptr<HttpExchange>& aExchange);

private:
  using Exchange = std::shared_ptr<HttpExchange>;

  // A read that waits for a record at its offset.
  struct Waiting
  {
    Exchange exchange;
    LogOffset from = 0;
    std::size_t max = 0;
  };

  void Append(const Exchange& aExchange);
  void Read(const Exchange& aExchange);
  void AnswerRead(const Waiting& aRead);
  void WakeReaders();
  void FailReaders();
  void StopWaiting(const Exchange& aExchange);
  void PutVm(const Exchange& aExchange);
  void ListVms(const Exchange& aExchange);
  void SetFaults(const Exchange& aExchange);
  void AnswerLate(const Exchange& aExchange, std::uint16_t aStatus, const std::string& aBody);

  const Clock& clock;
  PlatformLog log;
  PlatformVms vms;
  PlatformFaults faults;
  std::list<Waiting> waiting;
  std::uint64_t appends = 0; // calls that took effect
  std::uint64_t reads = 0;   // calls
};

} // namespace caraway
