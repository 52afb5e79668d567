// Version moves at an entry: the entry bounds its own share of the new version, so that the share
// of the fleet is bounded without agreement, and brakes at once on its own evidence.
#pragma once

#include "core/config.h"
#include "core/event.h"
#include "core/options.h"
#include "core/random.h"

#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace caraway {

enum class Quality : std::uint8_t
{
  kGood, // complete and inside the targets
  kSlow, // complete, outside the targets
  kBad,  // failed, cut by the endpoint, stalled, or whole but wrong
};

// What the entry has to send or append after a step.
struct MoveActions
{
  std::vector<Brake> brakes;        // to every agent of the pool
  std::vector<Evidence> evidence;   // to the agents of the version, for all entries
  std::vector<std::string> records; // verdicts for the log
};

class MoveController
{
public:
  MoveController(const EntryOptions& aOptions, Random& aRandom, EventSink& aEvents);
  ~MoveController();
  MoveController(const MoveController&) = delete;
  MoveController& operator=(const MoveController&) = delete;

  // Configuration changed: starts, ends and takes back moves.
  void OnConfig(Now aNow, const ConfigState& aConfig);

  // Version for a new request; none: any version serves.
  std::optional<std::string> Choose(Now aNow, const std::string& aPool, const std::string& aRoute);
  // Version to use when no endpoint of the chosen one can take the request; none: any version.
  std::optional<std::string> Fallback(const std::string& aPool) const;
  // A version that must get nothing new.
  bool IsBraked(const std::string& aPool, const std::string& aVersion) const;

  void OnOutcome(Now aNow, const std::string& aPool, const std::string& aVersion,
                 const std::string& aRoute, std::uint8_t aLoadLevel, Quality aQuality);
  void OnEvidence(Now aNow, NodeId aFrom, const EvidenceReport& aReport);
  void OnBrake(Now aNow, const Brake& aBrake);

  void OnTimer(Now aNow);
  TimePoint NextTimer() const;
  MoveActions TakeActions();
  // The log took or lost the verdict; it is appended again until it is read back.
  std::string StatusJson(Now aNow) const;

private:
  class Impl;
  std::unique_ptr<Impl> impl;
};

} // namespace caraway
