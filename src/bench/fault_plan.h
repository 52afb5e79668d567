// Plans of faults for random runs: what goes wrong, where, when and for how long. A run is a pure
// function of its seed and its plan.
#pragma once

#include "bench/audit.h"

#include <cstdint>
#include <iosfwd>
#include <string>
#include <vector>

namespace caraway::bench {

enum class FaultKind : std::uint8_t
{
  kKillEntry,
  kKillAgent,
  kPauseEntry,
  kPauseAgent,
  kCutLink,
  kCrashEndpoint,
  kStallEndpoint,
  kSlowEndpoint,
  kFailEndpoint, // errors for half of its requests, as a bad version has
  kLogOutage,
  kLostAppends,
  kLeaveEntry,
  kLeaveAgent,
  kRaceOperators,   // two operators change one account from the same revision
  kStartMove,       // of the model from v1 to v2
  kCrashingRequest, // kills each engine that runs it; its caller sends it again
  kTwinCallers,     // one non-idempotent call comes twice at once, and again later
  kCallersGone,     // some callers break their connections
};

constexpr std::size_t kFaultKinds = 18;
std::string_view ToString(FaultKind aKind);

struct Fault
{
  FaultKind kind = FaultKind::kKillEntry;
  std::uint32_t target = 0; // taken modulo the number of targets
  std::uint32_t other = 0;  // second target of a link
  std::uint32_t atMs = 0;   // from the start of the load
  std::uint32_t forMs = 0;
};

std::ostream& operator<<(std::ostream& aOut, const Fault& aFault);

struct FaultRun
{
  std::uint64_t seed = 1;
  std::vector<Fault> faults;
  bool doubledMessages = false; // some messages are delivered twice
  bool slowLinks = false;       // some messages hold up their connection
};

std::ostream& operator<<(std::ostream& aOut, const FaultRun& aRun);

// A run drawn from one number.
FaultRun DrawRun(std::uint64_t aSeed);

struct FaultResult
{
  std::vector<AuditFinding> findings;
  std::uint64_t answered = 0;
  std::uint64_t notRun = 0;
  std::uint64_t cut = 0;
  std::uint64_t unknown = 0;
};

// Runs the load with its faults to the end and audits it. aTamper may break the program.
FaultResult Execute(const FaultRun& aRun, Tamper* aTamper = nullptr);

// What the findings say, one paragraph each.
std::string DescribeFindings(const FaultResult& aResult);

} // namespace caraway::bench
