#include "standins/load_run.h"

#include "core/uuid.h"
#include "standins/delayed.h"

#include <cstdlib>
#include <utility>

namespace caraway {

namespace {

using std::chrono::milliseconds;

constexpr Duration kIoTimeout = std::chrono::seconds(120);
constexpr std::uint64_t kIdSeed = 0x1D5; // ids are drawn apart from the plan

std::string InMilliseconds(Duration aTime)
{
  return std::to_string(std::chrono::duration_cast<milliseconds>(aTime).count());
}

} // namespace

// One try of a request.
struct LoadRun::Flight
{
  Flight(const LoadRequest& aRequest, bool aFromEntry)
    : request(aRequest)
    , answer(aRequest, aFromEntry)
  {
  }

  const LoadRequest& request;
  std::size_t index = 0; // in the plan
  bool isRetry = false;
  RequestId id;
  LoadAnswer answer;
  TimePoint sentAt;
  std::optional<TimePoint> firstAt;
  TimePoint lastAt;
  Duration retryAfter{};
};

LoadRun::LoadRun(const LoadOptions& aOptions, const LoadTarget& aTarget, const Clock& aClock,
                 LoadReport& aReport, std::ostream& aOutcomes, std::function<void()> aDone)
  : options(aOptions)
  , target(aTarget)
  , clock(aClock)
  , report(aReport)
  , outcomes(aOutcomes)
  , done(std::move(aDone))
  , plan(PlanLoad(aOptions))
  , random(aOptions.seed ^ kIdSeed)
  , session(kIoTimeout)
  , timer([this] { this->SendDue(); })
{
}

void LoadRun::Start()
{
  this->start = this->clock.Read().steady;
  this->SendDue();
}

void LoadRun::SendDue()
{
  const Duration elapsed = this->clock.Read().steady - this->start;
  while (this->next < this->plan.size() && this->plan[this->next].at <= elapsed) {
    ++this->open;
    this->Send(this->next++, false);
  }
  if (this->next < this->plan.size()) {
    this->timer.ArmAfter(this->plan[this->next].at - elapsed);
  }
  this->FinishIfIdle();
}

void LoadRun::Send(std::size_t aIndex, bool aIsRetry)
{
  const auto flight = std::make_shared<Flight>(this->plan[aIndex], this->target.isEntry);
  const Now now = this->clock.Read();
  flight->index = aIndex;
  flight->isRetry = aIsRetry;
  flight->id = MakeUuid7(now.wall, this->random);
  flight->sentAt = now.steady;
  HttpHandlers handlers;
  handlers.head = [this, flight](const ResponseHead& aHead) { this->OnHead(*flight, aHead); };
  handlers.data = [this, flight](std::string_view aData) { this->OnData(*flight, aData); };
  handlers.end = [this, flight](const HttpEnd& aEnd) { this->OnEnd(*flight, aEnd); };
  this->session.Start(this->RequestOf(*flight), std::move(handlers));
}

HttpRequest LoadRun::RequestOf(const Flight& aFlight)
{
  const LoadRequest& planned = aFlight.request;
  HttpRequest request;
  request.method = "POST";
  request.address = this->target.addresses[this->sent++ % this->target.addresses.size()];
  request.path = PathOf(planned, this->options);
  request.body = planned.body;
  request.headers = {
    { "Caraway-Request-Id", FormatUuid(aFlight.id) },
    { "Caraway-Tier", std::to_string(planned.tier) },
    { "Caraway-Start-Within-Ms", InMilliseconds(this->target.deadlines.startWithin) },
    { "Caraway-End-Within-Ms", InMilliseconds(this->target.deadlines.endWithin) }
  };
  if (!this->options.keys.empty()) {
    request.headers.push_back({ "Authorization", "Bearer " + this->options.keys[planned.account] });
  }
  if (planned.kind == LoadKind::kOnce) {
    request.headers.push_back(
      { "Idempotency-Key", FormatUuid(MakeUuid7(this->clock.Read().wall, this->random)) });
  }
  return request;
}

void LoadRun::OnHead(Flight& aFlight, const ResponseHead& aHead)
{
  aFlight.answer.OnHead(aHead.status, IsEventStream(aHead.fields));
  if (const auto retry = FindField(aHead.fields, "Caraway-Retry-After-Ms")) {
    aFlight.retryAfter = milliseconds(std::strtoll(retry->value.c_str(), nullptr, 10));
  }
}

void LoadRun::OnData(Flight& aFlight, std::string_view aData)
{
  const std::uint32_t tokens = aFlight.answer.OnData(aData);
  if (tokens == 0) {
    return;
  }
  const TimePoint now = this->clock.Read().steady;
  if (!aFlight.firstAt) {
    aFlight.firstAt = now;
  } else {
    this->report.AddTokenGap(aFlight.request.tier, (now - aFlight.lastAt) / tokens);
  }
  aFlight.lastAt = now;
}

void LoadRun::OnEnd(Flight& aFlight, const HttpEnd& aEnd)
{
  const LoadResult result = aFlight.answer.OnEnd(!aEnd.error);
  this->Record(aFlight, result);
  const bool mayRetry = this->target.followRetryAfter && !aFlight.isRetry &&
                        result == LoadResult::kNotRun && aFlight.retryAfter > Duration::zero();
  if (mayRetry) {
    this->report.AddRetry();
    CallAfter(aFlight.retryAfter, [this, index = aFlight.index] { this->Send(index, true); });
    return;
  }
  --this->open;
  this->FinishIfIdle();
}

void LoadRun::Record(const Flight& aFlight, LoadResult aResult)
{
  const LoadDeadlines& deadlines = this->target.deadlines;
  const TimePoint now = this->clock.Read().steady;
  const TimePoint firstAt = aFlight.firstAt.value_or(now);
  LoadSample sample;
  sample.tier = aFlight.request.tier;
  sample.result = aResult;
  sample.reason = aFlight.answer.Reason();
  sample.firstToken = firstAt - aFlight.sentAt;
  sample.hasFirstToken = aFlight.firstAt.has_value();
  // Only a stream shows when its first token came.
  const bool startedInTime = !aFlight.firstAt || sample.firstToken <= deadlines.startWithin;
  const bool endedInTime = now - aFlight.sentAt <= deadlines.endWithin;
  sample.inTime = aResult == LoadResult::kAnswered && startedInTime && endedInTime;
  this->report.Add(sample);
  this->outcomes << FormatUuid(aFlight.id) << " " << int(sample.tier) << " "
                 << int(aFlight.request.kind) << " " << ToString(aResult) << " "
                 << (sample.reason.empty() ? "-" : sample.reason) << " " << aFlight.answer.Status()
                 << "\n";
}

void LoadRun::FinishIfIdle()
{
  if (this->next == this->plan.size() && this->open == 0) {
    this->done();
  }
}

} // namespace caraway
