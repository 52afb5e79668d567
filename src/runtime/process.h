// Common parts of the daemons: identity, random number generator, observability and graceful
// shutdown.
#pragma once

#include "core/messages.h"
#include "core/random.h"
#include "runtime/admin_view.h"
#include "runtime/clock.h"
#include "runtime/memory_account.h"
#include "runtime/metrics.h"
#include "runtime/observer.h"
#include "runtime/poller.h"
#include "runtime/settings.h"
#include "runtime/timeline.h"
#include "runtime/timer.h"

#include <glib.h>

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

namespace caraway {

// Identity of this incarnation of the process. The incarnation is the wall clock in microseconds,
// which increases from one start to the next.
Peer MakeOwnPeer(const std::string& aName, const Clock& aClock);

// Seed from the settings, or from the random number generator of the operating system.
std::uint64_t ChooseSeed(const CommonSettings& aSettings);

// Memory that the process may use, without what it uses itself at its start; in bytes. By memory_mb
// of the settings, else half of the machine's.
std::size_t MemoryForConnections(const CommonSettings& aSettings);

// Clock, random number generator, observability and I/O of one daemon.
struct ProcessContext
{
  explicit ProcessContext(const CommonSettings& aSettings);

  SystemClock clock;
  Random random;
  Metrics metrics;
  Timeline timeline;
  Observer observer;
  Peer self;
  Poller poller;
  std::shared_ptr<MemoryAccount> memory; // of the connections of all listeners
};

// Runs the main loop until the process has shut down. SIGTERM or SIGINT starts a graceful shutdown;
// SIGINT during the shutdown exits immediately.
class MainLoop
{
public:
  // aIsDone tells whether everything except aView has finished. aOnLeaving runs on every shutdown
  // check while the process is leaving.
  MainLoop(AdminView& aView, std::function<bool()> aIsDone, std::function<void()> aOnLeaving);
  ~MainLoop();
  MainLoop(const MainLoop&) = delete;
  MainLoop& operator=(const MainLoop&) = delete;

  // Exit code of the process.
  int Run();

private:
  static int OnTerminate(void* aData);
  static int OnInterrupt(void* aData);
  void BeginLeaving();
  void CheckShutdown();

  AdminView& view;
  std::function<bool()> isDone;
  std::function<void()> onLeaving;
  GMainLoop* loop;
  bool isLeaving = false;
  int exitCode = 0;
  bool isClosing = false;
  Timer shutdownTimer;
};

} // namespace caraway
