// Callbacks at a later time on the GLib main loop.
#pragma once

#include "core/types.h"

#include <glib.h>

#include <functional>

namespace caraway {

// Calls aDo once after aDelay, rounded up to milliseconds.
void CallAfter(Duration aDelay, std::function<void()> aDo);

// Calls back when the system's steady clock reaches a time that can be set again and again.
class ReadyTimer
{
public:
  explicit ReadyTimer(std::function<void()> aDo);
  ~ReadyTimer();
  ReadyTimer(const ReadyTimer&) = delete;
  ReadyTimer& operator=(const ReadyTimer&) = delete;

  // Replaces the time set before; kNever stops the timer.
  void Set(TimePoint aTime);

private:
  static gboolean OnReady(gpointer aSelf);

  std::function<void()> callback;
  GSource* source;
};

} // namespace caraway
