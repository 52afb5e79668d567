// Decision logic of an agent, the only process that talks to its endpoint. It orders reservations,
// limits concurrency, preempts lower-tier work for higher tiers, and derives the endpoint's health
// from the progress of its work.
#pragma once

#include "core/config.h"
#include "core/event.h"
#include "core/messages.h"
#include "core/options.h"
#include "core/random.h"

#include <memory>
#include <string>

namespace caraway {

// How the endpoint's work on one request ended.
enum class WorkEnd : std::uint8_t
{
  kComplete, // the endpoint closed its answer properly
  kError,    // the endpoint answered with an error status
  kBroken,   // the connection broke before the answer was complete
  kUnsent,   // no byte of the request was sent, so it has not run
};

struct WorkResult
{
  WorkEnd end = WorkEnd::kBroken;
  std::uint16_t status = 0;
  std::uint32_t promptTokens = 0; // as reported by the engine; 0 if not reported
  std::uint32_t outputTokens = 0;
  std::string body; // answer of a plain service, or body of an error
};

// Actions that an agent requests from its host. Implementations must not call back into the agent.
class AgentPort : public EventSink
{
public:
  virtual void Send(NodeId aTo, const Message& aMessage) = 0;
  // Sends the request to the endpoint. Called at most once for each request, also across restarts.
  virtual void Dispatch(const RequestId& aId, WorkKind aKind, const std::string& aRoute,
                        const std::string& aBody) = 0;
  // Closes the endpoint connection of the request; OnWorkEnd is not called for it afterwards.
  virtual void Abort(const RequestId& aId) = 0;
  // Requests a check whether the endpoint accepts connections; OnProbe reports the result.
  virtual void Probe() = 0;
  // Sends the endpoint an order (load a version, change role) with its fencing token.
  virtual void Order(LogOffset aFencing, const std::string& aBody) = 0;
};

// Identity of an agent, from its settings; sent to entries in its Hello.
struct AgentIdentity
{
  std::string name;
  std::string region;
  std::string failureDomain;
  std::string pool;           // model or plain service served by the endpoint
  std::string version;        // of the endpoint
  bool checksFencing = false; // the endpoint itself rejects orders with a stale fencing token
};

class Agent
{
public:
  Agent(const AgentOptions& aOptions, const AgentIdentity& aIdentity, Random& aRandom,
        AgentPort& aPort);
  ~Agent();
  Agent(const Agent&) = delete;
  Agent& operator=(const Agent&) = delete;

  void OnPeerUp(Now aNow, Peer aPeer, const Hello& aHello);
  void OnPeerDown(Now aNow, NodeId aNode);
  void OnMessage(Now aNow, Peer aFrom, const Message& aMessage);

  // A part of the endpoint's answer with aTokens tokens in it (0 for plain services).
  void OnWorkChunk(Now aNow, const RequestId& aId, std::uint32_t aTokens, const std::string& aData);
  void OnWorkEnd(Now aNow, const RequestId& aId, const WorkResult& aResult);
  void OnProbe(Now aNow, bool aReachable);
  void OnOrderDone(Now aNow, LogOffset aFencing, bool aAccepted);

  void OnTimer(Now aNow);
  TimePoint NextTimer() const;

  // Returns all reservations to their entries and makes no further offers; running work continues.
  void BeginLeaving(Now aNow);
  bool Idle() const;

  // Hello that the runtime sends to a newly connected entry.
  Hello CurrentHello() const;
  const ConfigState& Config() const;
  std::string StatusJson(Now aNow) const;

private:
  class Impl;
  std::unique_ptr<Impl> impl;
};

} // namespace caraway
