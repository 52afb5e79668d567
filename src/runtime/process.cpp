#include "runtime/process.h"

#include "runtime/frame.h"
#include "runtime/log.h"

#include <algorithm>
#include <csignal>
#include <cstring>
#include <fstream>
#include <glib-unix.h>
#include <malloc.h>
#include <unistd.h>
#include <utility>

namespace caraway {

namespace {

constexpr Duration kShutdownCheckPeriod = std::chrono::milliseconds(50);
// Time for peers to read the last frames before connections are closed.
constexpr Duration kCloseDelay = std::chrono::milliseconds(250);
constexpr int kExitInterrupted = 1;
// Larger blocks, such as bodies, are mapped and go back to the system when they are freed. Without
// a fixed threshold it rises with them, and they leave gaps in the heap.
constexpr int kMapThreshold = 128 << 10;

} // namespace

Peer MakeOwnPeer(const std::string& aName, const Clock& aClock)
{
  const std::chrono::microseconds wall = aClock.Read().wall.time_since_epoch();
  return Peer{ NodeIdOf(aName), Incarnation{ static_cast<std::uint64_t>(wall.count()) } };
}

std::uint64_t ChooseSeed(const CommonSettings& aSettings)
{
  if (aSettings.seed) {
    return *aSettings.seed;
  }
  const Nonce nonce = GenerateNonce();
  std::uint64_t seed = 0;
  std::memcpy(&seed, nonce.data(), sizeof(seed));
  return seed;
}

std::size_t MemoryForConnections(const CommonSettings& aSettings)
{
  const auto pageBytes = static_cast<std::size_t>(sysconf(_SC_PAGESIZE));
  const std::size_t memory = aSettings.memoryMb != 0
                               ? std::size_t{ aSettings.memoryMb } << 20
                               : static_cast<std::size_t>(sysconf(_SC_PHYS_PAGES)) * pageBytes / 2;
  std::size_t virtualPages = 0;
  std::size_t residentPages = 0;
  std::ifstream("/proc/self/statm") >> virtualPages >> residentPages;
  return memory - std::min(residentPages * pageBytes, memory / 2);
}

ProcessContext::ProcessContext(const CommonSettings& aSettings)
  : random(ChooseSeed(aSettings))
  , timeline(aSettings.timelineEvents)
  , observer(this->clock, this->metrics, this->timeline)
  , self(MakeOwnPeer(aSettings.name, this->clock))
  , memory(std::make_shared<MemoryAccount>(ProportionalLimits(MemoryForConnections(aSettings))))
{
  mallopt(M_MMAP_THRESHOLD, kMapThreshold);
}

MainLoop::MainLoop(AdminView& aView, std::function<bool()> aIsDone,
                   std::function<void()> aOnLeaving)
  : view(aView)
  , isDone(std::move(aIsDone))
  , onLeaving(std::move(aOnLeaving))
  , loop(g_main_loop_new(nullptr, FALSE))
  , shutdownTimer([this] { this->CheckShutdown(); })
{
}

MainLoop::~MainLoop()
{
  g_main_loop_unref(this->loop);
}

int MainLoop::Run()
{
  std::signal(SIGPIPE, SIG_IGN);
  const guint terminate = g_unix_signal_add(SIGTERM, &MainLoop::OnTerminate, this);
  const guint interrupt = g_unix_signal_add(SIGINT, &MainLoop::OnInterrupt, this);
  this->shutdownTimer.ArmAfter(kShutdownCheckPeriod);
  g_main_loop_run(this->loop);
  g_source_remove(terminate);
  g_source_remove(interrupt);
  return this->exitCode;
}

int MainLoop::OnTerminate(void* aData)
{
  static_cast<MainLoop*>(aData)->BeginLeaving();
  return G_SOURCE_CONTINUE;
}

int MainLoop::OnInterrupt(void* aData)
{
  auto* self = static_cast<MainLoop*>(aData);
  if (self->isLeaving) {
    self->exitCode = kExitInterrupted;
    g_main_loop_quit(self->loop);
    return G_SOURCE_CONTINUE;
  }
  self->BeginLeaving();
  return G_SOURCE_CONTINUE;
}

void MainLoop::BeginLeaving()
{
  LogEvent(LogLevel::kInfo, "signal",
           { { "already_leaving", this->isLeaving ? "true" : "false" } });
  if (!this->isLeaving) {
    this->isLeaving = true;
    this->view.BeginLeaving();
  }
}

// Stops the loop when a leaving process has no more work and kCloseDelay has passed.
void MainLoop::CheckShutdown()
{
  if (this->view.IsLeaving()) {
    this->onLeaving();
  }
  const bool isFinished = this->view.IsLeaving() && this->view.IsDone() && this->isDone();
  if (isFinished && this->isClosing) {
    LogEvent(LogLevel::kInfo, "left", {});
    g_main_loop_quit(this->loop);
    return;
  }
  this->isClosing = isFinished;
  this->shutdownTimer.ArmAfter(isFinished ? kCloseDelay : kShutdownCheckPeriod);
}

} // namespace caraway
