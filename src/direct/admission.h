// Refuses at the door what would only wait in vain. Answers the load at which more calls of the
// lowest class arrive than start: waiting then makes nobody start sooner, and a caller that is told
// at once can come back when the burst is over.
#pragma once

#include "core/random.h"
#include "direct/call.h"

#include <map>
#include <string>
#include <utility>

namespace caraway::direct {

struct AdmissionOptions
{
  Duration halfLife = std::chrono::seconds(1); // of what is remembered; a burst lasts some seconds
  // Calls let in for each one that starts: the queue must not run empty, and free capacity must
  // show.
  double headroom = 2;
  double leastShare = 0.1; // let in whatever was seen
  double leastGivenUp = 3; // calls that waited in vain before anything is refused at the door
  double vainShare = 0.4;  // of those that arrived, with those refused at the door, likewise
};

class Admission
{
public:
  Admission(const AdmissionOptions& aOptions, Random& aRandom);

  // A call arrived. False: it is to be refused at once. Only calls of the lowest class that the
  // service has seen lately are refused, so none goes before a lower one.
  bool Admit(TimePoint aNow, const CallSpec& aSpec);
  // A call got its first slot.
  void OnStart(TimePoint aNow, const CallSpec& aSpec);
  // A call was given up without a slot.
  void OnGivenUp(TimePoint aNow, const CallSpec& aSpec);

private:
  // Decayed counts of one class of calls.
  struct Counts
  {
    double arrived = 0;
    double started = 0;
    double givenUp = 0;
    double refused = 0; // at the door
    TimePoint at{};
  };
  using Class = std::pair<Tier, Tier>; // tier and rank

  Counts& Fresh(TimePoint aNow, const CallSpec& aSpec);

  AdmissionOptions options;
  Random& random;
  std::map<std::string, std::map<Class, Counts>> services;
};

// When a caller that was refused at the door should come back: after a part of its time, spread so
// that callers of one burst do not come back together.
Duration ReturnTime(TimePoint aNow, const CallSpec& aSpec, Random& aRandom);

} // namespace caraway::direct
