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

constexpr Duration kClusterWindow = milliseconds(100); // failures inside it may have one cause
constexpr double kMaxHits = 1;                         // failures counted in one window
constexpr Duration kVerdictRetry = seconds(2);         // until a verdict is appended again
constexpr Duration kForeignVerdict = seconds(3);       // wait for the verdict of another's brake
constexpr std::size_t kMaxRoutes = 64;                 // judged apart; the rest is one route
constexpr std::size_t kMaxEarlyBrakes = 64;            // for moves whose record was not read yet
constexpr double kHoldScore = 0.3;    // share of the alarm threshold at which the share stays
constexpr double kStaleOutcomes = 20; // on a route since a load level had its last one
constexpr std::string_view kOtherRoutes = "(other)";

// A false alarm takes back a good version, a late one hurts callers. At 160,000 outcomes to a false
// alarm, three failures in a row are one.
constexpr VersionTest::Limits kBadLimits{ 0.01, 0.05, 160000, kClusterWindow, kMaxHits };
constexpr VersionTest::Limits kSlowLimits{ 0.05, 0.2, 160000, kClusterWindow, kMaxHits };

// Counted outcomes of one version, route and load level.
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

// Outcomes of other entries, from the running totals of several agents, each of which may restart,
// miss reports or start late. Totals include what this entry sent itself.
class OthersTotal
{
public:
  void AddOwn(const Counts& aCounts) { this->own = this->own + aCounts; }
  // What this entry has counted so far is on its way to the agents.
  void MarkSent() { this->sent = this->own; }

  // Takes an agent's total; returns what is new in it and not from this entry.
  Counts Advance(NodeId aAgent, const Counts& aTotal)
  {
    if (this->agents.empty()) {
      this->fleet = this->sent;
    }
    const auto [agent, isFirst] = this->agents.try_emplace(aAgent);
    const bool restarted = aTotal.Total() < agent->second.last;
    if (isFirst || restarted) {
      agent->second.offset = this->fleet - aTotal;
    }
    agent->second.last = aTotal.Total();
    const Counts seen = aTotal + agent->second.offset;
    if (seen.Total() > this->fleet.Total()) {
      this->fleet = seen;
    }
    const Counts others = this->fleet - this->sent;
    const Counts step = others - this->taken;
    // Own reports that have not arrived yet make it look smaller for a moment.
    if (step.Total() <= 0 || step.good < 0 || step.bad < 0 || step.slow < 0) {
      return {};
    }
    this->taken = others;
    return step;
  }

private:
  struct Agent
  {
    Counts offset;
    double last = 0;
  };

  std::map<NodeId, Agent> agents;
  Counts fleet;
  Counts own;
  Counts sent;
  Counts taken;
};

// Judgement of one load level of a route.
struct Level
{
  VersionTest bad{ kBadLimits };
  VersionTest slow{ kSlowLimits };
  OthersTotal othersOld;
  OthersTotal othersNew;
  Counts newCounts; // of everybody
  Evidence unsentOld;
  Evidence unsentNew;
  double lastAt = 0; // outcomes of the new version on the route when the last one came here
};

// Judgement of a route: by load level, and over all levels for failures that don't depend on load.
struct Route
{
  Route(const RampPlan& aPlan, Now aNow, double aPhase)
    : ramp(aPlan, aNow, aPhase)
  {
  }

  Ramp ramp;
  std::array<Level, kLoadLevels> levels;
  VersionTest bad{ kBadLimits };
  VersionTest slow{ kSlowLimits };
  double outcomes = 0;    // of both versions and all entries
  double newOutcomes = 0; // of the new version
  double score = 0;       // worst of the tests that still get outcomes
};

// State of the latest move of one pool.
struct Tracked
{
  Move move;
  std::map<std::string, Route, std::less<>> routes;
  bool braked = false;
  bool late = false;
  std::string reason;                 // of the verdict that is due
  std::optional<std::string> verdict; // record to append until one is read back
  TimePoint verdictDue = kNever;
  bool hasOutcomes = false; // since the last step
};

// Word for the alarm of a pair of tests; nullptr if there is none.
const char* AlarmOf(const VersionTest& aBad, const VersionTest& aSlow)
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
  std::optional<std::string> Choose(Now aNow, const std::string& aPool, const std::string& aRoute);
  std::optional<std::string> Fallback(const std::string& aPool) const;
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
  Tracked* FindRunning(const std::string& aPool);
  Route& RouteOf(Now aNow, Tracked& aTracked, const std::string& aRoute);
  void AddCounts(Now aNow, Tracked& aTracked, Route& aRoute, std::uint8_t aLevel, bool aIsNew,
                 const Counts& aCounts);
  void Check(Now aNow, Tracked& aTracked, const std::string& aName, Route& aRoute);
  void PullBrake(Now aNow, Tracked& aTracked, std::string aReason, Duration aVerdictDelay);
  void StepRamps(Now aNow, Tracked& aTracked);
  void TryDone(Now aNow, Tracked& aTracked);
  void SetVerdict(Now aNow, Tracked& aTracked, const char* aStage, Duration aDelay);
  void AppendVerdict(Now aNow, Tracked& aTracked);
  void SendEvidence(Tracked& aTracked);
  void Note(Now aNow, const Move& aMove, std::vector<EventField> aFields);

  EntryOptions options;
  Random& random;
  EventSink& events;
  std::map<std::string, Tracked, std::less<>> tracked;       // by pool
  std::set<std::pair<std::string, std::string>> earlyBrakes; // move and version
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

// Takes over the latest move of a pool. A running one whose record was replaced goes on from where
// it stands.
void MoveController::Impl::Track(Now aNow, const Move& aMove)
{
  Tracked& current = this->tracked[aMove.pool];
  const Move& known = current.move;
  if (known.revision == aMove.revision && known.stage == aMove.stage && known.name == aMove.name) {
    return;
  }
  const bool same = known.name == aMove.name && known.from == aMove.from && known.to == aMove.to;
  const bool goesOn = same && known.stage == MoveStage::kRunning;
  if (!goesOn) {
    current = Tracked{};
  }
  current.move = aMove;
  for (auto& [name, route] : current.routes) {
    route.ramp.Replan(this->PlanOf(aMove));
  }
  std::vector<EventField> fields = { Field("stage", std::string(ToString(aMove.stage))),
                                     Field("from", aMove.from), Field("to", aMove.to) };
  if (aMove.stage != MoveStage::kRunning) {
    current.verdict.reset();
    current.verdictDue = kNever;
    current.routes.clear();
    fields.push_back(Field("reason", aMove.reason));
  } else if (current.verdict) {
    this->SetVerdict(aNow, current, current.braked ? "taken_back" : "done", Duration::zero());
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

Tracked* MoveController::Impl::FindRunning(const std::string& aPool)
{
  const auto found = this->tracked.find(aPool);
  const bool running =
    found != this->tracked.end() && found->second.move.stage == MoveStage::kRunning;
  return running ? &found->second : nullptr;
}

Route& MoveController::Impl::RouteOf(Now aNow, Tracked& aTracked, const std::string& aRoute)
{
  const auto found = aTracked.routes.find(aRoute);
  if (found != aTracked.routes.end()) {
    return found->second;
  }
  const bool full = aTracked.routes.size() >= kMaxRoutes;
  const std::string name = full ? std::string(kOtherRoutes) : aRoute;
  return aTracked.routes.try_emplace(name, this->PlanOf(aTracked.move), aNow, this->random.Unit())
    .first->second;
}

std::optional<std::string> MoveController::Impl::Choose(Now aNow, const std::string& aPool,
                                                        const std::string& aRoute)
{
  const auto found = this->tracked.find(aPool);
  if (found == this->tracked.end()) {
    return std::nullopt;
  }
  Tracked& tracked = found->second;
  const Move& move = tracked.move;
  if (move.stage == MoveStage::kDone) {
    return move.to;
  }
  if (tracked.braked || move.stage == MoveStage::kRolledBack) {
    return move.from;
  }
  return this->RouteOf(aNow, tracked, aRoute).ramp.Take() ? move.to : move.from;
}

// While a move runs the old version may always be used instead; the new one must not get more than
// its share.
std::optional<std::string> MoveController::Impl::Fallback(const std::string& aPool) const
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
  return found->second.braked || found->second.move.stage == MoveStage::kRolledBack;
}

// ---- Evidence

void MoveController::Impl::OnOutcome(Now aNow, const std::string& aPool,
                                     const std::string& aVersion, const std::string& aRoute,
                                     std::uint8_t aLoadLevel, Quality aQuality)
{
  Tracked* tracked = this->FindRunning(aPool);
  if (tracked == nullptr || (aVersion != tracked->move.from && aVersion != tracked->move.to)) {
    return;
  }
  const bool isNew = aVersion == tracked->move.to;
  const std::uint8_t level = std::min<std::uint8_t>(aLoadLevel, kLoadLevels - 1);
  Counts counts;
  (aQuality == Quality::kGood  ? counts.good
   : aQuality == Quality::kBad ? counts.bad
                               : counts.slow) = 1;
  Route& route = this->RouteOf(aNow, *tracked, aRoute);
  Level& here = route.levels[level];
  Evidence& unsent = isNew ? here.unsentNew : here.unsentOld;
  unsent.good += aQuality == Quality::kGood ? 1 : 0;
  unsent.bad += aQuality == Quality::kBad ? 1 : 0;
  unsent.slow += aQuality == Quality::kSlow ? 1 : 0;
  (isNew ? here.othersNew : here.othersOld).AddOwn(counts);
  this->AddCounts(aNow, *tracked, route, level, isNew, counts);
  this->Check(aNow, *tracked, aRoute, route);
}

// Brings outcomes, own or of others, to the tests and the ramp.
void MoveController::Impl::AddCounts(Now aNow, Tracked& aTracked, Route& aRoute,
                                     std::uint8_t aLevel, bool aIsNew, const Counts& aCounts)
{
  Level& level = aRoute.levels[aLevel];
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
  level.lastAt = aRoute.newOutcomes;
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

// Evaluates the tests of a route and brakes on an alarm.
void MoveController::Impl::Check(Now aNow, Tracked& aTracked, const std::string& aName,
                                 Route& aRoute)
{
  aRoute.bad.Step(aNow.steady, 0);
  aRoute.slow.Step(aNow.steady, 0);
  aRoute.score = std::max(aRoute.bad.Score(), aRoute.slow.Score());
  const char* kind = AlarmOf(aRoute.bad, aRoute.slow);
  std::string place = "on route " + aName;
  for (std::size_t index = 0; index < aRoute.levels.size(); ++index) {
    Level& level = aRoute.levels[index];
    level.bad.Step(aNow.steady, aRoute.bad.OldRate(0));
    level.slow.Step(aNow.steady, aRoute.slow.OldRate(0));
    if (aRoute.newOutcomes - level.lastAt < kStaleOutcomes) {
      aRoute.score = std::max({ aRoute.score, level.bad.Score(), level.slow.Score() });
    }
    const char* levelKind = AlarmOf(level.bad, level.slow);
    if (kind == nullptr && levelKind != nullptr) {
      kind = levelKind;
      place += " at load level " + std::to_string(index);
    }
  }
  if (kind != nullptr && !aTracked.braked && !aTracked.verdict) {
    this->PullBrake(aNow, aTracked, std::string(kind) + " " + place, Duration::zero());
  }
}

void MoveController::Impl::OnEvidence(Now aNow, NodeId aFrom, const EvidenceReport& aReport)
{
  for (const Evidence& row : aReport.counts) {
    Tracked* tracked = this->FindRunning(row.pool);
    const bool concerns =
      tracked != nullptr && (row.version == tracked->move.from || row.version == tracked->move.to);
    if (!concerns || row.loadLevel >= kLoadLevels) {
      continue;
    }
    const bool isNew = row.version == tracked->move.to;
    Route& route = this->RouteOf(aNow, *tracked, row.route);
    Level& level = route.levels[row.loadLevel];
    const Counts total{ static_cast<double>(row.good), static_cast<double>(row.bad),
                        static_cast<double>(row.slow) };
    const Counts step = (isNew ? level.othersNew : level.othersOld).Advance(aFrom, total);
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
    const bool running = tracked.move.stage == MoveStage::kRunning;
    if (running && !tracked.braked) {
      const auto spread = static_cast<std::int64_t>(this->random.Below(kForeignVerdict.count()));
      this->PullBrake(aNow, tracked, "braked by another node", kForeignVerdict + Duration(spread));
    }
    return;
  }
  if (this->earlyBrakes.size() < kMaxEarlyBrakes) {
    this->earlyBrakes.emplace(aBrake.move, aBrake.version);
  }
}

// Stops new requests to the version here at once; tells the others; the verdict follows.
void MoveController::Impl::PullBrake(Now aNow, Tracked& aTracked, std::string aReason,
                                     Duration aVerdictDelay)
{
  aTracked.braked = true;
  aTracked.reason = std::move(aReason);
  this->actions.brakes.push_back({ aTracked.move.name, aTracked.move.to });
  this->Note(aNow, aTracked.move, { Field("stage", "braked"), Field("reason", aTracked.reason) });
  this->SetVerdict(aNow, aTracked, "taken_back", aVerdictDelay);
}

// ---- Verdicts

// Prepares the verdict's record. It is appended until a verdict is read back: the first one in the
// log counts, whoever wrote it.
void MoveController::Impl::SetVerdict(Now aNow, Tracked& aTracked, const char* aStage,
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

void MoveController::Impl::AppendVerdict(Now aNow, Tracked& aTracked)
{
  if (aTracked.verdict && aNow.steady >= aTracked.verdictDue) {
    this->actions.records.push_back(*aTracked.verdict);
    aTracked.verdictDue = aNow.steady + kVerdictRetry;
  }
}

// ---- Time

void MoveController::Impl::OnTimer(Now aNow)
{
  const bool evidence = aNow.steady >= this->evidenceDue;
  const bool step = aNow.steady >= this->stepDue;
  for (auto& [pool, tracked] : this->tracked) {
    if (tracked.move.stage != MoveStage::kRunning) {
      continue;
    }
    this->AppendVerdict(aNow, tracked);
    if (evidence) {
      this->SendEvidence(tracked);
    }
    if (step && !tracked.braked && !tracked.verdict) {
      this->StepRamps(aNow, tracked);
      this->TryDone(aNow, tracked);
    }
  }
  if (evidence) {
    this->evidenceDue = aNow.steady + this->options.evidencePeriod;
  }
  if (step) {
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

// Raises the shares of the routes that have proved themselves.
void MoveController::Impl::StepRamps(Now aNow, Tracked& aTracked)
{
  for (auto& [name, route] : aTracked.routes) {
    this->Check(aNow, aTracked, name, route);
    if (aTracked.braked) {
      return;
    }
    const double before = route.ramp.Share();
    if (route.score < kHoldScore) {
      route.ramp.Step(aNow);
    }
    if (route.ramp.Share() > before) {
      this->Note(aNow, aTracked.move,
                 { Field("stage", "share"), Field("route", name),
                   Field("share", std::to_string(route.ramp.Share())) });
    }
  }
}

// Ends the move when every route has had the full share for the soak, or at the deadline when there
// was nothing to judge by.
void MoveController::Impl::TryDone(Now aNow, Tracked& aTracked)
{
  const auto whole =
    std::chrono::duration_cast<Duration>(aTracked.move.finishBy - aTracked.move.startedAt);
  const Duration soak = std::min(this->options.moveSoak, whole / 4);
  bool full = true;
  double outcomes = 0;
  for (const auto& [name, route] : aTracked.routes) {
    outcomes += route.outcomes;
    full = full && route.ramp.IsFull() && aNow.steady >= route.ramp.FullSince() + soak &&
           route.score < kHoldScore;
  }
  const bool isOver = aNow.wall >= aTracked.move.finishBy;
  if (outcomes > 0 && full) {
    aTracked.reason = "proved on every route";
    this->SetVerdict(aNow, aTracked, "done", Duration::zero());
  } else if (outcomes <= 0 && isOver) {
    aTracked.reason = "no requests to judge by";
    this->SetVerdict(aNow, aTracked, "done", Duration::zero());
  } else if (isOver && !aTracked.late) {
    aTracked.late = true;
    this->Note(aNow, aTracked.move, { Field("stage", "late") });
  }
}

void MoveController::Impl::SendEvidence(Tracked& aTracked)
{
  for (auto& [name, route] : aTracked.routes) {
    for (std::size_t index = 0; index < route.levels.size(); ++index) {
      Level& level = route.levels[index];
      for (const bool isNew : { false, true }) {
        (isNew ? level.othersNew : level.othersOld).MarkSent();
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

// ---- Reports

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
      for (const Level& level : route.levels) {
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
        { "braked", tracked.braked },
        { "late", tracked.late },
        { "reason", tracked.move.reason.empty() ? tracked.reason : tracked.move.reason },
        { "finish_by_ms", tracked.move.finishBy.time_since_epoch().count() },
        { "routes", std::move(routes) } });
  }
  return list.dump();
}

// ---- The interface

MoveController::MoveController(const EntryOptions& aOptions, Random& aRandom, EventSink& aEvents)
  : impl(std::make_unique<Impl>(aOptions, aRandom, aEvents))
{
}

MoveController::~MoveController() = default;

void MoveController::OnConfig(Now aNow, const ConfigState& aConfig)
{
  this->impl->OnConfig(aNow, aConfig);
}

std::optional<std::string> MoveController::Choose(Now aNow, const std::string& aPool,
                                                  const std::string& aRoute)
{
  return this->impl->Choose(aNow, aPool, aRoute);
}

std::optional<std::string> MoveController::Fallback(const std::string& aPool) const
{
  return this->impl->Fallback(aPool);
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
