#include "bench/measure.h"

#include <algorithm>
#include <numeric>

namespace caraway::bench {

namespace {

constexpr int kBins = 2000;
constexpr double kShortestMs = 0.05;
constexpr double kLongestMs = 100'000;
constexpr std::array kPercentiles = { 0.5, 0.95, 0.99 };
constexpr std::uint64_t kDispatchStep = 1;
constexpr std::uint64_t kFinalStep = 2;

double Seconds(Duration aTime)
{
  return std::chrono::duration<double>(aTime).count();
}

double Ratio(double aPart, double aWhole)
{
  return aWhole > 0 ? aPart / aWhole : 0;
}

} // namespace

LatencyHistogram::LatencyHistogram()
  : counts(boost::histogram::make_histogram(Axis(kBins, kShortestMs, kLongestMs)))
{
}

void LatencyHistogram::Add(Duration aTime)
{
  const double milliseconds = Seconds(aTime) * 1000;
  this->counts(std::clamp(milliseconds, kShortestMs, kLongestMs * 0.999));
  ++this->total;
}

double LatencyHistogram::Percentile(double aShare) const
{
  double left = aShare * this->total;
  for (int bin = 0; bin < kBins; ++bin) {
    left -= this->counts.at(bin);
    if (left < 0) {
      return this->counts.axis().bin(bin).upper();
    }
  }
  return 0;
}

double TierResult::Share() const
{
  return Ratio(static_cast<double>(this->good), static_cast<double>(this->calls));
}

double RunResult::WastedShare() const
{
  return Ratio(static_cast<double>(this->prefillWasted), static_cast<double>(this->prefillRun));
}

Measure::Measure(const Site& aSite, TimePoint aFrom, TimePoint aUntil)
  : site(aSite)
  , from(aFrom)
  , until(aUntil)
{
}

bool Measure::Counts(const Job& aJob) const
{
  return aJob.submitted >= this->from && aJob.submitted < this->until;
}

// Adds a decision to the signature: what was decided about which call, and when.
void Measure::Sign(std::uint64_t aKind, const Job& aJob, std::uint64_t aDetail)
{
  const std::array<std::uint64_t, 5> words = {
    aKind, aJob.call, aJob.attempt, aDetail,
    static_cast<std::uint64_t>(this->site.schedule.Time().time_since_epoch().count())
  };
  const std::string_view bytes(reinterpret_cast<const char*>(words.data()), sizeof(words));
  this->result.signature = HashOf(bytes, this->result.signature);
  ++this->result.decisions;
}

void Measure::OnSubmit(const Job& aJob, NodeId /*aEntry*/)
{
  ++this->result.attempts;
  if (this->Counts(aJob) && aJob.attempt == 0) {
    this->goodCalls[aJob.call] = false;
    ++this->result.tiers.at(aJob.submission.tier).calls;
  }
}

void Measure::OnDispatch(const Job& aJob, NodeId aAgent)
{
  this->Sign(kDispatchStep, aJob, static_cast<std::uint64_t>(aAgent));
  this->progress[aJob.submission.id].running = true;
  ++this->running.at(aJob.submission.tier);
}

void Measure::OnPart(const Job& aJob, const std::string& /*aData*/)
{
  Progress& progress = this->progress[aJob.submission.id];
  const TimePoint now = this->site.schedule.Time();
  if (this->Counts(aJob) && progress.first == kNever) {
    this->firstToken.Add(now - aJob.submitted);
  } else if (this->Counts(aJob)) {
    this->interToken.Add(now - progress.last);
  }
  progress.first = std::min(progress.first, now);
  progress.last = now;
}

void Measure::OnFinal(const Job& aJob, const FinalAnswer& aAnswer)
{
  const auto detail =
    static_cast<std::uint64_t>(aAnswer.outcome) * 256 + static_cast<std::uint64_t>(aAnswer.reason);
  this->Sign(kFinalStep, aJob, detail);
  const TimePoint now = this->site.schedule.Time();
  Progress& progress = this->progress[aJob.submission.id];
  const bool started = progress.first <= aJob.submitted + aJob.submission.startWithin;
  const bool ended = now <= aJob.submitted + aJob.submission.endWithin;
  progress.good = aAnswer.outcome == Outcome::kAnswered && started && ended;
  if (progress.good && now >= this->from && now < this->until) {
    ++this->goodInWindow;
  }
  if (progress.running) {
    --this->running.at(aJob.submission.tier);
  }
  const auto lower = std::accumulate(this->running.begin() + aJob.submission.tier + 1,
                                     this->running.end(), std::uint64_t{ 0 });
  if (aAnswer.reason == Reason::kOverload && lower > 0) {
    ++this->result.inversions.at(aJob.submission.tier);
  }
  this->CountOutcome(aJob, aAnswer);
}

void Measure::CountOutcome(const Job& aJob, const FinalAnswer& aAnswer)
{
  const auto call = this->goodCalls.find(aJob.call);
  if (call == this->goodCalls.end()) {
    return;
  }
  TierResult& tier = this->result.tiers.at(aJob.submission.tier);
  switch (aAnswer.outcome) {
    case Outcome::kAnswered:
      this->CountAnswered(aJob);
      break;
    case Outcome::kNotRun:
      ++tier.refused;
      ++this->result.refusals[std::string(ToString(aAnswer.reason))];
      break;
    case Outcome::kCut:
      ++tier.cut;
      ++this->result.refusals["cut:" + std::string(ToString(aAnswer.reason))];
      break;
    case Outcome::kUnknown:
      ++tier.unknown;
      break;
  }
}

void Measure::CountAnswered(const Job& aJob)
{
  TierResult& tier = this->result.tiers.at(aJob.submission.tier);
  if (!this->progress[aJob.submission.id].good) {
    ++tier.late;
    return;
  }
  bool& good = this->goodCalls[aJob.call];
  tier.good += good ? 0 : 1;
  good = true;
}

void Measure::OnEvent(NodeId /*aNode*/, const Event& aEvent)
{
  if (aEvent.kind == EventKind::kViolation) {
    ++this->result.violations;
  }
}

void Measure::AddPrefill(const std::unordered_map<RequestId, std::uint32_t>& aPrefill)
{
  for (const auto& [id, tokens] : aPrefill) {
    this->result.prefillRun += tokens;
    const auto found = this->progress.find(id);
    if (found == this->progress.end() || !found->second.good) {
      this->result.prefillWasted += tokens;
    }
  }
}

RunResult Measure::Result() const
{
  RunResult result = this->result;
  for (std::size_t i = 0; i < kPercentiles.size(); ++i) {
    result.firstToken.at(i) = this->firstToken.Percentile(kPercentiles.at(i));
    result.interToken.at(i) = this->interToken.Percentile(kPercentiles.at(i));
  }
  result.goodPerSecond =
    Ratio(static_cast<double>(this->goodInWindow), Seconds(this->until - this->from));
  const MessageCounts& counts = this->site.network.Counts();
  const auto attempts = static_cast<double>(result.attempts);
  result.controlPerRequest = Ratio(static_cast<double>(counts.control), attempts);
  result.messagesPerRequest =
    Ratio(static_cast<double>(counts.control + counts.chunks + counts.acks), attempts);
  return result;
}

} // namespace caraway::bench
