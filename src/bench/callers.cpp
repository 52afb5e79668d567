#include "bench/callers.h"

#include "core/uuid.h"

#include <algorithm>
#include <utility>

namespace caraway::bench {

namespace {

// Time in which a caller notices that its connection broke and connects again.
constexpr Duration kReconnect = milliseconds(100);

// What the arrivals of one workload need.
struct Feeder
{
  Workload& workload;
  Site& site;
  TimePoint start;
  TimePoint end;
  std::function<void(const Job&)> submit;
};

// Plans the next arrival, which plans the one after it.
void FeedNext(const std::shared_ptr<Feeder>& aFeeder)
{
  const TimePoint time = aFeeder->start + aFeeder->workload.NextArrival();
  if (time >= aFeeder->end) {
    return;
  }
  aFeeder->site.schedule.At(time, [aFeeder] {
    aFeeder->submit(aFeeder->workload.NewJob(aFeeder->site.schedule.Read().wall));
    FeedNext(aFeeder);
  });
}

} // namespace

bool WantsRetry(const Job& aJob, const FinalAnswer& aAnswer)
{
  return aAnswer.outcome == Outcome::kNotRun && aAnswer.retryAfter > Duration(0) &&
         aJob.attempt < kRetries;
}

Job RetryOf(const Job& aJob, Site& aSite)
{
  Job job = aJob;
  job.submission.id = MakeUuid7(aSite.schedule.Read().wall, aSite.random);
  ++job.attempt;
  return job;
}

void Feed(Workload& aWorkload, Site& aSite, TimePoint aEnd, std::function<void(const Job&)> aSubmit)
{
  FeedNext(std::make_shared<Feeder>(
    Feeder{ aWorkload, aSite, aSite.schedule.Time(), aEnd, std::move(aSubmit) }));
}

Callers::Callers(Site& aSite)
  : site(aSite)
{
}

void Callers::SetEntries(std::vector<EntryHost*> aEntries)
{
  this->entries = std::move(aEntries);
}

EntryHost* Callers::PickEntry()
{
  std::vector<EntryHost*> ready;
  for (EntryHost* entry : this->entries) {
    if (entry->Alive() && !entry->Leaving()) {
      ready.push_back(entry);
    }
  }
  return ready.empty() ? nullptr : ready[this->site.random.Below(ready.size())];
}

void Callers::Submit(const Job& aJob)
{
  EntryHost* entry = this->PickEntry();
  if (entry != nullptr) {
    this->SubmitAt(*entry, aJob);
  }
}

void Callers::SubmitAt(EntryHost& aEntry, const Job& aJob)
{
  Job job = aJob;
  job.submitted = this->site.schedule.Time();
  const RequestId id = job.submission.id;
  this->site.jobs[id] = job;
  this->open[id] = OpenCall{ &aEntry, 0, std::nullopt };
  for (Observer* observer : this->site.observers) {
    observer->OnSubmit(job, aEntry.Node());
  }
  aEntry.Submit(job.submission);
}

void Callers::Leave(const RequestId& aId, bool aMayResume)
{
  const auto found = this->open.find(aId);
  if (found == this->open.end()) {
    return;
  }
  for (Observer* observer : this->site.observers) {
    observer->OnCallerLeft(this->site.jobs.at(aId));
  }
  EntryHost* entry = found->second.entry;
  this->open.erase(found);
  entry->CallerGone(aId, aMayResume);
}

void Callers::OnEntryLost(const EntryHost& aEntry)
{
  for (const auto& [id, call] : this->open) {
    if (call.entry == &aEntry) {
      this->site.schedule.After(kReconnect, [this, id = id] { this->Resume(id); });
    }
  }
}

void Callers::Resume(const RequestId& aId)
{
  const auto found = this->open.find(aId);
  if (found == this->open.end()) {
    return;
  }
  EntryHost* entry = this->PickEntry();
  if (entry == nullptr) {
    this->site.schedule.After(kReconnect, [this, aId] { this->Resume(aId); });
    return;
  }
  OpenCall& call = found->second;
  call.entry = entry;
  const std::string account = this->site.jobs.at(aId).submission.account;
  entry->ResumeAnswer(aId, account, call.parts, call.agent);
}

void Callers::OnPart(const RequestId& aId, const std::string& aData)
{
  const Job& job = this->site.jobs.at(aId);
  const auto found = this->open.find(aId);
  if (found == this->open.end()) {
    return;
  }
  std::string data = aData;
  if (this->site.tamper != nullptr && !this->site.tamper->PassPart(job, data)) {
    return;
  }
  OpenCall& call = found->second;
  if (call.parts == 0) {
    call.agent = call.entry->AgentOf(aId);
  }
  ++call.parts;
  for (Observer* observer : this->site.observers) {
    observer->OnPart(job, data);
  }
}

void Callers::OnFinal(const RequestId& aId, const FinalAnswer& aAnswer)
{
  const Job& job = this->site.jobs.at(aId);
  if (!this->open.contains(aId)) {
    return;
  }
  FinalAnswer answer = aAnswer;
  if (this->site.tamper != nullptr && !this->site.tamper->DeliverFinal(job, answer)) {
    return;
  }
  this->open.erase(aId);
  for (Observer* observer : this->site.observers) {
    observer->OnFinal(job, answer);
  }
  if (WantsRetry(job, answer)) {
    this->site.schedule.After(answer.retryAfter, [this, aId] {
      if (!this->retrying) {
        return;
      }
      this->Submit(RetryOf(this->site.jobs.at(aId), this->site));
    });
  }
}

std::vector<RequestId> Callers::Open() const
{
  std::vector<RequestId> ids;
  for (const auto& [id, call] : this->open) {
    ids.push_back(id);
  }
  return ids;
}

std::size_t Callers::OpenAt(const EntryHost& aEntry) const
{
  return static_cast<std::size_t>(
    std::count_if(this->open.begin(), this->open.end(),
                  [&aEntry](const auto& aCall) { return aCall.second.entry == &aEntry; }));
}

} // namespace caraway::bench
