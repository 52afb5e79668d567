// HTTP interface of the plain service's stand-in, which records every execution.
#pragma once

#include "runtime/clock.h"
#include "standins/faults.h"
#include "standins/http_service.h"

#include <map>
#include <memory>
#include <string>

namespace caraway {

class ServiceServer
{
public:
  ServiceServer(FaultPlan& aPlan, const Clock& aClock);

  void Handle(const std::shared_ptr<HttpExchange>& aExchange);

private:
  using Exchange = std::shared_ptr<HttpExchange>;

  void Execute(const Exchange& aExchange);
  void Finish(const Exchange& aExchange, const Fate& aFate);
  std::string Counts() const;

  FaultPlan& plan;
  const Clock& clock;
  std::uint32_t running = 0;
  std::uint64_t executions = 0;
  std::map<std::string, std::uint64_t> byRequest;
  std::map<std::string, std::uint64_t> byKey;
  std::map<std::string, std::uint64_t> byBody; // by the content hash that is echoed
};

} // namespace caraway
