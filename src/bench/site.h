// What all processes of a run share: time, chance, network, log, jobs and observers.
#pragma once

#include "bench/job.h"
#include "bench/log_model.h"
#include "bench/network.h"
#include "bench/schedule.h"

#include <unordered_map>
#include <vector>

namespace caraway::bench {

// Sees what happens in a run.
class Observer
{
public:
  virtual ~Observer() = default;
  virtual void OnSubmit(const Job& /*aJob*/, NodeId /*aEntry*/) {}
  // The request is handed to the endpoint of an agent.
  virtual void OnDispatch(const Job& /*aJob*/, NodeId /*aAgent*/) {}
  // The caller received the next part of its answer.
  virtual void OnPart(const Job& /*aJob*/, const std::string& /*aData*/) {}
  virtual void OnFinal(const Job& /*aJob*/, const FinalAnswer& /*aAnswer*/) {}
  virtual void OnEvent(NodeId /*aNode*/, const Event& /*aEvent*/) {}
  // A new life of a process begins.
  virtual void OnStart(NodeId /*aNode*/) {}
  virtual void OnLeaving(NodeId /*aNode*/) {}
  // A leaving process has ended; aOpen: requests that it still had in hand.
  virtual void OnLeft(NodeId /*aNode*/, std::size_t /*aOpen*/) {}
  // The connection of a caller broke and stays away.
  virtual void OnCallerLeft(const Job& /*aJob*/) {}
};

// Seams at which a test breaks the program on purpose, to see that a check fires.
class Tamper
{
public:
  virtual ~Tamper() = default;
  // How often a dispatch reaches the endpoint.
  virtual std::uint32_t Copies(const Job& /*aJob*/) { return 1; }
  // Changes a message on its way; false loses it.
  virtual bool Pass(Message& /*aMessage*/) { return true; }
  // Changes a part of an answer on its way to the caller; false loses it.
  virtual bool PassPart(const Job& /*aJob*/, std::string& /*aData*/) { return true; }
  // Changes a final answer; false loses it.
  virtual bool DeliverFinal(const Job& /*aJob*/, FinalAnswer& /*aAnswer*/) { return true; }
};

using JobTable = std::unordered_map<RequestId, Job>;

struct Site
{
  explicit Site(std::uint64_t aSeed, const LogOptions& aLog = {})
    : random(aSeed)
    , network(this->schedule, this->random)
    , log(aLog, this->schedule, this->random)
  {
  }
  Site(const Site&) = delete;
  Site& operator=(const Site&) = delete;

  Schedule schedule;
  Random random;
  Network network;
  LogModel log;
  JobTable jobs;
  std::vector<Observer*> observers;
  Tamper* tamper = nullptr;
};

} // namespace caraway::bench
