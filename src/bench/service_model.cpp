#include "bench/service_model.h"

namespace caraway::bench {

ServiceModel::ServiceModel(Duration aLongest, Schedule& aSchedule, Random& aRandom,
                           EndpointEvents& aEvents)
  : longest(aLongest)
  , schedule(aSchedule)
  , random(aRandom)
  , events(aEvents)
{
}

void ServiceModel::Start(const Job& aJob, const std::string& aBody)
{
  const RequestId id = aJob.submission.id;
  this->open.insert(id);
  if (!this->Reachable()) {
    this->schedule.After(Duration(0), [this, id] { this->End(id, WorkEnd::kUnsent, 0, ""); });
    return;
  }
  ++this->arrivals[id];
  if (this->random.Unit() < this->fault.failRatio) {
    this->schedule.After(milliseconds(1),
                         [this, id] { this->End(id, WorkEnd::kError, 500, "{}"); });
    return;
  }
  // The action takes effect at once; an answer can be lost after that.
  if (!aJob.submission.idempotencyKey.empty()) {
    ++this->executions[aJob.submission.account + "/" + aJob.submission.idempotencyKey];
  }
  if (this->fault.stalled) {
    return;
  }
  const auto span = static_cast<double>(this->longest.count()) * this->fault.slowFactor;
  const Duration time(static_cast<Duration::rep>(span * this->random.Unit()));
  this->schedule.After(time, [this, id, answer = ServiceAnswer(aBody)] {
    this->End(id, WorkEnd::kComplete, 200, answer);
  });
}

void ServiceModel::Cancel(const RequestId& aId)
{
  this->open.erase(aId);
}

void ServiceModel::Crash()
{
  this->alive = false;
  for (const RequestId& id : this->open) {
    this->schedule.After(Duration(0), [this, id] { this->End(id, WorkEnd::kBroken, 0, ""); });
  }
}

void ServiceModel::End(const RequestId& aId, WorkEnd aEnd, std::uint16_t aStatus,
                       const std::string& aBody)
{
  if (this->open.erase(aId) == 0) {
    return;
  }
  WorkResult result;
  result.end = aEnd;
  result.status = aStatus;
  result.body = aBody;
  this->events.OnEnd(aId, result);
}

} // namespace caraway::bench
