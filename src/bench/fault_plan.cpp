#include "bench/fault_plan.h"

#include "bench/records.h"
#include "core/uuid.h"

#include <array>
#include <ostream>
#include <sstream>

namespace caraway::bench {

namespace {

constexpr std::array<std::string_view, kFaultKinds> kNames = {
  "kill_entry",       "kill_agent",     "pause_entry",   "pause_agent",    "cut_link",
  "crash_endpoint",   "stall_endpoint", "slow_endpoint", "fail_endpoint",  "log_outage",
  "lost_appends",     "leave_entry",    "leave_agent",   "race_operators", "start_move",
  "crashing_request", "twin_callers",   "callers_gone",
};

constexpr Duration kLoadTime = seconds(6);
constexpr Duration kLastDeadline = seconds(6); // of a caller, from its submission
constexpr Duration kQuiet = seconds(10);       // after the last fault has ended
constexpr Duration kGrace = seconds(8);        // for callers and entries that are gone
constexpr Duration kInForceWithin = seconds(5);
constexpr double kCallsPerSecond = 25;
constexpr double kServiceRatio = 0.3; // of the calls
constexpr double kOnceRatio = 0.7;    // of the service calls
constexpr std::uint32_t kLongestFaultMs = 4000;
constexpr std::uint32_t kMostFaults = 6;
constexpr std::string_view kService = "booking";
constexpr std::string_view kOnceRoute = "/book";
constexpr std::string_view kFreeRoute = "/status";

WorldOptions OptionsOf(const FaultRun& aRun)
{
  WorldOptions options;
  options.seed = aRun.seed;
  options.endpoints = UnlikeEngines(4);
  options.endpoints[2].version = "v2";
  options.endpoints[3].version = "v2";
  const EndpointSpec service{ std::string(kService), "v1", WorkKind::kOnce, {} };
  options.endpoints.push_back(service);
  options.endpoints.push_back(service);
  options.entry.resumeGrace = kGrace;
  options.agent.keepAnswer = kGrace;
  options.network.duplicateRatio = aRun.doubledMessages ? 0.02 : 0;
  options.network.slowRatio = aRun.slowLinks ? 0.01 : 0;
  return options;
}

// One run: the world, its load, and the faults as they come.
class FaultRunner final : public Observer
{
public:
  FaultRunner(const FaultRun& aRun, Tamper* aTamper)
    : run(aRun)
    , world(OptionsOf(aRun))
    , audit(this->world)
    , random(aRun.seed)
    , workload(LoadOf(), this->random)
  {
    this->world.TheSite().tamper = aTamper;
    this->world.TheSite().observers.push_back(this);
  }

  FaultResult Run()
  {
    Site& site = this->world.TheSite();
    this->world.RunFor(kSettle);
    const TimePoint start = site.schedule.Time();
    for (const Fault& fault : this->run.faults) {
      site.schedule.At(start + milliseconds(fault.atMs), [this, fault] { this->Begin(fault); });
    }
    Feed(this->workload, site, start + kLoadTime, [this](const Job& aJob) { this->Submit(aJob); });
    this->world.RunFor(kLoadTime + milliseconds(kLongestFaultMs));
    this->world.TheCallers().StopRetries();
    this->world.RunFor(kLastDeadline + kQuiet);
    this->Change("last-change", std::nullopt);
    this->world.RunFor(kInForceWithin);
    this->audit.CheckInForce();
    this->audit.Finish();
    this->result.findings = this->audit.Findings();
    return this->result;
  }

  void OnFinal(const Job& /*aJob*/, const FinalAnswer& aAnswer) override
  {
    switch (aAnswer.outcome) {
      case Outcome::kAnswered:
        ++this->result.answered;
        break;
      case Outcome::kNotRun:
        ++this->result.notRun;
        break;
      case Outcome::kCut:
        ++this->result.cut;
        break;
      case Outcome::kUnknown:
        ++this->result.unknown;
        break;
    }
  }

private:
  static WorkloadOptions LoadOf()
  {
    WorkloadOptions load;
    load.perSecond = kCallsPerSecond;
    load.length = kLoadTime;
    load.longestOutput = 100;
    load.endWithin = kLastDeadline;
    return load;
  }

  // Turns some calls into service calls.
  void Submit(const Job& aJob)
  {
    Job job = aJob;
    if (this->random.Unit() < kServiceRatio) {
      this->MakeService(job, this->random.Unit() < kOnceRatio);
    }
    this->world.TheCallers().Submit(job);
  }

  void MakeService(Job& aJob, bool aOnce)
  {
    Submission& submission = aJob.submission;
    submission.pool = kService;
    submission.route = aOnce ? kOnceRoute : kFreeRoute;
    submission.kind = aOnce ? WorkKind::kOnce : WorkKind::kService;
    submission.startWithin = kLastDeadline;
    submission.prefixHash = 0;
    aJob.prefixTokens = 0;
    if (aOnce) {
      const WallTime wall = this->world.TheSite().schedule.Read().wall;
      submission.idempotencyKey = FormatUuid(MakeUuid7(wall, this->random));
    }
  }

  void Begin(const Fault& aFault)
  {
    switch (aFault.kind) {
      case FaultKind::kStallEndpoint:
      case FaultKind::kSlowEndpoint:
      case FaultKind::kFailEndpoint:
      case FaultKind::kCrashEndpoint:
        this->BeginAtEndpoint(aFault);
        return;
      case FaultKind::kLogOutage:
      case FaultKind::kLostAppends:
      case FaultKind::kRaceOperators:
      case FaultKind::kStartMove:
        this->BeginAtLog(aFault);
        return;
      case FaultKind::kCrashingRequest:
      case FaultKind::kTwinCallers:
      case FaultKind::kCallersGone:
        this->BeginAtCallers(aFault);
        return;
      default:
        this->BeginAtProcess(aFault);
    }
  }

  void BeginAtProcess(const Fault& aFault)
  {
    const std::size_t entry = aFault.target % this->world.EntryCount();
    const std::size_t agent = aFault.target % this->world.AgentCount();
    const Duration time = milliseconds(aFault.forMs);
    switch (aFault.kind) {
      case FaultKind::kKillEntry:
        return this->world.KillEntry(entry, time);
      case FaultKind::kKillAgent:
        return this->world.KillAgent(agent, time);
      case FaultKind::kPauseEntry:
        return this->world.PauseEntry(entry, time);
      case FaultKind::kPauseAgent:
        return this->world.PauseAgent(agent, time);
      case FaultKind::kLeaveEntry:
        return this->world.LeaveEntry(entry, time);
      case FaultKind::kLeaveAgent:
        return this->world.LeaveAgent(agent, time);
      default:
        return this->world.CutLink(entry, aFault.other % this->world.AgentCount(), time);
    }
  }

  void BeginAtEndpoint(const Fault& aFault)
  {
    const std::size_t target = aFault.target % this->world.AgentCount();
    const Duration time = milliseconds(aFault.forMs);
    EndpointFault fault;
    switch (aFault.kind) {
      case FaultKind::kStallEndpoint:
        fault.stalled = true;
        break;
      case FaultKind::kSlowEndpoint:
        fault.slowFactor = 4;
        break;
      case FaultKind::kFailEndpoint:
        fault.failRatio = 0.5;
        break;
      default:
        return this->world.CrashEndpoint(target, time);
    }
    this->world.SetFault(target, fault, time);
  }

  void BeginAtLog(const Fault& aFault)
  {
    Site& site = this->world.TheSite();
    const Duration time = milliseconds(aFault.forMs);
    switch (aFault.kind) {
      case FaultKind::kLogOutage:
        return this->world.LogOutage(time);
      case FaultKind::kLostAppends:
        return site.log.LoseAnswers(1 + aFault.target % 4);
      case FaultKind::kRaceOperators:
        this->RaceOperators(aFault);
        return;
      default: {
        const WallTime now = site.schedule.Read().wall;
        site.log.Append({ MoveRecord("move-" + std::to_string(aFault.atMs), "model", "v1", "v2",
                                     now, now + std::chrono::seconds(10)) },
                        [](AppendResult, LogOffset) {});
      }
    }
  }

  // Appends a change of an account; operators read the revision from an entry before.
  void Change(const std::string& aChangeId, std::optional<LogOffset> aBase)
  {
    const std::string name = aBase ? AccountName(0) : "account-" + aChangeId;
    this->world.TheSite().log.Append({ AccountRecord(name, 0, aChangeId, aBase) },
                                     [](AppendResult, LogOffset) {});
  }

  void RaceOperators(const Fault& aFault)
  {
    const EntryHost& entry = this->world.EntryAt(aFault.target % this->world.EntryCount());
    if (!entry.Alive()) {
      return;
    }
    const ConfigState::Stored* stored = entry.Config().Find(RecordKind::kAccount, AccountName(0));
    if (stored == nullptr) {
      return;
    }
    const LogOffset base = stored->revision;
    const std::string suffix = std::to_string(aFault.atMs);
    this->Change("left-" + suffix, base);
    this->Change("right-" + suffix, base);
    this->Change("left-" + suffix, base);
  }

  void BeginAtCallers(const Fault& aFault)
  {
    Callers& callers = this->world.TheCallers();
    if (aFault.kind == FaultKind::kCallersGone) {
      for (const RequestId& id : callers.Open()) {
        if (this->random.Below(3) == 0) {
          callers.Leave(id, aFault.target % 2 == 0);
        }
      }
      return;
    }
    Job job = this->workload.NewJob(this->world.TheSite().schedule.Read().wall);
    if (aFault.kind == FaultKind::kCrashingRequest) {
      job.crashes = true;
      callers.Submit(job);
      this->SendAgain(job, 3);
      return;
    }
    this->MakeService(job, true);
    callers.Submit(job);
    callers.Submit(RetryOf(job, this->world.TheSite()));
    this->world.TheSite().schedule.After(milliseconds(aFault.forMs), [this, job] {
      this->world.TheCallers().Submit(RetryOf(job, this->world.TheSite()));
    });
  }

  // The caller of a request that crashes engines sends it again and again.
  void SendAgain(const Job& aJob, int aTimes)
  {
    if (aTimes == 0) {
      return;
    }
    this->world.TheSite().schedule.After(seconds(1), [this, aJob, aTimes] {
      const Job again = RetryOf(aJob, this->world.TheSite());
      this->world.TheCallers().Submit(again);
      this->SendAgain(again, aTimes - 1);
    });
  }

  FaultRun run;
  World world;
  Audit audit;
  Random random;
  Workload workload;
  FaultResult result;
};

} // namespace

std::string_view ToString(FaultKind aKind)
{
  return kNames.at(static_cast<std::size_t>(aKind));
}

std::ostream& operator<<(std::ostream& aOut, const Fault& aFault)
{
  return aOut << ToString(aFault.kind) << "(target " << aFault.target << ", other " << aFault.other
              << ", at " << aFault.atMs << " ms, for " << aFault.forMs << " ms)";
}

std::ostream& operator<<(std::ostream& aOut, const FaultRun& aRun)
{
  aOut << "seed " << aRun.seed << (aRun.doubledMessages ? " doubled" : "")
       << (aRun.slowLinks ? " slow" : "");
  for (const Fault& fault : aRun.faults) {
    aOut << "\n  " << fault;
  }
  return aOut;
}

FaultRun DrawRun(std::uint64_t aSeed)
{
  Random random(aSeed);
  FaultRun run;
  run.seed = aSeed;
  run.doubledMessages = random.Below(3) == 0;
  run.slowLinks = random.Below(3) == 0;
  const std::uint64_t count = 1 + random.Below(kMostFaults);
  const auto loadMs = std::chrono::duration_cast<milliseconds>(kLoadTime).count();
  for (std::uint64_t i = 0; i < count; ++i) {
    Fault fault;
    fault.kind = static_cast<FaultKind>(random.Below(kFaultKinds));
    fault.target = static_cast<std::uint32_t>(random.Below(100));
    fault.other = static_cast<std::uint32_t>(random.Below(100));
    fault.atMs = static_cast<std::uint32_t>(random.Below(static_cast<std::uint64_t>(loadMs)));
    fault.forMs = static_cast<std::uint32_t>(100 + random.Below(kLongestFaultMs - 100));
    run.faults.push_back(fault);
  }
  return run;
}

FaultResult Execute(const FaultRun& aRun, Tamper* aTamper)
{
  return FaultRunner(aRun, aTamper).Run();
}

std::string DescribeFindings(const FaultResult& aResult)
{
  std::ostringstream text;
  for (const AuditFinding& finding : aResult.findings) {
    text << ToString(finding.invariant) << ": " << finding.text << "\n" << finding.history;
  }
  return text.str();
}

} // namespace caraway::bench
