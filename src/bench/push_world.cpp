#include "bench/push_world.h"

#include <algorithm>

namespace caraway::bench {

namespace {

// A caller whose deadline passed comes back after about this time.
constexpr Duration kComeBack = seconds(1);

} // namespace

std::unique_ptr<Placement> BaselineOf(const std::string& aPolicy)
{
  if (aPolicy == "random") {
    return std::make_unique<RandomPlacement>();
  }
  if (aPolicy == "round-robin") {
    return std::make_unique<RoundRobinPlacement>();
  }
  if (aPolicy == "least-stale-load") {
    return std::make_unique<LeastLoadPlacement>();
  }
  if (aPolicy == "two-choices") {
    return std::make_unique<TwoChoicesPlacement>();
  }
  return nullptr;
}

class PushWorld::Backend final : public EndpointEvents
{
public:
  Backend(const EngineProfile& aProfile, PushWorld& aWorld)
    : world(aWorld)
    , engine(aProfile, aWorld.site.schedule, aWorld.site.random, *this)
  {
  }

  void OnToken(const RequestId& aId, const std::string& aText) override
  {
    this->world.OnToken(aId, aText);
  }

  void OnEnd(const RequestId& aId, const WorkResult& aResult) override
  {
    this->world.OnEnd(aId, aResult);
  }

  EngineModel& Engine() { return this->engine; }

private:
  PushWorld& world;
  EngineModel engine;
};

PushWorld::PushWorld(std::uint64_t aSeed, std::size_t aEntries,
                     const std::vector<EngineProfile>& aEngines, const std::string& aPolicy,
                     Duration aReportAge)
  : site(aSeed)
{
  std::vector<Candidate> candidates;
  for (std::size_t i = 0; i < aEngines.size(); ++i) {
    this->engines.push_back(std::make_unique<Backend>(aEngines[i], *this));
    candidates.push_back({ NodeId{ i }, 0, 0, 0, 0 });
  }
  for (std::size_t i = 0; i < aEntries; ++i) {
    this->entries.push_back({ BaselineOf(aPolicy), candidates });
  }
  this->Report(aReportAge);
}

PushWorld::~PushWorld() = default;

const EngineModel& PushWorld::EngineAt(std::size_t aIndex) const
{
  return this->engines.at(aIndex)->Engine();
}

// Publishes every engine's load to all entries, again and again.
void PushWorld::Report(Duration aPeriod)
{
  for (PushEntry& entry : this->entries) {
    for (std::size_t i = 0; i < this->engines.size(); ++i) {
      entry.candidates[i].reportedLoad = this->engines[i]->Engine().Load();
    }
  }
  this->site.schedule.After(aPeriod, [this, aPeriod] { this->Report(aPeriod); });
}

std::size_t PushWorld::Choose(PushEntry& aEntry)
{
  aEntry.placement->Pick(aEntry.candidates, PlacementRequest{}, 1, this->site.random, this->chosen);
  return static_cast<std::size_t>(this->chosen.front());
}

void PushWorld::Submit(const Job& aJob)
{
  Job job = aJob;
  job.submitted = this->site.schedule.Time();
  const RequestId id = job.submission.id;
  this->site.jobs[id] = job;
  const std::size_t entry = this->site.random.Below(this->entries.size());
  const std::size_t engine = this->Choose(this->entries[entry]);
  ++this->entries[entry].candidates[engine].reserved;
  this->open[id] = { entry, engine, false };
  for (Observer* observer : this->site.observers) {
    observer->OnSubmit(job, NodeId{ entry });
    observer->OnDispatch(job, NodeId{ engine });
  }
  this->engines[engine]->Engine().Start(job, job.submission.body);
  this->site.schedule.After(job.submission.startWithin, [this, id] { this->OnStartDeadline(id); });
  this->site.schedule.After(job.submission.endWithin, [this, id] { this->OnEndDeadline(id); });
}

void PushWorld::OnToken(const RequestId& aId, const std::string& aText)
{
  const auto found = this->open.find(aId);
  if (found == this->open.end()) {
    return;
  }
  found->second.started = true;
  for (Observer* observer : this->site.observers) {
    observer->OnPart(this->site.jobs.at(aId), aText);
  }
}

void PushWorld::OnEnd(const RequestId& aId, const WorkResult& aResult)
{
  FinalAnswer answer;
  answer.outcome = aResult.end == WorkEnd::kComplete ? Outcome::kAnswered : Outcome::kCut;
  answer.reason = aResult.end == WorkEnd::kComplete ? Reason::kNone : Reason::kEndpointFailed;
  this->Finish(aId, answer);
}

void PushWorld::OnStartDeadline(const RequestId& aId)
{
  const auto found = this->open.find(aId);
  if (found == this->open.end() || found->second.started) {
    return;
  }
  this->engines[found->second.engine]->Engine().Cancel(aId);
  FinalAnswer answer;
  answer.outcome = Outcome::kNotRun;
  answer.reason = Reason::kDeadline;
  answer.retryAfter = kComeBack + Duration(this->site.random.Below(kComeBack.count()));
  this->Finish(aId, answer);
}

void PushWorld::OnEndDeadline(const RequestId& aId)
{
  const auto found = this->open.find(aId);
  if (found == this->open.end()) {
    return;
  }
  this->engines[found->second.engine]->Engine().Cancel(aId);
  FinalAnswer answer;
  answer.outcome = Outcome::kCut;
  answer.reason = Reason::kDeadline;
  this->Finish(aId, answer);
}

void PushWorld::Finish(const RequestId& aId, const FinalAnswer& aAnswer)
{
  const auto found = this->open.find(aId);
  if (found == this->open.end()) {
    return;
  }
  --this->entries[found->second.entry].candidates[found->second.engine].reserved;
  this->open.erase(found);
  const Job job = this->site.jobs.at(aId);
  for (Observer* observer : this->site.observers) {
    observer->OnFinal(job, aAnswer);
  }
  if (WantsRetry(job, aAnswer)) {
    this->site.schedule.After(aAnswer.retryAfter,
                              [this, job] { this->Submit(RetryOf(job, this->site)); });
  }
}

} // namespace caraway::bench
