// What both daemons share: identity, random source, observation, and the graceful shutdown.
#pragma once

#include "core/messages.h"
#include "core/random.h"
#include "runtime/admin_view.h"
#include "runtime/clock.h"
#include "runtime/metrics.h"
#include "runtime/observer.h"
#include "runtime/settings.h"
#include "runtime/timeline.h"
#include "runtime/timer.h"

#include <glib.h>

#include <functional>
#include <string>

namespace caraway {

// Identity of this life of the process: the wall clock in microseconds grows from start to start.
Peer MakeOwnPeer(const std::string& aName, const Clock& aClock);

// Seed from the settings, or from the system's source of randomness.
std::uint64_t ChooseSeed(const CommonSettings& aSettings);

// Clock, random source and observation of one daemon.
struct ProcessContext
{
  explicit ProcessContext(const CommonSettings& aSettings);

  SystemClock clock;
  Random random;
  Metrics metrics;
  Timeline timeline;
  Observer observer;
  Peer self;
};

// Runs the main loop until the process has left: the first SIGTERM or SIGINT begins a graceful
// shutdown, the second ends at once.
class MainLoop
{
public:
  // aIsDone: whether everything besides aView is done. aOnLeaving runs on every look at a leaving
  // process.
  MainLoop(AdminView& aView, std::function<bool()> aIsDone, std::function<void()> aOnLeaving);
  ~MainLoop();
  MainLoop(const MainLoop&) = delete;
  MainLoop& operator=(const MainLoop&) = delete;

  // Exit code of the process.
  int Run();

private:
  static int OnSignal(void* aData);
  void CheckShutdown();

  AdminView& view;
  std::function<bool()> isDone;
  std::function<void()> onLeaving;
  GMainLoop* loop;
  unsigned signalCount = 0;
  int exitCode = 0;
  bool isClosing = false;
  Timer shutdownTimer;
};

} // namespace caraway
