// Checks what must always hold over all processes of a run, from the outside: what reached the
// endpoints against what the callers were told. Knows nothing of how the program works.
#pragma once

#include "bench/world.h"
#include "core/invariant.h"

#include <map>
#include <string>
#include <unordered_map>
#include <vector>

namespace caraway::bench {

// A broken invariant, with the events of its request over all processes.
struct AuditFinding
{
  Invariant invariant = Invariant::kDispatchOnce;
  std::string text;
  std::string history;
};

class Audit final : public Observer
{
public:
  // Observes aWorld, which must outlive the audit, from now on.
  explicit Audit(World& aWorld);

  void OnSubmit(const Job& aJob, NodeId aEntry) override;
  void OnDispatch(const Job& aJob, NodeId aAgent) override;
  void OnPart(const Job& aJob, const std::string& aData) override;
  void OnFinal(const Job& aJob, const FinalAnswer& aAnswer) override;
  void OnEvent(NodeId aNode, const Event& aEvent) override;
  void OnStart(NodeId aNode) override;
  void OnLeaving(NodeId aNode) override;
  void OnLeft(NodeId aNode, std::size_t aOpen) override;
  void OnCallerLeft(const Job& aJob) override;

  // The configuration of every live process has taken in the whole log.
  void CheckInForce();
  // After the last fault and the last deadline: looks at everything that only the end shows.
  void Finish();

  const std::vector<AuditFinding>& Findings() const { return this->findings; }

private:
  // What a caller has received.
  struct Received
  {
    std::string answer;
    std::uint32_t finals = 0;
    bool left = false;
    Outcome outcome = Outcome::kUnknown;
  };
  // The state that all processes must have at one offset, and who showed it first.
  struct Seen
  {
    std::uint64_t hash = 0;
    std::string node;
  };

  void Watch();
  void CheckConfig(const Host& aHost);
  void CheckArrivals();
  void CheckExecutions();
  void CheckCallers();
  bool IsWhole(const Job& aJob, const std::string& aAnswer) const;
  void Add(Invariant aInvariant, std::string aText, const RequestId& aId);
  std::string HistoryOf(const RequestId& aId) const;

  World& world;
  std::unordered_map<RequestId, Received> received;
  std::unordered_map<RequestId, std::vector<std::string>> history;
  std::map<NodeId, TimePoint> leavingSince;
  std::map<NodeId, std::pair<Incarnation, LogOffset>> offsets;
  std::map<LogOffset, Seen> states;
  std::vector<AuditFinding> findings;
};

} // namespace caraway::bench
