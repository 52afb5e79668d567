#include "core/move.h"

#include "core/judge.h"
#include "core/ramp.h"
#include "core/uuid.h"

#include <algorithm>
#include <set>

namespace caraway {

namespace {

using std::chrono::milliseconds;
using std::chrono::minutes;
using std::chrono::seconds;

constexpr Duration kClusterWindow = milliseconds(100); // failures within it may share one cause
constexpr double kMaxHitsPerWindow = 1;                // failures counted per window
constexpr Duration kVerdictRetryInterval = seconds(2); // time between appends of a verdict
constexpr Duration kRemoteVerdictWait = seconds(3); // wait for the verdict of the node that braked
constexpr std::size_t kMaxRoutes = 64;      // tested separately; further routes share one test
constexpr std::size_t kMaxEarlyBrakes = 64; // brakes received before the record of their move
constexpr double kMaxRampScore = 0.3;       // of the alarm threshold; above it no share is raised
constexpr double kMaxLevelAgeOutcomes = 20; // outcomes on the route since the level's last one
constexpr std::string_view kOtherRoutes = "(other)";

// A false alarm rolls back a good version, a late alarm lets more calls fail. With a mean of
// 160,000 outcomes between false alarms, three failures in a row raise an alarm.
constexpr VersionTest::Limits kBadLimits{ 0.01, 0.05, 160000, kClusterWindow, kMaxHitsPerWindow };
constexpr VersionTest::Limits kSlowLimits{ 0.05, 0.2, 160000, kClusterWindow, kMaxHitsPerWindow };

// Outcome counts of one version, route and load level.
struct Counts
{
  double good = 0;
  double bad = 0;
  double slow = 0;

  double Total() const { return this->good + this->bad + this->slow; }
  Tally BadTally() const { return { this->bad, this->good + this->slow }; }
  Tally SlowTally() const { return { this->slow, this->good }; }
};

Counts operator-(const Counts& aLeft, const Counts& aRight)
{
  return { aLeft.good - aRight.good, aLeft.bad - aRight.bad, aLeft.slow - aRight.slow };
}

Counts operator+(const Counts& aLeft, const Counts& aRight)
{
  return { aLeft.good + aRight.good, aLeft.bad + aRight.bad, aLeft.slow + aRight.slow };
}

// Derives the outcomes of other entries from the running totals of several agents, each of which
// may restart, miss reports or start late. The totals include the reports of this entry.
class RemoteOutcomes
{
public:
  void AddLocal(const Counts& aCounts) { this->localTotal = this->localTotal + aCounts; }
  // Marks all local outcomes as reported to the agents.
  void MarkSent() { this->sent = this->localTotal; }

  // Takes an agent's total; returns the outcomes of other entries that were not returned before.
  Counts Advance(NodeId aAgent, const Counts& aTotal)
  {
    if (this->agents.empty()) {
      this->fleetTotal = this->sent;
    }
    const auto [agent, isFirst] = this->agents.try_emplace(aAgent);
    const bool hasRestarted = aTotal.Total() < agent->second.last;
    if (isFirst || hasRestarted) {
      agent->second.offset = this->fleetTotal - aTotal;
    }
    agent->second.last = aTotal.Total();
    const Counts seen = aTotal + agent->second.offset;
    if (seen.Total() > this->fleetTotal.Total()) {
      this->fleetTotal = seen;
    }
    const Counts remoteTotal = this->fleetTotal - this->sent;
    const Counts step = remoteTotal - this->consumedTotal;
    // Reports of this entry that the agents have not received yet make the difference too small.
    if (step.Total() <= 0 || step.good < 0 || step.bad < 0 || step.slow < 0) {
      return {};
    }
    this->consumedTotal = remoteTotal;
    return step;
  }

private:
  struct Agent
  {
    Counts offset;
    double last = 0;
  };

  std::map<NodeId, Agent> agents;
  Counts fleetTotal;
  Counts localTotal;
  Counts sent;
  Counts consumedTotal;
};

// Tests and counts of one load level of a route.
struct LevelState
{
  VersionTest bad{ kBadLimits };
  VersionTest slow{ kSlowLimits };
  RemoteOutcomes remoteOld;
  RemoteOutcomes remoteNew;
  Counts newCounts; // of all entries
  Evidence unsentOld;
  Evidence unsentNew;
  double lastOutcomeIndex = 0; // newOutcomes of the route at this level's last outcome
};

// Tests of a route: for each load level, and over all levels for failures independent of load.
struct RouteState
{
  RouteState(const RampPlan& aPlan, Now aNow, double aPhase)
    : ramp(aPlan, aNow, aPhase)
  {
  }

  Ramp ramp;
  std::array<LevelState, kLoadLevels> levels;
  VersionTest bad{ kBadLimits };
  VersionTest slow{ kSlowLimits };
  double outcomes = 0;    // of both versions and all entries
  double newOutcomes = 0; // of the new version
  double score = 0;       // highest of the tests with recent outcomes
};

// State of the latest move of one pool.
struct TrackedMove
{
  Move move;
  std::map<std::string, RouteState, std::less<>> routes;
  bool isBraked = false;
  bool isLate = false;
  std::string reason;                 // of the pending verdict
  std::optional<std::string> verdict; // encoded record, appended until a verdict is read back
  TimePoint verdictDue = kNever;
  bool hasOutcomes = false; // since the last step
};

// Name of the alarm of a pair of tests; nullptr without alarm.
const char* AlarmName(const VersionTest& aBad, const VersionTest& aSlow)
{
  return aBad.IsAlarm() ? "failing" : aSlow.IsAlarm() ? "slow" : nullptr;
}

EventField Field(const char* aKey, std::string aValue)
{
  return { aKey, std::move(aValue) };
}

std::string_view ToString(MoveStage aStage)
{
  switch (aStage) {
    case MoveStage::kRunning:
      return "running";
    case MoveStage::kDone:
      return "done";
    case MoveStage::kRolledBack:
      return "taken_back";
  }
  return "invalid";
}

} // namespace

class MoveController::Impl
{
public:
  Impl(const EntryOptions& aOptions, Random& aRandom, EventSink& aEvents)
    : options(aOptions)
    , random(aRandom)
    , events(aEvents)
  {
  }

  void OnConfig(Now aNow, const ConfigState& aConfig);
  std::optional<std::string> ChooseVersion(Now aNow, const std::string& aPool,
                                           const std::string& aRoute);
  std::optional<std::string> FallbackVersion(const std::string& aPool) const;
  bool IsBraked(const std::string& aPool, const std::string& aVersion) const;
  void OnOutcome(Now aNow, const std::string& aPool, const std::string& aVersion,
                 const std::string& aRoute, std::uint8_t aLoadLevel, Quality aQuality);
  void OnEvidence(Now aNow, NodeId aFrom, const EvidenceReport& aReport);
  void OnBrake(Now aNow, const Brake& aBrake);
  void OnTimer(Now aNow);
  TimePoint NextTimer() const;
  std::string StatusJson(Now aNow) const;

  MoveActions actions;

private:
  void Track(Now aNow, const Move& aMove);
  RampPlan PlanOf(const Move& aMove) const;
  TrackedMove* FindRunning(const std::string& aPool);
  RouteState& RouteOf(Now aNow, TrackedMove& aTracked, const std::string& aRoute);
  void AddCounts(Now aNow, TrackedMove& aTracked, RouteState& aRoute, std::uint8_t aLevel,
                 bool aIsNew, const Counts& aCounts);
  void Check(Now aNow, TrackedMove& aTracked, const std::string& aName, RouteState& aRoute);
  void ApplyBrake(Now aNow, TrackedMove& aTracked, std::string aReason, Duration aVerdictDelay);
  void StepRamps(Now aNow, TrackedMove& aTracked);
  void CompleteIfDue(Now aNow, TrackedMove& aTracked);
  void SetVerdict(Now aNow, TrackedMove& aTracked, const char* aStage, Duration aDelay);
  void AppendVerdict(Now aNow, TrackedMove& aTracked);
  void SendEvidence(TrackedMove& aTracked);
  void Note(Now aNow, const Move& aMove, std::vector<EventField> aFields);

  EntryOptions options;
  Random& random;
  EventSink& events;
  std::map<std::string, TrackedMove, std::less<>> tracked;   // by pool
  std::set<std::pair<std::string, std::string>> earlyBrakes; // pairs of move and version
  TimePoint evidenceDue = kNever;
  TimePoint stepDue = kNever;
};

// ---- Configuration

void MoveController::Impl::OnConfig(Now aNow, const ConfigState& aConfig)
{
  std::set<std::string> pools;
  for (const auto& [name, move] : aConfig.Moves()) {
    pools.insert(move.pool);
  }
  std::erase_if(this->tracked, [&](const auto& aItem) { return !pools.contains(aItem.first); });
  bool isRunning = false;
  for (const std::string& pool : pools) {
    const Move& move = *aConfig.FindMoveOfPool(pool);
    this->Track(aNow, move);
    isRunning = isRunning || move.stage == MoveStage::kRunning;
  }
  if (!isRunning) {
    this->evidenceDue = kNever;
    this->stepDue = kNever;
  } else if (this->evidenceDue == kNever) {
    this->evidenceDue = aNow.steady + this->options.evidencePeriod;
    this->stepDue = aNow.steady + kClusterWindow;
  }
}

// Tracks the latest move of a pool. A running move whose record was replaced keeps its state.
void MoveController::Impl::Track(Now aNow, const Move& aMove)
{
  TrackedMove& current = this->tracked[aMove.pool];
  const Move& known = current.move;
  if (known.revision == aMove.revision && known.stage == aMove.stage && known.name == aMove.name) {
    return;
  }
  const bool isSameMove =
    known.name == aMove.name && known.from == aMove.from && known.to == aMove.to;
  const bool isContinued = isSameMove && known.stage == MoveStage::kRunning;
  if (!isContinued) {
    current = TrackedMove{};
  }
  current.move = aMove;
  for (auto& [name, route] : current.routes) {
    route.ramp.SetPlan(this->PlanOf(aMove));
  }
  std::vector<EventField> fields = { Field("stage", std::string(ToString(aMove.stage))),
                                     Field("from", aMove.from), Field("to", aMove.to) };
  if (aMove.stage != MoveStage::kRunning) {
    current.verdict.reset();
    current.verdictDue = kNever;
    current.routes.clear();
    fields.push_back(Field("reason", aMove.reason));
  } else if (current.verdict) {
    this->SetVerdict(aNow, current, current.isBraked ? "taken_back" : "done", Duration::zero());
  }
  this->Note(aNow, aMove, std::move(fields));
  if (this->earlyBrakes.erase({ aMove.name, aMove.to }) > 0) {
    this->OnBrake(aNow, Brake{ aMove.name, aMove.to });
  }
}

RampPlan MoveController::Impl::PlanOf(const Move& aMove) const
{
  return { aMove.startedAt, aMove.finishBy, this->options.moveSoak,
           2 * this->options.evidencePeriod, this->options.maxBadShare };
}

// ---- Requests

TrackedMove* MoveController::Impl::FindRunning(const std::string& aPool)
{
  const auto found = this->tracked.find(aPool);
  const bool isRunning =
    found != this->tracked.end() && found->second.move.stage == MoveStage::kRunning;
  return isRunning ? &found->second : nullptr;
}

RouteState& MoveController::Impl::RouteOf(Now aNow, TrackedMove& aTracked,
                                          const std::string& aRoute)
{
  const auto found = aTracked.routes.find(aRoute);
  if (found != aTracked.routes.end()) {
    return found->second;
  }
  const bool isFull = aTracked.routes.size() >= kMaxRoutes;
  const std::string name = isFull ? std::string(kOtherRoutes) : aRoute;
  return aTracked.routes.try_emplace(name, this->PlanOf(aTracked.move), aNow, this->random.Unit())
    .first->second;
}

std::optional<std::string> MoveController::Impl::ChooseVersion(Now aNow, const std::string& aPool,
                                                               const std::string& aRoute)
{
  const auto found = this->tracked.find(aPool);
  if (found == this->tracked.end()) {
    return std::nullopt;
  }
  TrackedMove& tracked = found->second;
  const Move& move = tracked.move;
  if (move.stage == MoveStage::kDone) {
    return move.to;
  }
  if (tracked.isBraked || move.stage == MoveStage::kRolledBack) {
    return move.from;
  }
  return this->RouteOf(aNow, tracked, aRoute).ramp.ChooseNew() ? move.to : move.from;
}

// During a move the old version may serve any request; the new one must not exceed its share.
std::optional<std::string> MoveController::Impl::FallbackVersion(const std::string& aPool) const
{
  const auto found = this->tracked.find(aPool);
  if (found == this->tracked.end() || found->second.move.stage == MoveStage::kDone) {
    return std::nullopt;
  }
  return found->second.move.from;
}

bool MoveController::Impl::IsBraked(const std::string& aPool, const std::string& aVersion) const
{
  const auto found = this->tracked.find(aPool);
  if (found == this->tracked.end() || found->second.move.to != aVersion) {
    return false;
  }
  return found->second.isBraked || found->second.move.stage == MoveStage::kRolledBack;
}

// ---- Evidence

void MoveController::Impl::OnOutcome(Now aNow, const std::string& aPool,
                                     const std::string& aVersion, const std::string& aRoute,
                                     std::uint8_t aLoadLevel, Quality aQuality)
{
  TrackedMove* tracked = this->FindRunning(aPool);
  if (tracked == nullptr || (aVersion != tracked->move.from && aVersion != tracked->move.to)) {
    return;
  }
  const bool isNew = aVersion == tracked->move.to;
  const std::uint8_t level = std::min<std::uint8_t>(aLoadLevel, kLoadLevels - 1);
  Counts counts;
  (aQuality == Quality::kGood  ? counts.good
   : aQuality == Quality::kBad ? counts.bad
                               : counts.slow) = 1;
  RouteState& route = this->RouteOf(aNow, *tracked, aRoute);
  LevelState& levelState = route.levels[level];
  Evidence& unsent = isNew ? levelState.unsentNew : levelState.unsentOld;
  unsent.good += aQuality == Quality::kGood ? 1 : 0;
  unsent.bad += aQuality == Quality::kBad ? 1 : 0;
  unsent.slow += aQuality == Quality::kSlow ? 1 : 0;
  (isNew ? levelState.remoteNew : levelState.remoteOld).AddLocal(counts);
  this->AddCounts(aNow, *tracked, route, level, isNew, counts);
  this->Check(aNow, *tracked, aRoute, route);
}

// Passes outcomes of this or another entry to the tests and the ramp.
void MoveController::Impl::AddCounts(Now aNow, TrackedMove& aTracked, RouteState& aRoute,
                                     std::uint8_t aLevel, bool aIsNew, const Counts& aCounts)
{
  LevelState& level = aRoute.levels[aLevel];
  aRoute.outcomes += aCounts.Total();
  aTracked.hasOutcomes = true;
  if (!aIsNew) {
    level.bad.AddOld(aNow.steady, aCounts.BadTally());
    level.slow.AddOld(aNow.steady, aCounts.SlowTally());
    aRoute.bad.AddOld(aNow.steady, aCounts.BadTally());
    aRoute.slow.AddOld(aNow.steady, aCounts.SlowTally());
    return;
  }
  level.newCounts = level.newCounts + aCounts;
  aRoute.newOutcomes += aCounts.Total();
  level.lastOutcomeIndex = aRoute.newOutcomes;
  level.bad.AddNew(aNow.steady, aCounts.BadTally(), aRoute.bad.OldRate(0));
  level.slow.AddNew(aNow.steady, aCounts.SlowTally(), aRoute.slow.OldRate(0));
  aRoute.bad.AddNew(aNow.steady, aCounts.BadTally(), 0);
  aRoute.slow.AddNew(aNow.steady, aCounts.SlowTally(), 0);
  const double whole = aCounts.good + aCounts.slow;
  aRoute.ramp.OnOutcomes(aLevel, whole, aCounts.bad);
  for (auto& [name, other] : aTracked.routes) {
    if (&other != &aRoute) {
      other.ramp.OnOtherOutcomes(whole, aCounts.bad);
    }
  }
}

// Evaluates the tests of a route and applies the brake on an alarm.
void MoveController::Impl::Check(Now aNow, TrackedMove& aTracked, const std::string& aName,
                                 RouteState& aRoute)
{
  aRoute.bad.Step(aNow.steady, 0);
  aRoute.slow.Step(aNow.steady, 0);
  aRoute.score = std::max(aRoute.bad.Score(), aRoute.slow.Score());
  const char* kind = AlarmName(aRoute.bad, aRoute.slow);
  std::string location = "on route " + aName;
  for (std::size_t index = 0; index < aRoute.levels.size(); ++index) {
    LevelState& level = aRoute.levels[index];
    level.bad.Step(aNow.steady, aRoute.bad.OldRate(0));
    level.slow.Step(aNow.steady, aRoute.slow.OldRate(0));
    if (aRoute.newOutcomes - level.lastOutcomeIndex < kMaxLevelAgeOutcomes) {
      aRoute.score = std::max({ aRoute.score, level.bad.Score(), level.slow.Score() });
    }
    const char* levelKind = AlarmName(level.bad, level.slow);
    if (kind == nullptr && levelKind != nullptr) {
      kind = levelKind;
      location += " at load level " + std::to_string(index);
    }
  }
  if (kind != nullptr && !aTracked.isBraked && !aTracked.verdict) {
    this->ApplyBrake(aNow, aTracked, std::string(kind) + " " + location, Duration::zero());
  }
}

void MoveController::Impl::OnEvidence(Now aNow, NodeId aFrom, const EvidenceReport& aReport)
{
  for (const Evidence& row : aReport.counts) {
    TrackedMove* tracked = this->FindRunning(row.pool);
    const bool isRelevant =
      tracked != nullptr && (row.version == tracked->move.from || row.version == tracked->move.to);
    if (!isRelevant || row.loadLevel >= kLoadLevels) {
      continue;
    }
    const bool isNew = row.version == tracked->move.to;
    RouteState& route = this->RouteOf(aNow, *tracked, row.route);
    LevelState& level = route.levels[row.loadLevel];
    const Counts total{ static_cast<double>(row.good), static_cast<double>(row.bad),
                        static_cast<double>(row.slow) };
    const Counts step = (isNew ? level.remoteNew : level.remoteOld).Advance(aFrom, total);
    if (step.Total() > 0) {
      this->AddCounts(aNow, *tracked, route, row.loadLevel, isNew, step);
      this->Check(aNow, *tracked, row.route, route);
    }
  }
}

void MoveController::Impl::OnBrake(Now aNow, const Brake& aBrake)
{
  for (auto& [pool, tracked] : this->tracked) {
    if (tracked.move.name != aBrake.move || tracked.move.to != aBrake.version) {
      continue;
    }
    const bool isRunning = tracked.move.stage == MoveStage::kRunning;
    if (isRunning && !tracked.isBraked) {
      const auto spread = static_cast<std::int64_t>(this->random.Below(kRemoteVerdictWait.count()));
      this->ApplyBrake(aNow, tracked, "braked by another node",
                       kRemoteVerdictWait + Duration(spread));
    }
    return;
  }
  if (this->earlyBrakes.size() < kMaxEarlyBrakes) {
    this->earlyBrakes.emplace(aBrake.move, aBrake.version);
  }
}

// Stops new requests of this entry to the version at once, notifies the other entries and schedules
// the verdict.
void MoveController::Impl::ApplyBrake(Now aNow, TrackedMove& aTracked, std::string aReason,
                                      Duration aVerdictDelay)
{
  aTracked.isBraked = true;
  aTracked.reason = std::move(aReason);
  this->actions.brakes.push_back({ aTracked.move.name, aTracked.move.to });
  this->Note(aNow, aTracked.move, { Field("stage", "braked"), Field("reason", aTracked.reason) });
  this->SetVerdict(aNow, aTracked, "taken_back", aVerdictDelay);
}

// ---- Verdicts

// Encodes the verdict record. It is appended until a verdict is read back: the first verdict in the
// log decides, whichever entry wrote it.
void MoveController::Impl::SetVerdict(Now aNow, TrackedMove& aTracked, const char* aStage,
                                      Duration aDelay)
{
  nlohmann::json evidence = nlohmann::json::array();
  for (const auto& [name, route] : aTracked.routes) {
    for (std::size_t index = 0; index < route.levels.size(); ++index) {
      const Counts& counts = route.levels[index].newCounts;
      if (counts.Total() > 0) {
        evidence.push_back({ { "route", name },
                             { "load_level", index },
                             { "good", counts.good },
                             { "bad", counts.bad },
                             { "slow", counts.slow } });
      }
    }
  }
  Record record;
  record.kind = RecordKind::kVerdict;
  record.kindName = caraway::ToString(record.kind);
  record.name = aTracked.move.name;
  record.changeId = "verdict-" + FormatUuid(MakeUuid7(aNow.wall, this->random));
  record.baseRevision = aTracked.move.revision;
  record.body = { { "move", aTracked.move.name },
                  { "stage", aStage },
                  { "reason", aTracked.reason },
                  { "evidence", std::move(evidence) } };
  aTracked.verdict = EncodeRecord(record);
  aTracked.verdictDue = aNow.steady + aDelay;
  this->AppendVerdict(aNow, aTracked);
}

void MoveController::Impl::AppendVerdict(Now aNow, TrackedMove& aTracked)
{
  if (aTracked.verdict && aNow.steady >= aTracked.verdictDue) {
    this->actions.records.push_back(*aTracked.verdict);
    aTracked.verdictDue = aNow.steady + kVerdictRetryInterval;
  }
}

// ---- Timers

void MoveController::Impl::OnTimer(Now aNow)
{
  const bool isEvidenceDue = aNow.steady >= this->evidenceDue;
  const bool isStepDue = aNow.steady >= this->stepDue;
  for (auto& [pool, tracked] : this->tracked) {
    if (tracked.move.stage != MoveStage::kRunning) {
      continue;
    }
    this->AppendVerdict(aNow, tracked);
    if (isEvidenceDue) {
      this->SendEvidence(tracked);
    }
    if (isStepDue && !tracked.isBraked && !tracked.verdict) {
      this->StepRamps(aNow, tracked);
      this->CompleteIfDue(aNow, tracked);
    }
  }
  if (isEvidenceDue) {
    this->evidenceDue = aNow.steady + this->options.evidencePeriod;
  }
  if (isStepDue) {
    this->stepDue = aNow.steady + kClusterWindow;
  }
}

TimePoint MoveController::Impl::NextTimer() const
{
  TimePoint timer = std::min(this->evidenceDue, this->stepDue);
  for (const auto& [pool, tracked] : this->tracked) {
    timer = std::min(timer, tracked.verdictDue);
  }
  return timer;
}

// Raises the shares of the routes whose outcomes allow it.
void MoveController::Impl::StepRamps(Now aNow, TrackedMove& aTracked)
{
  for (auto& [name, route] : aTracked.routes) {
    this->Check(aNow, aTracked, name, route);
    if (aTracked.isBraked) {
      return;
    }
    const double before = route.ramp.Share();
    if (route.score < kMaxRampScore) {
      route.ramp.Step(aNow);
    }
    if (route.ramp.Share() > before) {
      this->Note(aNow, aTracked.move,
                 { Field("stage", "share"), Field("route", name),
                   Field("share", std::to_string(route.ramp.Share())) });
    }
  }
}

// Completes the move when every route has had its full share for the soak time, or at the deadline
// if there were no outcomes.
void MoveController::Impl::CompleteIfDue(Now aNow, TrackedMove& aTracked)
{
  const auto whole =
    std::chrono::duration_cast<Duration>(aTracked.move.finishBy - aTracked.move.startedAt);
  const Duration soak = std::min(this->options.moveSoak, whole / 4);
  bool isFull = true;
  double outcomes = 0;
  for (const auto& [name, route] : aTracked.routes) {
    outcomes += route.outcomes;
    isFull = isFull && route.ramp.IsFull() && aNow.steady >= route.ramp.FullSince() + soak &&
             route.score < kMaxRampScore;
  }
  const bool isOver = aNow.wall >= aTracked.move.finishBy;
  if (outcomes > 0 && isFull) {
    aTracked.reason = "proved on every route";
    this->SetVerdict(aNow, aTracked, "done", Duration::zero());
  } else if (outcomes <= 0 && isOver) {
    aTracked.reason = "no requests to judge by";
    this->SetVerdict(aNow, aTracked, "done", Duration::zero());
  } else if (isOver && !aTracked.isLate) {
    aTracked.isLate = true;
    this->Note(aNow, aTracked.move, { Field("stage", "late") });
  }
}

void MoveController::Impl::SendEvidence(TrackedMove& aTracked)
{
  for (auto& [name, route] : aTracked.routes) {
    for (std::size_t index = 0; index < route.levels.size(); ++index) {
      LevelState& level = route.levels[index];
      for (const bool isNew : { false, true }) {
        (isNew ? level.remoteNew : level.remoteOld).MarkSent();
        Evidence& unsent = isNew ? level.unsentNew : level.unsentOld;
        if (unsent.good + unsent.bad + unsent.slow == 0) {
          continue;
        }
        unsent.pool = aTracked.move.pool;
        unsent.version = isNew ? aTracked.move.to : aTracked.move.from;
        unsent.route = name;
        unsent.loadLevel = static_cast<std::uint8_t>(index);
        this->actions.evidence.push_back(unsent);
        unsent = {};
      }
    }
  }
}

// ---- Events and status

void MoveController::Impl::Note(Now aNow, const Move& aMove, std::vector<EventField> aFields)
{
  Event event;
  event.time = aNow.steady;
  event.kind = EventKind::kMove;
  event.subject = aMove.name;
  event.fields = std::move(aFields);
  event.fields.push_back(Field("pool", aMove.pool));
  this->events.Note(event);
}

std::string MoveController::Impl::StatusJson(Now /*aNow*/) const
{
  nlohmann::json list = nlohmann::json::array();
  for (const auto& [pool, tracked] : this->tracked) {
    nlohmann::json routes = nlohmann::json::array();
    for (const auto& [name, route] : tracked.routes) {
      Counts counts;
      for (const LevelState& level : route.levels) {
        counts = counts + level.newCounts;
      }
      routes.push_back({ { "route", name },
                         { "share", route.ramp.Share() },
                         { "sent", route.ramp.Sent() },
                         { "total", route.ramp.Total() },
                         { "good", counts.good },
                         { "bad", counts.bad },
                         { "slow", counts.slow },
                         { "score", route.score } });
    }
    list.push_back(
      { { "move", tracked.move.name },
        { "pool", pool },
        { "from", tracked.move.from },
        { "to", tracked.move.to },
        { "stage", ToString(tracked.move.stage) },
        { "braked", tracked.isBraked },
        { "late", tracked.isLate },
        { "reason", tracked.move.reason.empty() ? tracked.reason : tracked.move.reason },
        { "finish_by_ms", tracked.move.finishBy.time_since_epoch().count() },
        { "routes", std::move(routes) } });
  }
  return list.dump();
}

// ---- Public interface

MoveController::MoveController(const EntryOptions& aOptions, Random& aRandom, EventSink& aEvents)
  : impl(std::make_unique<Impl>(aOptions, aRandom, aEvents))
{
}

MoveController::~MoveController() = default;

void MoveController::OnConfig(Now aNow, const ConfigState& aConfig)
{
  this->impl->OnConfig(aNow, aConfig);
}

std::optional<std::string> MoveController::ChooseVersion(Now aNow, const std::string& aPool,
                                                         const std::string& aRoute)
{
  return this->impl->ChooseVersion(aNow, aPool, aRoute);
}

std::optional<std::string> MoveController::FallbackVersion(const std::string& aPool) const
{
  return this->impl->FallbackVersion(aPool);
}

bool MoveController::IsBraked(const std::string& aPool, const std::string& aVersion) const
{
  return this->impl->IsBraked(aPool, aVersion);
}

void MoveController::OnOutcome(Now aNow, const std::string& aPool, const std::string& aVersion,
                               const std::string& aRoute, std::uint8_t aLoadLevel, Quality aQuality)
{
  this->impl->OnOutcome(aNow, aPool, aVersion, aRoute, aLoadLevel, aQuality);
}

void MoveController::OnEvidence(Now aNow, NodeId aFrom, const EvidenceReport& aReport)
{
  this->impl->OnEvidence(aNow, aFrom, aReport);
}

void MoveController::OnBrake(Now aNow, const Brake& aBrake)
{
  this->impl->OnBrake(aNow, aBrake);
}

void MoveController::OnTimer(Now aNow)
{
  this->impl->OnTimer(aNow);
}

TimePoint MoveController::NextTimer() const
{
  return this->impl->NextTimer();
}

MoveActions MoveController::TakeActions()
{
  return std::exchange(this->impl->actions, {});
}

std::string MoveController::StatusJson(Now aNow) const
{
  return this->impl->StatusJson(aNow);
}

} // namespace caraway
