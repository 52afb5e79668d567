#include "bench/runner.h"

#include "bench/push_world.h"
#include "bench/world.h"

#include <map>

namespace caraway::bench {

namespace {

constexpr std::string_view kOurs = "late-binding";
constexpr std::uint32_t kSaturation = 256; // requests kept at an engine whose capacity is measured
constexpr Duration kSaturationWarmUp =
  seconds(60); // until the mix of lengths in the batch is steady
constexpr Duration kSaturationLength = seconds(60);
constexpr Duration kDrain = seconds(32); // longer than the callers' last deadline

// Keeps one engine saturated and counts what it completes.
class Saturation final : public EndpointEvents
{
public:
  Saturation(const EngineProfile& aProfile, std::uint64_t aSeed)
    : random(aSeed)
    , workload(WorkloadOptions{}, this->random)
    , engine(aProfile, this->schedule, this->random, *this)
  {
  }

  // Completions a second, measured after aWarmUp for aLength.
  double Run(Duration aWarmUp, Duration aLength)
  {
    for (std::uint32_t i = 0; i < kSaturation; ++i) {
      this->StartOne();
    }
    this->schedule.RunUntil(this->schedule.Time() + aWarmUp);
    this->completed = 0;
    this->schedule.RunUntil(this->schedule.Time() + aLength);
    return static_cast<double>(this->completed) / std::chrono::duration<double>(aLength).count();
  }

  void OnToken(const RequestId& /*aId*/, const std::string& /*aText*/) override {}

  void OnEnd(const RequestId& /*aId*/, const WorkResult& /*aResult*/) override
  {
    ++this->completed;
    this->StartOne();
  }

private:
  void StartOne()
  {
    const Job job = this->workload.NewJob(this->schedule.Read().wall);
    this->engine.Start(job, job.submission.body);
  }

  Schedule schedule;
  Random random;
  Workload workload;
  EngineModel engine;
  std::uint64_t completed = 0;
};

WorkloadOptions WorkloadOf(const BenchOptions& aOptions, double aLoad, double aCapacity)
{
  WorkloadOptions workload;
  workload.perSecond = aLoad * aCapacity;
  workload.length = aOptions.warmUp + aOptions.length;
  return workload;
}

// The measured window begins after the warm-up, counted from now.
Measure MeasureOf(const BenchOptions& aOptions, const Site& aSite)
{
  const TimePoint from = aSite.schedule.Time() + aOptions.warmUp;
  return { aSite, from, from + aOptions.length };
}

RunResult RunLateBinding(const BenchOptions& aOptions, const WorkloadOptions& aWorkload)
{
  WorldOptions options;
  options.seed = aOptions.seed;
  options.entries = aOptions.entries;
  options.endpoints = UnlikeEngines(aOptions.endpoints);
  if (aOptions.reservations > 0) {
    options.entry.smallPool = 1;
    options.entry.reservations = aOptions.reservations;
  }
  World world(options);
  Site& site = world.TheSite();
  world.RunFor(kSettle);
  Measure measure = MeasureOf(aOptions, site);
  site.observers.push_back(&measure);
  Random random(aOptions.seed);
  Workload workload(aWorkload, random);
  Feed(workload, site, site.schedule.Time() + aWorkload.length,
       [&world](const Job& aJob) { world.TheCallers().Submit(aJob); });
  world.RunFor(aWorkload.length + kDrain);
  for (std::size_t i = 0; i < world.AgentCount(); ++i) {
    const auto& engine = dynamic_cast<const EngineModel&>(world.AgentAt(i).TheEndpoint());
    measure.AddPrefill(engine.PrefillOf());
  }
  return measure.Result();
}

RunResult RunPush(const BenchOptions& aOptions, const WorkloadOptions& aWorkload)
{
  std::vector<EngineProfile> profiles;
  for (const EndpointSpec& spec : UnlikeEngines(aOptions.endpoints)) {
    profiles.push_back(spec.profile);
  }
  PushWorld world(aOptions.seed, aOptions.entries, profiles, aOptions.policy, aOptions.reportAge);
  Site& site = world.TheSite();
  Measure measure = MeasureOf(aOptions, site);
  site.observers.push_back(&measure);
  Random random(aOptions.seed);
  Workload workload(aWorkload, random);
  Feed(workload, site, site.schedule.Time() + aWorkload.length,
       [&world](const Job& aJob) { world.Submit(aJob); });
  site.schedule.RunUntil(site.schedule.Time() + aWorkload.length + kDrain);
  for (std::size_t i = 0; i < world.EngineCount(); ++i) {
    measure.AddPrefill(world.EngineAt(i).PrefillOf());
  }
  return measure.Result();
}

} // namespace

const std::vector<std::string>& Policies()
{
  static const std::vector<std::string> names = { std::string(kOurs), "random", "round-robin",
                                                  "least-stale-load", "two-choices" };
  return names;
}

double MeasureCapacity(const BenchOptions& aOptions)
{
  std::map<double, double> bySpeed;
  double sum = 0;
  for (const EndpointSpec& spec : UnlikeEngines(aOptions.endpoints)) {
    const auto [found, isNew] = bySpeed.try_emplace(spec.profile.speed, 0);
    if (isNew) {
      found->second =
        Saturation(spec.profile, aOptions.seed).Run(kSaturationWarmUp, kSaturationLength);
    }
    sum += found->second;
  }
  return sum;
}

RunResult RunPolicy(const BenchOptions& aOptions, double aLoad, double aCapacity)
{
  const WorkloadOptions workload = WorkloadOf(aOptions, aLoad, aCapacity);
  RunResult result =
    aOptions.policy == kOurs ? RunLateBinding(aOptions, workload) : RunPush(aOptions, workload);
  result.policy = aOptions.policy;
  result.load = aLoad;
  result.capacity = aCapacity;
  return result;
}

} // namespace caraway::bench
