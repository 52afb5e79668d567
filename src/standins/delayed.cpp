#include "standins/delayed.h"

#include <glib.h>

#include <utility>

namespace caraway {

namespace {

using Callback = std::function<void()>;

gboolean Run(gpointer aData)
{
  (*static_cast<Callback*>(aData))();
  return G_SOURCE_REMOVE;
}

void Delete(gpointer aData)
{
  delete static_cast<Callback*>(aData);
}

gboolean DispatchReady(GSource* aSource, GSourceFunc aCallback, gpointer aData)
{
  g_source_set_ready_time(aSource, -1);
  aCallback(aData);
  return G_SOURCE_CONTINUE;
}

GSourceFuncs readyFunctions = { nullptr, nullptr, &DispatchReady, nullptr, nullptr, nullptr };

} // namespace

void CallAfter(Duration aDelay, std::function<void()> aDo)
{
  const auto delay = std::chrono::ceil<std::chrono::milliseconds>(aDelay).count();
  g_timeout_add_full(G_PRIORITY_DEFAULT, static_cast<guint>(delay), &Run,
                     new Callback(std::move(aDo)), &Delete);
}

ReadyTimer::ReadyTimer(std::function<void()> aDo)
  : callback(std::move(aDo))
  , source(g_source_new(&readyFunctions, sizeof(GSource)))
{
  g_source_set_callback(this->source, &ReadyTimer::OnReady, this, nullptr);
  g_source_attach(this->source, nullptr);
}

ReadyTimer::~ReadyTimer()
{
  g_source_destroy(this->source);
  g_source_unref(this->source);
}

// The steady clock and GLib's monotonic time are the same clock.
void ReadyTimer::Set(TimePoint aTime)
{
  g_source_set_ready_time(this->source, aTime == kNever ? -1 : aTime.time_since_epoch().count());
}

gboolean ReadyTimer::OnReady(gpointer aSelf)
{
  static_cast<ReadyTimer*>(aSelf)->callback();
  return G_SOURCE_CONTINUE;
}

} // namespace caraway
