// Runs an entry or an agent of the decision library in virtual time, in the place of a daemon:
// calls its timers, carries its messages, and can be killed, restarted, frozen and woken.
#pragma once

#include "bench/endpoint.h"
#include "bench/site.h"
#include "core/agent.h"
#include "core/entry.h"
#include "core/place.h"

#include <deque>
#include <functional>
#include <memory>
#include <set>
#include <string>

namespace caraway::bench {

// The part that both roles have in common.
class Host : public Process
{
public:
  Host(std::string aName, Site& aSite);

  const std::string& Name() const { return this->name; }
  NodeId Node() const { return this->node; }
  bool Alive() const { return this->alive; }
  bool Paused() const { return this->paused; }
  bool Leaving() const { return this->leaving; }

  // Begins a new life, with the next incarnation. The caller connects it.
  void Start();
  void Kill();
  // Frozen processes take in nothing and run no timers; what arrives waits.
  void Pause();
  void Resume();
  // Asks the process to shut down gracefully.
  void BeginLeaving();
  virtual bool Idle() const = 0;
  virtual const ConfigState& Config() const = 0;

  Peer Self() const override;
  void OnLinkUp(Peer aPeer, const Hello& aHello) override;
  void OnLinkDown(NodeId aNode) override;
  void OnDeliver(Peer aFrom, const Message& aMessage) override;

protected:
  // Runs a step of the process now, or when it wakes up.
  void Run(std::function<void()> aStep);
  void Send(NodeId aTo, const Message& aMessage);
  void Tell(const Event& aEvent);

  virtual void Create() = 0;
  virtual void Destroy() = 0;
  virtual void DoLinkUp(Peer aPeer, const Hello& aHello) = 0;
  virtual void DoLinkDown(NodeId aNode) = 0;
  virtual void DoDeliver(Peer aFrom, const Message& aMessage) = 0;
  virtual void DoTimer() = 0;
  virtual void DoLeave() = 0;
  virtual TimePoint NextTimer() const = 0;
  virtual void AfterStep() {}

  Site& site;
  std::uint64_t life = 0; // incarnation; steps planned in an earlier life are void
  std::set<NodeId> linked;

private:
  void Arm();
  void Wake(std::uint64_t aLife);

  std::string name;
  NodeId node;
  bool alive = false;
  bool paused = false;
  bool leaving = false;
  TimePoint armed = kNever;
  std::deque<std::function<void()>> inbox;
};

// Where an entry's callers are.
class CallerSide
{
public:
  virtual ~CallerSide() = default;
  virtual void OnPart(const RequestId& aId, const std::string& aData) = 0;
  virtual void OnFinal(const RequestId& aId, const FinalAnswer& aAnswer) = 0;
};

class EntryHost final
  : public Host
  , private EntryPort
{
public:
  EntryHost(std::string aName, const EntryOptions& aOptions, Site& aSite, CallerSide& aCallers);
  ~EntryHost() override;

  void Submit(const Submission& aSubmission);
  void ResumeAnswer(const RequestId& aId, const std::string& aAccount, std::uint32_t aNextChunk,
                    std::optional<NodeId> aAgent);
  void CallerGone(const RequestId& aId, bool aMayResume);
  std::optional<NodeId> AgentOf(const RequestId& aId) const;

  bool Idle() const override;
  const ConfigState& Config() const override;
  Hello SelfHello() const override;

private:
  void Create() override;
  void Destroy() override;
  void DoLinkUp(Peer aPeer, const Hello& aHello) override;
  void DoLinkDown(NodeId aNode) override;
  void DoDeliver(Peer aFrom, const Message& aMessage) override;
  void DoTimer() override;
  void DoLeave() override;
  TimePoint NextTimer() const override;
  void AfterStep() override;

  void Send(NodeId aTo, const Message& aMessage) override;
  void DeliverChunk(const RequestId& aId, const std::string& aData) override;
  void DeliverFinal(const RequestId& aId, const FinalAnswer& aAnswer) override;
  void Append(std::uint64_t aToken, const std::vector<std::string>& aRecords) override;
  void Note(const Event& aEvent) override;

  void PollLog(std::uint64_t aLife);

  EntryOptions options;
  CallerSide& callers;
  Random random;
  LateBindingPlacement placement;
  std::unique_ptr<Entry> entry;
  LogOffset cursor = 0; // next offset to read from the log
  LogOffset toldOffset = 0;
  bool toldLeaving = false;
};

class AgentHost final
  : public Host
  , private AgentPort
  , private EndpointEvents
{
public:
  AgentHost(const AgentIdentity& aIdentity, const AgentOptions& aOptions, Site& aSite);
  ~AgentHost() override;

  // The endpoint beside the agent. It outlives the agent's lives.
  void SetEndpoint(std::unique_ptr<Endpoint> aEndpoint);
  Endpoint& TheEndpoint() { return *this->endpoint; }
  const Endpoint& TheEndpoint() const { return *this->endpoint; }
  EndpointEvents& Events() { return *this; }
  const AgentIdentity& Identity() const { return this->identity; }
  // Requests that are at the endpoint.
  std::size_t OpenWork() const { return this->open.size(); }

  bool Idle() const override;
  const ConfigState& Config() const override;
  Hello SelfHello() const override;

private:
  void Create() override;
  void Destroy() override;
  void DoLinkUp(Peer aPeer, const Hello& aHello) override;
  void DoLinkDown(NodeId aNode) override;
  void DoDeliver(Peer aFrom, const Message& aMessage) override;
  void DoTimer() override;
  void DoLeave() override;
  TimePoint NextTimer() const override;

  void Send(NodeId aTo, const Message& aMessage) override;
  void Dispatch(const RequestId& aId, WorkKind aKind, const std::string& aRoute,
                const std::string& aBody) override;
  void Abort(const RequestId& aId) override;
  void Probe() override;
  void Order(LogOffset aFencing, const std::string& aBody) override;
  void Note(const Event& aEvent) override;

  void OnToken(const RequestId& aId, const std::string& aText) override;
  void OnEnd(const RequestId& aId, const WorkResult& aResult) override;

  AgentIdentity identity;
  AgentOptions options;
  Random random;
  std::unique_ptr<Endpoint> endpoint;
  std::unique_ptr<Agent> agent;
  std::set<RequestId> open; // connections to the endpoint
};

} // namespace caraway::bench
