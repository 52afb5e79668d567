// Baselines: policies that push each request to one engine as soon as it arrives. There are no
// agents, limits, tiers, quotas, estimates or messages between processes, and no network delay.
// What a baseline has: the load report of each engine, as old as it is; each entry's count of its
// own open requests; the engines' own queues; callers that give up at their deadlines (the request
// is cancelled at the engine) and come back as ours do. Prefix affinity is not looked at.
#pragma once

#include "bench/callers.h"
#include "bench/engine_model.h"
#include "core/place.h"

#include <memory>
#include <string>
#include <vector>

namespace caraway::bench {

// A placement by name ("random", "round-robin", "least-stale-load", "two-choices"); nullptr for
// others.
std::unique_ptr<Placement> BaselineOf(const std::string& aPolicy);

class PushWorld
{
public:
  // aReportAge: period of the load reports.
  PushWorld(std::uint64_t aSeed, std::size_t aEntries, const std::vector<EngineProfile>& aEngines,
            const std::string& aPolicy, Duration aReportAge);
  ~PushWorld();

  Site& TheSite() { return this->site; }
  void Submit(const Job& aJob);
  const EngineModel& EngineAt(std::size_t aIndex) const;
  std::size_t EngineCount() const { return this->engines.size(); }

private:
  // One engine and the place that takes in its answers.
  class Backend;
  struct PushEntry
  {
    std::unique_ptr<Placement> placement;
    std::vector<Candidate> candidates;
  };
  struct OpenRequest
  {
    std::size_t entry = 0;
    std::size_t engine = 0;
    bool started = false;
  };

  void Report(Duration aPeriod);
  std::size_t Choose(PushEntry& aEntry);
  void OnToken(const RequestId& aId, const std::string& aText);
  void OnEnd(const RequestId& aId, const WorkResult& aResult);
  void OnStartDeadline(const RequestId& aId);
  void OnEndDeadline(const RequestId& aId);
  void Finish(const RequestId& aId, const FinalAnswer& aAnswer);

  Site site;
  std::vector<std::unique_ptr<Backend>> engines;
  std::vector<PushEntry> entries;
  std::vector<NodeId> chosen;
  std::unordered_map<RequestId, OpenRequest> open;
};

} // namespace caraway::bench
