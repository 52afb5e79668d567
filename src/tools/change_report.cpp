#include "tools/change_report.h"

namespace caraway {

namespace {

using Json = nlohmann::json;

std::string Join(const std::vector<std::string>& aNames)
{
  std::string text;
  for (const std::string& name : aNames) {
    text += (text.empty() ? "" : ", ") + name;
  }
  return text;
}

std::string RecordTitle(const Record& aRecord)
{
  return aRecord.kindName + " " + aRecord.name;
}

bool IsAccepted(const Applied& aApplied)
{
  return aApplied.result == ApplyResult::kApplied || aApplied.result == ApplyResult::kUnknown;
}

int ExitCodeOf(ChangeReport::Stage aStage)
{
  switch (aStage) {
    case ChangeReport::Stage::kAccepted:
      return kExitOk;
    case ChangeReport::Stage::kRejected:
      return kExitRejected;
    case ChangeReport::Stage::kUnknown:
      return kExitTimeout;
    case ChangeReport::Stage::kFailed:
      return kExitUnreachable;
  }
  return kExitUnreachable;
}

Json ToJson(const Record& aRecord, std::string_view aStage, const Applied& aApplied)
{
  Json json = { { "kind", aRecord.kindName },
                { "name", aRecord.name },
                { "change_id", aRecord.changeId },
                { "stage", aStage },
                { "result", ToString(aApplied.result) },
                { "findings", FindingsJson(aApplied.findings) } };
  if (aStage == "accepted" || aStage == "rejected") {
    json["offset"] = aApplied.offset;
  }
  return json;
}

} // namespace

int ShowDryRun(CommandContext& aContext, const Record& aRecord, const Applied& aApplied)
{
  const bool accepted = IsAccepted(aApplied);
  const char* stage = accepted ? "would be accepted" : "would be rejected";
  if (aContext.json) {
    aContext.out << ToJson(aRecord, stage, aApplied).dump() << "\n";
  } else {
    aContext.out << RecordTitle(aRecord) << ": " << stage << " (" << ToString(aApplied.result)
                 << ")\n";
    PrintFindings(aContext.out, RecordTitle(aRecord), aApplied.findings);
  }
  return accepted ? kExitOk : kExitRejected;
}

int ApplyAndShow(CommandContext& aContext, ChangeWriter& aWriter, const Record& aRecord, bool aWait)
{
  const TimePoint start = aContext.waiter.Read().steady;
  const ChangeReport report = aWriter.Apply(aRecord, aContext.timeout);
  const bool accepted = report.stage == ChangeReport::Stage::kAccepted;
  Json json = ToJson(aRecord, ToString(report.stage), report.applied);
  int code = ExitCodeOf(report.stage);
  std::vector<std::string> behind;
  if (!aContext.json) {
    aContext.out << RecordTitle(aRecord) << ": " << ToString(report.stage);
    if (code == kExitOk || code == kExitRejected) {
      aContext.out << " at offset " << report.applied.offset << " ("
                   << ToString(report.applied.result) << ")";
    }
    aContext.out << std::endl;
    PrintFindings(aContext.out, RecordTitle(aRecord), report.applied.findings);
  }
  if (accepted && aWait) {
    behind = WaitUntilInForce(aContext.platform, aContext.fleet, aContext.waiter,
                              report.applied.offset, aContext.timeout);
    const Duration took = aContext.waiter.Read().steady - start;
    const auto ms = std::chrono::duration_cast<std::chrono::milliseconds>(took).count();
    code = behind.empty() ? kExitOk : kExitTimeout;
    json["in_force"] = behind.empty();
    json["behind"] = behind;
    json["took_ms"] = ms;
    if (!aContext.json) {
      aContext.out << RecordTitle(aRecord)
                   << (behind.empty()
                         ? ": in force at all live nodes after " + std::to_string(ms) + " ms"
                         : ": not yet in force at " + Join(behind))
                   << "\n";
    }
  }
  if (aContext.json) {
    aContext.out << json.dump() << "\n";
  }
  return code;
}

} // namespace caraway
