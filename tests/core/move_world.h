// Simulation of a version move in virtual time: several entries with their MoveController, the
// agents that forward evidence and brakes, and a log that can be unavailable. Engines are modelled
// by failure rates.
#pragma once

#include "core/evidence_totals.h"
#include "core/move.h"
#include "records.h"

#include <functional>
#include <memory>
#include <queue>
#include <string>
#include <vector>

namespace caraway::test {

// Behaviour of the new version.
struct Version
{
  double badRatio = 0;   // share of requests that fail
  double slowRatio = 0;  // share of requests that end outside the targets
  Duration badFrom{};    // before this time it behaves like the old version
  int fromLoadLevel = 0; // likewise below this load level
  std::string onlyRoute; // likewise on other routes; empty for no such limit
};

struct MoveScenario
{
  Version version;
  double requestsPerSecond = 20;
  std::size_t entries = 3;
  Duration window = std::chrono::minutes(10); // from the start of the move to its deadline
  Duration logDownFrom = Duration::max();
  Duration logDownFor{};
  double baseBadRatio = 0.005; // of both versions
  double baseSlowRatio = 0.02;
  EntryOptions options;
};

struct MoveReport
{
  MoveStage stage = MoveStage::kRunning;
  std::string reason;
  std::string status; // of the first entry
  std::uint64_t requests = 0;
  std::uint64_t sentToNew = 0;
  std::uint64_t affected = 0;              // requests that the new version failed or slowed down
  Duration endedAt{};                      // time when all entries had read the verdict
  Duration firstFailure = Duration::max(); // first failure due to the new version
  Duration firstBrake = Duration::max();
  Duration lastNew{}; // last request that was sent to the new version

  double AffectedShare() const
  {
    return static_cast<double>(this->affected) / static_cast<double>(std::max(this->requests, 1UL));
  }
};

class MoveWorld : public EventSink
{
public:
  MoveWorld(const MoveScenario& aScenario, std::uint64_t aSeed)
    : scenario(aScenario)
    , random(aSeed)
  {
    for (std::size_t index = 0; index < aScenario.entries; ++index) {
      this->entries.push_back(
        std::make_unique<EntryNode>(aScenario.options, aSeed * 1000 + index, *this));
    }
  }

  // Runs until 30 s after the deadline.
  MoveReport Run()
  {
    const auto start = kStart.time_since_epoch().count();
    nlohmann::json body = MoveBody("chat");
    body["started_at_ms"] = start;
    body["finish_by_ms"] =
      start + std::chrono::duration_cast<std::chrono::milliseconds>(this->scenario.window).count();
    this->log.push_back(
      EncodeRecord(MakeRecord(RecordKind::kMove, "m", "c1", std::nullopt, std::move(body))));
    for (std::size_t index = 0; index < this->entries.size(); ++index) {
      this->ReadLog(index);
      this->EntryTick(index);
    }
    this->Arrive();
    this->AgentTick();
    const Duration end = this->scenario.window + std::chrono::seconds(30);
    while (!this->events.empty() && this->events.top().at < end) {
      const Scheduled next = this->events.top();
      this->events.pop();
      this->time = next.at;
      next.run();
    }
    this->Conclude();
    return this->report;
  }

private:
  static constexpr WallTime kStart{ std::chrono::milliseconds(1764816512345) };
  static constexpr Duration kMessageDelay = std::chrono::milliseconds(1);
  static constexpr Duration kLogDelay = std::chrono::milliseconds(50);
  static constexpr Duration kLogPollInterval = std::chrono::milliseconds(100);
  static constexpr Duration kMeanWork = std::chrono::seconds(2);
  static constexpr int kSlots = 48;         // of each version
  static constexpr std::size_t kAgents = 2; // of each version

  struct Scheduled
  {
    Duration at;
    std::uint64_t order;
    std::function<void()> run;
    bool operator<(const Scheduled& aOther) const
    {
      return std::tie(aOther.at, aOther.order) < std::tie(this->at, this->order);
    }
  };

  struct EntryNode
  {
    EntryNode(const EntryOptions& aOptions, std::uint64_t aSeed, EventSink& aSink)
      : random(aSeed)
      , moves(aOptions, random, aSink)
    {
    }
    Random random;
    MoveController moves;
    ConfigState config;
    MoveStage stage = MoveStage::kRunning;
  };

  struct AgentNode
  {
    EvidenceTotals totals;
  };

  void Note(const Event& aEvent) override
  {
    for (const EventField& field : aEvent.fields) {
      if (field.key == "stage" && field.value == "braked") {
        this->report.firstBrake = std::min(this->report.firstBrake, this->time);
      }
    }
  }

  Now Time() const
  {
    return { TimePoint(this->time),
             kStart + std::chrono::duration_cast<std::chrono::milliseconds>(this->time) };
  }

  void After(Duration aDelay, std::function<void()> aRun)
  {
    this->events.push({ this->time + aDelay, this->order++, std::move(aRun) });
  }

  Duration Exponential(double aMeanSeconds)
  {
    const double value = -std::log(1 - this->random.Unit()) * aMeanSeconds;
    return Duration(static_cast<std::int64_t>(value * 1e6));
  }

  void Arrive()
  {
    this->After(this->Exponential(1 / this->scenario.requestsPerSecond), [this] {
      this->Request();
      this->Arrive();
    });
  }

  void Request()
  {
    const std::size_t entry = this->random.Below(this->entries.size());
    const double draw = this->random.Unit();
    const std::string route = draw < 0.6 ? "/chat" : draw < 0.9 ? "/draft" : "/status";
    const auto version = this->entries[entry]->moves.ChooseVersion(this->Time(), "chat", route);
    const bool isNew = version == "v2";
    const bool inWindow = this->time < this->scenario.window;
    this->report.requests += inWindow ? 1 : 0;
    if (isNew && this->entries[entry]->stage == MoveStage::kRunning) {
      this->report.lastNew = this->time;
    }
    this->report.sentToNew += isNew ? 1 : 0;
    int& running = this->running[isNew ? 1 : 0];
    const int level = std::min(3, running * 4 / kSlots);
    ++running;
    const std::uint64_t affectedBefore = this->report.affected;
    const Quality quality = this->Draw(isNew, route, level);
    const bool isAffected = this->report.affected > affectedBefore;
    this->After(this->Exponential(2) / (quality == Quality::kBad ? 4 : 1),
                [this, entry, route, isNew, level, quality, isAffected] {
                  if (isAffected) {
                    this->report.firstFailure = std::min(this->report.firstFailure, this->time);
                  }
                  --this->running[isNew ? 1 : 0];
                  this->Answer(entry, route, isNew, level, quality);
                });
  }

  Quality Draw(bool aIsNew, const std::string& aRoute, int aLevel)
  {
    const Version& version = this->scenario.version;
    const bool isDefective = aIsNew && this->time >= version.badFrom &&
                             aLevel >= version.fromLoadLevel &&
                             (version.onlyRoute.empty() || version.onlyRoute == aRoute);
    if (isDefective && this->random.Unit() < version.badRatio) {
      ++this->report.affected;
      return Quality::kBad;
    }
    if (isDefective && this->random.Unit() < version.slowRatio) {
      ++this->report.affected;
      return Quality::kSlow;
    }
    const double draw = this->random.Unit();
    const double bad = this->scenario.baseBadRatio;
    return draw < bad                                  ? Quality::kBad
           : draw < bad + this->scenario.baseSlowRatio ? Quality::kSlow
                                                       : Quality::kGood;
  }

  void Answer(std::size_t aEntry, const std::string& aRoute, bool aIsNew, int aLevel,
              Quality aQuality)
  {
    this->entries[aEntry]->moves.OnOutcome(this->Time(), "chat", aIsNew ? "v2" : "v1", aRoute,
                                           static_cast<std::uint8_t>(aLevel), aQuality);
    this->ApplyActions(aEntry);
  }

  // Executes the pending actions of an entry.
  void ApplyActions(std::size_t aEntry)
  {
    const MoveActions actions = this->entries[aEntry]->moves.TakeActions();
    for (const Evidence& evidence : actions.evidence) {
      for (AgentNode& agent : this->agents[evidence.version == "v2" ? 1 : 0]) {
        this->After(kMessageDelay, [&agent, evidence] { agent.totals.Add({ { evidence } }); });
      }
    }
    for (const Brake& brake : actions.brakes) {
      for (std::size_t other = 0; other < this->entries.size(); ++other) {
        this->After(2 * kMessageDelay, [this, other, brake] {
          this->entries[other]->moves.OnBrake(this->Time(), brake);
          this->ApplyActions(other);
        });
      }
    }
    for (const std::string& record : actions.records) {
      this->After(kLogDelay, [this, record] {
        if (!this->IsLogDown()) {
          this->log.push_back(record);
        }
      });
    }
  }

  bool IsLogDown() const
  {
    return this->time >= this->scenario.logDownFrom &&
           this->time - this->scenario.logDownFrom < this->scenario.logDownFor;
  }

  void ReadLog(std::size_t aEntry)
  {
    EntryNode& entry = *this->entries[aEntry];
    const LogOffset before = entry.config.Next();
    while (!this->IsLogDown() && entry.config.Next() < this->log.size()) {
      entry.config.Apply({ entry.config.Next(), this->log[entry.config.Next()] });
    }
    if (entry.config.Next() != before) {
      entry.moves.OnConfig(this->Time(), entry.config);
      entry.stage = entry.config.FindMove("m")->stage;
      this->ApplyActions(aEntry);
    }
  }

  void EntryTick(std::size_t aEntry)
  {
    this->ReadLog(aEntry);
    this->entries[aEntry]->moves.OnTimer(this->Time());
    this->ApplyActions(aEntry);
    const bool hasEnded = std::ranges::none_of(
      this->entries, [](const auto& aNode) { return aNode->stage == MoveStage::kRunning; });
    if (hasEnded && this->report.endedAt == Duration::zero()) {
      this->report.endedAt = this->time;
    }
    this->After(kLogPollInterval, [this, aEntry] { this->EntryTick(aEntry); });
  }

  void AgentTick()
  {
    for (std::size_t version = 0; version < 2; ++version) {
      for (std::size_t index = 0; index < kAgents; ++index) {
        EvidenceTotals& totals = this->agents[version][index].totals;
        if (!totals.IsChanged()) {
          continue;
        }
        const EvidenceReport all = totals.Take();
        for (std::size_t entry = 0; entry < this->entries.size(); ++entry) {
          this->entries[entry]->moves.OnEvidence(this->Time(), NodeId{ 100 + version * 10 + index },
                                                 all);
          this->ApplyActions(entry);
        }
      }
    }
    this->After(std::chrono::seconds(1), [this] { this->AgentTick(); });
  }

  void Conclude()
  {
    const Move* move = this->entries.front()->config.FindMove("m");
    this->report.stage = move->stage;
    this->report.reason = move->reason;
    this->report.status = this->entries.front()->moves.StatusJson(this->Time());
  }

  MoveScenario scenario;
  Random random;
  std::vector<std::unique_ptr<EntryNode>> entries;
  std::array<std::array<AgentNode, kAgents>, 2> agents;
  std::array<int, 2> running{};
  std::vector<std::string> log;
  std::priority_queue<Scheduled> events;
  std::uint64_t order = 0;
  Duration time{};
  MoveReport report;
};

} // namespace caraway::test
