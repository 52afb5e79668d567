// A fake endpoint: a model engine or a plain service behind one agent.
#pragma once

#include "bench/job.h"
#include "core/agent.h"

#include <cstdint>
#include <unordered_map>

namespace caraway::bench {

// Receives an endpoint's answers. Calls come from the schedule, never from inside Start or Cancel.
class EndpointEvents
{
public:
  virtual ~EndpointEvents() = default;
  virtual void OnToken(const RequestId& aId, const std::string& aText) = 0;
  virtual void OnEnd(const RequestId& aId, const WorkResult& aResult) = 0;
};

// How a fake misbehaves.
struct EndpointFault
{
  double slowFactor = 1; // multiplies the time of everything
  bool stalled = false;  // accepts requests, reports healthy, makes no progress
  double failRatio = 0;  // share of requests that get an error status
  bool refuses = false;  // does not accept connections
};

class Endpoint
{
public:
  virtual ~Endpoint() = default;

  virtual void Start(const Job& aJob, const std::string& aBody) = 0;
  // The connection of the request was closed; nothing more is said about it.
  virtual void Cancel(const RequestId& aId) = 0;
  // Dies: every connection breaks; nothing is accepted until Restart.
  virtual void Crash() = 0;
  virtual void Restart() = 0;
  virtual bool Reachable() const = 0;
  virtual void SetFault(const EndpointFault& aFault) = 0;
  // Running and waiting requests, as the endpoint's own report would say.
  virtual std::uint32_t Load() const = 0;

  // Times each request has reached the endpoint.
  const std::unordered_map<RequestId, std::uint32_t>& Arrivals() const { return this->arrivals; }

protected:
  std::unordered_map<RequestId, std::uint32_t> arrivals;
};

} // namespace caraway::bench
