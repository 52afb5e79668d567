#include "tools/change.h"

namespace caraway {

namespace {

using std::chrono::milliseconds;

constexpr Duration kRetryDelay = milliseconds(300);
constexpr Duration kPollDelay = milliseconds(200);

// First offset that a process has not applied, from its status; 0 if the status has none.
LogOffset NextOffsetOf(const NodeAnswer& aAnswer)
{
  const auto status = nlohmann::json::parse(aAnswer.IsOk() ? aAnswer.body : "", nullptr, false);
  if (!status.is_object()) {
    return 0;
  }
  for (const char* name : { "config_offset", "config_next" }) {
    if (status.contains(name) && status[name].is_number_unsigned()) {
      return status[name].get<LogOffset>();
    }
  }
  return 0;
}

} // namespace

std::string_view ToString(ChangeReport::Stage aStage)
{
  switch (aStage) {
    case ChangeReport::Stage::kAccepted:
      return "accepted";
    case ChangeReport::Stage::kRejected:
      return "rejected";
    case ChangeReport::Stage::kUnknown:
      return "unknown";
    case ChangeReport::Stage::kFailed:
      return "failed";
  }
  return "invalid";
}

ChangeWriter::ChangeWriter(Platform& aPlatform, ConfigReader& aReader, Waiter& aWaiter)
  : platform(aPlatform)
  , reader(aReader)
  , waiter(aWaiter)
{
}

void ChangeWriter::SetBaseRevision(Record& aRecord) const
{
  const auto* current = this->reader.State().Find(aRecord.kind, aRecord.name);
  aRecord.baseRevision = current ? std::optional(current->revision) : std::nullopt;
}

Applied ChangeWriter::DryRun(const Record& aRecord) const
{
  ConfigState copy = this->reader.State();
  return copy.Apply({ copy.Next(), EncodeRecord(aRecord) });
}

ChangeReport ChangeWriter::Apply(const Record& aRecord, Duration aTimeout)
{
  const TimePoint deadline = this->waiter.Read().steady + aTimeout;
  bool mayBeInLog = false;
  do {
    const AppendAnswer answer = this->platform.Append({ EncodeRecord(aRecord) });
    mayBeInLog = mayBeInLog || answer.result != AppendResult::kFailed;
    if (answer.result == AppendResult::kFailed) {
      this->waiter.Sleep(kRetryDelay);
      continue;
    }
    // Reads up to the end of the log, which shows whether an append without a response succeeded.
    const std::error_code error = this->reader.CatchUp();
    if (const auto report = this->FindReport(aRecord.changeId)) {
      return *report;
    }
    if (error) {
      this->waiter.Sleep(kRetryDelay);
    }
  } while (this->waiter.Read().steady < deadline);
  ChangeReport report;
  report.stage = mayBeInLog ? ChangeReport::Stage::kUnknown : ChangeReport::Stage::kFailed;
  return report;
}

std::optional<ChangeReport> ChangeWriter::FindReport(const std::string& aChangeId) const
{
  const auto applied = this->reader.State().ResultOf(aChangeId);
  if (!applied) {
    return std::nullopt;
  }
  const bool accepted =
    applied->result == ApplyResult::kApplied || applied->result == ApplyResult::kUnknown;
  return ChangeReport{ accepted ? ChangeReport::Stage::kAccepted : ChangeReport::Stage::kRejected,
                       *applied };
}

std::vector<std::string> FindNodesBehind(Platform& aPlatform, Fleet& aFleet, LogOffset aOffset,
                                         std::error_code& aError)
{
  VmAnswer list = aPlatform.ListVms();
  aError = list.error;
  std::erase_if(list.vms, [](const Vm& aVm) { return aVm.state != VmState::kLive; });
  std::vector<std::string> behind;
  for (const auto& [name, answer] : aFleet.Get(list.vms, "/status")) {
    if (NextOffsetOf(answer) <= aOffset) {
      behind.push_back(name);
    }
  }
  return behind;
}

std::vector<std::string> WaitUntilInForce(Platform& aPlatform, Fleet& aFleet, Waiter& aWaiter,
                                          LogOffset aOffset, Duration aTimeout)
{
  const TimePoint deadline = aWaiter.Read().steady + aTimeout;
  std::error_code error;
  std::vector<std::string> behind = FindNodesBehind(aPlatform, aFleet, aOffset, error);
  while ((error || !behind.empty()) && aWaiter.Read().steady < deadline) {
    aWaiter.Sleep(kPollDelay);
    behind = FindNodesBehind(aPlatform, aFleet, aOffset, error);
  }
  if (error) {
    behind.push_back("VM list: " + error.message());
  }
  return behind;
}

} // namespace caraway
