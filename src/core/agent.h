// Decisions of an agent: the only process that talks to its endpoint. Orders reservations, limits
// what runs at once, cuts lower tiers for higher ones, and judges health from progress.
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
  kBroken,   // the connection broke before the end of the answer
  kUnsent,   // no byte of the request left this process: it has not run
};

struct WorkResult
{
  WorkEnd end = WorkEnd::kBroken;
  std::uint16_t status = 0;
  std::uint32_t promptTokens = 0; // as reported by the engine, 0 if it did not say
  std::uint32_t outputTokens = 0;
  std::string body; // answer of a plain service or an error body
};

// What an agent asks of its host. Calls must not call back into the agent.
class AgentPort : public EventSink
{
public:
  virtual void Send(NodeId aTo, const Message& aMessage) = 0;
  // Hands the request to the endpoint. Called at most once for each request, ever.
  virtual void Dispatch(const RequestId& aId, WorkKind aKind, const std::string& aRoute,
                        const std::string& aBody) = 0;
  // Closes the endpoint's connection for the request; OnWorkEnd is not called afterwards.
  virtual void Abort(const RequestId& aId) = 0;
  // Asks the host to check whether the endpoint accepts connections; OnProbe answers.
  virtual void Probe() = 0;
  // Gives the endpoint an order (load a version, change role) with its fencing number.
  virtual void Order(LogOffset aFencing, const std::string& aBody) = 0;
};

// What an agent is, from its settings. Its entries see it in the agent's Hello.
struct AgentIdentity
{
  std::string name;
  std::string region;
  std::string failureDomain;
  std::string pool;           // model or plain service that the endpoint serves
  std::string version;        // of the endpoint
  bool checksFencing = false; // the endpoint refuses orders with an old fencing number itself
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

  // Part of the endpoint's answer; aTokens counts the tokens in it (0 for plain services).
  void OnWorkChunk(Now aNow, const RequestId& aId, std::uint32_t aTokens, const std::string& aData);
  void OnWorkEnd(Now aNow, const RequestId& aId, const WorkResult& aResult);
  void OnProbe(Now aNow, bool aReachable);
  void OnOrderDone(Now aNow, LogOffset aFencing, bool aAccepted);

  void OnTimer(Now aNow);
  TimePoint NextTimer() const;

  // Hands back all reservations and offers nothing more; running work continues.
  void BeginLeaving(Now aNow);
  bool Idle() const;

  // What the runtime says in its Hello to an entry.
  Hello CurrentHello() const;
  const ConfigState& Config() const;
  std::string StatusJson(Now aNow) const;

private:
  class Impl;
  std::unique_ptr<Impl> impl;
};

} // namespace caraway
