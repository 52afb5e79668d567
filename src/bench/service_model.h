// Fake plain service: runs each call for a short time and counts executions by idempotency key.
#pragma once

#include "bench/endpoint.h"
#include "bench/schedule.h"
#include "core/random.h"

#include <map>
#include <set>
#include <string>

namespace caraway::bench {

class ServiceModel final : public Endpoint
{
public:
  ServiceModel(Duration aLongest, Schedule& aSchedule, Random& aRandom, EndpointEvents& aEvents);

  void Start(const Job& aJob, const std::string& aBody) override;
  // The call runs on; only its answer is dropped.
  void Cancel(const RequestId& aId) override;
  void Crash() override;
  void Restart() override { this->alive = true; }
  bool Reachable() const override { return this->alive && !this->fault.refuses; }
  void SetFault(const EndpointFault& aFault) override { this->fault = aFault; }
  std::uint32_t Load() const override { return static_cast<std::uint32_t>(this->open.size()); }

  // Executions of each idempotency key.
  const std::map<std::string, std::uint32_t>& Executions() const { return this->executions; }

private:
  void End(const RequestId& aId, WorkEnd aEnd, std::uint16_t aStatus, const std::string& aBody);

  Duration longest;
  Schedule& schedule;
  Random& random;
  EndpointEvents& events;
  EndpointFault fault;
  bool alive = true;
  std::set<RequestId> open;
  std::map<std::string, std::uint32_t> executions;
};

} // namespace caraway::bench
