#include "runtime/timer.h"

#include <glib.h>

#include <algorithm>
#include <utility>

namespace caraway {

Timer::Timer(std::function<void()> aCallback)
  : callback(std::move(aCallback))
{
  static GSourceFuncs functions = { nullptr, nullptr, &Timer::Dispatch, nullptr, nullptr, nullptr };
  this->source = g_source_new(&functions, sizeof(GSource));
  g_source_set_callback(this->source, nullptr, this, nullptr);
  g_source_attach(this->source, g_main_context_get_thread_default());
}

Timer::~Timer()
{
  g_source_destroy(this->source);
  g_source_unref(this->source);
}

void Timer::ArmAfter(Duration aDelay)
{
  const Duration delay = std::max(aDelay, Duration::zero());
  this->dueAt = g_get_monotonic_time() + delay.count();
  g_source_set_ready_time(this->source, this->dueAt);
}

void Timer::Cancel()
{
  this->dueAt = kDisarmed;
  g_source_set_ready_time(this->source, -1);
}

// Disarms before running the callback, so that the callback may re-arm or destroy the timer. GLib
// dispatches a ready source even if another source cancelled or postponed it in the same iteration,
// so the due time is checked again.
int Timer::Dispatch(GSource* aSource, GSourceFunc, void* aData)
{
  auto* timer = static_cast<Timer*>(aData);
  if (timer->dueAt == kDisarmed || g_get_monotonic_time() < timer->dueAt) {
    g_source_set_ready_time(aSource, timer->dueAt);
    return G_SOURCE_CONTINUE;
  }
  timer->dueAt = kDisarmed;
  g_source_set_ready_time(aSource, -1);
  const std::function<void()> run = timer->callback;
  run();
  return G_SOURCE_CONTINUE;
}

} // namespace caraway
