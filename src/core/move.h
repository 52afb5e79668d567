// Version moves (canary releases) at an entry. Each entry limits the share of its own requests that
// go to the new version, which bounds the share over all entries without coordination. On evidence
// of failures it brakes: it stops sending new requests to the new version at once.
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
  kGood, // complete and within the latency targets
  kSlow, // complete, but outside the latency targets
  kBad,  // failed, cut by the endpoint, stalled, or complete but wrong
};

// Messages and records that the entry has to send or append.
struct MoveActions
{
  std::vector<Brake> brakes;        // to every agent of the pool
  std::vector<Evidence> evidence;   // to the agents of the version, which pass it to all entries
  std::vector<std::string> records; // verdicts for the log
};

class MoveController
{
public:
  MoveController(const EntryOptions& aOptions, Random& aRandom, EventSink& aEvents);
  ~MoveController();
  MoveController(const MoveController&) = delete;
  MoveController& operator=(const MoveController&) = delete;

  // Starts, completes and takes back moves after a configuration change.
  void OnConfig(Now aNow, const ConfigState& aConfig);

  // Version for a new request; nullopt if any version may serve it.
  std::optional<std::string> ChooseVersion(Now aNow, const std::string& aPool,
                                           const std::string& aRoute);
  // Version to use if no endpoint of the chosen one can take the request; nullopt for any version.
  std::optional<std::string> FallbackVersion(const std::string& aPool) const;
  // Whether the version must get no new requests.
  bool IsBraked(const std::string& aPool, const std::string& aVersion) const;

  void OnOutcome(Now aNow, const std::string& aPool, const std::string& aVersion,
                 const std::string& aRoute, std::uint8_t aLoadLevel, Quality aQuality);
  void OnEvidence(Now aNow, NodeId aFrom, const EvidenceReport& aReport);
  void OnBrake(Now aNow, const Brake& aBrake);

  void OnTimer(Now aNow);
  TimePoint NextTimer() const;
  MoveActions TakeActions();
  // State of all moves as JSON.
  std::string StatusJson(Now aNow) const;

private:
  class Impl;
  std::unique_ptr<Impl> impl;
};

} // namespace caraway
