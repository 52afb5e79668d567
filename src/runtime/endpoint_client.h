// Client of one endpoint: sends each request once over its own connection and reports its answer.
#pragma once

#include "core/agent.h"
#include "runtime/http_call.h"

#include <map>
#include <memory>
#include <string>

namespace caraway {

// Receives what the endpoint answers; called from the main loop.
class EndpointHandler
{
public:
  virtual ~EndpointHandler() = default;
  // Next part of a completion: the text of aTokens tokens.
  virtual void OnWorkChunk(const RequestId& aId, std::uint32_t aTokens,
                           const std::string& aData) = 0;
  // Last call for the request. A plain service's body comes whole, in the result.
  virtual void OnWorkEnd(const RequestId& aId, const WorkResult& aResult) = 0;
  virtual void OnProbe(bool aReachable) = 0;
  virtual void OnOrderDone(LogOffset aFencing, bool aAccepted) = 0;
};

class EndpointClient
{
public:
  // aAddress: ip:port of the endpoint.
  EndpointClient(std::string aAddress, EndpointHandler& aHandler);
  ~EndpointClient();
  EndpointClient(const EndpointClient&) = delete;
  EndpointClient& operator=(const EndpointClient&) = delete;

  // Sends the request, once. Completions are always streamed from the engine, with usage.
  void Dispatch(const RequestId& aId, WorkKind aKind, const std::string& aRoute,
                const std::string& aBody);
  // Closes the request's connection; OnWorkEnd is not called for it any more.
  void Abort(const RequestId& aId);
  // Asks whether the endpoint answers at all.
  void Probe();
  // Posts an order with its fencing number.
  void Order(LogOffset aFencing, const std::string& aBody);

private:
  class Work;

  void OnEnd(const RequestId& aId, const WorkResult& aResult);

  std::string address;
  EndpointHandler& handler;
  HttpSession streams;  // no timeout: the agent judges progress
  HttpSession controls; // probes and orders
  std::map<RequestId, std::shared_ptr<Work>> works;
};

} // namespace caraway
