// Client of one endpoint: sends each request once, over a separate connection, and reports its
// answer.
#pragma once

#include "core/agent.h"
#include "runtime/http_call.h"

#include <map>
#include <memory>
#include <string>

namespace caraway {

// Receives the endpoint's answers; called from the main loop.
class EndpointHandler
{
public:
  virtual ~EndpointHandler() = default;
  // Next part of a completion: aData is the text of aTokens tokens.
  virtual void OnWorkChunk(const RequestId& aId, std::uint32_t aTokens,
                           const std::string& aData) = 0;
  // Last call for the request. The body of a plain service's answer is in the result.
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

  // Sends the request once. Completions are always requested as a stream with token usage.
  void Dispatch(const RequestId& aId, WorkKind aKind, const std::string& aRoute,
                const std::string& aBody);
  // Closes the request's connection; OnWorkEnd is no longer called for it.
  void Abort(const RequestId& aId);
  // Checks whether the endpoint answers; the result is reported by OnProbe.
  void Probe();
  // Posts an order with its fencing token.
  void Order(LogOffset aFencing, const std::string& aBody);

private:
  class ActiveRequest;

  void OnEnd(const RequestId& aId, const WorkResult& aResult);

  std::string address;
  EndpointHandler& handler;
  HttpSession streamSession;  // no timeout: the agent detects stalled requests
  HttpSession controlSession; // probes and orders
  std::map<RequestId, std::shared_ptr<ActiveRequest>> activeRequests;
};

} // namespace caraway
