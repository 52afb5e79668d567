// Admission control: refuses on arrival calls that would probably time out in the queue. When more
// calls of the lowest class arrive than start, queueing does not increase throughput, and a caller
// refused immediately can retry after the burst.
#pragma once

#include "core/random.h"
#include "direct/call.h"

#include <map>
#include <string>
#include <utility>

namespace caraway::direct {

struct AdmissionOptions
{
  Duration halfLife = std::chrono::seconds(1); // of the counts; bursts last a few seconds
  // Calls admitted per started call: keeps the queue from running empty and makes free capacity
  // visible.
  double headroom = 2;
  double minAdmittedShare = 0.1; // admitted regardless of the counts
  double minGivenUp = 3;         // calls given up without a slot before any is refused on arrival
  // Share of the arrived calls that were given up or refused, from which calls are refused.
  double overloadShare = 0.4;
};

class Admission
{
public:
  Admission(const AdmissionOptions& aOptions, Random& aRandom);

  // Records an arrival; returns false if the call must be refused immediately. Only calls of the
  // lowest class recently seen for the service are refused, never those of a higher class.
  bool Admit(TimePoint aNow, const CallSpec& aSpec);
  // Records that a call obtained its first slot.
  void OnStart(TimePoint aNow, const CallSpec& aSpec);
  // Records that a call was given up without a slot.
  void OnGivenUp(TimePoint aNow, const CallSpec& aSpec);

private:
  // Exponentially decayed counts of one class of calls.
  struct Counts
  {
    double arrived = 0;
    double started = 0;
    double givenUp = 0;
    double refused = 0; // on arrival
    TimePoint at{};
  };
  using Class = std::pair<Tier, Tier>; // tier and rank

  Counts& Decayed(TimePoint aNow, const CallSpec& aSpec);

  AdmissionOptions options;
  Random& random;
  std::map<std::string, std::map<Class, Counts>> services;
};

// Retry delay for a caller refused on arrival: a random share of the time to its deadline, so that
// callers of one burst do not retry simultaneously.
Duration ReturnDelay(TimePoint aNow, const CallSpec& aSpec, Random& aRandom);

} // namespace caraway::direct
